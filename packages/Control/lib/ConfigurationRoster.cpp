// Quorums over the roster.
#include "lentilbay/Control/ConfigurationRoster.h"

#include <algorithm>

namespace lentilbay {
namespace {

enum class Belonging : uint8_t { No, Perhaps, Yes };

/// Whether a name belonged to the roster at a sequence. The row of a name that went and came again does not
/// tell about earlier times; such a name counts against a quorum and never for it.
Belonging belongsAt(const RosterMember& member, uint64_t sequence)
{
    if (sequence < member.added)
        return member.removed == 0 ? Belonging::No : Belonging::Perhaps;
    return isPresent(member) || sequence < member.removed ? Belonging::Yes : Belonging::No;
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
        [](const RosterMember& member, const DaemonId& wanted) { return member.id < wanted; });
    return it == roster.members.end() || it->id != id ? nullptr : &*it;
}

bool seesQuorum(const Roster& roster, const RegionId& region, const std::set<DaemonId>& seen)
{
    Tally ofRegion;
    Tally ofFleet;
    for (const auto& member : roster.members) {
        if (!isPresent(member))
            continue;
        const bool isSeen = seen.contains(member.id);
        ofFleet.add(isSeen);
        if (member.region == region)
            ofRegion.add(isSeen);
    }
    return ofRegion.isMoreThanHalf() || ofFleet.isMoreThanHalf();
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

bool mayCountOut(const Roster& roster, const RosterMember& silent, const Acknowledgement& lastSaid,
    const std::set<DaemonId>& voters)
{
    Tally ofRegion;
    Tally ofFleet;
    for (const auto& member : roster.members) {
        const auto belonging = belongsAt(member, lastSaid.rosterSequence);
        if (belonging == Belonging::No)
            continue;
        const bool votes
            = belonging == Belonging::Yes && member.id != silent.id && voters.contains(member.id);
        ofFleet.add(votes);
        if (member.region == silent.region)
            ofRegion.add(votes);
    }
    return ofRegion.total > 0 && ofRegion.isHalf() && ofFleet.isHalf();
}

void mergeAcknowledgement(Acknowledgements& into, const DaemonId& id, const Acknowledgement& other)
{
    auto& mine = into[id];
    if (other.incarnation < mine.incarnation)
        return;
    if (other.incarnation > mine.incarnation) {
        mine = other;
        return;
    }
    if (other.floor > mine.floor || (other.floor == mine.floor && !other.inferred)) {
        mine.floor = other.floor;
        mine.inferred = other.inferred;
    }
    mine.rosterSequence = std::max(mine.rosterSequence, other.rosterSequence);
}

} // namespace lentilbay
