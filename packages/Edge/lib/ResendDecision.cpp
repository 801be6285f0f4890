// Decides about another send of a request, and about the cause of failures.
#include "lentilbay/Edge/ResendDecision.h"

#include "lentilbay/Support/Log.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// Before its first event, an idempotent request is moved to another endpoint after a silence of this
/// fraction of the objective.
constexpr double stallObjectiveFraction = 0.6;
/// A sound endpoint may be silent for a second and go on, so no request is moved away sooner.
constexpr Duration minSilenceToMove = std::chrono::milliseconds(1500);
/// A connection without a sign of life for this long is given up once the links to the endpoints are lost.
constexpr Duration maxSilenceOfLostLink = std::chrono::milliseconds(300);
/// After its first event, an idempotent request is moved after a pause of this many times the gap objective.
constexpr double stallGapFactor = 2;

/// How many endpoints may execute the request.
int maxExecutions(const ResendContext& context)
{
    return context.isForwarded ? 1 : context.route.maxAttempts;
}

} // namespace

void logSuspicion(const EndpointState& endpoint, SendOutcome outcome)
{
    logEvent(Event::EndpointSuspected,
        { { "endpoint", endpoint.entry().id.text() },
            { "misdirected", static_cast<int64_t>(outcome == SendOutcome::Misdirected) } });
}

void ResendDecision::recordSuccess(const EndpointState& endpoint, TimePoint now)
{
    m_state.failureSources.recordSuccess(endpoint.hash(), m_failureKeys, now);
}

ResendDecision::Judgement ResendDecision::judgeFailure(const RequestId& request,
    const std::shared_ptr<EndpointState>& endpoint, SendFailure failure, TimePoint now)
{
    const auto former = std::ranges::find_if(m_failedSends, [&](const auto& it) {
        return it.failure == failure && it.endpoint != endpoint && !it.endpoint->isUnusable(now);
    });
    if (former != m_failedSends.end() && !endpoint->isSuspect()) {
        logEvent(Event::FailureFollowsRequest,
            { { "id", request.text() }, { "endpoint", endpoint->entry().id.text() },
                { "former", former->endpoint->entry().id.text() } });
        m_state.metrics.count("failures_of_requests");
        m_state.failureSources.recordFailureAtBoth(
            former->endpoint->hash(), endpoint->hash(), m_failureKeys, now);
        former->endpoint->retractFailure(former->evidence, former->at);
        m_failureEvidence = 0;
        return { .outcome = SendOutcome::Neutral };
    }
    m_failureEvidence = m_state.failureSources.weightAgainst(endpoint->hash(), m_failureKeys, now);
    m_state.failureSources.recordFailure(endpoint->hash(), m_failureKeys, now);
    m_failedSends.push_back(
        { .endpoint = endpoint, .failure = failure, .evidence = m_failureEvidence, .at = now });
    // A signed answer that similar requests get elsewhere, too, is no failure.
    const bool isUsual = failure == SendFailure::Empty && !mayOthersDoBetter();
    return { .outcome = isUsual ? SendOutcome::Neutral : SendOutcome::Failed, .evidence = m_failureEvidence };
}

void ResendDecision::recordLateFailure(EndpointState& endpoint, TimePoint now)
{
    const bool wasSuspended = endpoint.isSuspended(now);
    endpoint.recordFailure(now);
    if (!wasSuspended && endpoint.isSuspended(now))
        logSuspicion(endpoint, SendOutcome::Failed);
}

bool ResendDecision::hasExecutionLeft(const ResendContext& context) const
{
    return m_attempts.possibleExecutions() + 1 < maxExecutions(context);
}

bool ResendDecision::takeSend(const ResendContext& context, TimePoint now)
{
    if (context.isVersionUnknown)
        return false;
    return m_attempts.maySendAgain(
        { .maxExecutions = maxExecutions(context),
            .isAtMostOnce = context.route.executionSemantics == ExecutionSemantics::AtMostOnce,
            .failureEvidence = m_failureEvidence,
            .budget = m_state.retryLimits() },
        m_state.retryBudget(context.service), now);
}

bool ResendDecision::hasAlternative(const ResendContext& context, TimePoint now)
{
    const auto& tried = m_attempts.tried();
    if (context.isUnverified)
        return m_state.relays.choose(tried, m_state.random, true) != nullptr;
    // While it is not known whether the links are lost, one peer is asked.
    const bool mayAskPeer = m_state.links.state() != LinkState::Up
        || (m_attempts.refusalsByPeers() == 0 && m_state.links.isSuspicious(now));
    if (!context.isForwarded && mayAskPeer && m_state.relays.choose(tried, m_state.random))
        return true;
    const auto& registry = m_state.endpointRegistry;
    if (registry.hasCandidate(context.service, tried, context.versions))
        return true;
    // Endpoints that reject requests get room again, unless rejections make them fail.
    return !registry.isBrittle(context.service) && m_attempts.reconsiderRejections()
        && registry.hasCandidate(context.service, tried, context.versions);
}

bool ResendDecision::hasStalled(
    const ResendContext& context, const EndpointSend& send, bool isStream, TimePoint now) const
{
    if (!send.endpoint->isStalled(now) || !hasExecutionLeft(context))
        return false;
    const auto expected = send.hadFirstEvent
        ? fromSeconds(toSeconds(context.route.gapObjective) * stallGapFactor)
        : std::max(fromSeconds(toSeconds(context.route.objective) * stallObjectiveFraction),
            2 * send.endpoint->expectedTimeToFirstEvent({ .isStream = isStream }));
    return now - send.lastEventAt >= std::max<Duration>(minSilenceToMove, expected);
}

bool ResendDecision::mayLeaveLostLink(const ResendContext& context, const EndpointSend& send, TimePoint now)
{
    const bool isLost = send.isThroughPeer ? !m_state.relays.isAlive(send.endpoint->entry().id)
                                           : now - send.lastEventAt >= maxSilenceOfLostLink;
    return isLost && hasExecutionLeft(context)
        && m_state.relays.choose(m_attempts.tried(), m_state.random, context.isUnverified) != nullptr;
}

} // namespace lentilbay::edge
