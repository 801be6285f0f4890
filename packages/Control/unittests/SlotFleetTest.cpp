// Tests slot sharing between daemons: the allocation of slots, when refusals are allowed, and failures of
// daemons and links.
#include "SlotFleet.h"

#include <gtest/gtest.h>

namespace lentilbay::test {
namespace {

using namespace std::chrono_literals;

uint32_t totalInFlight(const SlotFleet& fleet, size_t daemons, int rank)
{
    uint32_t total = 0;
    for (size_t i = 0; i < daemons; ++i)
        total += fleet.inFlight(i, rank);
    return total;
}

/// Returns whether an entry may now refuse work of this rank for lack of capacity.
bool allowsRefusal(SlotFleet& fleet, size_t daemon, int rank)
{
    const auto& occupancy = fleet.daemon(daemon).blackboard.findPool(SlotFleet::service)->occupancy;
    const bool isFresh = occupancy.requestedAt && fleet.now() < *occupancy.requestedAt + 1s;
    return isFresh && !occupancy.hasFreeSlot && occupancy.lowestServedRank <= rank;
}

TEST(SlotFleet, IdleSlotsAreLentToAllEntries)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(1s);
    for (size_t i = 0; i < 2; ++i)
        EXPECT_EQ(fleet.daemon(i).blackboard.endpoints[0].freeSlots(fleet.now()), 2U);
}

TEST(SlotFleet, OneEntryMayUseTheWholePool)
{
    SlotFleet fleet({ .daemons = 3, .endpoints = 2, .slotsEach = 4 });
    fleet.run(1s);
    fleet.addWaiting(0, 1, 8);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(0, 1), 8U);
}

TEST(SlotFleet, GrantsDoNotExceedTheLearnedCapacity)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 6 });
    for (size_t i = 0; i < 2; ++i)
        fleet.daemon(i).blackboard.endpoints[0].learnedSlots = 4;
    fleet.addWaiting(0, 1, 10);
    fleet.run(2s);
    EXPECT_EQ(fleet.inFlight(0, 1), 4U);
}

TEST(SlotFleet, AnExpiredGrantPermitsNoDispatch)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(1s);
    fleet.setPaused(1, true);
    fleet.run(4s);
    EXPECT_EQ(fleet.daemon(1).blackboard.endpoints[0].freeSlots(fleet.now()), 0U);
}

TEST(SlotFleet, APartitionedEntryStopsUsingALeavingEndpoint)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(1s);
    fleet.leave(0);
    fleet.setPartitioned(0, 1, true);
    fleet.run(3s);
    for (size_t i = 0; i < 2; ++i)
        EXPECT_EQ(fleet.daemon(i).blackboard.endpoints[0].freeSlots(fleet.now()), 0U) << i;
}

TEST(SlotFleet, SlotsOfADeadEntryAreReclaimed)
{
    SlotFleet fleet({ .daemons = 3, .endpoints = 1, .slotsEach = 6 });
    fleet.run(1s);
    fleet.addWaiting(1, 1, 6);
    fleet.run(1s);
    ASSERT_EQ(fleet.inFlight(1, 1), 6U);
    fleet.stop(1);
    fleet.run(3s);
    for (size_t i = 0; i < 3; ++i)
        fleet.setView(i, 1, MemberStatus::Dead);
    fleet.addWaiting(0, 1, 6);
    fleet.run(5s);
    EXPECT_EQ(fleet.inFlight(0, 1), 6U);
}

TEST(SlotFleet, EndpointsOfADeadOwnerGetANewOwner)
{
    SlotFleet fleet({ .daemons = 3, .endpoints = 8, .slotsEach = 2 });
    fleet.run(1s);
    fleet.stop(2);
    for (size_t i = 0; i < 2; ++i)
        fleet.setView(i, 2, MemberStatus::Dead);
    fleet.run(6s);
    fleet.addWaiting(0, 0, 16);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(0, 0), 16U);
}

