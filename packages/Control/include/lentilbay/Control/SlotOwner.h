// The owner's side of sharing slots: hears what entries hold and want, and leases slots to them.
//
// Source of soundness: the sum of what entries may hold never exceeds an endpoint's slots as long as there is
// one owner, because a grant counts until the entry has acknowledged a smaller one or it has lapsed. A
// verdict names the lowest tier that runs or that any grant still out admits, and no wider grant is given
// while it lives.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/Ownership.h"
#include "lentilbay/Control/SlotMessages.h"
#include "lentilbay/Control/SlotOptions.h"
#include "lentilbay/Control/SlotPlan.h"

#include <map>
#include <optional>
#include <vector>

namespace lentilbay {

class SlotOwner {
public:
    /// Blackboard and ownership must outlive the owner.
    SlotOwner(Blackboard& blackboard, const Ownership& ownership, SlotOptions options);

    void demandReported(const DaemonId& from, const DemandReport& report, TimePoint now);
    /// What an endpoint that this daemon owns said of itself.
    void loadReported(const EndpointId& endpoint, const LoadReport& load, bool leaving);
    /// Call it after Ownership::refresh() returned true, and once at the start.
    void ownershipChanged(TimePoint now);
    /// Plans and appends grant reports to the outbox.
    void step(TimePoint now);
    std::optional<TimePoint> nextWake() const { return m_nextWake; }

private:
    /// A grant report that the entry has not acknowledged yet.
    struct SentGrant {
        uint64_t sequence = 0;
        TimePoint lapses;
        std::vector<EndpointGrant> grants;
    };

    struct Recalled {
        ServiceId service;
        uint32_t slots = 0;
        TimePoint until;
    };

    struct Entry {
        DemandReport report;
        /// When the newest report came; grants that were given before it lapse grantLifetime later at most.
        TimePoint heardAt;
        std::vector<SentGrant> unacknowledged;
        std::vector<Recalled> recalled;
        TimePoint sentAt;
        bool owesAnswer = false;
        /// What the last report said, to see what is new.
        GrantReport last;
    };

    /// What an entry may hold of an endpoint, by all that the owner knows.
    struct Commitment {
        uint32_t slots = 0;
        /// The greatest rank that a grant still out admits, or -1 where none is out.
        int admittedRank = -1;
        UseByRank uses {};
    };

    /// The pools and endpoints of this owner, numbered as in SlotProblem.
    struct Domain {
        std::vector<ServiceId> pools;
        std::map<ServiceId, size_t> poolNumbers;
        std::vector<size_t> positions;
        std::map<EndpointId, size_t> endpointNumbers;
    };

    Domain domain() const;
    void forgetSilentEntries(TimePoint now);
    Commitment commitmentOf(const Entry& entry, const EndpointId& endpoint, TimePoint now) const;
    SlotProblem problemOf(
        const Domain& domain, const std::vector<std::vector<Commitment>>& commitments) const;
    void noteRecalls(const Domain& domain, const SlotPlan& plan, TimePoint now);
    bool hasHeardAll(TimePoint now) const;
    bool verdictsAreSound(TimePoint now) const;
    uint32_t capacityOf(const EndpointState& state) const;
    int admittedRankOf(
        const EndpointState& state, const Domain& domain, const SlotPlan& plan, TimePoint now) const;
    GrantReport reportFor(size_t number, const Entry& entry, const Domain& domain, const SlotPlan& plan,
        const std::vector<std::vector<Commitment>>& commitments, std::vector<uint32_t>& spare,
        TimePoint now) const;
    std::vector<PoolVerdict> verdictsFor(size_t number, const Entry& entry, const Domain& domain,
        const SlotPlan& plan, const std::vector<std::vector<Commitment>>& commitments, TimePoint now) const;
    void holdRanks(const GrantReport& report, TimePoint now);
    void send(const DaemonId& to, Entry& entry, GrantReport report, TimePoint now);
    void planNextWake(TimePoint now);

    Blackboard& m_blackboard;
    const Ownership& m_ownership;
    SlotOptions m_options;
    std::map<DaemonId, Entry> m_entries;
    TimePoint m_ownsSince {};
    /// Until then another owner's grants may be out that this one does not know.
    TimePoint m_strangersUntil {};
    /// By pool: no grant admits a greater rank than this until then, because a live verdict says so.
    struct RankHold {
        int rank = maxTiers - 1;
        TimePoint until;
    };
    std::map<ServiceId, RankHold> m_holds;
    /// One count for all entries, so that an entry that was forgotten still sees it rise.
    uint64_t m_lastSequence = 0;
    size_t m_turn = 0;
    bool m_dirty = false;
    TimePoint m_plannedAt {};
    std::optional<TimePoint> m_nextWake;
};

} // namespace lentilbay
