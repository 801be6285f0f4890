// The fake application endpoint behind HTTP: any method and path.
#pragma once

#include "HttpServer.h"
#include "WakeTimer.h"
#include "lentilbay/Fakes/ServiceModel.h"

#include <unordered_map>

namespace lentilbay::standins {

using namespace fakes;

/// Names a call by what the caller sent, so that an answer can be told from another's.
uint64_t callDigest(const std::string& method, const std::string& pathAndQuery, const std::string& body);

class ApplicationService {
public:
    explicit ApplicationService(ServiceOptions options)
        : m_service(options)
    {
    }

    void start(CallAfter callAfter)
    {
        m_timer.start(std::move(callAfter), [this] { pump(); });
    }

    void handle(const HttpRequest& request, HttpExchangePtr exchange);

private:
    void call(const HttpRequest& request, HttpExchangePtr exchange);
    void control(const HttpRequest& request, HttpExchangePtr exchange);
    std::string loadJson() const;
    std::string recordsJson() const;
    void pump();

    ServiceModel m_service;
    WakeTimer m_timer;
    /// By position of the call's record.
    std::unordered_map<size_t, HttpExchangePtr> m_callers;
    /// Connections break without an answer while this holds.
    bool m_outage = false;
};

} // namespace lentilbay::standins
