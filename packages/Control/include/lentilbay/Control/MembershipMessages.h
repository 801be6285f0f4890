// Membership messages: probes that carry updates about daemons, full state on joining, and digests of data
// centres for other regions.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

enum class MemberHealth : uint8_t { Alive, Suspect, Dead };

/// An update about one daemon. Updates are ordered by incarnation, then refutation, then health; the greater
/// one supersedes the other.
struct MemberUpdate {
    DaemonId id;
    RegionId region;
    DataCentreId dataCentre;
    std::string address;
    /// Identifies one process: increases with each restart under the same name.
    uint64_t incarnation = 0;
    /// Incremented by the daemon each time that it refutes a report of its suspicion or death.
    uint32_t refutation = 0;
    MemberHealth health = MemberHealth::Alive;
    /// Announced by the daemon itself; never reverted within an incarnation.
    bool leaving = false;

    auto operator<=>(const MemberUpdate&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(id, region, dataCentre, address, incarnation, refutation, health, leaving);
    }
};

/// A daemon through which its data centre can be reached.
struct ContactDaemon {
    DaemonId id;
    std::string address;
    uint64_t incarnation = 0;

    auto operator<=>(const ContactDaemon&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(id, address, incarnation); }
};

/// Summary of a data centre for other regions.
struct DataCentreDigest {
    DataCentreId dataCentre;
    RegionId region;
    uint16_t liveDaemons = 0;
    /// Over the names and incarnations of all live daemons, so that equal views have equal hashes.
    uint64_t hash = 0;
    /// The age of the digest when it was sent; each daemon that forwards it adds its own delay.
    uint32_t ageMilliseconds = 0;
    std::vector<ContactDaemon> contacts;

    auto operator<=>(const DataCentreDigest&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(dataCentre, region, liveDaemons, hash, ageMilliseconds, contacts);
    }
};

/// A liveness probe, answered by a ProbeReply with the same sequence.
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

/// Asks a third daemon to probe the target and to forward its reply under this sequence.
struct ProbeRequest {
    uint64_t sequence = 0;
    DaemonId target;
    std::vector<MemberUpdate> updates;

    bool operator==(const ProbeRequest&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(sequence, target, updates); }
};

/// The membership known to the sender. The first entry of `members` is the sender itself.
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
