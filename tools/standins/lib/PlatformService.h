// HTTP front end of the fake table store, object store, weight store and host list of the platform.
#pragma once

#include "HttpServer.h"
#include "WakeTimer.h"
#include "lentilbay/Fakes/PlatformModels.h"
#include "lentilbay/Fakes/TableModel.h"

namespace lentilbay::standins {

using namespace fakes;

struct PlatformOptions {
    TableOptions table;
    ObjectOptions objects;
    WeightOptions weights;
};

class PlatformService {
public:
    explicit PlatformService(PlatformOptions options)
        : m_table(options.table)
        , m_objects(options.objects)
        , m_weights(options.weights)
    {
    }

    void start(CallAfter callAfter) { m_callAfter = std::move(callAfter); }

    void handle(const HttpRequest& request, HttpExchangePtr exchange);

private:
    void transact(const HttpRequest& request, HttpExchangePtr exchange);
    void read(const HttpRequest& request, HttpExchangePtr exchange);
    void scan(const HttpRequest& request, HttpExchangePtr exchange);
    void object(const HttpRequest& request, HttpExchangePtr exchange);
    void weights(HttpExchangePtr exchange);
    std::string hostsJson() const;
    std::string recordsJson() const;
    void control(const HttpRequest& request, HttpExchangePtr exchange);

    /// Sends the response for the status after the delay; the body is used for Done and Conflict only.
    void respond(HttpExchangePtr exchange, FakeStoreStatus status, Duration retryAfter, Duration delay,
        std::string body, const char* contentType);
    void respondFromTable(HttpExchangePtr exchange, const TableResponse& reply);

    TableModel m_table;
    ObjectModel m_objects;
    WeightModel m_weights;
    HostListModel m_hosts;
    CallAfter m_callAfter;
};

} // namespace lentilbay::standins
