// How daemons learn of each other: probes that carry news of members, full state at joining, and digests of
// the data centres of other regions.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

enum class MemberHealth : uint8_t { Alive, Suspect, Dead };

/// News of one daemon. Of two the later one is that with the greater incarnation, then refutation, then
/// health.
struct MemberUpdate {
    DaemonId id;
    RegionId region;
    DataCentreId dataCentre;
    std::string address;
    /// Names one process: greater with each restart under the same name.
    uint64_t incarnation = 0;
    /// Counts up in one process each time that it contradicts news of its own death.
    uint32_t refutation = 0;
    MemberHealth health = MemberHealth::Alive;
    /// Announced by the daemon itself; never taken back within an incarnation.
    bool leaving = false;

    auto operator<=>(const MemberUpdate&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(id, region, dataCentre, address, incarnation, refutation, health, leaving);
    }
};

/// A daemon through which a data centre can be reached.
struct ContactDaemon {
    DaemonId id;
    std::string address;
    uint64_t incarnation = 0;

    auto operator<=>(const ContactDaemon&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(id, address, incarnation); }
};

/// What other regions know of a data centre.
struct DataCentreDigest {
    DataCentreId dataCentre;
    RegionId region;
    uint16_t liveDaemons = 0;
    /// Of names and incarnations of all live daemons, so that equal views are seen as equal.
    uint64_t hash = 0;
    /// How old the digest was when it was sent; each daemon that passes it on adds its own delay.
    uint32_t ageMilliseconds = 0;
    std::vector<ContactDaemon> contacts;

    auto operator<=>(const DataCentreDigest&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(dataCentre, region, liveDaemons, hash, ageMilliseconds, contacts);
    }
};

/// "Are you there?", answered by a ProbeReply with the same sequence.
struct Probe {
    uint64_t sequence = 0;
    std::vector<MemberUpdate> updates;

    bool operator==(const Probe&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(sequence, updates); }
};

struct ProbeReply {
    uint64_t sequence = 0;
    std::vector<MemberUpdate> updates;

    bool operator==(const ProbeReply&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(sequence, updates); }
};

/// Asks a third daemon to probe the target and to pass on its reply under this sequence.
struct ProbeRequest {
    uint64_t sequence = 0;
    DaemonId target;
    std::vector<MemberUpdate> updates;

    bool operator==(const ProbeRequest&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(sequence, target, updates); }
};

/// What the sender knows. The sender itself stands first in `members`.
struct StateExchange {
    bool wantsReply = false;
    std::vector<MemberUpdate> members;
    std::vector<DataCentreDigest> digests;

    bool operator==(const StateExchange&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(wantsReply, members, digests); }
};

struct DigestGossip {
    std::vector<DataCentreDigest> digests;

    bool operator==(const DigestGossip&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(digests); }
};

} // namespace lentilbay
