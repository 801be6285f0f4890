// Handles dispatch events. These functions may run inside the HTTP client, so they must not start calls.
#include "EndpointCall.h"
#include "lentilbay/Gateway/Gateway.h"
#include "lentilbay/Support/SteadyClock.h"

#include <utility>

namespace lentilbay {

bool Gateway::mayDispatch(Exchange& exchange)
{
    const bool may = m_entry.mayDispatch(exchange.id(), steadyNow());
    if (!may)
        m_hooks.wake();
    return may;
}

void Gateway::connectFailed(Exchange& exchange)
{
    m_entry.connectFailed(exchange.id(), steadyNow());
    m_hooks.wake();
}

void Gateway::tokensArrived(Exchange& exchange, uint32_t tokens)
{
    m_entry.tokensArrived(exchange.id(), tokens, steadyNow());
}

void Gateway::usageArrived(Exchange& exchange, uint32_t cachedTokens)
{
    m_entry.usageReported(exchange.id(), cachedTokens, steadyNow());
}

void Gateway::answerArrived(Exchange& exchange, CallerAnswer answer)
{
    answer.fields.emplace_back("Lentilbay-Request-Id", exchange.id().text());
    exchange.answer = answer;
    const auto channel = std::exchange(exchange.channel, nullptr);
    untrackConnection(exchange);
    if (channel)
        channel->answer(std::move(answer));
}

void Gateway::streamArrived(Exchange& exchange, std::string_view events)
{
    if (exchange.outlivesCaller())
        exchange.replayEvents += events;
    if (!exchange.channel)
        return;
    if (!std::exchange(exchange.streamStarted, true))
        exchange.channel->beginStream({ { "Content-Type", "text/event-stream" },
            { "Cache-Control", "no-cache" }, { "Lentilbay-Request-Id", exchange.id().text() } });
    exchange.channel->write(events);
}

void Gateway::answerEnded(Exchange& exchange, AnswerEnd end)
{
    if (std::exchange(exchange.endReported, true))
        return;
    if (end == AnswerEnd::Whole && exchange.channel) {
        std::exchange(exchange.channel, nullptr)->endStream();
        untrackConnection(exchange);
    }
    if (end == AnswerEnd::Whole && !exchange.replayEvents.empty())
        exchange.answer = CallerAnswer { .status = 200,
            .fields = { { "Content-Type", "text/event-stream" } },
            .body = std::make_shared<std::string>(std::move(exchange.replayEvents)) };
    m_entry.answerEnded(exchange.id(), end, steadyNow());
    m_hooks.wake();
}

} // namespace lentilbay
