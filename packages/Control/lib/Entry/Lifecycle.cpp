// The life cycle of open requests: queues, slots, timers and the outcome.
#include "EntryState.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {
namespace {

/// A request without a deadline is queued as if it had this one, relative to its arrival.
constexpr Duration defaultOrderingDeadline = std::chrono::minutes(10);

} // namespace

EntryController::State::State(Blackboard& board, EntryOptions entryOptions)
    : blackboard(board)
    , options(entryOptions)
    , random(entryOptions.seed)
    , runtime(board)
{
}

OpenRequest* EntryController::State::find(const RequestId& id)
{
    auto it = requests.find(id);
    return it == requests.end() ? nullptr : &it->second;
}

void EntryController::State::setTimer(OpenRequest& request, TimePoint at)
{
    if (request.timerAt != TimePoint::max())
        timers.erase({ request.timerAt, request.sequence });
    request.timerAt = at;
    if (at != TimePoint::max())
        timers.emplace(at, request.sequence);
}

void EntryController::State::countWaiting(const OpenRequest& request, bool isAdded)
{
    auto* pool = blackboard.findPool(request.arrival.service);
    if (!pool)
        return;
    auto& n = pool->waiting[request.rank];
    if (isAdded)
        ++n;
    else if (n > 0)
        --n;
}

void EntryController::State::enqueue(OpenRequest& request, TimePoint now)
{
    assert(!request.holdsSlot() && "a waiting request must not hold a slot");
    request.cachedFraction = 0;
    for (const auto& hit : runtime.prefixes.find(request.arrival.prefixHashes, now))
        request.cachedFraction = std::max(request.cachedFraction, hit.fraction);
    request.phase = RequestPhase::Waiting;
    const QueuedRequest queued {
        .sequence = request.sequence,
        .rank = request.rank,
        .organisation = request.organisation->number,
        .weight = request.organisation->weight,
        .arrivedAt = request.arrivedAt,
        .orderBy = std::min(request.deadline.value_or(request.arrivedAt + defaultOrderingDeadline),
            request.firstTokenDeadline.value_or(TimePoint::max())),
        .deadline = request.deadline,
        .work = predictTimes(request.expected, request.pool->typical, runtime.weights).total,
    };
    auto& queue = request.needsClaim && !request.claimHeld ? request.pool->unclaimed : request.pool->ready;
    queue.push(queued);
    countWaiting(request, true);
    // Check early enough to preempt a request of a lower tier.
    const auto latest = latestStart(request, options.urgencySigmas);
    const auto checkAt = latest ? *latest - options.urgencyLead : TimePoint::max();
    setTimer(request, std::max(checkAt, now));
}

void EntryController::State::dequeue(OpenRequest& request, bool isServed)
{
    auto& pool = *request.pool;
    if (isServed) {
        pool.ready.serve(request.sequence);
    } else if (!pool.ready.remove(request.sequence) && !pool.unclaimed.remove(request.sequence)) {
        return;
    }
    countWaiting(request, false);
    setUrgent(request, false);
}

void EntryController::State::takeSlot(OpenRequest& request, EndpointRuntime& endpoint)
{
    request.endpoint = &endpoint;
    request.isRevoked = false;
    endpoint.activeRequests.push_back(&request);
    ++runtime.stateOf(endpoint).inFlight[request.rank];
    for (auto* pool : endpoint.pools)
        ++pool->served[request.rank];
}

void EntryController::State::releaseSlot(OpenRequest& request)
{
    auto* endpoint = std::exchange(request.endpoint, nullptr);
    if (!endpoint)
        return;
    std::erase(endpoint->activeRequests, &request);
    const bool wasServed = request.phase != RequestPhase::Cancelling;
    for (auto* pool : endpoint->pools) {
        if (wasServed && pool->served[request.rank] > 0)
            --pool->served[request.rank];
    }
    if (endpoint->position == noPosition)
        return;
    auto& state = runtime.stateOf(*endpoint);
    if (state.inFlight[request.rank] > 0)
        --state.inFlight[request.rank];
    runtime.markAvailable(*endpoint);
}

