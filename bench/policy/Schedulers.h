// The compared schedulers: lentilbay's entry controller and three baseline schedulers.
#pragma once

#include "Simulation.h"

#include "lentilbay/Control/EntryController.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lentilbay::bench {

/// The entry controller of a single daemon, which is granted the slots that each endpoint is learned to serve
/// without slowing down, or the configured slots until then.
class EntryScheduler {
public:
    EntryScheduler(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t seed);

    void arrive(size_t request, TimePoint now);
    void tokens(size_t request, uint32_t n, TimePoint now);
    void ended(size_t request, uint32_t cachedTokens, TimePoint now);
    void step(TimePoint now);

    const EntryCounters& counters() const { return m_entry.counters(); }
    /// The number of refused or cancelled requests by result code.
    const std::map<ResultCode, uint64_t>& refusals() const { return m_refusals; }

private:
    void grant(TimePoint now);
    /// Executes the controller's commands until it issues no more.
    void execute(TimePoint now);
    void execute(const ClaimCommand& command, TimePoint now);
    void execute(const DispatchCommand& command, TimePoint now);
    void execute(const CancelCommand& command, TimePoint now);
    void execute(const RefuseCommand& command, TimePoint now);

    const Scenario& m_scenario;
    EngineFleet& m_fleet;
    Blackboard m_blackboard;
    EntryController m_entry;
    std::unordered_map<RequestId, size_t> m_requests;
    std::map<ResultCode, uint64_t> m_refusals;
    /// Pending claims with the time at which each succeeds, in that order.
    std::deque<std::pair<TimePoint, RequestId>> m_claims;
    TimePoint m_nextGrantAt {};
};

/// The base of the baseline schedulers. A request that has not ended by its deadline is cancelled or refused
/// then, as if its client had disconnected.
class BaselineScheduler {
public:
    BaselineScheduler(const Workload& workload, const Scenario& scenario, EngineFleet& fleet);

    void tokens(size_t, uint32_t, TimePoint) { }

protected:
    /// Calls `onExpired` for each request whose deadline has passed, and forgets its deadline.
    template <class OnExpired> void expire(TimePoint now, OnExpired onExpired)
    {
        while (!m_deadlines.empty() && m_deadlines.begin()->first < now) {
            onExpired(m_deadlines.begin()->second);
            m_deadlines.erase(m_deadlines.begin());
        }
    }

    const Scenario& m_scenario;
    EngineFleet& m_fleet;
    /// The engines that serve each service.
    std::map<ServiceId, std::vector<size_t>> m_enginesByService;
    std::set<std::pair<TimePoint, size_t>> m_deadlines;
};

/// Sends each request on arrival to the next engine of its service.
class RoundRobin : public BaselineScheduler {
public:
    RoundRobin(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t)
        : BaselineScheduler(workload, scenario, fleet)
    {
    }

    void arrive(size_t request, TimePoint now);
    void ended(size_t, uint32_t, TimePoint) { }
    void step(TimePoint now);

private:
    std::map<ServiceId, size_t> m_next;
};

/// Sends each request on arrival to the engine with the lowest reported load; ties are broken at random.
class LeastReportedLoad : public BaselineScheduler {
public:
    LeastReportedLoad(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t seed)
        : BaselineScheduler(workload, scenario, fleet)
        , m_random(seed)
    {
    }

    void arrive(size_t request, TimePoint now);
    void ended(size_t, uint32_t, TimePoint) { }
    void step(TimePoint now);

private:
    Random m_random;
};

/// Queues requests until an engine has a free slot; serves higher tiers first and each tier in order of
/// arrival. Does not check before dispatch whether a deadline can be met.
class StrictPriority : public BaselineScheduler {
public:
    StrictPriority(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t)
        : BaselineScheduler(workload, scenario, fleet)
        , m_inFlight(fleet.engineCount())
        , m_slots(fleet.engineCount())
    {
        for (size_t i = 0; i < m_slots.size(); ++i)
            m_slots[i] = workload.configuration.endpoints[i].slots;
    }

    void arrive(size_t request, TimePoint now);
    void ended(size_t request, uint32_t, TimePoint now);
    void step(TimePoint now);

private:
    std::map<int, std::deque<size_t>> m_waiting;
    std::vector<uint32_t> m_inFlight;
    std::vector<uint32_t> m_slots;
};

} // namespace lentilbay::bench
