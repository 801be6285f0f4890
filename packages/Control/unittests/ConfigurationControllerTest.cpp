// Tests of the configuration controller, one failure mode per test.
#include "ConfigurationFleet.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

/// Six daemons in three regions that have accepted version 1.
class ConfigurationControllerTest : public testing::Test {
protected:
    void SetUp() override
    {
        fleet.run(3s);
        first = fleet.propose(0, 1, 0);
        ASSERT_TRUE(fleet.settlesWithin(10s));
    }

    void TearDown() override
    {
        fleet.checkOutcomes();
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front();
    }

    /// Proposes a change and runs until it is committed.
    void commit(size_t i, uint64_t value)
    {
        const auto id = fleet.propose(i, value);
        const auto end = fleet.now + 20s;
        while (fleet.outcome(id) == ChangeOutcome::Unresolved && fleet.now < end)
            fleet.run(10ms);
        EXPECT_EQ(fleet.outcome(id), ChangeOutcome::Committed);
    }

    ConfigurationFleet fleet { 6, 3, 20261203 };
    std::string first;
};

TEST_F(ConfigurationControllerTest, AChangeIsAcceptedWhenAllDaemonsApplyIt)
{
    EXPECT_EQ(fleet.outcome(first), ChangeOutcome::Committed);
    for (size_t i = 0; i < 6; ++i)
        EXPECT_EQ(fleet.inForce(i), 1U);
    const auto& progress = fleet.nodes[3]->controller->progress();
    EXPECT_EQ(progress.daemons, 6U);
    EXPECT_EQ(progress.acknowledged, 6U);
}

TEST_F(ConfigurationControllerTest, OneOfTwoConcurrentChangesGetsAConflict)
{
    const auto left = fleet.propose(1, 7, 1);
    const auto right = fleet.propose(2, 8, 1);
    fleet.run(5s);
    EXPECT_NE(fleet.outcome(left), fleet.outcome(right));
    for (const auto& id : { left, right })
        EXPECT_TRUE(
            fleet.outcome(id) == ChangeOutcome::Committed || fleet.outcome(id) == ChangeOutcome::Conflict);
    EXPECT_EQ(fleet.newestVersion(), 2U);
}

TEST_F(ConfigurationControllerTest, RepeatingAChangeLeavesItUnchanged)
{
    const auto again = fleet.propose(4, 1, 0);
    fleet.run(2s);
    EXPECT_EQ(fleet.outcome(again), ChangeOutcome::Unchanged);
    EXPECT_EQ(fleet.newestVersion(), 1U);
}

TEST_F(ConfigurationControllerTest, ALostReplyIsResolvedFromTheTable)
{
    fleet.store.losesReplies = true;
    const auto id = fleet.propose(1, 9);
    fleet.run(1500ms);
    EXPECT_EQ(fleet.outcome(id), ChangeOutcome::Unresolved);
    fleet.store.losesReplies = false;
    fleet.run(10s);
    EXPECT_EQ(fleet.outcome(id), ChangeOutcome::Committed);
    EXPECT_EQ(fleet.newestVersion(), 2U);
    EXPECT_TRUE(fleet.settlesWithin(10s));
}

TEST_F(ConfigurationControllerTest, AnInvalidDocumentIsRefusedWithDiagnostics)
{
    fleet.nodes[0]->controller->propose({ .id = "x", .document = "[tier a]\n" }, fleet.now);
    const auto state = fleet.nodes[0]->controller->changeState("x");
    ASSERT_TRUE(state);
    EXPECT_EQ(state->outcome, ChangeOutcome::Refused);
    EXPECT_FALSE(state->faults.empty());
}

TEST_F(ConfigurationControllerTest, ATableOutageFencesNoDaemonAndFailsChanges)
{
    fleet.store.tableUnavailable = true;
    fleet.run(10s);
    const auto id = fleet.propose(1, 9);
    fleet.run(1h);
    EXPECT_EQ(fleet.outcome(id), ChangeOutcome::Unavailable);
    for (size_t i = 0; i < 6; ++i)
        EXPECT_TRUE(fleet.mayStartWork(i)) << i;
    fleet.store.tableUnavailable = false;
    commit(2, 10);
    EXPECT_TRUE(fleet.settlesWithin(30s));
}

TEST_F(ConfigurationControllerTest, ATableOutageAndACrashFenceNoOtherDaemon)
{
    fleet.store.tableUnavailable = true;
    fleet.run(10s);
    fleet.crash(0);
    fleet.run(1min);
    for (size_t i = 1; i < 6; ++i)
        EXPECT_TRUE(fleet.mayStartWork(i)) << i;
}

TEST_F(ConfigurationControllerTest, AnObjectStoreOutageBlocksNoChange)
{
    fleet.store.objectsUnavailable = true;
    commit(2, 10);
    EXPECT_TRUE(fleet.settlesWithin(5s));
}

TEST_F(ConfigurationControllerTest, ACrashedDaemonIsExcluded)
{
    fleet.crash(5);
    commit(2, 10);
    EXPECT_TRUE(fleet.settlesWithin(18s));
    EXPECT_EQ(fleet.accepted, 2U);
}

