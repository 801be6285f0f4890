// Slots between daemons: who gets them, when a refusal is allowed, and what happens when daemons or links fail.
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

TEST(SlotFleet, IdleSlotsLieReadyAtEachEntry)
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
    fleet.wait(0, 1, 8);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(0, 1), 8U);
}

TEST(SlotFleet, ALapsedGrantGivesNoRightToDispatch)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(1s);
    fleet.setPaused(1, true);
    fleet.run(4s);
    EXPECT_EQ(fleet.daemon(1).blackboard.endpoints[0].freeSlots(fleet.now()), 0U);
}

TEST(SlotFleet, AnEntryThatHearsNothingStopsUsingALeavingEndpoint)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(1s);
    fleet.leave(0);
    fleet.setCut(0, 1, true);
    fleet.run(3s);
    for (size_t i = 0; i < 2; ++i)
        EXPECT_EQ(fleet.daemon(i).blackboard.endpoints[0].freeSlots(fleet.now()), 0U) << i;
}

TEST(SlotFleet, TheSlotsOfADeadEntryComeBack)
{
    SlotFleet fleet({ .daemons = 3, .endpoints = 1, .slotsEach = 6 });
    fleet.run(1s);
    fleet.wait(1, 1, 6);
    fleet.run(1s);
    ASSERT_EQ(fleet.inFlight(1, 1), 6U);
    fleet.stop(1);
    fleet.run(3s);
    for (size_t i = 0; i < 3; ++i)
        fleet.setView(i, 1, MemberStatus::Dead);
    fleet.wait(0, 1, 6);
    fleet.run(5s);
    EXPECT_EQ(fleet.inFlight(0, 1), 6U);
}

TEST(SlotFleet, EndpointsOfADeadOwnerGetANewOne)
{
    SlotFleet fleet({ .daemons = 3, .endpoints = 8, .slotsEach = 2 });
    fleet.run(1s);
    fleet.stop(2);
    for (size_t i = 0; i < 2; ++i)
        fleet.setView(i, 2, MemberStatus::Dead);
    fleet.run(6s);
    fleet.wait(0, 0, 16);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(0, 0), 16U);
}

TEST(SlotFleet, AFullPoolOfTheSameTierAllowsRefusal)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(4s);
    fleet.wait(0, 0, 4);
    fleet.run(1s);
    fleet.wait(1, 0, 1, true);
    fleet.run(2s);
    const auto& verdict = fleet.daemon(1).blackboard.findPool(SlotFleet::service)->verdict;
    ASSERT_TRUE(verdict.askedAt.has_value());
    EXPECT_FALSE(verdict.hasFreeSlot);
    EXPECT_EQ(verdict.lowestServedRank, 0);
}

TEST(SlotFleet, UrgentWorkTakesTheSlotsOfALowerTierElsewhere)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 4 });
    fleet.run(4s);
    fleet.wait(0, 3, 10);
    fleet.run(1s);
    ASSERT_EQ(fleet.inFlight(0, 3), 4U);
    fleet.wait(1, 0, 2, true);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(1, 0), 2U);
    EXPECT_EQ(fleet.inFlight(0, 3), 2U);
    fleet.wait(1, 0, 2);
    fleet.run(1s);
    EXPECT_EQ(fleet.inFlight(0, 3), 2U) << "work that can wait preempts nothing";
}

TEST(SlotFleet, NoVerdictWithoutTheOwner)
{
    SlotFleet fleet({ .daemons = 2, .endpoints = 1, .slotsEach = 2 });
    fleet.run(4s);
    fleet.wait(0, 0, 2);
    fleet.wait(1, 0, 5, true);
    fleet.run(2s);
    fleet.setCut(0, 1, true);
    fleet.run(2s);
    const auto now = fleet.now();
    size_t fresh = 0;
    for (size_t i = 0; i < 2; ++i) {
        const auto& askedAt = fleet.daemon(i).blackboard.findPool(SlotFleet::service)->verdict.askedAt;
        fresh += askedAt && now < *askedAt + 1s ? 1 : 0;
    }
    EXPECT_EQ(fresh, 0U) << "neither an entry that is cut off nor an owner that misses an entry has a verdict";
}

TEST(SlotFleet, IdleDaemonsSaySeldomAnything)
{
    SlotFleet fleet({ .daemons = 4, .endpoints = 8, .slotsEach = 4 });
    fleet.run(5s);
    const auto before = fleet.messagesSent();
    fleet.run(10s);
    // Each of 4 entries may ask 3 other owners once in 800 ms and is answered once.
    EXPECT_LE(fleet.messagesSent() - before, 4U * 3 * 2 * 13);
}

TEST(SlotFleet, LowerTiersUseWhatHigherOnesLeave)
{
    SlotFleet fleet({ .daemons = 3, .endpoints = 2, .slotsEach = 5 });
    fleet.run(4s);
    fleet.wait(0, 0, 4);
    fleet.wait(1, 2, 20);
    fleet.run(1s);
    EXPECT_EQ(totalInFlight(fleet, 3, 0), 4U);
    EXPECT_EQ(totalInFlight(fleet, 3, 2), 6U);
}

} // namespace
} // namespace lentilbay::test
