// The entry daemon's side of slot sharing: reports demand and usage to owners, and applies their grants.
//
// Writes EndpointState::grant, ::load and ::leaving and PoolState::occupancy and ::recall; reads the demand
// and usage that the entry controller writes. Reports always go to the owners in the same data centre. Owners
// farther away receive reports only while closer ones have no free slot, or while their endpoints are in use.
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
    /// `blackboard` and `ownership` must outlive the holder.
    SlotHolder(Blackboard& blackboard, const Ownership& ownership, SlotOptions options);

    void grantReported(const DaemonId& from, const GrantReport& report, TimePoint now);
    /// Appends the demand reports that are due to the outbox and recomputes the occupancy of all pools.
    void step(TimePoint now);
    std::optional<TimePoint> nextWake() const { return m_nextWake; }

private:
    struct ReceivedOccupancy {
        PoolOccupancyReport report;
        TimePoint requestedAt;
    };

    struct Owner {
        uint64_t incarnation = 0;
        uint64_t lastGrantSequence = 0;
        std::optional<TimePoint> sentAt;
        /// A grant report reduced the slots or the admitted rank; the owner waits for the acknowledgement.
        bool acknowledgementPending = false;
        std::vector<PoolDemand> lastDemands;
        std::map<ServiceId, ReceivedOccupancy> receivedOccupancies;
    };

    bool applyGrants(const DaemonId& from, const GrantReport& report, TimePoint expiresAt, TimePoint now);
    static void applyGrant(EndpointState& state, const EndpointGrant* grant, TimePoint expiresAt);
    static void applyLoad(EndpointState& state, const EndpointGrant& grant, TimePoint now);
    void applyOccupancyReports(Owner& owner, const GrantReport& report, TimePoint requestedAt);
    std::set<DaemonId> ownersToReport(TimePoint now) const;
    Distance searchDistance(const PoolState& pool, TimePoint now) const;
    bool hasNoFreeSlot(const PoolState& pool, Distance within, TimePoint now) const;
    const ReceivedOccupancy* freshOccupancy(
        const DaemonId& owner, const ServiceId& service, TimePoint now) const;
    TimePoint dueAt(const Owner& owner, const DemandReport& report, TimePoint now) const;
    bool demandHasChanged();
    void send(const DaemonId& to, Owner& owner, const DemandReport& report, TimePoint now);
    DemandReport reportTo(const DaemonId& to, const Owner& owner, TimePoint now) const;
    EndpointUse useOf(const EndpointState& state, TimePoint now) const;
    void refreshOccupancy(TimePoint now);

    Blackboard& m_blackboard;
    const Ownership& m_ownership;
    SlotOptions m_options;
    std::map<DaemonId, Owner> m_owners;
    /// Shared by all owners, so that sequences stay monotonic for an owner whose record was dropped.
    uint64_t m_lastSequence = 0;
    /// Waiting and urgent requests of a pool, both by rank.
    using PoolCounts = std::pair<UseByRank, UseByRank>;
    std::vector<PoolCounts> m_lastDemand;
    std::optional<TimePoint> m_nextWake;
};

} // namespace lentilbay
