// Drives each request from its arrival to its one outcome.
#include "lentilbay/Control/EntryController.h"

#include "Entry/RequestTable.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <tuple>
#include <utility>

namespace lentilbay {
namespace {

/// Connections that may fail for one request before it is refused.
constexpr uint32_t maxFailedConnections = 4;

/// Orders waiting requests: tier, then deadline, then arrival.
struct QueuePosition {
    int rank = 0;
    TimePoint deadline = TimePoint::max();
    uint64_t sequence = 0;
    RequestId id;

    auto operator<=>(const QueuePosition& other) const
    {
        return std::tie(rank, deadline, sequence) <=> std::tie(other.rank, other.deadline, other.sequence);
    }
};

QueuePosition positionOf(const OpenRequest& request)
{
    return { .rank = request.rank,
        .deadline = request.deadline.value_or(TimePoint::max()),
        .sequence = request.sequence,
        .id = request.arrival.id };
}

std::optional<Duration> answerPromise(const Arrival& arrival, const Tier& tier, const Service& service)
{
    if (arrival.deadline && tier.answerWithin)
        return std::min(*arrival.deadline, *tier.answerWithin);
    if (arrival.deadline)
        return arrival.deadline;
    return tier.answerWithin ? tier.answerWithin : service.deadline;
}

} // namespace

struct EntryController::State {
    Blackboard& blackboard;
    EntryOptions options;
    Random random;
    RequestTable requests;
    std::set<QueuePosition> queue;
    std::set<std::pair<TimePoint, RequestId>> deadlines;
    std::vector<Command> commands;
    std::vector<RequestOutcome> outcomes;
    uint64_t nextSequence = 0;

    OpenRequest* find(const RequestId& id);
    void setPhase(OpenRequest& request, RequestPhase phase);
    void releaseSlot(const OpenRequest& request);
    void enqueue(OpenRequest& request);
    void dequeue(OpenRequest& request);
    void finish(OpenRequest& request, ResultCode code, Ran ran, TimePoint now);
    void refuse(OpenRequest& request, Failure failure, Ran ran, TimePoint now);
    void cancel(OpenRequest& request, Failure reason);
    void expire(TimePoint now);
    void dispatchWaiting(TimePoint now);
    void step(TimePoint now);
    void offer(OpenRequest& request, TimePoint now);
    EndpointState* chooseEndpoint(const OpenRequest& request, TimePoint now);
    bool acceptArrival(const Arrival& arrival, TimePoint now);
    void refuseUnknown(const Arrival& arrival, Failure failure);
};

OpenRequest* EntryController::State::find(const RequestId& id)
{
    auto it = requests.find(id);
    return it == requests.end() ? nullptr : &it->second;
}

void EntryController::State::enqueue(OpenRequest& request)
{
    request.phase = RequestPhase::Waiting;
    queue.insert(positionOf(request));
    if (auto* pool = blackboard.findPool(request.arrival.service))
        ++pool->waiting[request.rank];
}

void EntryController::State::dequeue(OpenRequest& request)
{
    if (queue.erase(positionOf(request)) == 0)
        return;
    if (auto* pool = blackboard.findPool(request.arrival.service); pool && pool->waiting[request.rank] > 0)
        --pool->waiting[request.rank];
}

void EntryController::State::releaseSlot(const OpenRequest& request)
{
    if (!request.holdsSlot())
        return;
    auto* endpoint = blackboard.findEndpointState(request.endpoint);
    if (endpoint && endpoint->inFlight[request.rank] > 0)
        --endpoint->inFlight[request.rank];
}

void EntryController::State::finish(OpenRequest& request, ResultCode code, Ran ran, TimePoint now)
{
    dequeue(request);
    releaseSlot(request);
    if (request.deadline)
        deadlines.erase({ *request.deadline, request.arrival.id });
    const bool dispatched = request.phase >= RequestPhase::Running;
    const bool firstInTime = !request.firstTokenDeadline
        || (request.firstTokenAt && *request.firstTokenAt <= *request.firstTokenDeadline);
    const bool wholeInTime = !request.deadline || now <= *request.deadline;
    outcomes.push_back({ .id = request.arrival.id,
        .code = code,
        .ran = ran,
        .endpoint = dispatched ? request.endpoint : EndpointId(),
        .tier = request.arrival.tier,
        .promptTokens = request.arrival.promptTokens,
        .answerTokens = request.answerTokens,
        .waited = (dispatched ? request.dispatchedAt : now) - request.arrivedAt,
        .total = now - request.arrivedAt,
        .inTime = code == ResultCode::Ok && firstInTime && wholeInTime });
    requests.erase(RequestId(request.arrival.id));
}

void EntryController::State::refuse(OpenRequest& request, Failure failure, Ran ran, TimePoint now)
{
    const auto code = failure.code;
    if (!request.callerGone)
        commands.emplace_back(
            RefuseCommand { .id = request.arrival.id, .failure = std::move(failure), .ran = ran });
    finish(request, code, ran, now);
}

void EntryController::State::cancel(OpenRequest& request, Failure reason)
{
    assert(request.phase == RequestPhase::Running && "only running work is cancelled");
    request.phase = RequestPhase::Cancelling;
    request.cancelReason = reason;
    commands.emplace_back(CancelCommand { .id = request.arrival.id, .reason = std::move(reason) });
}

void EntryController::State::expire(TimePoint now)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        auto* request = find(deadlines.begin()->second);
        assert(request && "each deadline belongs to an open request");
        deadlines.erase(deadlines.begin());
        if (request->phase < RequestPhase::Running) {
            refuse(*request,
                { .code = ResultCode::DeadlinePassedWaiting, .detail = "the deadline passed in the queue" },
                Ran::No, now);
            continue;
        }
        if (request->phase == RequestPhase::Running && request->idempotent)
            cancel(*request,
                { .code = ResultCode::DeadlinePassedRunning, .detail = "the deadline passed while it ran" });
    }
}

