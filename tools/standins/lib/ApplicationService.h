// HTTP front end of the fake application endpoint; accepts any method and path.
#pragma once

#include "HttpServer.h"
#include "WakeTimer.h"
#include "lentilbay/Fakes/ServiceModel.h"

#include <unordered_map>

namespace lentilbay::standins {

using namespace fakes;

/// Digest of the request's content. The response carries it, so that a client can check that the response
/// belongs to its request.
uint64_t callDigest(const std::string& method, const std::string& pathAndQuery, const std::string& body);

class ApplicationService {
public:
    explicit ApplicationService(ServiceOptions options)
        : m_service(options)
    {
    }

    void start(CallAfter callAfter)
    {
        m_timer.start(std::move(callAfter), [this] { advanceModel(); });
    }

    void handle(const HttpRequest& request, HttpExchangePtr exchange);

private:
    void call(const HttpRequest& request, HttpExchangePtr exchange);
    void control(const HttpRequest& request, HttpExchangePtr exchange);
    std::string loadJson() const;
    std::string recordsJson() const;
    void advanceModel();

    ServiceModel m_service;
    WakeTimer m_timer;
    /// Calls that have no response yet, keyed by the index of the call's record.
    std::unordered_map<size_t, HttpExchangePtr> m_pendingCalls;
    /// While set, every connection except those of /control and /records is closed without a response.
    bool m_outage = false;
};

} // namespace lentilbay::standins
