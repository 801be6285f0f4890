// The platform's table, object, weight and host services behind HTTP, in one process.
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

    /// Sends the answer, or what its status asks for in its place, after the service's delay.
    void answer(HttpExchangePtr exchange, StoreAnswer status, Duration retryAfter, Duration delay,
        std::string body, const char* contentType);
    void answerTable(HttpExchangePtr exchange, const TableAnswer& reply);

    TableModel m_table;
    ObjectModel m_objects;
    WeightModel m_weights;
    HostListModel m_hosts;
    CallAfter m_callAfter;
};

} // namespace lentilbay::standins
