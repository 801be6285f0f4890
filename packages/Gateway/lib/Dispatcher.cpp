// Starts and cancels the calls of dispatches.
#include "lentilbay/Gateway/Dispatcher.h"

#include "EndpointCall.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lentilbay {
namespace {

/// Calls the cancel API of an engine. The request counts as cancelled regardless of the result.
class CancelCall final : public HttpHandler {
public:
    CancelCall(DispatchListener& listener, std::shared_ptr<Exchange> exchange)
        : m_listener(listener)
        , m_exchange(std::move(exchange))
    {
    }

    bool bytesArrived(std::string_view) override { return true; }
    void ended(HttpEnd, const std::string&) override
    {
        m_listener.answerEnded(*m_exchange, AnswerEnd::Cancelled);
    }

private:
    DispatchListener& m_listener;
    std::shared_ptr<Exchange> m_exchange;
};

std::shared_ptr<EndpointCall> makeCall(Dispatcher& dispatcher, const std::shared_ptr<Exchange>& exchange)
{
    if (exchange->kind == ServiceKind::Plain)
        return makeServiceCall(dispatcher, exchange);
    return exchange->stream ? makeStreamCall(dispatcher, exchange) : makeCompletionCall(dispatcher, exchange);
}

} // namespace

Dispatcher::Dispatcher(
    HttpClient& client, DispatchListener& listener, DelayedCall callAfter, DispatcherOptions options)
    : m_client(client)
    , m_listener(listener)
    , m_callAfter(std::move(callAfter))
    , m_options(options)
{
}

void Dispatcher::dispatch(const std::shared_ptr<Exchange>& exchange)
{
    exchange->call = makeCall(*this, exchange);
    exchange->call->begin();
    if (!exchange->channel)
        return;
    exchange->channel->onDrained([call = std::weak_ptr(exchange->call)] {
        if (const auto it = call.lock())
            it->callerDrained();
    });
}

void Dispatcher::cancel(const std::shared_ptr<Exchange>& exchange)
{
    if (exchange->call)
        exchange->call->abandon();
    if (exchange->kind == ServiceKind::Plain)
        return m_listener.answerEnded(*exchange, AnswerEnd::Cancelled);
    const nlohmann::json body { { "request_id", exchange->id().text() } };
    m_client.start({ .method = "POST",
                       .url = exchange->endpointUrl + "/v1/cancel",
                       .fields = { { "Content-Type", "application/json" } },
                       .body = std::make_shared<std::string>(body.dump()),
                       .timeout = m_options.cancelTimeout },
        std::make_shared<CancelCall>(m_listener, exchange));
}

} // namespace lentilbay
