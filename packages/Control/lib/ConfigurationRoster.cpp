// Quorum computations over the roster.
#include "lentilbay/Control/ConfigurationRoster.h"

#include <algorithm>

namespace lentilbay {
namespace {

enum class RosterPresence : uint8_t { Absent, Unknown, Present };

/// Whether a name was in the roster at a sequence number. The row of a name that was removed and added again
/// does not tell this for earlier sequences; such a name counts in the total of a quorum and never as a vote.
RosterPresence presenceAt(const RosterMember& member, uint64_t sequence)
{
    if (sequence < member.added)
        return member.removed == 0 ? RosterPresence::Absent : RosterPresence::Unknown;
    return isPresent(member) || sequence < member.removed ? RosterPresence::Present : RosterPresence::Absent;
}

struct Tally {
    size_t counted = 0;
    size_t total = 0;

    void add(bool isCounted)
    {
        ++total;
        counted += isCounted ? 1 : 0;
    }
    bool isMoreThanHalf() const { return 2 * counted > total; }
    bool isHalf() const { return 2 * counted >= total; }
};

} // namespace

bool isPresent(const RosterMember& member) { return member.removed < member.added; }

const RosterMember* findMember(const Roster& roster, const DaemonId& id)
{
    const auto it = std::lower_bound(roster.members.begin(), roster.members.end(), id,
        [](const RosterMember& member, const DaemonId& target) { return member.id < target; });
    return it == roster.members.end() || it->id != id ? nullptr : &*it;
}

bool reachesQuorum(const Roster& roster, const RegionId& region, const std::set<DaemonId>& reachable)
{
    Tally regionTally;
    Tally fleetTally;
    for (const auto& member : roster.members) {
        if (!isPresent(member))
            continue;
        const bool isReachable = reachable.contains(member.id);
        fleetTally.add(isReachable);
        if (member.region == region)
            regionTally.add(isReachable);
    }
    return regionTally.isMoreThanHalf() || fleetTally.isMoreThanHalf();
}

std::vector<RosterMember> membersBelow(
    const Roster& roster, const Acknowledgements& acknowledgements, uint64_t version)
{
    std::vector<RosterMember> out;
    for (const auto& member : roster.members) {
        if (!isPresent(member))
            continue;
        const auto it = acknowledgements.find(member.id);
        if (it == acknowledgements.end() || it->second.incarnation != member.incarnation)
            continue;
        if (it->second.floor < version)
            out.push_back(member);
    }
    return out;
}

bool canExclude(const Roster& roster, const RosterMember& silent, const Acknowledgement& lastAcknowledgement,
    const std::set<DaemonId>& voters)
{
    Tally regionTally;
    Tally fleetTally;
    for (const auto& member : roster.members) {
        const auto presence = presenceAt(member, lastAcknowledgement.rosterSequence);
        if (presence == RosterPresence::Absent)
            continue;
        const bool votes
            = presence == RosterPresence::Present && member.id != silent.id && voters.contains(member.id);
        fleetTally.add(votes);
        if (member.region == silent.region)
            regionTally.add(votes);
    }
    return regionTally.total > 0 && regionTally.isHalf() && fleetTally.isHalf();
}

void mergeAcknowledgement(Acknowledgements& into, const DaemonId& id, const Acknowledgement& other)
{
    auto& entry = into[id];
    if (other.incarnation < entry.incarnation)
        return;
    if (other.incarnation > entry.incarnation) {
        entry = other;
        return;
    }
    if (other.floor > entry.floor || (other.floor == entry.floor && !other.inferred)) {
        entry.floor = other.floor;
        entry.inferred = other.inferred;
    }
    entry.rosterSequence = std::max(entry.rosterSequence, other.rosterSequence);
}

} // namespace lentilbay
