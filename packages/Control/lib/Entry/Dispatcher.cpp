// Dispatch: selects the next request from the queues and the endpoint that serves it.
#include "EntryState.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// Maximum number of endpoints compared for one request; a random sample if more are available.
constexpr size_t maxCandidates = 16;
/// How long a request is deferred in the hope of a faster endpoint before it is considered again.
constexpr Duration deferralTime = std::chrono::milliseconds(10);
/// An endpoint gets no request while its expected prefill backlog is longer than this.
constexpr Duration maxPrefillBacklog = std::chrono::milliseconds(400);
constexpr Duration planInterval = std::chrono::milliseconds(100);
constexpr Duration planIntervalPerRequest = std::chrono::microseconds(20);

} // namespace

void EntryController::State::deferRequest(OpenRequest& request, TimePoint until)
{
    if (request.phase == RequestPhase::Waiting)
        dequeue(request, false);
    countWaiting(request, true);
    request.phase = RequestPhase::Deferred;
    setTimer(request, request.deadline ? std::min(until, *request.deadline) : until);
}

bool EntryController::State::mayUse(const OpenRequest& request, EndpointRuntime& endpoint, TimePoint now)
{
    if (endpoint.position == noPosition || &endpoint == request.failedEndpoint)
        return false;
    const auto& state = runtime.stateOf(endpoint);
    if (state.freeSlots(now, request.rank) == 0 || state.inFlightTotal() >= std::max(1U, endpoint.slots))
        return false;
    // Beyond this backlog, a request waits in the queue here, where more urgent ones can still overtake it.
    if (endpoint.prefillEndsAt > now + maxPrefillBacklog)
        return false;
    return endpoint.breaker.allows(now) && !endpoint.isStraggler;
}

EndpointRuntime* EntryController::State::chooseEndpoint(const OpenRequest& request, TimePoint now)
{
    auto& pool = *request.pool;
    const auto hits = runtime.prefixes.find(request.arrival.prefixHashes, now);
    std::array<RouteCandidate, maxCandidates + 4> candidates;
    std::array<EndpointRuntime*, maxCandidates + 4> endpoints {};
    size_t n = 0;
    const auto consider = [&](EndpointRuntime& endpoint) {
        if (n >= candidates.size() || !mayUse(request, endpoint, now))
            return;
        double cached = 0;
        for (const auto& hit : hits)
            cached = hit.endpoint == endpoint.number ? hit.fraction : cached;
        endpoints[n] = &endpoint;
        candidates[n++] = candidateOf(endpoint, cached, now);
    };
    for (const auto& hit : hits) {
        auto* endpoint = runtime.endpointOf(hit.endpoint);
        if (pool.available.size() > maxCandidates && endpoint->position != noPosition
            && std::find(endpoint->pools.begin(), endpoint->pools.end(), &pool) != endpoint->pools.end())
            consider(*endpoint);
    }
    size_t at = pool.available.size() > maxCandidates ? random.below(pool.available.size()) : 0;
    for (size_t left = pool.available.size(); left > 0 && n < maxCandidates; --left) {
        at %= pool.available.size();
        auto* endpoint = pool.available[at];
        if (endpoint->position == noPosition || runtime.stateOf(*endpoint).freeSlots(now) == 0) {
            if (endpoint->position != noPosition)
                pool.isAvailable[endpoint->position] = false;
            pool.available[at] = pool.available.back();
            pool.available.pop_back();
            continue;
        }
        consider(*endpoint);
        ++at;
    }
    const auto best = chooseRoute(request.expected, std::span(candidates.data(), n), runtime.weights);
    return best < n ? endpoints[best] : nullptr;
}

void EntryController::State::dispatch(OpenRequest& request, EndpointRuntime& endpoint, TimePoint now)
{
    dequeue(request, true);
    request.phase = RequestPhase::Connecting;
    request.slotTakenAt = now;
    request.cachedFraction = 0;
    for (const auto& hit : runtime.prefixes.find(request.arrival.prefixHashes, now)) {
        if (hit.endpoint == endpoint.number)
            request.cachedFraction = hit.fraction;
    }
    takeSlot(request, endpoint);
    if (request.failedConnections == 0)
        endpoint.retries->firstAttempt(now);
    endpoint.breaker.sent(now);
    request.queuedPrefillSeconds = toSeconds(std::max(endpoint.prefillEndsAt - now, Duration::zero()));
    const double prefill = request.expected.promptTokens * (1 - request.cachedFraction);
    endpoint.prefillEndsAt
        = std::max(now, endpoint.prefillEndsAt) + fromSeconds(prefill * endpoint.speed.secondsPerPromptToken);
    setTimer(request, request.deadline.value_or(TimePoint::max()));
    commands.emplace_back(DispatchCommand { .id = request.arrival.id, .endpoint = endpoint.name });
}

