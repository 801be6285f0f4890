// From the arrival of a request to its place in a queue, or its refusal at once.
#include "EntryState.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {
namespace {

std::optional<Duration> answerPromise(const Arrival& arrival, const Tier& tier, const Service& service)
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

bool EntryController::State::mayArrive(const Arrival& arrival)
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
    const auto part = runtime.answerParts.expected(arrival.organisation, arrival.service);
    out.answerTokens
        = { .mean = part.mean * arrival.maxAnswerTokens, .spread = part.spread * arrival.maxAnswerTokens };
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
    if (auto promise = answerPromise(arrival, tier, service))
        out.deadline = now + *promise;
    if (tier.firstTokenWithin)
        out.firstTokenDeadline = now + *tier.firstTokenWithin;
    out.expected = expectedWork(arrival, service);
    out.organisation = &runtime.organisation(arrival.organisation, now);
    out.pool = runtime.findPool(arrival.service);
    out.arrival = std::move(arrival);
    return out;
}

bool EntryController::State::withinLimits(const Arrival& arrival, const ExpectedWork& expected, TimePoint now)
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
    assert(!find(arrival.id) && "request ids are unique");
    if (!mayArrive(arrival))
        return;
    auto request = makeRequest(std::move(arrival), now);
    if (!withinLimits(request.arrival, request.expected, now))
        return;
    request.organisation->retries->firstAttempt(now);
    const auto id = request.arrival.id;
    auto& stored = requests.emplace(id, std::move(request)).first->second;
    bySequence.emplace(stored.sequence, &stored);
    enqueue(stored, now);
    const bool isLate = !isInTime(stored, now, predictBest(stored, -options.refusalSigmas));
    if (stored.sheddable && isLate && (isHopeless(stored) || mayShed(stored, now))) {
        refuse(stored,
            { .code = ResultCode::DeadlineInfeasible, .detail = "no endpoint is fast enough, even idle" },
            Ran::No, now);
        return;
    }
    boundQueue(*stored.pool, stored, now);
}

void EntryController::State::boundQueue(PoolRuntime& pool, OpenRequest& arrived, TimePoint now)
{
    const double mostWork = options.maxWaitingSeconds * std::max(1U, pool.configuredSlots);
    const auto isFull = [&] {
        return pool.ready.size() + pool.unclaimed.size() > options.maxWaiting
            || pool.ready.work() + pool.unclaimed.work() > mostWork;
    };
    if (!isFull())
        return;
    // The one that would be served last goes, and never for the sake of one of a lower tier.
    const auto* last = pool.ready.last();
    const auto* lastUnclaimed = pool.unclaimed.last();
    if (!last || (lastUnclaimed && lastUnclaimed->rank > last->rank))
        last = lastUnclaimed;
    auto& displaced = last ? *bySequence.at(last->sequence) : arrived;
    if (displaced.sheddable && mayShed(displaced, now)) {
        refuse(displaced, { .code = ResultCode::QueueFull, .detail = "the queue is full" }, Ran::No, now);
    }
}

} // namespace lentilbay
