// The owner's side of slot sharing: receives demand reports from entry daemons and leases slots to them.
//
// As long as an endpoint has one owner, the slots that entries may hold never exceed its capacity. An
// occupancy report names the lowest tier that is in flight or admitted by any outstanding grant. Until it
// expires, no grant admits a lower tier.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/EndpointOccupancy.h"
#include "lentilbay/Control/Ownership.h"
#include "lentilbay/Control/SlotLedger.h"
#include "lentilbay/Control/SlotMessages.h"
#include "lentilbay/Control/SlotOptions.h"
#include "lentilbay/Control/SlotPlan.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

class SlotOwner {
public:
    /// `blackboard` and `ownership` must outlive the owner.
    SlotOwner(Blackboard& blackboard, const Ownership& ownership, SlotOptions options);

    void demandReported(
        const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now);
    /// Handles the load that an owned endpoint reports about itself.
    void loadReported(const EndpointId& endpoint, const LoadReport& load, bool leaving, TimePoint now);
    /// Must be called once at the start and whenever Ownership::refresh() returns true.
    void ownershipChanged(TimePoint now);
    /// Plans slots and appends grant reports to the outbox.
    void step(TimePoint now);
    std::optional<TimePoint> nextWake() const { return m_nextWake; }

private:
    /// The pools and endpoints of this owner, indexed as in SlotProblem, with their current state.
    struct Domain {
        std::vector<ServiceId> pools;
        std::map<ServiceId, size_t> poolIndices;
        std::vector<const EndpointState*> endpoints;
        std::vector<uint32_t> capacities;
        /// By entry and endpoint.
        std::vector<std::vector<Commitment>> commitments;
    };

    Domain domainAt(TimePoint now);
    bool hasRecentLoad(const EndpointId& endpoint, TimePoint now) const;
    void updateOccupancy(Domain& domain, TimePoint now);
    SlotProblem problemOf(const Domain& domain) const;
    SlotProblem::Entry problemEntryOf(
        const DaemonId& id, const EntryRecord& entry, const Domain& domain, size_t entryIndex) const;
    void recordRecalls(const Domain& domain, const SlotPlan& plan, TimePoint now);
    std::vector<uint32_t> spareSlots(const Domain& domain, TimePoint now) const;
    int admittedRankOf(
        const EndpointState& state, const Domain& domain, const SlotPlan& plan, TimePoint now) const;
    GrantReport reportFor(size_t entryIndex, const EntryRecord& entry, const Domain& domain,
        const SlotPlan& plan, std::vector<uint32_t>& spare, TimePoint now) const;
    EndpointGrant grantOf(const EndpointState& state, uint32_t slots, int lowestRank, TimePoint now) const;
    std::vector<PoolOccupancyReport> occupancyReportsFor(size_t entryIndex, const EntryRecord& entry,
        const Domain& domain, const SlotPlan& plan, TimePoint now) const;
    PoolOccupancyReport occupancyReportOf(
        size_t pool, size_t entryIndex, const Domain& domain, const SlotPlan& plan, TimePoint now) const;
    bool isConclusive(const ServiceId& service, const Domain& domain, TimePoint now) const;
    void limitRanks(const GrantReport& report, TimePoint now);
    void send(const DaemonId& to, EntryRecord& entry, GrantReport report, TimePoint now);
    void planNextWake(TimePoint now);

    /// Until `until`, no grant admits a rank greater than `rank`, because an unexpired occupancy report
    /// states so.
    struct RankLimit {
        int rank = maxTiers - 1;
        TimePoint until;
    };

    Blackboard& m_blackboard;
    const Ownership& m_ownership;
    SlotOptions m_options;
    SlotLedger m_ledger;
    std::map<EndpointId, EndpointOccupancy> m_occupancy;
    /// When each endpoint last answered a load query of this daemon.
    std::map<EndpointId, TimePoint> m_lastLoadAt;
    TimePoint m_ownedSince {};
    /// Until then, grants of a previous owner that this daemon does not know may be outstanding.
    TimePoint m_unknownGrantsUntil {};
    std::map<ServiceId, RankLimit> m_rankLimits;
    /// Shared by all entries, so that sequences stay monotonic for an entry whose record was dropped.
    uint64_t m_lastSequence = 0;
    size_t m_firstEntry = 0;
    bool m_dirty = false;
    TimePoint m_plannedAt {};
    std::optional<TimePoint> m_nextWake;
};

} // namespace lentilbay
