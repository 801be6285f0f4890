// The parts of the entry controller: its members are defined in the .cpp files of this folder, one job each.
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

    // Lifecycle.cpp: queues, slots, timers, and the one outcome.
    OpenRequest* find(const RequestId& id);
    void setTimer(OpenRequest& request, TimePoint at);
    void enqueue(OpenRequest& request, TimePoint now);
    /// Takes it out of the queue it is in, if any.
    void dequeue(OpenRequest& request, bool isServed);
    void countWaiting(const OpenRequest& request, bool isAdded);
    void takeSlot(OpenRequest& request, EndpointRuntime& endpoint);
    void releaseSlot(OpenRequest& request);
    void finish(OpenRequest& request, ResultCode code, Ran ran, TimePoint now);
    void refuse(OpenRequest& request, Failure failure, Ran ran, TimePoint now);
    void cancel(OpenRequest& request, Failure reason);
    void rehome(TimePoint now);

    // Admission.cpp: from the arrival to the queue.
    void arrive(Arrival arrival, TimePoint now);
    void refuseArrival(
        const Arrival& arrival, Failure failure, std::optional<Duration> retryAfter = std::nullopt);
    bool mayArrive(const Arrival& arrival);
    bool withinLimits(const Arrival& arrival, const ExpectedWork& expected, TimePoint now);
    OpenRequest makeRequest(Arrival arrival, TimePoint now);
    ExpectedWork expectedWork(const Arrival& arrival, const Service& service) const;
    void boundQueue(PoolRuntime& pool, OpenRequest& arrived, TimePoint now);

    // Prediction.cpp: what is expected of a request at an endpoint, and what is learned from it.
    RouteCandidate candidateOf(const EndpointRuntime& endpoint, double cachedFraction, TimePoint now) const;
    /// If it is sent there now.
    PredictedTimes predict(
        const OpenRequest& request, const EndpointRuntime& endpoint, double sigmas, TimePoint now) const;
    /// As it was predicted when it was sent to its endpoint.
    PredictedTimes predictRunning(const OpenRequest& request) const;
    /// The best that any endpoint of its pool could do if it were idle.
    PredictedTimes predictBest(const OpenRequest& request, double sigmas) const;
    bool isInTime(const OpenRequest& request, TimePoint start, const PredictedTimes& times) const;
    /// The last moment to start at the best endpoint.
    std::optional<TimePoint> latestStart(const OpenRequest& request, double sigmas) const;
    double remainingSeconds(const OpenRequest& request, TimePoint now) const;
    RunningWork runningWork(const OpenRequest& request, TimePoint now) const;
    void observeTokens(OpenRequest& request, uint32_t tokens, TimePoint now);
    void observeEnd(OpenRequest& request, TimePoint now);

    // Dispatcher.cpp: from the queue to an endpoint.
    void dispatchWaiting(TimePoint now);
    PoolRuntime* nextPool(const std::set<const PoolRuntime*>& blocked) const;
    /// False where the pool can dispatch nothing more now.
    bool dispatchFront(PoolRuntime& pool, TimePoint now);
    void askForClaims(PoolRuntime& pool, TimePoint now);
    EndpointRuntime* chooseEndpoint(const OpenRequest& request, TimePoint now);
    bool mayUse(const OpenRequest& request, EndpointRuntime& endpoint, TimePoint now);
    void dispatch(OpenRequest& request, EndpointRuntime& endpoint, TimePoint now);
    void setAside(OpenRequest& request, TimePoint until);
    /// The request that is sent to find out whether a straggler has recovered, or nullptr.
    const QueuedRequest* findProbe(
        const PoolRuntime& pool, const EndpointRuntime& endpoint, TimePoint now) const;
    void probeStragglers(PoolRuntime& pool, TimePoint now);
    void planQueues(TimePoint now);

    // Displacement.cpp: deadlines that come near, what gives way, and what may be refused.
    void runTimers(TimePoint now);
    void checkWaiting(OpenRequest& request, TimePoint now);
    void checkRunning(OpenRequest& request, TimePoint now);
    /// Whether a request may be refused for want of capacity: no work of a lower tier is served in its pool.
    bool mayShed(const OpenRequest& request, TimePoint now);
    /// Cancels work of a lower tier for the request; false where none may be.
    bool displaceFor(OpenRequest& request, TimePoint now);
    OpenRequest* findVictim(const OpenRequest& request, TimePoint now);
    void preempt(OpenRequest& victim, TimePoint now);
    void setUrgent(OpenRequest& request, bool isUrgent);
    /// Preempts what owners call back.
    void meetRecalls(TimePoint now);

    /// Follows the configuration; called before each event, so that positions of endpoints are the present
    /// ones.
    bool follow(TimePoint now);
    void step(TimePoint now);
};

} // namespace lentilbay