TEST_F(ConfigurationControllerTest, APartitionedDaemonFencesItselfAndIsExcluded)
{
    fleet.partition({ 0, 0, 0, 0, 0, 1 });
    fleet.nodes[5]->reachesStore = false;
    fleet.run(5s);
    EXPECT_FALSE(fleet.mayStartWork(5));
    commit(2, 10);
    fleet.run(18s);
    EXPECT_EQ(fleet.accepted, 2U);
    EXPECT_EQ(fleet.inForce(5), 1U);
    fleet.heal();
    fleet.nodes[5]->reachesStore = true;
    EXPECT_TRUE(fleet.settlesWithin(15s));
}

TEST_F(ConfigurationControllerTest, APartitionedRegionBlocksAcceptanceAndIsReported)
{
    // Daemons 2 and 5 form region r2.
    fleet.partition({ 0, 0, 1, 0, 0, 1 });
    fleet.nodes[2]->reachesStore = false;
    fleet.nodes[5]->reachesStore = false;
    fleet.run(5s);
    const auto id = fleet.propose(0, 10);
    fleet.run(10min);
    EXPECT_EQ(fleet.outcome(id), ChangeOutcome::Committed);
    EXPECT_EQ(fleet.accepted, 1U);
    EXPECT_TRUE(fleet.mayStartWork(2));
    EXPECT_TRUE(fleet.mayStartWork(5));
    const auto& progress = fleet.nodes[0]->controller->progress();
    ASSERT_EQ(progress.waiting.size(), 2U);
    for (const auto& it : progress.waiting)
        EXPECT_EQ(it.region, RegionId("r2"));
    fleet.heal();
    fleet.nodes[2]->reachesStore = true;
    fleet.nodes[5]->reachesStore = true;
    EXPECT_TRUE(fleet.settlesWithin(15s));
}

TEST_F(ConfigurationControllerTest, APausedDaemonStartsNoWorkUnderAnOldVersion)
{
    fleet.pause(4, 40s);
    commit(0, 10);
    fleet.run(30s);
    EXPECT_TRUE(fleet.isPaused(4));
    EXPECT_EQ(fleet.accepted, 2U);
    fleet.run(10s);
    EXPECT_TRUE(fleet.settlesWithin(15s));
}

TEST_F(ConfigurationControllerTest, AStaleReadOfTheTableRevertsNothing)
{
    commit(0, 10);
    ASSERT_TRUE(fleet.settlesWithin(10s));
    fleet.store.servesStaleHead = true;
    fleet.run(30s);
    const auto id = fleet.propose(1, 11);
    fleet.run(20s);
    EXPECT_EQ(fleet.outcome(id), ChangeOutcome::Unavailable);
    for (size_t i = 0; i < 6; ++i)
        EXPECT_EQ(fleet.inForce(i), 2U);
}

TEST_F(ConfigurationControllerTest, ARestartedDaemonLoadsTheNewestVersion)
{
    fleet.crash(3);
    commit(0, 10);
    fleet.run(2s);
    fleet.start(3);
    EXPECT_FALSE(fleet.mayStartWork(3));
    EXPECT_TRUE(fleet.settlesWithin(10s));
    EXPECT_EQ(fleet.inForce(3), 2U);
}

TEST_F(ConfigurationControllerTest, ARestartedDaemonWithoutTheTableAsksItsPeers)
{
    fleet.store.tableUnavailable = true;
    fleet.run(5s);
    fleet.crash(3);
    fleet.run(2s);
    fleet.start(3);
    fleet.run(15s);
    EXPECT_TRUE(fleet.mayStartWork(3));
    EXPECT_EQ(fleet.inForce(3), 1U);
    fleet.store.tableUnavailable = false;
    commit(0, 10);
    EXPECT_TRUE(fleet.settlesWithin(30s));
}

TEST_F(ConfigurationControllerTest, ARestartedDaemonWithoutPlatformAndPeersStaysFenced)
{
    fleet.store.tableUnavailable = true;
    fleet.crash(3);
    fleet.partition({ 0, 0, 0, 1, 0, 0 });
    fleet.start(3);
    fleet.run(10min);
    EXPECT_FALSE(fleet.mayStartWork(3));
    EXPECT_EQ(fleet.inForce(3), 0U);
}

TEST_F(ConfigurationControllerTest, AStopRemovesTheDaemonFromTheRoster)
{
    fleet.stop(5);
    fleet.run(2s);
    EXPECT_TRUE(fleet.nodes[5]->controller->isOffRoster());
    fleet.crash(5);
    commit(0, 10);
    EXPECT_TRUE(fleet.settlesWithin(5s));
    EXPECT_EQ(fleet.nodes[0]->controller->progress().daemons, 5U);
}

TEST_F(ConfigurationControllerTest, ARestartAfterManyVersionsUsesASnapshot)
{
    fleet.crash(3);
    for (uint64_t version = 2; version <= 100; ++version) {
        const auto id = fleet.propose(0, version + 100, version - 1);
        while (fleet.outcome(id) == ChangeOutcome::Unresolved && fleet.violations.empty())
            fleet.run(50ms);
        ASSERT_EQ(fleet.outcome(id), ChangeOutcome::Committed);
    }
    fleet.start(3);
    EXPECT_TRUE(fleet.settlesWithin(20s));
    EXPECT_EQ(fleet.inForce(3), 100U);
}

} // namespace
} // namespace lentilbay
