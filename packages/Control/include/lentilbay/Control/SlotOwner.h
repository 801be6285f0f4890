// The owner's side of sharing slots: hears what entries hold and want, and leases slots to them.
//
// As long as an endpoint has one owner, what entries may hold never exceeds its slots. A verdict names the
// lowest tier that runs or that any grant still out admits, and no wider grant is given while it lives.
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
    /// Blackboard and ownership must outlive the owner.
    SlotOwner(Blackboard& blackboard, const Ownership& ownership, SlotOptions options);

    void demandReported(
        const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now);
    /// What an endpoint that this daemon owns said of itself.
    void loadReported(const EndpointId& endpoint, const LoadReport& load, bool leaving, TimePoint now);
    /// Call it after Ownership::refresh() returned true, and once at the start.
    void ownershipChanged(TimePoint now);
    /// Plans and appends grant reports to the outbox.
    void step(TimePoint now);
    std::optional<TimePoint> nextWake() const { return m_nextWake; }

private:
    /// The pools and endpoints of this owner, numbered as in SlotProblem, and what is known of them now.
    struct Domain {
        std::vector<ServiceId> pools;
        std::map<ServiceId, size_t> poolNumbers;
        std::vector<const EndpointState*> endpoints;
        std::vector<uint32_t> capacities;
        /// By entry and endpoint.
        std::vector<std::vector<Commitment>> commitments;
    };

    Domain domainAt(TimePoint now);
    bool wasHeard(const EndpointId& endpoint, TimePoint now) const;
    void noteOccupancy(Domain& domain, TimePoint now);
    SlotProblem problemOf(const Domain& domain) const;
    SlotProblem::Entry problemEntryOf(
        const DaemonId& id, const LedgerEntry& entry, const Domain& domain, size_t number) const;
    void noteRecalls(const Domain& domain, const SlotPlan& plan, TimePoint now);
    std::vector<uint32_t> spareSlots(const Domain& domain, TimePoint now) const;
    int admittedRankOf(
        const EndpointState& state, const Domain& domain, const SlotPlan& plan, TimePoint now) const;
    GrantReport reportFor(size_t number, const LedgerEntry& entry, const Domain& domain, const SlotPlan& plan,
        std::vector<uint32_t>& spare, TimePoint now) const;
    EndpointGrant grantOf(const EndpointState& state, uint32_t slots, int lowestRank, TimePoint now) const;
    std::vector<PoolVerdict> verdictsFor(size_t number, const LedgerEntry& entry, const Domain& domain,
        const SlotPlan& plan, TimePoint now) const;
    PoolVerdict verdictOf(
        size_t pool, size_t number, const Domain& domain, const SlotPlan& plan, TimePoint now) const;
    bool isSound(const ServiceId& service, const Domain& domain, TimePoint now) const;
    void holdRanks(const GrantReport& report, TimePoint now);
    void send(const DaemonId& to, LedgerEntry& entry, GrantReport report, TimePoint now);
    void planNextWake(TimePoint now);

    /// No grant admits a greater rank than this until then, because a live verdict says so.
    struct RankHold {
        int rank = maxTiers - 1;
        TimePoint until;
    };

    Blackboard& m_blackboard;
    const Ownership& m_ownership;
    SlotOptions m_options;
    SlotLedger m_ledger;
    std::map<EndpointId, EndpointOccupancy> m_occupancy;
    /// When each endpoint last answered this daemon.
    std::map<EndpointId, TimePoint> m_heardAt;
    TimePoint m_ownsSince {};
    /// Until then another owner's grants may be out that this one does not know.
    TimePoint m_strangersUntil {};
    std::map<ServiceId, RankHold> m_holds;
    /// One count for all entries, so that an entry that was forgotten still sees it rise.
    uint64_t m_lastSequence = 0;
    size_t m_turn = 0;
    bool m_dirty = false;
    TimePoint m_plannedAt {};
    std::optional<TimePoint> m_nextWake;
};

} // namespace lentilbay