void EntryController::State::requestClaims(PoolRuntime& pool, TimePoint now)
{
    uint32_t slots = 0;
    for (size_t i = 0; i < std::min(pool.available.size(), maxCandidates); ++i)
        slots += runtime.stateOf(*pool.available[i]).freeSlots(now);
    while (pool.pendingClaims < slots && !pool.unclaimed.empty()) {
        auto& request = *bySequence.at(pool.unclaimed.front()->sequence);
        dequeue(request, false);
        request.phase = RequestPhase::Claiming;
        ++pool.pendingClaims;
        setTimer(request, request.deadline.value_or(TimePoint::max()));
        commands.emplace_back(ClaimCommand { .id = request.arrival.id });
    }
}

bool EntryController::State::dispatchFront(PoolRuntime& pool, TimePoint now)
{
    auto& request = *bySequence.at(pool.ready.front()->sequence);
    const bool isInfeasible
        = request.sheddable && !isInTime(request, now, predictBest(request, -options.refusalSigmas));
    if (isInfeasible && mayShed(request, now)) {
        refuse(request,
            { .code = ResultCode::DeadlineInfeasible, .detail = "the deadline cannot be met any more" },
            Executed::No, now);
        return true;
    }
    auto* endpoint = chooseEndpoint(request, now);
    if (!endpoint && request.failedEndpoint) {
        // No other endpoint has a free slot, so retry the one that failed.
        request.failedEndpoint = nullptr;
        endpoint = chooseEndpoint(request, now);
    }
    if (!endpoint)
        return false;
    const auto latest = latestStart(request, 0);
    const bool mayWait = latest && now + deferralTime < *latest;
    if (mayWait && !isInTime(request, now, predict(request, *endpoint, 0, now))) {
        deferRequest(request, now + deferralTime);
        return true;
    }
    dispatch(request, *endpoint, now);
    return true;
}

PoolRuntime* EntryController::State::nextPool(const std::set<const PoolRuntime*>& blocked) const
{
    PoolRuntime* best = nullptr;
    const QueuedRequest* bestFront = nullptr;
    for (auto* pool : const_cast<Runtime&>(runtime).pools()) {
        if (pool->ready.empty() || pool->available.empty() || blocked.contains(pool))
            continue;
        const auto* front = pool->ready.front();
        if (!bestFront
            || std::tie(front->rank, front->orderBy) < std::tie(bestFront->rank, bestFront->orderBy)) {
            best = pool;
            bestFront = front;
        }
    }
    return best;
}

void EntryController::State::dispatchWaiting(TimePoint now)
{
    if (blackboard.fenced)
        return;
    for (auto* pool : runtime.pools()) {
        if (!pool->available.empty() && !pool->unclaimed.empty())
            requestClaims(*pool, now);
    }
    std::set<const PoolRuntime*> blocked;
    while (auto* pool = nextPool(blocked)) {
        if (!dispatchFront(*pool, now))
            blocked.insert(pool);
    }
}

const QueuedRequest* EntryController::State::findProbe(
    const PoolRuntime& pool, const EndpointRuntime& endpoint, TimePoint now) const
{
    const auto& state = blackboard.endpoints[endpoint.position];
    const auto isAdmitted = [&](const QueuedRequest& it) { return state.freeSlots(now, it.rank) > 0; };
    const double slowness = endpoint.estimate.slowness();
    const auto* harmless = pool.ready.shortestInLowestTier([&](const QueuedRequest& it) {
        return isAdmitted(it) && (!it.deadline || now + fromSeconds(it.work * slowness) <= *it.deadline);
    });
    if (harmless || !endpoint.estimate.mustProbe(now))
        return harmless;
    return pool.ready.shortestInLowestTier(isAdmitted);
}

void EntryController::State::probeStragglers(PoolRuntime& pool, TimePoint now)
{
    for (auto* endpoint : pool.endpoints) {
        if (!endpoint->isStraggler || !endpoint->activeRequests.empty() || !endpoint->estimate.mayProbe(now)
            || !endpoint->breaker.allows(now))
            continue;
        if (const auto* probe = findProbe(pool, *endpoint, now)) {
            endpoint->estimate.probeSent(now);
            dispatch(*bySequence.at(probe->sequence), *endpoint, now);
        }
    }
}

void EntryController::State::planQueues(TimePoint now)
{
    for (auto* pool : runtime.pools()) {
        if (now < pool->nextPlanAt)
            continue;
        const auto n = static_cast<int64_t>(pool->ready.size());
        pool->nextPlanAt = now + planInterval + planIntervalPerRequest * n;
        runtime.refreshSpeeds(*pool);
        uint32_t higher = 0;
        for (int rank = 0; rank < maxTiers; ++rank) {
            const double slots = pool->grantedSlots > higher ? pool->grantedSlots - higher : 1;
            pool->ready.plan(rank, slots * 0.4, now);
            higher += pool->served[rank];
        }
        if (!blackboard.fenced)
            probeStragglers(*pool, now);
    }
}

} // namespace lentilbay
