// The entry's side of sharing slots: tells owners what it wants and uses, and writes what it may use.
//
// It writes EndpointState::grant, ::load and ::leaving and PoolState::verdict and ::recall, and reads the
// demand and use that the entry controller writes. Nearby owners always hear from it; farther ones only while
// the nearer have no slot left, or while it uses their endpoints.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/Ownership.h"
#include "lentilbay/Control/SlotMessages.h"
#include "lentilbay/Control/SlotOptions.h"
#include "lentilbay/Control/SlotPlan.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lentilbay {

class SlotHolder {
public:
    /// Blackboard and ownership must outlive the holder.
    SlotHolder(Blackboard& blackboard, const Ownership& ownership, SlotOptions options);

    void granted(const DaemonId& from, const GrantReport& report, TimePoint now);
    /// Appends demand reports that are due to the outbox, and works the verdicts out again.
    void step(TimePoint now);
    std::optional<TimePoint> nextWake() const { return m_nextWake; }

private:
    struct KnownVerdict {
        PoolVerdict verdict;
        TimePoint askedAt;
    };

    struct Owner {
        uint64_t incarnation = 0;
        uint64_t grantSeen = 0;
        std::optional<TimePoint> sentAt;
        /// A report took something away; the owner waits for the acknowledgement.
        bool owesAcknowledgement = false;
        std::vector<PoolDemand> lastDemands;
        std::map<ServiceId, KnownVerdict> verdicts;
    };

    bool takeGrants(const DaemonId& from, const GrantReport& report, TimePoint lapses, TimePoint now);
    static void takeGrant(EndpointState& state, const EndpointGrant* grant, TimePoint lapses);
    static void takeLoad(EndpointState& state, const EndpointGrant& grant, TimePoint now);
    void takeVerdicts(Owner& owner, const GrantReport& report, TimePoint askedAt);
    std::set<DaemonId> ownersInReach(TimePoint now) const;
    Distance reachOf(const PoolState& pool, TimePoint now) const;
    bool hasNoFreeSlot(const PoolState& pool, Distance within, TimePoint now) const;
    const KnownVerdict* freshVerdict(const DaemonId& owner, const ServiceId& service, TimePoint now) const;
    TimePoint dueAt(const Owner& owner, const DemandReport& report, TimePoint now) const;
    bool demandHasChanged();
    void send(const DaemonId& to, Owner& owner, const DemandReport& report, TimePoint now);
    DemandReport reportTo(const DaemonId& to, const Owner& owner, TimePoint now) const;
    EndpointUse useOf(const EndpointState& state, TimePoint now) const;
    void refreshVerdicts(TimePoint now);

    Blackboard& m_blackboard;
    const Ownership& m_ownership;
    SlotOptions m_options;
    std::map<DaemonId, Owner> m_owners;
    /// One count for all owners, so that an owner that was forgotten still sees it rise.
    uint64_t m_lastSequence = 0;
    /// Waiting and urgent requests of a pool, by rank.
    using PoolCounts = std::pair<UseByRank, UseByRank>;
    std::vector<PoolCounts> m_lastDemand;
    std::optional<TimePoint> m_nextWake;
};

} // namespace lentilbay
