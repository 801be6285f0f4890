// Admission: validates an arriving request and either queues it or refuses it immediately.
#include "EntryState.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {
namespace {

std::optional<Duration> answerTimeLimit(const Arrival& arrival, const Tier& tier, const Service& service)
{
    if (arrival.deadline && tier.answerWithin)
        return std::min(*arrival.deadline, *tier.answerWithin);
    if (arrival.deadline)
        return arrival.deadline;
    return tier.answerWithin ? tier.answerWithin : service.deadline;
}

} // namespace

void EntryController::State::refuseArrival(
    const Arrival& arrival, Failure failure, std::optional<Duration> retryAfter)
{
    const auto code = failure.code;
    commands.emplace_back(
        RefuseCommand { .id = arrival.id, .failure = std::move(failure), .retryAfter = retryAfter });
    outcomes.push_back(
        { .id = arrival.id, .code = code, .tier = arrival.tier, .promptTokens = arrival.promptTokens });
}

bool EntryController::State::validateArrival(const Arrival& arrival)
{
    if (blackboard.fenced) {
        refuseArrival(arrival, { .code = ResultCode::Fenced, .detail = "the daemon is fenced" });
        return false;
    }
    if (blackboard.draining) {
        refuseArrival(arrival, { .code = ResultCode::Draining, .detail = "the daemon is leaving" });
        return false;
    }
    if (!runtime.findTier(arrival.tier)) {
        refuseArrival(arrival, { .code = ResultCode::TierNotAllowed, .detail = "the tier is not known" });
        return false;
    }
    if (!runtime.findService(arrival.service) || !runtime.findPool(arrival.service)) {
        refuseArrival(
            arrival, { .code = ResultCode::NoEndpoint, .detail = "no endpoint offers the service" });
        return false;
    }
    return true;
}

ExpectedWork EntryController::State::expectedWork(const Arrival& arrival, const Service& service) const
{
    ExpectedWork out;
    if (service.kind == ServiceKind::Plain) {
        out.plainSeconds = runtime.plainSeconds.expected(arrival.organisation, arrival.service);
        return out;
    }
    out.promptTokens = arrival.promptTokens;
    if (arrival.maxAnswerTokens == 0) {
        out.answerTokens = runtime.answerTokens.expected(arrival.organisation, arrival.service);
        return out;
    }
    const auto fraction = runtime.answerFractions.expected(arrival.organisation, arrival.service);
    out.answerTokens = { .mean = fraction.mean * arrival.maxAnswerTokens,
        .spread = fraction.spread * arrival.maxAnswerTokens };
    return out;
}

OpenRequest EntryController::State::makeRequest(Arrival arrival, TimePoint now)
{
    const auto& tier = *runtime.findTier(arrival.tier);
    const auto& service = *runtime.findService(arrival.service);
    OpenRequest out;
    out.sequence = nextSequence++;
    out.rank = tier.rank;
    out.goodputWeight = tier.goodputWeight;
    out.sheddable = tier.sheddable;
    out.idempotent = service.idempotent;
    out.preemptible = tier.preemptible && service.idempotent;
    out.needsClaim = !service.idempotent || !arrival.idempotencyKey.empty();
    out.arrivedAt = now;
    if (auto timeLimit = answerTimeLimit(arrival, tier, service))
        out.deadline = now + *timeLimit;
    if (tier.firstTokenWithin)
        out.firstTokenDeadline = now + *tier.firstTokenWithin;
    out.expected = expectedWork(arrival, service);
    out.organisation = &runtime.organisation(arrival.organisation, now);
    out.pool = runtime.findPool(arrival.service);
    out.arrival = std::move(arrival);
    return out;
}

bool EntryController::State::reserveQuota(const Arrival& arrival, const ExpectedWork& expected, TimePoint now)
{
    auto& organisation = runtime.organisation(arrival.organisation, now);
    const auto refusal = organisation.use->admit(expected.promptTokens + expected.answerTokens.mean, now);
    if (!refusal)
        return true;
    refuseArrival(arrival, { .code = refusal->code, .detail = "the organisation's limit is used up" },
        refusal->retryAfter);
    return false;
}

void EntryController::State::arrive(Arrival arrival, TimePoint now)
{
    assert(!find(arrival.id) && "request ids must be unique");
    if (!validateArrival(arrival))
        return;
    auto request = makeRequest(std::move(arrival), now);
    if (!reserveQuota(request.arrival, request.expected, now))
        return;
    request.organisation->retries->firstAttempt(now);
    const auto id = request.arrival.id;
    auto& stored = requests.emplace(id, std::move(request)).first->second;
    bySequence.emplace(stored.sequence, &stored);
    enqueue(stored, now);
    const bool isLate = !isInTime(stored, now, predictBest(stored, -options.refusalSigmas));
    if (stored.sheddable && isLate && (isInfeasible(stored) || mayShed(stored, now))) {
        refuse(stored,
            { .code = ResultCode::DeadlineInfeasible, .detail = "no endpoint is fast enough, even idle" },
            Executed::No, now);
        return;
    }
    enforceQueueLimit(*stored.pool, stored, now);
}

void EntryController::State::enforceQueueLimit(PoolRuntime& pool, OpenRequest& arrived, TimePoint now)
{
    const double maxWork = options.maxWaitingSeconds * std::max(1U, pool.configuredSlots);
    const auto isFull = [&] {
        return pool.ready.size() + pool.unclaimed.size() > options.maxWaiting
            || pool.ready.work() + pool.unclaimed.work() > maxWork;
    };
    if (!isFull())
        return;
    // Drop the request that would be served last, so that none is dropped in favour of a lower tier.
    const auto* last = pool.ready.last();
    const auto* lastUnclaimed = pool.unclaimed.last();
    if (!last || (lastUnclaimed && lastUnclaimed->rank > last->rank))
        last = lastUnclaimed;
    auto& dropped = last ? *bySequence.at(last->sequence) : arrived;
    if (dropped.sheddable && mayShed(dropped, now)) {
        refuse(dropped, { .code = ResultCode::QueueFull, .detail = "the queue is full" }, Executed::No, now);
    }
}

} // namespace lentilbay