void EntryController::State::finish(OpenRequest& request, ResultCode code, Executed ran, TimePoint now)
{
    const bool wasDispatched = request.phase >= RequestPhase::Running;
    const bool firstTokenInTime = !request.firstTokenDeadline
        || (request.firstTokenAt && *request.firstTokenAt <= *request.firstTokenDeadline);
    const bool answerInTime = !request.deadline || now <= *request.deadline;
    outcomes.push_back({ .id = request.arrival.id,
        .code = code,
        .ran = ran,
        .endpoint = wasDispatched ? request.endpoint->name : EndpointId(),
        .tier = request.arrival.tier,
        .promptTokens = request.arrival.promptTokens,
        .answerTokens = request.answerTokens,
        .waited = (wasDispatched ? request.dispatchedAt : now) - request.arrivedAt,
        .total = now - request.arrivedAt,
        .inTime = code == ResultCode::Ok && firstTokenInTime && answerInTime });
    if (request.phase == RequestPhase::Deferred)
        countWaiting(request, false);
    else if (request.phase == RequestPhase::Waiting)
        dequeue(request, false);
    else if (request.phase == RequestPhase::Claiming)
        --request.pool->pendingClaims;
    releaseSlot(request);
    const double expectedTokens = request.expected.promptTokens + request.expected.answerTokens.mean;
    const double usedTokens
        = wasDispatched ? request.expected.promptTokens + static_cast<double>(request.answerTokens) : 0;
    request.organisation->use->finished(expectedTokens, usedTokens, now);
    setTimer(request, TimePoint::max());
    bySequence.erase(request.sequence);
    requests.erase(RequestId(request.arrival.id));
}

void EntryController::State::refuse(OpenRequest& request, Failure failure, Executed ran, TimePoint now)
{
    const auto code = failure.code;
    if (!request.callerGone) {
        commands.emplace_back(
            RefuseCommand { .id = request.arrival.id, .failure = std::move(failure), .ran = ran });
    }
    finish(request, code, ran, now);
}

void EntryController::State::cancel(OpenRequest& request, Failure reason)
{
    assert(request.phase == RequestPhase::Running && "only a running request can be cancelled");
    for (auto* pool : request.endpoint->pools) {
        if (pool->served[request.rank] > 0)
            --pool->served[request.rank];
    }
    request.phase = RequestPhase::Cancelling;
    request.cancelReason = reason;
    setTimer(request, TimePoint::max());
    commands.emplace_back(CancelCommand { .id = request.arrival.id, .reason = std::move(reason) });
}

void EntryController::State::reassignPools(TimePoint now)
{
    std::vector<uint64_t> unservable;
    std::set<const PoolRuntime*> referenced;
    for (auto& [id, request] : requests) {
        auto* pool = runtime.findPool(request.arrival.service);
        if (pool && pool != request.pool && request.phase == RequestPhase::Waiting) {
            dequeue(request, false);
            request.pool = pool;
            enqueue(request, now);
        } else if (pool && pool != request.pool) {
            if (request.phase == RequestPhase::Claiming) {
                --request.pool->pendingClaims;
                ++pool->pendingClaims;
            }
            request.pool = pool;
        } else if (!pool && request.phase < RequestPhase::Connecting) {
            unservable.push_back(request.sequence);
        }
        referenced.insert(request.pool);
    }
    std::sort(unservable.begin(), unservable.end());
    for (const auto sequence : unservable) {
        refuse(*bySequence.at(sequence),
            { .code = ResultCode::NoEndpoint, .detail = "no endpoint offers the service any more" },
            Executed::No, now);
    }
    runtime.prunePools(referenced);
}

} // namespace lentilbay
