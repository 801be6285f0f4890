// Handles the events reported by the I/O layer and advances the requests accordingly.
#include "lentilbay/Control/EntryController.h"

#include "Entry/EntryState.h"

#include <algorithm>
#include <utility>

namespace lentilbay {
namespace {

/// Number of failed connections after which a request is refused.
constexpr uint32_t maxFailedConnections = 4;
/// Interval between steps while requests wait, even without an event.
constexpr Duration waitingCheckInterval = std::chrono::milliseconds(50);

} // namespace

EntryController::EntryController(Blackboard& blackboard, EntryOptions options)
    : m_state(std::make_unique<State>(blackboard, options))
{
}

EntryController::~EntryController() = default;

bool EntryController::State::refreshConfiguration(TimePoint now)
{
    if (!runtime.refresh(now))
        return false;
    reassignPools(now);
    return true;
}

void EntryController::State::step(TimePoint now)
{
    refreshConfiguration(now);
    applyRecalls(now);
    runTimers(now);
    planQueues(now);
    dispatchWaiting(now);
    steppedAt = now;
}

void EntryController::arrive(Arrival arrival, TimePoint now)
{
    m_state->refreshConfiguration(now);
    m_state->arrive(std::move(arrival), now);
    m_state->step(now);
}

void EntryController::claimed(const RequestId& id, ClaimResult result, TimePoint now)
{
    m_state->refreshConfiguration(now);
    auto* request = m_state->find(id);
    if (!request || request->phase != RequestPhase::Claiming)
        return;
    switch (result) {
    case ClaimResult::Held:
        request->claimHeld = true;
        --request->pool->pendingClaims;
        m_state->enqueue(*request, now);
        break;
    case ClaimResult::HeldElsewhere:
        // The claim controller answers the caller, so do not refuse the request here.
        m_state->finish(*request, ResultCode::ClaimInProgress, Executed::No, now);
        break;
    case ClaimResult::Unavailable:
        m_state->refuse(*request,
            { .code = ResultCode::ClaimUnavailable, .detail = "the claim could not be recorded" },
            Executed::No, now);
        break;
    }
    m_state->step(now);
}

bool EntryController::mayDispatch(const RequestId& id, TimePoint now)
{
    m_state->refreshConfiguration(now);
    auto* request = m_state->find(id);
    if (!request || request->phase != RequestPhase::Connecting)
        return false;
    if (request->deadline && *request->deadline <= now) {
        m_state->expire(*request, now);
        return false;
    }
    auto& endpoint = *request->endpoint;
    const auto* state = m_state->blackboard.findEndpointState(endpoint.name);
    const bool isGranted = state && !state->leaving && now < state->grant.expiresAt
        && request->rank <= state->grant.lowestRank;
    if (!isGranted || request->isRevoked || m_state->blackboard.mustNotStartWork(now)) {
        m_state->releaseSlot(*request);
        endpoint.breaker.abandoned();
        m_state->enqueue(*request, now);
        return false;
    }
    endpoint.breaker.succeeded();
    m_state->runtime.prefixes.sent(request->arrival.prefixHashes, endpoint.number, now);
    request->phase = RequestPhase::Running;
    request->dispatchedAt = now;
    m_state->checkRunning(*request, now);
    return true;
}

void EntryController::connectFailed(const RequestId& id, TimePoint now)
{
    m_state->refreshConfiguration(now);
    auto* request = m_state->find(id);
    if (!request || request->phase != RequestPhase::Connecting)
        return;
    auto& endpoint = *request->endpoint;
    endpoint.breaker.failed(now, m_state->random);
    request->failedEndpoint = &endpoint;
    ++request->failedConnections;
    const bool mayRetry = request->failedConnections < maxFailedConnections
        && endpoint.retries->takeRetry(now) && request->organisation->retries->takeRetry(now);
    if (!mayRetry) {
        m_state->refuse(*request,
            { .code = ResultCode::EndpointUnreachable, .detail = "no endpoint could be connected to" },
            Executed::No, now);
        m_state->step(now);
        return;
    }
    ++m_state->counters.retries;
    m_state->releaseSlot(*request);
    if (request->failedConnections == 1)
        m_state->enqueue(*request, now);
    else
        m_state->deferRequest(*request, now + backoff(request->failedConnections - 1, {}, m_state->random));
    m_state->step(now);
}

void EntryController::tokensArrived(const RequestId& id, uint32_t tokens, TimePoint now)
{
    m_state->refreshConfiguration(now);
    auto* request = m_state->find(id);
    if (request && request->phase >= RequestPhase::Running)
        m_state->observeTokens(*request, tokens, now);
}

void EntryController::usageReported(const RequestId& id, uint32_t cachedTokens, TimePoint)
{
    auto* request = m_state->find(id);
    if (request && request->phase >= RequestPhase::Running)
        request->reportedCachedTokens = std::min(cachedTokens, request->arrival.promptTokens);
}

void EntryController::answerEnded(const RequestId& id, AnswerEnd end, TimePoint now)
{
    m_state->refreshConfiguration(now);
    auto* request = m_state->find(id);
    if (!request || request->phase < RequestPhase::Running)
        return;
    switch (end) {
    case AnswerEnd::Whole:
        m_state->observeEnd(*request, now);
        m_state->finish(
            *request, request->callerGone ? ResultCode::CallerLeft : ResultCode::Ok, Executed::Partly, now);
        break;
    case AnswerEnd::Broken:
        m_state->refuse(*request, { .code = ResultCode::EndpointBroke, .detail = "the answer broke off" },
            request->firstTokenAt ? Executed::Partly : Executed::Unknown, now);
        break;
    case AnswerEnd::Refused:
        m_state->refuse(*request,
            { .code = ResultCode::EndpointRefused, .detail = "the endpoint refused the request" },
            Executed::No, now);
        break;
    case AnswerEnd::Cancelled:
        m_state->finish(*request,
            request->cancelReason ? request->cancelReason->code : ResultCode::EndpointBroke, Executed::Partly,
            now);
        break;
    }
    m_state->step(now);
}

void EntryController::callerLeft(const RequestId& id, TimePoint now)
{
    m_state->refreshConfiguration(now);
    auto* request = m_state->find(id);
    if (!request || request->callerGone)
        return;
    request->callerGone = true;
    if (request->phase < RequestPhase::Running) {
        m_state->finish(*request, ResultCode::CallerLeft, Executed::No, now);
    } else if (request->phase == RequestPhase::Running && !request->needsClaim) {
        m_state->cancel(*request, { .code = ResultCode::CallerLeft, .detail = "the caller left" });
    }
    m_state->step(now);
}

void EntryController::prefixStored(const EndpointId& endpoint, uint64_t prefixHash, TimePoint now)
{
    if (auto* endpointRuntime = m_state->runtime.findEndpoint(endpoint))
        m_state->runtime.prefixes.stored(prefixHash, endpointRuntime->number, now);
}

void EntryController::prefixEvicted(const EndpointId& endpoint, uint64_t prefixHash)
{
    if (auto* endpointRuntime = m_state->runtime.findEndpoint(endpoint))
        m_state->runtime.prefixes.evicted(prefixHash, endpointRuntime->number);
}

void EntryController::cacheEventsMissed(const EndpointId& endpoint, TimePoint now)
{
    if (auto* endpointRuntime = m_state->runtime.findEndpoint(endpoint))
        m_state->runtime.prefixes.eventsMissed(endpointRuntime->number, now);
}

void EntryController::setLimitShare(const OrganisationId& organisation, LimitShare share, TimePoint now)
{
    auto& organisationRuntime = m_state->runtime.organisation(organisation, now);
    organisationRuntime.share = share;
    organisationRuntime.hasExplicitShare = true;
    organisationRuntime.use->configure(organisationRuntime.limits, share, now);
}

void EntryController::step(TimePoint now)
{
    if (!m_state->refreshConfiguration(now))
        m_state->runtime.refreshAvailable(now);
    m_state->runtime.refreshShares(now);
    m_state->step(now);
}

std::optional<TimePoint> EntryController::nextWake() const
{
    std::optional<TimePoint> out;
    if (!m_state->timers.empty())
        out = m_state->timers.begin()->first;
    for (const auto& pool : m_state->blackboard.pools) {
        for (const auto n : pool.waiting) {
            if (n > 0)
                out = std::min(out.value_or(TimePoint::max()), m_state->steppedAt + waitingCheckInterval);
        }
    }
    return out;
}

std::vector<Command> EntryController::takeCommands() { return std::exchange(m_state->commands, {}); }

std::vector<RequestOutcome> EntryController::takeOutcomes() { return std::exchange(m_state->outcomes, {}); }

size_t EntryController::openRequests() const { return m_state->requests.size(); }

const EntryCounters& EntryController::counters() const { return m_state->counters; }

} // namespace lentilbay
