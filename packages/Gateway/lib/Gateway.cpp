// Handles requests from callers and commands from the entry controller.
#include "lentilbay/Gateway/Gateway.h"

#include "EndpointCall.h"
#include "QueryAnswers.h"
#include "lentilbay/Gateway/RequestParser.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/Secret.h"
#include "lentilbay/Support/SteadyClock.h"

#include <cassert>
#include <utility>

namespace lentilbay {
namespace {

constexpr size_t idPrefixBytes = 8;

} // namespace

Gateway::Gateway(Blackboard& blackboard, EntryController& entry, HttpClient& client, GatewayOptions options,
    GatewayHooks hooks)
    : m_blackboard(blackboard)
    , m_entry(entry)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_dispatcher(client, *this, m_hooks.callAfter, options.dispatcher)
    , m_answers(options.answers)
    , m_idPrefix(blackboard.self.text() + "-" + randomHex(idPrefixBytes) + "-")
{
}

Gateway::~Gateway()
{
    for (auto& [id, exchange] : m_exchanges)
        exchange->call.reset();
}

RequestId Gateway::newRequestId() { return RequestId(m_idPrefix + std::to_string(++m_lastId)); }

std::shared_ptr<Exchange> Gateway::find(const RequestId& id) const
{
    const auto it = m_exchanges.find(id);
    return it == m_exchanges.end() ? nullptr : it->second;
}

void Gateway::arrive(CallerRequest request, std::shared_ptr<CallerChannel> channel)
{
    const auto id = newRequestId();
    boost::leaf::try_handle_all([&]() -> Result<void> { return handleRequest(request, channel, id); },
        [&](const Failure& failure) {
            channel->answer(errorAnswer({ .failure = failure, .ran = Executed::No }, id));
        },
        [&] { channel->answer(errorAnswer({ .failure = {}, .ran = Executed::No }, id)); });
}

Result<void> Gateway::handleRequest(
    CallerRequest& request, const std::shared_ptr<CallerChannel>& channel, const RequestId& id)
{
    BOOST_LEAF_CHECK(checkLimits(request, m_options.limits));
    BOOST_LEAF_AUTO(key, parseBearerKey(request));
    const auto configuration = m_blackboard.configuration;
    const auto* organisation = m_authenticator.find(*configuration, key);
    if (!organisation)
        return fail(ResultCode::UnknownKey, "");
    BOOST_LEAF_AUTO(route, routeRequest(request, *configuration, *organisation, id));
    if (auto* work = std::get_if<EndpointRequest>(&route)) {
        admit(std::move(*work), channel);
        return {};
    }
    if (const auto* query = std::get_if<OutcomeQuery>(&route))
        return answerOutcome(*query, *organisation, *channel, id);
    channel->answer(modelsAnswer(*configuration, id));
    return {};
}

void Gateway::admit(EndpointRequest request, std::shared_ptr<CallerChannel> channel)
{
    auto& exchange = request.exchange;
    exchange->channel = std::move(channel);
    m_connections[exchange->connection].insert(exchange->id());
    m_exchanges.emplace(exchange->id(), exchange);
    m_entry.arrive(std::move(request.arrival), steadyNow());
    m_hooks.wake();
}

Result<void> Gateway::answerOutcome(const OutcomeQuery& query, const Organisation& organisation,
    CallerChannel& channel, const RequestId& id) const
{
    if (const auto exchange = find(query.id);
        exchange && exchange->identity.organisation == organisation.name) {
        channel.answer(openAnswer(*exchange, id));
        return {};
    }
    const auto* finished = m_answers.find(query.id);
    if (!finished || finished->organisation != organisation.name)
        return fail(ResultCode::UnknownRequest, "");
    channel.answer(query.wantsAnswer ? storedAnswer(*finished, id) : outcomeAnswer(*finished, id));
    return {};
}

void Gateway::callerLeft(ConnectionId connection)
{
    const auto node = m_connections.extract(connection);
    if (node.empty())
        return;
    for (const auto& id : node.mapped()) {
        const auto exchange = find(id);
        if (!exchange || !exchange->channel)
            continue;
        exchange->channel.reset();
        if (exchange->call)
            exchange->call->callerDrained(); // no caller limits the reading any more
        m_entry.callerLeft(id, steadyNow());
        closeIfComplete(exchange);
    }
    m_hooks.wake();
}

void Gateway::executeCommands()
{
    while (true) {
        auto commands = m_entry.takeCommands();
        auto outcomes = m_entry.takeOutcomes();
        if (commands.empty() && outcomes.empty())
            return;
        for (const auto& command : commands)
            std::visit([this](const auto& it) { execute(it); }, command);
        for (const auto& outcome : outcomes)
            record(outcome);
    }
}

void Gateway::execute(const ClaimCommand& command)
{
    const auto exchange = find(command.id);
    assert(exchange && "claimed request must be open");
    // Without an idempotency key a retry cannot be recognized, so there is nothing to claim.
    if (exchange->identity.idempotencyKey.empty())
        return m_entry.claimed(command.id, ClaimResult::Held, steadyNow());
    m_hooks.claim(exchange->identity);
}

void Gateway::execute(const DispatchCommand& command)
{
    const auto exchange = find(command.id);
    assert(exchange && "dispatched request must be open");
    const auto* endpoint = findEndpoint(*m_blackboard.configuration, command.endpoint);
    if (!endpoint) {
        m_entry.connectFailed(command.id, steadyNow());
        return m_hooks.wake();
    }
    exchange->endpointUrl = "http://" + endpoint->host + ":" + std::to_string(endpoint->port);
    m_dispatcher.dispatch(exchange);
}

void Gateway::execute(const CancelCommand& command)
{
    const auto exchange = find(command.id);
    if (!exchange || exchange->endReported)
        return;
    // The caller is notified immediately; the slot is released once the endpoint has stopped.
    refuse(*exchange, { .failure = command.reason, .ran = Executed::Partly });
    m_dispatcher.cancel(exchange);
}

void Gateway::execute(const RefuseCommand& command)
{
    if (const auto exchange = find(command.id))
        refuse(
            *exchange, { .failure = command.failure, .ran = command.ran, .retryAfter = command.retryAfter });
}

void Gateway::refuse(const RequestId& id, Refusal refusal)
{
    const auto exchange = find(id);
    if (!exchange)
        return;
    refuse(*exchange, refusal);
    closeIfComplete(exchange);
}

void Gateway::refuse(Exchange& exchange, const Refusal& refusal)
{
    if (!exchange.refusal)
        exchange.refusal = refusal;
    const auto channel = std::exchange(exchange.channel, nullptr);
    untrackConnection(exchange);
    if (!channel)
        return;
    if (!exchange.streamStarted)
        return channel->answer(errorAnswer(refusal, exchange.id()));
    channel->write(errorEvent(refusal, exchange.id()));
    channel->endStream();
}

void Gateway::deliverRemoteAnswer(const RequestId& id, CallerAnswer answer)
{
    const auto exchange = find(id);
    if (!exchange)
        return;
    exchange->answer = answer;
    const auto channel = std::exchange(exchange->channel, nullptr);
    untrackConnection(*exchange);
    if (channel)
        channel->answer(std::move(answer));
    closeIfComplete(exchange);
}

void Gateway::reuseEarlierAnswer(const RequestId& id, const RequestId& earlier)
{
    const auto exchange = find(id);
    if (!exchange)
        return;
    if (const auto open = find(earlier)) {
        open->waitingDuplicates.push_back(id);
        return;
    }
    const auto* finished = m_answers.find(earlier);
    if (finished)
        replayAnswer(*exchange, *finished);
    else
        refuse(*exchange,
            { .failure = { .code = ResultCode::ClaimHolderGone, .detail = "" }, .ran = Executed::Unknown });
    closeIfComplete(exchange);
}

void Gateway::replayAnswer(Exchange& exchange, const FinishedRequest& finished)
{
    if (!finished.answer) {
        const Refusal lost { .failure = { .code = ResultCode::ClaimHolderGone, .detail = "" },
            .ran = Executed::Unknown };
        return refuse(exchange, finished.refusal.value_or(lost));
    }
    const auto channel = std::exchange(exchange.channel, nullptr);
    untrackConnection(exchange);
    if (channel)
        channel->answer(storedAnswer(finished, exchange.id()));
}

void Gateway::record(const RequestOutcome& outcome)
{
    const auto exchange = find(outcome.id);
    assert(exchange && "finished request must be open");
    exchange->outcome = outcome;
    if (m_hooks.finished)
        m_hooks.finished(outcome);
    logEvent(Event::RequestFinished,
        { { "request", outcome.id.text() }, { "code", printed(outcome.code) },
            { "tier", outcome.tier.text() }, { "endpoint", outcome.endpoint.text() },
            { "total_ms", toMilliseconds(outcome.total) } });
    closeIfComplete(exchange);
}

void Gateway::closeIfComplete(const std::shared_ptr<Exchange>& exchange)
{
    if (!exchange->outcome || exchange->channel)
        return;
    exchange->call.reset();
    m_exchanges.erase(RequestId(exchange->id()));
    m_answers.add({ .organisation = exchange->identity.organisation,
        .outcome = *exchange->outcome,
        .refusal = exchange->refusal,
        .answer = exchange->answer,
        .finishedAt = steadyNow() });
    const auto* finished = m_answers.find(exchange->id());
    for (const auto& id : std::exchange(exchange->waitingDuplicates, {})) {
        const auto follower = find(id);
        if (!follower)
            continue;
        replayAnswer(*follower, *finished);
        closeIfComplete(follower);
        finished = m_answers.find(exchange->id());
    }
}

void Gateway::untrackConnection(const Exchange& exchange)
{
    const auto it = m_connections.find(exchange.connection);
    if (it == m_connections.end())
        return;
    it->second.erase(exchange.id());
    if (it->second.empty())
        m_connections.erase(it);
}

} // namespace lentilbay
