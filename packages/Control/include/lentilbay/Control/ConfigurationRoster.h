// Who must acknowledge a change, who has, and when a silent daemon may be counted out.
//
// Safety rests on two quorums that always meet. A daemon that cannot confirm that its version is the newest
// goes on only while it sees more than half of its region, or more than half of the fleet. A silent daemon is
// counted out only where at least half of its region and half of the fleet have acknowledged for long enough.
// So the silent one either sees a daemon that knows the new version, or takes no new work.
// docs/design/Acceptance.md holds the argument.
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
    /// The roster's sequence at which the name was added.
    uint64_t added = 0;
    /// The sequence at which it last announced its stop; 0 where it never did. It is gone where this is
    /// greater than `added`.
    uint64_t removed = 0;

    auto operator<=>(const RosterMember&) const = default;
};

struct Roster {
    /// Counts up when a name is added or removed.
    uint64_t sequence = 0;
    /// In the order of their names, with those that were removed.
    std::vector<RosterMember> members;

    auto operator<=>(const Roster&) const = default;
};

/// What stands in the table of a daemon: it starts no work under a version lower than the floor.
struct Acknowledgement {
    uint64_t incarnation = 0;
    uint64_t floor = 0;
    /// The oldest roster that the daemon's own quorum is still counted over.
    uint64_t rosterSequence = 0;
    /// Counted out by others rather than said by itself.
    bool inferred = false;

    auto operator<=>(const Acknowledgement&) const = default;
};

using Acknowledgements = std::map<DaemonId, Acknowledgement>;

bool isPresent(const RosterMember& member);

const RosterMember* findMember(const Roster& roster, const DaemonId& id);

/// Whether a daemon of the region that sees these (itself among them) sees more than half of its region or of
/// the fleet.
bool seesQuorum(const Roster& roster, const RegionId& region, const std::set<DaemonId>& seen);

/// The daemons that may still start work under a version lower than this one. A daemon without an
/// acknowledgement of its incarnation has not started any work yet.
std::vector<RosterMember> membersBelow(
    const Roster& roster, const Acknowledgements& acknowledgements, uint64_t version);

/// Whether these voters, who have acknowledged the version themselves for long enough, suffice to count a
/// silent daemon out.
bool mayCountOut(const Roster& roster, const RosterMember& silent, const Acknowledgement& lastSaid,
    const std::set<DaemonId>& voters);

/// Merges what is known of the same daemons; a later incarnation or a higher floor wins.
void mergeAcknowledgement(Acknowledgements& into, const DaemonId& id, const Acknowledgement& other);

} // namespace lentilbay
