// How entry daemons and the owners of endpoints share slots: aggregates, a few times a second.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <vector>

namespace lentilbay {

/// Requests of one tier that an entry holds back for want of a slot in one pool.
struct PoolDemand {
    ServiceId service;
    uint8_t rank = 0;
    uint32_t waiting = 0;

    bool operator==(const PoolDemand&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(service, rank, waiting); }
};

/// Requests of one tier that an entry has in flight at one endpoint.
struct EndpointUse {
    EndpointId endpoint;
    uint8_t rank = 0;
    uint32_t inFlight = 0;

    bool operator==(const EndpointUse&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(endpoint, rank, inFlight); }
};

/// From an entry to an owner: what it wants of the owner's endpoints and what it uses.
struct DemandReport {
    /// Counts up with each report of this entry; an owner ignores a report older than one it has seen.
    uint64_t sequence = 0;
    /// The entry's own clock in microseconds; the owner sends it back and reads nothing from it.
    int64_t sentAt = 0;
    std::vector<PoolDemand> demands;
    std::vector<EndpointUse> uses;

    bool operator==(const DemandReport&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(sequence, sentAt, demands, uses); }
};

/// The slots of one endpoint that an entry may use, and what the owner knows of the endpoint.
struct EndpointGrant {
    EndpointId endpoint;
    uint32_t slots = 0;
    bool leaving = false;
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint64_t kvTokensUsed = 0;
    /// How old the load was when the owner sent this.
    uint32_t loadAgeMilliseconds = 0;

    bool operator==(const EndpointGrant&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(endpoint, slots, leaving, running, waiting, kvTokensUsed, loadAgeMilliseconds);
    }
};

/// Who holds the owner's slots of one pool.
struct PoolVerdict {
    ServiceId service;
    /// The greatest rank whose work runs there, or -1.
    int8_t lowestServedRank = -1;
    bool hasFreeSlot = false;
    /// The greatest rank whose work must give way to a higher tier that waits, or -1. The entry preempts as
    /// many of its own requests of that rank as `recall` says.
    int8_t recallRank = -1;
    uint32_t recall = 0;

    bool operator==(const PoolVerdict&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(service, lowestServedRank, hasFreeSlot, recallRank, recall);
    }
};

/// From an owner to an entry, in answer to a demand report.
struct GrantReport {
    /// From the demand report that this answers.
    uint64_t sequence = 0;
    int64_t sentAt = 0;
    std::vector<EndpointGrant> grants;
    std::vector<PoolVerdict> verdicts;

    bool operator==(const GrantReport&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(sequence, sentAt, grants, verdicts); }
};

} // namespace lentilbay
