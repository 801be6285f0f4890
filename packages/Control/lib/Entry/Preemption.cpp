// Deadlines: preemption of lower tiers, refusal of requests that miss their deadline, and timers.
#include "EntryState.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {
namespace {

/// How long information on a pool's occupancy is valid after it was requested.
constexpr Duration maxOccupancyAge = std::chrono::seconds(1);
/// Interval between checks of a waiting request that is close to its latest feasible start.
constexpr Duration urgentCheckInterval = std::chrono::milliseconds(25);
/// Minimum interval between two preemptions on behalf of the same request.
constexpr Duration preemptionInterval = std::chrono::milliseconds(200);
/// Upper bound of the time to connect within a region.
constexpr Duration maxConnectTime = std::chrono::milliseconds(20);
/// Interval between checks of a running request that is past its deadline.
constexpr Duration lateCheckInterval = std::chrono::milliseconds(250);
/// A first token indicates a slow endpoint once it takes longer than its expected time multiplied by this
/// factor, plus the margin.
constexpr double overdueFactor = 3;
constexpr double overdueMarginSeconds = 0.25;

bool isFresh(const PoolOccupancy& occupancy, TimePoint now)
{
    return occupancy.requestedAt && now - *occupancy.requestedAt <= maxOccupancyAge;
}

} // namespace

bool EntryController::State::mayShed(const OpenRequest& request, TimePoint now)
{
    const auto* state = blackboard.findPool(request.arrival.service);
    if (!state)
        return true;
    if (!isFresh(state->occupancy, now) || state->occupancy.lowestServedRank > request.rank)
        return false;
    for (int rank = request.rank + 1; rank < maxTiers; ++rank) {
        if (request.pool->served[rank] > 0)
            return false;
    }
    return true;
}

OpenRequest* EntryController::State::findVictim(const OpenRequest& request, TimePoint now)
{
    std::vector<RunningWork> anywhere;
    std::vector<RunningWork> useful;
    for (auto* endpoint : request.pool->endpoints) {
        const bool isUseful = !endpoint->isStraggler && endpoint->breaker.allows(now)
            && now < runtime.stateOf(*endpoint).grant.expiresAt && !runtime.stateOf(*endpoint).leaving
            && isInTime(request, now, predict(request, *endpoint, 0, now));
        for (const auto* it : endpoint->activeRequests) {
            if (it->rank <= request.rank || it->phase == RequestPhase::Cancelling)
                continue;
            anywhere.push_back(runningWork(*it, now));
            if (isUseful)
                useful.push_back(anywhere.back());
        }
    }
    const auto any = choosePreemptionVictim(anywhere, request.rank);
    if (!any)
        return nullptr;
    // Among requests of the lowest running tier, prefer one on an endpoint where the waiting request can meet
    // its deadline.
    const auto better = choosePreemptionVictim(useful, request.rank);
    const auto& choice
        = better && useful[*better].rank == anywhere[*any].rank ? useful[*better] : anywhere[*any];
    return bySequence.at(choice.sequence);
}

void EntryController::State::preempt(OpenRequest& victim, TimePoint now)
{
    ++counters.preempted;
    if (victim.phase == RequestPhase::Connecting) {
        victim.isRevoked = true;
        return;
    }
    counters.prefillTokensLost += static_cast<uint64_t>(runningWork(victim, now).prefilledTokens);
    cancel(victim, { .code = ResultCode::Preempted, .detail = "a higher tier took its place" });
}

bool EntryController::State::preemptFor(OpenRequest& request, TimePoint now)
{
    if (request.lastPreemptionAt && now - *request.lastPreemptionAt < preemptionInterval)
        return true;
    const auto* state = blackboard.findPool(request.arrival.service);
    auto* victim = findVictim(request, now);
    if (!victim || !state)
        return false;
    // While an even lower tier may be served elsewhere, the owner decides which requests are preempted.
    const bool isLowest = victim->rank == runtime.lowestRank()
        || (isFresh(state->occupancy, now) && state->occupancy.lowestServedRank <= victim->rank);
    if (!isLowest)
        return false;
    request.lastPreemptionAt = now;
    preempt(*victim, now);
    return true;
}

void EntryController::State::setUrgent(OpenRequest& request, bool isUrgent)
{
    auto* pool = blackboard.findPool(request.arrival.service);
    if (request.isUrgent == isUrgent || !pool)
        return;
    request.isUrgent = isUrgent;
    auto& n = pool->urgent[request.rank];
    if (isUrgent)
        ++n;
    else if (n > 0)
        --n;
}