TEST(SlotFleet, AFullPoolOfTheSameTierAllowsRefusal)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(4s);
    fleet.addWaiting(0, 0, 4);
    fleet.run(1s);
    fleet.addWaiting(1, 0, 1, true);
    fleet.run(2s);
    EXPECT_TRUE(allowsRefusal(fleet, 1, 0));
}

TEST(SlotFleet, UrgentWorkPreemptsALowerTierAtOtherEntries)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(4s);
    fleet.addWaiting(0, 3, 10);
    fleet.run(1s);
    ASSERT_EQ(fleet.inFlight(0, 3), 4U);
    fleet.addWaiting(1, 0, 2, true);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(1, 0), 2U);
    EXPECT_EQ(fleet.inFlight(0, 3), 2U);
    fleet.addWaiting(1, 0, 2);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(0, 3), 2U) << "work that is not urgent preempts nothing";
}

TEST(SlotFleet, NoOccupancyReportWithoutTheOwner)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 2 });
    fleet.run(4s);
    fleet.addWaiting(0, 0, 2);
    fleet.addWaiting(1, 0, 5, true);
    fleet.run(2s);
    ASSERT_TRUE(allowsRefusal(fleet, 1, 0));
    fleet.setPartitioned(0, 1, true);
    fleet.run(2s);
    for (size_t i = 0; i < 2; ++i)
        EXPECT_FALSE(allowsRefusal(fleet, i, 0))
            << "a partitioned entry, or an owner that misses reports of an entry";
}

TEST(SlotFleet, ConcurrentOwnersAllowNoRefusalWhileALowerTierRuns)
{
    for (size_t observer = 0; observer < 3; ++observer) {
        for (size_t believedDead = 0; believedDead < 3; ++believedDead) {
            if (observer == believedDead)
                continue;
            const size_t third = 3 - observer - believedDead;
            SlotFleet fleet({ .daemons = 3, .endpoints = 4, .slotsEach = 2 });
            fleet.run(4s);
            fleet.addWaiting(third, 3, 20);
            fleet.run(1s);
            fleet.setView(observer, believedDead, MemberStatus::Dead);
            fleet.addWaiting(observer, 0, 20, true);
            fleet.run(6s, [&] {
                const bool lowerTierRuns = fleet.inFlight(third, 3) + fleet.inFlight(believedDead, 3) > 0;
                EXPECT_FALSE(lowerTierRuns && allowsRefusal(fleet, observer, 0));
            });
        }
    }
}

TEST(SlotFleet, ANewOwnerReportsNoOccupancyWhileOldGrantsAreOutstanding)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 8, .slotsEach = 1 });
    fleet.run(4s);
    fleet.addWaiting(0, 0, 8);
    fleet.run(1s);
    fleet.restart(1);
    fleet.addWaiting(1, 0, 1, true);
    bool early = false;
    fleet.run(SlotOptions {}.grantLifetime - 100ms, [&] { early = early || allowsRefusal(fleet, 1, 0); });
    EXPECT_FALSE(early);
    fleet.run(1s);
    EXPECT_TRUE(allowsRefusal(fleet, 1, 0));
}

TEST(SlotFleet, IdleDaemonsSendFewMessages)
{
    SlotFleet fleet({ .daemons = 4, .endpoints = 8, .slotsEach = 4 });
    fleet.run(5s);
    const auto before = fleet.messagesSent();
    fleet.run(10s);
    // Each of 4 entries reports to 3 other owners once per 800 ms and gets one reply each time.
    EXPECT_LE(fleet.messagesSent() - before, 4U * 3 * 2 * 13);
}

TEST(SlotFleet, LowerTiersUseSlotsLeftByHigherTiers)
{
    SlotFleet fleet({ .daemons = 3, .endpoints = 2, .slotsEach = 5 });
    fleet.run(4s);
    fleet.addWaiting(0, 0, 4);
    fleet.addWaiting(1, 2, 20);
    fleet.run(1s);
    EXPECT_EQ(totalInFlight(fleet, 3, 0), 4U);
    EXPECT_EQ(totalInFlight(fleet, 3, 2), 6U);
}

} // namespace
} // namespace lentilbay::test