EndpointState* EntryController::State::chooseEndpoint(const OpenRequest& request, TimePoint now)
{
    auto* pool = blackboard.findPool(request.arrival.service);
    if (!pool)
        return nullptr;
    EndpointState* best = nullptr;
    // Its last connection failed; it is tried again only where no other has a slot.
    EndpointState* failedBefore = nullptr;
    for (const auto position : pool->endpoints) {
        auto& endpoint = blackboard.endpoints[position];
        if (endpoint.freeSlots(now) == 0)
            continue;
        if (endpoint.endpoint.name == request.endpoint) {
            failedBefore = &endpoint;
            continue;
        }
        if (!best || endpoint.inFlightTotal() < best->inFlightTotal())
            best = &endpoint;
    }
    return best ? best : failedBefore;
}

void EntryController::State::offer(OpenRequest& request, TimePoint now)
{
    auto* endpoint = chooseEndpoint(request, now);
    if (!endpoint)
        return;
    dequeue(request);
    if (request.needsClaim && !request.claimHeld) {
        request.phase = RequestPhase::Claiming;
        commands.emplace_back(ClaimCommand { .id = request.arrival.id });
        return;
    }
    request.phase = RequestPhase::Connecting;
    request.endpoint = endpoint->endpoint.name;
    ++endpoint->inFlight[request.rank];
    commands.emplace_back(DispatchCommand { .id = request.arrival.id, .endpoint = request.endpoint });
}

void EntryController::State::dispatchWaiting(TimePoint now)
{
    if (blackboard.fenced)
        return;
    std::vector<RequestId> order;
    for (const auto& position : queue)
        order.push_back(position.id);
    for (const auto& id : order)
        offer(*find(id), now);
}

void EntryController::State::refuseUnknown(const Arrival& arrival, Failure failure)
{
    const auto code = failure.code;
    commands.emplace_back(RefuseCommand { .id = arrival.id, .failure = std::move(failure) });
    outcomes.push_back(
        { .id = arrival.id, .code = code, .tier = arrival.tier, .promptTokens = arrival.promptTokens });
}

bool EntryController::State::acceptArrival(const Arrival& arrival, TimePoint)
{
    const auto& configuration = *blackboard.configuration;
    if (blackboard.fenced) {
        refuseUnknown(arrival, { .code = ResultCode::Fenced, .detail = "the daemon is fenced" });
        return false;
    }
    if (blackboard.draining) {
        refuseUnknown(arrival, { .code = ResultCode::Draining, .detail = "the daemon is leaving" });
        return false;
    }
    if (!findTier(configuration, arrival.tier)) {
        refuseUnknown(arrival, { .code = ResultCode::TierNotAllowed, .detail = "the tier is not known" });
        return false;
    }
    auto* pool = blackboard.findPool(arrival.service);
    if (!pool || pool->endpoints.empty() || !findService(configuration, arrival.service)) {
        refuseUnknown(
            arrival, { .code = ResultCode::NoEndpoint, .detail = "no endpoint offers the service" });
        return false;
    }
    if (queue.size() >= options.maxWaiting) {
        refuseUnknown(arrival, { .code = ResultCode::QueueFull, .detail = "the queue is full" });
        return false;
    }
    return true;
}

EntryController::EntryController(Blackboard& blackboard, EntryOptions options)
    : m_state(new State { .blackboard = blackboard, .options = options, .random = Random(options.seed) })
{
}

EntryController::~EntryController() = default;

void EntryController::arrive(Arrival arrival, TimePoint now)
{
    assert(!m_state->find(arrival.id) && "request ids are unique");
    if (!m_state->acceptArrival(arrival, now))
        return;
    const auto& configuration = *m_state->blackboard.configuration;
    const auto& tier = *findTier(configuration, arrival.tier);
    const auto& service = *findService(configuration, arrival.service);
    OpenRequest request;
    request.sequence = m_state->nextSequence++;
    request.rank = tier.rank;
    request.idempotent = service.idempotent;
    request.needsClaim = !service.idempotent || !arrival.idempotencyKey.empty();
    request.arrivedAt = now;
    if (auto promise = answerPromise(arrival, tier, service))
        request.deadline = now + *promise;
    if (tier.firstTokenWithin)
        request.firstTokenDeadline = now + *tier.firstTokenWithin;
    request.arrival = std::move(arrival);
    const auto id = request.arrival.id;
    auto& stored = m_state->requests.emplace(id, std::move(request)).first->second;
    if (stored.deadline)
        m_state->deadlines.emplace(*stored.deadline, id);
    m_state->enqueue(stored);
    m_state->step(now);
}

