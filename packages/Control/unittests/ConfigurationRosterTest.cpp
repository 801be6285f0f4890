// Quorums over the roster: the quorum of a daemon that continues and the quorum that excludes it always
// intersect.
#include "lentilbay/Control/ConfigurationRoster.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

RosterMember memberOf(size_t i, size_t region, uint64_t added = 1)
{
    return { .id = DaemonId(fmt::format("d{:02}", i)),
        .region = RegionId(fmt::format("r{}", region)),
        .dataCentre = DataCentreId(fmt::format("r{}", region)),
        .address = "",
        .incarnation = 1,
        .added = added,
        .removed = 0 };
}

TEST(ConfigurationRoster, MembersBelowAVersionAreListed)
{
    const Roster roster { .sequence = 3, .members = { memberOf(0, 0), memberOf(1, 0), memberOf(2, 1) } };
    const Acknowledgements acknowledgements { { DaemonId("d00"), { .incarnation = 1, .floor = 4 } },
        { DaemonId("d01"), { .incarnation = 1, .floor = 3 } },
        { DaemonId("d02"), { .incarnation = 0, .floor = 1 } } };
    const auto below = membersBelow(roster, acknowledgements, 4);
    ASSERT_EQ(below.size(), 1U);
    EXPECT_EQ(below[0].id, DaemonId("d01"));
}

TEST(ConfigurationRoster, LaterIncarnationsAndHigherFloorsTakePrecedence)
{
    Acknowledgements into;
    const DaemonId id("d");
    mergeAcknowledgement(into, id, { .incarnation = 2, .floor = 5, .rosterSequence = 1 });
    mergeAcknowledgement(into, id, { .incarnation = 1, .floor = 9, .rosterSequence = 9 });
    mergeAcknowledgement(into, id, { .incarnation = 2, .floor = 4, .rosterSequence = 2 });
    EXPECT_EQ(into.at(id), (Acknowledgement { .incarnation = 2, .floor = 5, .rosterSequence = 2 }));
    mergeAcknowledgement(into, id, { .incarnation = 2, .floor = 5, .rosterSequence = 2, .inferred = true });
    EXPECT_FALSE(into.at(id).inferred);
    mergeAcknowledgement(into, id, { .incarnation = 2, .floor = 6, .rosterSequence = 2, .inferred = true });
    EXPECT_TRUE(into.at(id).inferred);
}

RC_GTEST_PROP(ConfigurationRosterProperty, AContinuingQuorumIntersectsEachExcludingQuorum, ())
{
    const auto size = *rc::gen::inRange<size_t>(1, 12);
    const auto regions = *rc::gen::inRange<size_t>(1, 4);
    Roster before { .sequence = 5, .members = {} };
    for (size_t i = 0; i < size; ++i)
        before.members.push_back(memberOf(i, i % regions));
    // Names are added, removed and re-added after the last acknowledgement of the silent daemon.
    auto after = before;
    after.sequence = 9;
    for (auto& member : after.members) {
        if (member.id == before.members[0].id)
            continue;
        member.removed = *rc::gen::element<uint64_t>(0, 6);
        if (member.removed != 0)
            member.added = *rc::gen::element<uint64_t>(1, 8);
    }
    for (size_t i = 0; i < *rc::gen::inRange<size_t>(0, 5); ++i)
        after.members.push_back(memberOf(size + i, i % regions, 7));
    const auto reachable = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, size));
    const auto voterIndices
        = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, after.members.size()));
    std::set<DaemonId> reachableIds { before.members[0].id };
    for (const auto i : reachable)
        reachableIds.insert(before.members[i].id);
    std::set<DaemonId> voters;
    for (const auto i : voterIndices)
        voters.insert(after.members[i].id);
    const Acknowledgement lastAcknowledgement { .incarnation = 1, .floor = 1, .rosterSequence = 5 };
    const bool continues = reachesQuorum(before, before.members[0].region, reachableIds);
    const bool isExcluded = canExclude(after, before.members[0], lastAcknowledgement, voters);
    voters.erase(before.members[0].id);
    const bool intersect = std::any_of(
        voters.begin(), voters.end(), [&](const DaemonId& id) { return reachableIds.contains(id); });
    RC_CLASSIFY(continues && isExcluded, "continues and is excluded");
    RC_ASSERT(!continues || !isExcluded || intersect);
}

} // namespace
} // namespace lentilbay
