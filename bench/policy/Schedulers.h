// The schedulers that are compared: lentilbay's entry controller, and three plain ones.
#pragma once

#include "Simulation.h"

#include "lentilbay/Control/EntryController.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lentilbay::bench {

/// The entry controller of one daemon that is granted what each endpoint holds before it slows.
class EntryScheduler {
public:
    EntryScheduler(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t seed);

    void arrive(size_t request, TimePoint now);
    void tokens(size_t request, uint32_t n, TimePoint now);
    void ended(size_t request, uint32_t cachedTokens, TimePoint now);
    void step(TimePoint now);

    const EntryCounters& counters() const { return m_entry.counters(); }
    /// Why requests were refused or cancelled.
    const std::map<ResultCode, uint64_t>& refusals() const { return m_refusals; }

private:
    void grant(TimePoint now);
    void carryOut(TimePoint now);
    void carryOut(const ClaimCommand& command, TimePoint now);
    void carryOut(const DispatchCommand& command, TimePoint now);
    void carryOut(const CancelCommand& command, TimePoint now);
    void carryOut(const RefuseCommand& command, TimePoint now);

    const Scenario& m_scenario;
    EngineFleet& m_fleet;
    Blackboard m_blackboard;
    EntryController m_entry;
    std::unordered_map<RequestId, size_t> m_requests;
    std::map<ResultCode, uint64_t> m_refusals;
    std::deque<std::pair<TimePoint, RequestId>> m_claims;
    TimePoint m_grantAt {};
};

/// What the plain schedulers share: callers hang up at their deadline, and what runs then is stopped.
class PlainScheduler {
public:
    PlainScheduler(const Workload& workload, const Scenario& scenario, EngineFleet& fleet);

    void tokens(size_t, uint32_t, TimePoint) { }

protected:
    /// Gives the requests whose deadline has passed to `hangUp`.
    template <class HangUp> void expire(TimePoint now, HangUp hangUp)
    {
        while (!m_deadlines.empty() && m_deadlines.begin()->first < now) {
            hangUp(m_deadlines.begin()->second);
            m_deadlines.erase(m_deadlines.begin());
        }
    }

    const Scenario& m_scenario;
    EngineFleet& m_fleet;
    /// The engines that offer a service.
    std::map<ServiceId, std::vector<size_t>> m_offers;
    std::set<std::pair<TimePoint, size_t>> m_deadlines;
};

/// Sends each request at once to the next engine.
class RoundRobin : public PlainScheduler {
public:
    RoundRobin(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t)
        : PlainScheduler(workload, scenario, fleet)
    {
    }

    void arrive(size_t request, TimePoint now);
    void ended(size_t, uint32_t, TimePoint) { }
    void step(TimePoint now);

private:
    std::map<ServiceId, size_t> m_next;
};

/// Sends each request at once to the engine whose last load report is the least.
class LeastReportedLoad : public PlainScheduler {
public:
    LeastReportedLoad(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t seed)
        : PlainScheduler(workload, scenario, fleet)
        , m_random(seed)
    {
    }

    void arrive(size_t request, TimePoint now);
    void ended(size_t, uint32_t, TimePoint) { }
    void step(TimePoint now);

private:
    Random m_random;
};

/// Holds requests back until an engine has a slot, higher tiers first, in the order of arrival; looks at no
/// deadline before it sends.
class StrictPriority : public PlainScheduler {
public:
    StrictPriority(const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t)
        : PlainScheduler(workload, scenario, fleet)
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