void EntryController::claimed(const RequestId& id, ClaimResult result, TimePoint now)
{
    auto* request = m_state->find(id);
    if (!request || request->phase != RequestPhase::Claiming)
        return;
    switch (result) {
    case ClaimResult::Held:
        request->claimHeld = true;
        m_state->enqueue(*request);
        break;
    case ClaimResult::HeldElsewhere:
        // The claims controller answers the caller, so no refusal is given here.
        m_state->finish(*request, ResultCode::ClaimInProgress, Ran::No, now);
        break;
    case ClaimResult::Unavailable:
        m_state->refuse(*request,
            { .code = ResultCode::ClaimUnavailable, .detail = "the claim could not be recorded" }, Ran::No,
            now);
        break;
    }
    m_state->step(now);
}

bool EntryController::mayDispatch(const RequestId& id, TimePoint now)
{
    auto* request = m_state->find(id);
    if (!request || request->phase != RequestPhase::Connecting)
        return false;
    if (request->deadline && *request->deadline <= now) {
        m_state->expire(now);
        return false;
    }
    const auto* endpoint = m_state->blackboard.findEndpointState(request->endpoint);
    const bool granted = endpoint && !endpoint->leaving && now < endpoint->grant.lapses;
    if (!granted || m_state->blackboard.fenced || now >= m_state->blackboard.workUntil) {
        m_state->releaseSlot(*request);
        request->endpoint = EndpointId();
        m_state->enqueue(*request);
        return false;
    }
    request->phase = RequestPhase::Running;
    request->dispatchedAt = now;
    return true;
}

void EntryController::connectFailed(const RequestId& id, TimePoint now)
{
    auto* request = m_state->find(id);
    if (!request || request->phase != RequestPhase::Connecting)
        return;
    if (++request->failedConnections >= maxFailedConnections) {
        m_state->refuse(*request,
            { .code = ResultCode::EndpointUnreachable, .detail = "no endpoint could be connected to" },
            Ran::No, now);
    } else {
        m_state->releaseSlot(*request);
        m_state->enqueue(*request);
    }
    m_state->step(now);
}

void EntryController::tokensArrived(const RequestId& id, uint32_t tokens, TimePoint now)
{
    auto* request = m_state->find(id);
    if (!request || request->phase < RequestPhase::Running)
        return;
    if (!request->firstTokenAt)
        request->firstTokenAt = now;
    request->answerTokens += tokens;
}

void EntryController::answerEnded(const RequestId& id, AnswerEnd end, TimePoint now)
{
    auto* request = m_state->find(id);
    if (!request || request->phase < RequestPhase::Running)
        return;
    const bool began = request->firstTokenAt.has_value();
    switch (end) {
    case AnswerEnd::Whole:
        m_state->finish(
            *request, request->callerGone ? ResultCode::CallerLeft : ResultCode::Ok, Ran::Partly, now);
        break;
    case AnswerEnd::Broken:
        m_state->refuse(*request, { .code = ResultCode::EndpointBroke, .detail = "the answer broke off" },
            began ? Ran::Partly : Ran::Unknown, now);
        break;
    case AnswerEnd::Refused:
        m_state->refuse(*request,
            { .code = ResultCode::EndpointRefused, .detail = "the endpoint refused the request" }, Ran::No,
            now);
        break;
    case AnswerEnd::Cancelled:
        m_state->finish(*request,
            request->cancelReason ? request->cancelReason->code : ResultCode::EndpointBroke, Ran::Partly,
            now);
        break;
    }
    m_state->step(now);
}

void EntryController::callerLeft(const RequestId& id, TimePoint now)
{
    auto* request = m_state->find(id);
    if (!request || request->callerGone)
        return;
    request->callerGone = true;
    if (request->phase < RequestPhase::Running) {
        m_state->finish(*request, ResultCode::CallerLeft, Ran::No, now);
    } else if (request->phase == RequestPhase::Running && !request->needsClaim) {
        m_state->cancel(*request, { .code = ResultCode::CallerLeft, .detail = "the caller left" });
    }
    m_state->step(now);
}

void EntryController::State::step(TimePoint now)
{
    expire(now);
    dispatchWaiting(now);
}

void EntryController::step(TimePoint now) { m_state->step(now); }

std::optional<TimePoint> EntryController::nextWake() const
{
    if (m_state->deadlines.empty())
        return std::nullopt;
    return m_state->deadlines.begin()->first;
}

std::vector<Command> EntryController::takeCommands() { return std::exchange(m_state->commands, {}); }

std::vector<RequestOutcome> EntryController::takeOutcomes() { return std::exchange(m_state->outcomes, {}); }

size_t EntryController::openRequests() const { return m_state->requests.size(); }

} // namespace lentilbay
