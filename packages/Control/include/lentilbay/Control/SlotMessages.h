// Messages between entry daemons and endpoint owners. They carry aggregates and are sent a few times per
// second.
//
// Ranks number the tiers; rank 0 is the highest tier.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <array>
#include <cstdint>
#include <vector>

namespace lentilbay {

/// Requests of one tier that wait at an entry for a slot in one pool.
struct PoolDemand {
    ServiceId service;
    uint8_t rank = 0;
    uint32_t waiting = 0;
    /// The part of `waiting` that misses its latency objective unless it gets a slot immediately.
    uint32_t urgent = 0;

    bool operator==(const PoolDemand&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(service, rank, waiting, urgent); }
};

/// Requests of one tier in flight.
struct RankUse {
    uint8_t rank = 0;
    uint32_t inFlight = 0;

    bool operator==(const RankUse&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(rank, inFlight); }
};

/// The slots that an entry holds at one endpoint and its requests in flight there.
struct EndpointUse {
    EndpointId endpoint;
    /// Slots of the unexpired grant, whichever owner issued it; 0 if there is none.
    uint32_t slotsHeld = 0;
    /// The greatest rank (lowest tier) that the grant admits.
    uint8_t lowestRank = 0;
    std::vector<RankUse> uses;

    bool operator==(const EndpointUse&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(endpoint, slotsHeld, lowestRank, uses);
    }
};

/// From an entry to an owner: the entry's demand for the owner's endpoints and its use of them.
struct DemandReport {
    /// The entry's incarnation. Sequences restart when it increases.
    uint64_t incarnation = 0;
    /// Increases with each report to this owner, which ignores reports older than the newest received.
    uint64_t sequence = 0;
    /// The sequence of the newest grant report received from this owner's incarnation; 0 if there is none.
    uint64_t lastGrantSequence = 0;
    /// The entry's clock in microseconds. The owner echoes it without interpreting it.
    int64_t sentAt = 0;
    /// Hash of the daemons of the owner's data centre that the entry considers live.
    uint64_t viewHash = 0;
    std::vector<PoolDemand> demands;
    std::vector<EndpointUse> uses;

    bool operator==(const DemandReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(incarnation, sequence, lastGrantSequence, sentAt, viewHash, demands, uses);
    }
};

/// The slots of one endpoint that an entry may use, and the owner's latest state of the endpoint.
struct EndpointGrant {
    EndpointId endpoint;
    uint32_t slots = 0;
    uint8_t lowestRank = 0;
    bool leaving = false;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint64_t kvTokensUsed = 0;
    /// Age of the load report when the owner sent this; unknownLoadAge if the owner has none.
    uint32_t loadAgeMilliseconds = 0;

    static constexpr uint32_t unknownLoadAge = 0xffffffff;

    bool operator==(const EndpointGrant&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(endpoint, slots, lowestRank, leaving, running, waiting, kvTokensUsed, loadAgeMilliseconds);
    }
};

/// Which tiers occupy the owner's slots of one pool. An entry may refuse requests for lack of capacity only
/// on the basis of an unexpired report.
struct PoolOccupancyReport {
    ServiceId service;
    /// The greatest rank that is in flight or admitted by an outstanding grant; -1 if there is none, maxTiers
    /// if the owner cannot determine it.
    int8_t lowestServedRank = -1;
    /// The greatest rank known to be in flight; -1 if there is none.
    int8_t lowestRunningRank = -1;
    bool hasFreeSlot = false;
    /// Number of the entry's requests with a rank greater than recallForRank that it must preempt.
    uint32_t recall = 0;
    uint8_t recallForRank = 0;

    bool operator==(const PoolOccupancyReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(service, lowestServedRank, lowestRunningRank, hasFreeSlot, recall, recallForRank);
    }
};

/// From an owner to an entry: everything that the entry may use of the owner's endpoints. It replaces all
/// earlier grants of this owner; endpoints that it does not name are not granted.
struct GrantReport {
    /// The owner's incarnation. Sequences restart when it increases.
    uint64_t incarnation = 0;
    /// Increases with each report to this entry, which ignores reports older than the newest received.
    uint64_t sequence = 0;
    /// Copied from the newest demand report of this entry. The lifetimes of grants and occupancy reports
    /// start at this time on the entry's clock.
    int64_t sentAt = 0;
    std::vector<EndpointGrant> grants;
    std::vector<PoolOccupancyReport> occupancyReports;

    bool operator==(const GrantReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(incarnation, sequence, sentAt, grants, occupancyReports);
    }
};

} // namespace lentilbay
