// The implementation of the entry controller. The member functions are defined in the .cpp files of this
// directory, grouped by responsibility.
#pragma once

#include "lentilbay/Control/EntryController.h"

#include "RequestTable.h"
#include "Runtime.h"

#include "lentilbay/Policy/Preemption.h"

#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilbay {

struct EntryController::State {
    State(Blackboard& blackboard, EntryOptions options);

    Blackboard& blackboard;
    EntryOptions options;
    Random random;
    Runtime runtime;
    RequestTable requests;
    std::unordered_map<uint64_t, OpenRequest*> bySequence;
    std::set<std::pair<TimePoint, uint64_t>> timers;
    std::vector<Command> commands;
    std::vector<RequestOutcome> outcomes;
    uint64_t nextSequence = 0;
    EntryCounters counters;
    TimePoint steppedAt {};

    // Lifecycle.cpp: queues, slots, timers and the outcome.
    OpenRequest* find(const RequestId& id);
    void setTimer(OpenRequest& request, TimePoint at);
    void enqueue(OpenRequest& request, TimePoint now);
    /// Removes the request from its queue, if it is in one; `isServed` if it is being dispatched.
    void dequeue(OpenRequest& request, bool isServed);
    void countWaiting(const OpenRequest& request, bool isAdded);
    void takeSlot(OpenRequest& request, EndpointRuntime& endpoint);
    void releaseSlot(OpenRequest& request);
    void finish(OpenRequest& request, ResultCode code, Executed ran, TimePoint now);
    void refuse(OpenRequest& request, Failure failure, Executed ran, TimePoint now);
    void cancel(OpenRequest& request, Failure reason);
    /// Moves open requests to the present pools of their services, and refuses those that no endpoint can
    /// serve any more.
    void reassignPools(TimePoint now);

    // Admission.cpp: validation and queueing of new requests.
    void arrive(Arrival arrival, TimePoint now);
    void refuseArrival(
        const Arrival& arrival, Failure failure, std::optional<Duration> retryAfter = std::nullopt);
    /// Refuses the request and returns false if it cannot be accepted.
    bool validateArrival(const Arrival& arrival);
    /// Charges the request to its organisation's limits; refuses it and returns false if they are exceeded.
    bool reserveQuota(const Arrival& arrival, const ExpectedWork& expected, TimePoint now);
    OpenRequest makeRequest(Arrival arrival, TimePoint now);
    ExpectedWork expectedWork(const Arrival& arrival, const Service& service) const;
    /// Refuses a request if the pool's queues exceed their limits.
    void enforceQueueLimit(PoolRuntime& pool, OpenRequest& arrived, TimePoint now);

    // Prediction.cpp: predicted times of a request, and learning from its observed times.
    RouteCandidate candidateOf(const EndpointRuntime& endpoint, double cachedFraction, TimePoint now) const;
    /// The times of the request if it is dispatched to the endpoint now.
    PredictedTimes predict(
        const OpenRequest& request, const EndpointRuntime& endpoint, double sigmas, TimePoint now) const;
    /// The times that were predicted when the request was dispatched.
    PredictedTimes predictRunning(const OpenRequest& request) const;
    /// The times of the request at the fastest endpoint of its pool if that were idle.
    PredictedTimes predictBest(const OpenRequest& request, double sigmas) const;
    bool isInTime(const OpenRequest& request, TimePoint start, const PredictedTimes& times) const;
    /// Whether the request would miss its deadline even on an idle pool. The bound is conservative: it allows
    /// for a short answer and for endpoints that are faster while idle.
    bool isInfeasible(const OpenRequest& request) const;
    /// The latest start at the fastest endpoint that still meets all deadlines; empty if there are none.
    std::optional<TimePoint> latestStart(const OpenRequest& request, double sigmas) const;
    double remainingSeconds(const OpenRequest& request, TimePoint now) const;
    RunningWork runningWork(const OpenRequest& request, TimePoint now) const;
    void observeTokens(OpenRequest& request, uint32_t tokens, TimePoint now);
    void observeEnd(OpenRequest& request, TimePoint now);

    // Dispatcher.cpp: dispatch of waiting requests to endpoints.
    void dispatchWaiting(TimePoint now);
    PoolRuntime* nextPool(const std::set<const PoolRuntime*>& blocked) const;
    /// Returns false if the pool cannot dispatch any more requests now.
    bool dispatchFront(PoolRuntime& pool, TimePoint now);
    void requestClaims(PoolRuntime& pool, TimePoint now);
    EndpointRuntime* chooseEndpoint(const OpenRequest& request, TimePoint now);
    bool mayUse(const OpenRequest& request, EndpointRuntime& endpoint, TimePoint now);
    void dispatch(OpenRequest& request, EndpointRuntime& endpoint, TimePoint now);
    void deferRequest(OpenRequest& request, TimePoint until);
    /// The request to dispatch as a probe of whether a straggler has recovered, or nullptr.
    const QueuedRequest* findProbe(
        const PoolRuntime& pool, const EndpointRuntime& endpoint, TimePoint now) const;
    void probeStragglers(PoolRuntime& pool, TimePoint now);
    void planQueues(TimePoint now);

    // Preemption.cpp: deadlines, preemption and refusals.
    /// Refuses a request whose deadline passed before it was dispatched.
    void expire(OpenRequest& request, TimePoint now);
    void runTimers(TimePoint now);
    void checkWaiting(OpenRequest& request, TimePoint now);
    void checkRunning(OpenRequest& request, TimePoint now);
    /// Whether the request may be refused for lack of capacity, which requires that its pool serves no
    /// request of a lower tier.
    bool mayShed(const OpenRequest& request, TimePoint now);
    /// Preempts a request of a lower tier in favour of this one; returns false if there is none.
    bool preemptFor(OpenRequest& request, TimePoint now);
    OpenRequest* findVictim(const OpenRequest& request, TimePoint now);
    void preempt(OpenRequest& victim, TimePoint now);
    void setUrgent(OpenRequest& request, bool isUrgent);
    /// Preempts the requests that the owners' recalls demand.
    void applyRecalls(TimePoint now);

    /// Picks up a changed configuration; returns whether it had changed. Called before each event is handled,
    /// so that the indices of endpoints are up to date.
    bool refreshConfiguration(TimePoint now);
    void step(TimePoint now);
};

} // namespace lentilbay
