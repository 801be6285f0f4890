// How entry daemons and the owners of endpoints share slots: aggregates, a few times a second.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <array>
#include <cstdint>
#include <vector>

namespace lentilbay {

/// Requests of one tier that an entry holds back for want of a slot in one pool.
struct PoolDemand {
    ServiceId service;
    uint8_t rank = 0;
    uint32_t waiting = 0;
    /// Those of them that lose their promise unless they get a slot at once.
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

/// What an entry holds and uses of one endpoint.
struct EndpointUse {
    EndpointId endpoint;
    /// The slots of the unlapsed grant that it holds, whoever gave it; 0 where there is none.
    uint32_t slotsHeld = 0;
    /// The lowest tier's rank that the grant admits.
    uint8_t lowestRank = 0;
    std::vector<RankUse> uses;

    bool operator==(const EndpointUse&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(endpoint, slotsHeld, lowestRank, uses);
    }
};

/// From an entry to an owner: what it wants of the owner's endpoints and what it uses.
struct DemandReport {
    /// The entry's incarnation; with a higher one the counting of sequences starts again.
    uint64_t incarnation = 0;
    /// Counts up with each report to this owner; an owner ignores a report older than one it has seen.
    uint64_t sequence = 0;
    /// The sequence of the newest grant report that the entry has taken from this owner's incarnation, or 0.
    uint64_t grantSeen = 0;
    /// The entry's own clock in microseconds; the owner sends it back and reads nothing from it.
    int64_t sentAt = 0;
    /// The hash of the daemons that the entry takes for live in the owner's data centre.
    uint64_t viewHash = 0;
    std::vector<PoolDemand> demands;
    std::vector<EndpointUse> uses;

    bool operator==(const DemandReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(incarnation, sequence, grantSeen, sentAt, viewHash, demands, uses);
    }
};

/// The slots of one endpoint that an entry may use, and what the owner knows of the endpoint.
struct EndpointGrant {
    EndpointId endpoint;
    uint32_t slots = 0;
    uint8_t lowestRank = 0;
    bool leaving = false;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint64_t kvTokensUsed = 0;
    /// How old the load was when the owner sent this; unknownLoadAge where it has none.
    uint32_t loadAgeMilliseconds = 0;

    static constexpr uint32_t unknownLoadAge = 0xffffffff;

    bool operator==(const EndpointGrant&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(endpoint, slots, lowestRank, leaving, running, waiting, kvTokensUsed, loadAgeMilliseconds);
    }
};

/// Who holds the owner's slots of one pool.
struct PoolVerdict {
    ServiceId service;
    /// The greatest rank whose work runs there or is admitted by a grant that is out; -1 where there is none,
    /// maxTiers where the owner cannot know.
    int8_t lowestServedRank = -1;
    /// The greatest rank that is known to run there, or -1.
    int8_t lowestRunningRank = -1;
    bool hasFreeSlot = false;
    /// The entry must preempt this many of its requests of a greater rank than recallForRank.
    uint32_t recall = 0;
    uint8_t recallForRank = 0;

    bool operator==(const PoolVerdict&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(service, lowestServedRank, lowestRunningRank, hasFreeSlot, recall, recallForRank);
    }
};

/// From an owner to an entry: all that the entry may use of the owner's endpoints. It replaces what earlier
/// reports of this owner granted; an endpoint that it does not name is not granted.
struct GrantReport {
    /// The owner's incarnation; with a higher one the counting of sequences starts again.
    uint64_t incarnation = 0;
    /// Counts up with each report to this entry; an entry ignores a report older than one it has seen.
    uint64_t sequence = 0;
    /// From the newest demand report that the owner has of this entry. The grants lapse, and the verdicts
    /// die, by the entry's clock counted from here.
    int64_t sentAt = 0;
    std::vector<EndpointGrant> grants;
    std::vector<PoolVerdict> verdicts;

    bool operator==(const GrantReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(incarnation, sequence, sentAt, grants, verdicts);
    }
};

} // namespace lentilbay
