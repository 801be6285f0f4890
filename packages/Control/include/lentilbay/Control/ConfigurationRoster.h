// The daemons that must acknowledge a change, their acknowledgements, and the exclusion of silent daemons.
//
// Safety rests on two quorums that always intersect. A daemon that cannot confirm that its version is the
// newest continues only while it reaches more than half of its region or more than half of the fleet. A
// silent daemon is excluded only if at least half of its region and at least half of the fleet have
// acknowledged for long enough. So a silent daemon either reaches a daemon that knows the new version, or
// takes no new work. docs/design/Acceptance.md contains the proof.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilbay {

/// A daemon's row in the roster.
struct RosterMember {
    DaemonId id;
    RegionId region;
    DataCentreId dataCentre;
    std::string address;
    uint64_t incarnation = 0;
    /// The roster's sequence when the name was last added.
    uint64_t added = 0;
    /// The roster's sequence when the daemon last announced its stop, or 0. The daemon has left the roster if
    /// this is greater than `added`.
    uint64_t removed = 0;

    auto operator<=>(const RosterMember&) const = default;
};

struct Roster {
    /// Incremented when a name is added or removed.
    uint64_t sequence = 0;
    /// Sorted by name, including removed members.
    std::vector<RosterMember> members;

    auto operator<=>(const Roster&) const = default;
};

/// An acknowledgement as stored in the table: the daemon starts no work under a version lower than the floor.
struct Acknowledgement {
    uint64_t incarnation = 0;
    uint64_t floor = 0;
    /// The oldest roster over which the daemon still computes its own quorum.
    uint64_t rosterSequence = 0;
    /// Whether other daemons wrote it because the daemon was silent.
    bool inferred = false;

    auto operator<=>(const Acknowledgement&) const = default;
};

using Acknowledgements = std::map<DaemonId, Acknowledgement>;

bool isPresent(const RosterMember& member);

const RosterMember* findMember(const Roster& roster, const DaemonId& id);

/// Whether the given daemons, including the caller, are more than half of the region or more than half of the
/// fleet.
bool reachesQuorum(const Roster& roster, const RegionId& region, const std::set<DaemonId>& reachable);

/// The daemons that may still start work under a version lower than the given one. A daemon without an
/// acknowledgement of its current incarnation has not started any work yet.
std::vector<RosterMember> membersBelow(
    const Roster& roster, const Acknowledgements& acknowledgements, uint64_t version);

/// Whether the voters, which have acknowledged the version themselves for long enough, suffice to exclude a
/// silent daemon.
bool canExclude(const Roster& roster, const RosterMember& silent, const Acknowledgement& lastAcknowledgement,
    const std::set<DaemonId>& voters);

/// Merges another acknowledgement of a daemon; a later incarnation or a higher floor takes precedence.
void mergeAcknowledgement(Acknowledgements& into, const DaemonId& id, const Acknowledgement& other);

} // namespace lentilbay