void EntryController::State::applyRecalls(TimePoint now)
{
    for (auto& state : blackboard.pools) {
        const auto recall = std::exchange(state.recall, {});
        auto* pool = recall.slots > 0 ? runtime.findPool(state.service) : nullptr;
        for (uint32_t i = 0; pool && i < recall.slots; ++i) {
            std::vector<RunningWork> running;
            for (const auto* endpoint : pool->endpoints) {
                for (const auto* it : endpoint->activeRequests) {
                    if (it->rank > recall.forRank && it->phase != RequestPhase::Cancelling)
                        running.push_back(runningWork(*it, now));
                }
            }
            const auto victim = choosePreemptionVictim(running, recall.forRank);
            if (!victim)
                break;
            preempt(*bySequence.at(running[*victim].sequence), now);
        }
    }
}

void EntryController::State::checkWaiting(OpenRequest& request, TimePoint now)
{
    if (request.sheddable && !isInTime(request, now, predictBest(request, -options.refusalSigmas))
        && mayShed(request, now)) {
        refuse(request,
            { .code = ResultCode::DeadlineInfeasible, .detail = "the deadline cannot be met any more" },
            Executed::No, now);
        return;
    }
    setUrgent(request, !preemptFor(request, now));
    const auto next = now + urgentCheckInterval;
    setTimer(request, request.deadline ? std::min(next, *request.deadline) : next);
}

void EntryController::State::checkRunning(OpenRequest& request, TimePoint now)
{
    auto& endpoint = *request.endpoint;
    if (request.deadline && now >= *request.deadline) {
        const auto& pool = *request.pool;
        // Cancel only in favour of a waiting request of the same or a higher tier. Otherwise the slot would
        // go to a lower tier, and a higher tier would be shed for it.
        bool isWanted = false;
        for (int rank = 0; rank <= request.rank; ++rank)
            isWanted = isWanted || pool.ready.sizeOf(rank) > 0;
        const double rate = isWanted ? pool.answerWeight.mean() / std::max(1e-3, pool.slotSeconds.mean()) : 0;
        const auto work = runningWork(request, now);
        if (shouldCancelLate(work, rate, blackboard.configuration->objective) && mayShed(request, now)) {
            counters.prefillTokensLost += static_cast<uint64_t>(work.prefilledTokens);
            cancel(request,
                { .code = ResultCode::DeadlinePassedRunning, .detail = "the deadline passed while it ran" });
            return;
        }
        setTimer(request, now + lateCheckInterval);
        return;
    }
    const double expected = predictRunning(request).firstToken;
    const double elapsed = toSeconds(now - request.dispatchedAt);
    const auto last = request.deadline.value_or(TimePoint::max());
    if (request.firstTokenAt || expected <= 0) {
        setTimer(request, last);
        return;
    }
    const double overdueAfter = overdueFactor * expected + overdueMarginSeconds;
    if (elapsed < overdueAfter) {
        setTimer(request, std::min(last, request.dispatchedAt + fromSeconds(overdueAfter) + Duration(1)));
        return;
    }
    // Observe once per request, so that a single hung request does not mark the endpoint as a straggler.
    endpoint.estimate.observeSlowdown(elapsed / expected);
    setTimer(request, last);
}

void EntryController::State::expire(OpenRequest& request, TimePoint now)
{
    const auto* pool = blackboard.findPool(request.arrival.service);
    // Daemons that have not acknowledged a narrower grant may still hold one that admits a lower tier.
    const bool isKnown = pool && isFresh(pool->occupancy, now) && pool->occupancy.isKnown()
        && (pool->occupancy.lowestServedRank <= request.rank
            || pool->occupancy.lowestRunningRank > request.rank);
    // A slot that was taken too late to connect counts as no slot.
    const bool lackedSlot = request.phase == RequestPhase::Waiting
        || (request.phase == RequestPhase::Connecting && now - request.slotTakenAt < maxConnectTime);
    if (pool && !isKnown && lackedSlot) {
        refuse(request,
            { .code = ResultCode::OwnerUnreachable, .detail = "not all daemons could be asked in time" },
            Executed::No, now);
        return;
    }
    counters.shedWhileLowerServed += request.phase == RequestPhase::Waiting && !mayShed(request, now);
    refuse(request,
        { .code = ResultCode::DeadlinePassedWaiting, .detail = "the deadline passed in the queue" },
        Executed::No, now);
}

void EntryController::State::runTimers(TimePoint now)
{
    while (!timers.empty() && timers.begin()->first <= now) {
        auto& request = *bySequence.at(timers.begin()->second);
        setTimer(request, TimePoint::max());
        const bool isPast = request.deadline && *request.deadline <= now;
        if (isPast && request.phase < RequestPhase::Running) {
            expire(request, now);
            continue;
        }
        switch (request.phase) {
        case RequestPhase::Waiting:
            checkWaiting(request, now);
            break;
        case RequestPhase::Deferred:
            countWaiting(request, false);
            enqueue(request, now);
            break;
        case RequestPhase::Running:
            checkRunning(request, now);
            break;
        case RequestPhase::Claiming:
        case RequestPhase::Connecting:
        case RequestPhase::Cancelling:
            break;
        }
    }
}

} // namespace lentilbay
