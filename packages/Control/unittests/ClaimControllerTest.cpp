// Claims one by one: each fault of the table and of the holder, and what the caller is told.
#include "ClaimWorld.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;
using Told = ClaimWorld::Told;

TEST(Claims, ASecondDaemonGivesTheAnswerOfTheFirst)
{
    ClaimWorld world(2, 1);
    const auto first = world.send(0, "k");
    world.run(50ms);
    const auto second = world.send(1, "k");
    world.run(2s);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
    EXPECT_EQ(world.sent(first).told, Told::Answer);
    EXPECT_EQ(world.sent(second).told, Told::Answer);
    const auto late = world.send(1, "k");
    world.run(2s);
    EXPECT_EQ(world.sent(late).told, Told::Answer);
}

TEST(Claims, TheSameDaemonLetsTheSecondFollow)
{
    ClaimWorld world(1, 1);
    world.send(0, "k");
    const auto second = world.send(0, "k");
    world.run(2s);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
    EXPECT_EQ(world.sent(second).told, Told::Answer);
    EXPECT_EQ(world.table.rowsWritten, 1U);
}

TEST(Claims, AnotherBodyIsRefused)
{
    ClaimWorld world(2, 1);
    world.send(0, "k", 1);
    world.run(2s);
    const auto here = world.send(0, "k", 2);
    const auto elsewhere = world.send(1, "k", 2);
    world.run(2s);
    EXPECT_EQ(world.sent(here).code, ResultCode::IdempotencyKeyReused);
    EXPECT_EQ(world.sent(elsewhere).code, ResultCode::IdempotencyKeyReused);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
}

TEST(Claims, KeysOfTwoOrganisationsAreTwoKeys)
{
    ClaimWorld world(1, 1);
    world.send(0, "k", 1, "o");
    world.send(0, "k", 2, "p");
    world.run(2s);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
    EXPECT_EQ(world.executionsOf("p/k"), 1);
}

TEST(Claims, ALostAnswerIsReadAgainAndTheNonceTells)
{
    ClaimWorld world(1, 1);
    world.loseAnswers = 1;
    const auto id = world.send(0, "k");
    world.run(5s);
    EXPECT_EQ(world.sent(id).told, Told::Answer);
    EXPECT_EQ(world.table.rowsWritten, 1U);
    EXPECT_EQ(world.counters(0).ambiguous, 1U);
}

TEST(Claims, ALostRequestIsWrittenAgain)
{
    ClaimWorld world(1, 1);
    world.loseRequests = 1;
    const auto id = world.send(0, "k");
    world.run(5s);
    EXPECT_EQ(world.sent(id).told, Told::Answer);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
}

TEST(Claims, AnOutageIsWaitedForUntilTheDeadline)
{
    ClaimWorld world(1, 1);
    world.outage = true;
    const auto refused = world.send(0, "k");
    const auto waits = world.send(0, "l");
    world.run(5s);
    world.passDeadline(0);
    EXPECT_EQ(world.sent(refused).told, Told::RefusedNotRun);
    world.outage = false;
    world.run(2s);
    EXPECT_EQ(world.sent(waits).told, Told::Answer);
    EXPECT_EQ(world.executionsOf("o/k"), 0);
    // Nothing was recorded of the refused one, so the key is free.
    const auto again = world.send(0, "k");
    world.run(1s);
    EXPECT_EQ(world.sent(again).told, Told::Answer);
}

TEST(Claims, AWriteThatLandsAfterTheRefusalHoldsNobodyUp)
{
    ClaimWorld world(2, 1);
    world.tableDelay = 4s;
    const auto refused = world.send(0, "k");
    world.run(1s);
    world.passDeadline(0);
    EXPECT_EQ(world.sent(refused).told, Told::RefusedNotRun);
    world.tableDelay = 5ms;
    world.run(6s);
    EXPECT_EQ(world.table.rows.size(), 1U) << "the write has landed";
    // Another daemon hears that it was given up, removes the row, and the next attempt runs.
    const auto elsewhere = world.send(1, "k");
    world.run(1s);
    EXPECT_EQ(world.sent(elsewhere).told, Told::RefusedNotRun);
    EXPECT_EQ(world.sent(elsewhere).code, ResultCode::ClaimReleased);
    const auto again = world.send(1, "k");
    world.run(1s);
    EXPECT_EQ(world.sent(again).told, Told::Answer);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
}

TEST(Claims, TheSameDaemonWritesOverItsOwnDeadClaim)
{
    ClaimWorld world(1, 1);
    world.dispatches = false;
    world.send(0, "k");
    world.run(1s);
    world.passDeadline(0);
    world.dispatches = true;
    const auto again = world.send(0, "k");
    world.run(1s);
    EXPECT_EQ(world.sent(again).told, Told::Answer);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
}

TEST(Claims, AHolderThatIsGoneMeansUnknownAndNoSecondRun)
{
    for (const bool ranBefore : { false, true }) {
        ClaimWorld world(2, 1);
        world.dispatches = ranBefore;
        world.send(0, "k");
        world.run(1s);
        world.crash(0);
        world.dispatches = true;
        const auto here = world.send(0, "k");
        const auto elsewhere = world.send(1, "k");
        world.run(5s);
        for (const auto& id : { here, elsewhere }) {
            EXPECT_EQ(world.sent(id).told, Told::RefusedUnknown);
            EXPECT_EQ(world.sent(id).code, ResultCode::ClaimHolderGone);
        }
        EXPECT_EQ(world.executionsOf("o/k"), ranBefore ? 1 : 0);
    }
}

TEST(Claims, APausedClaimantThatWakesIsStillTheOnlyOne)
{
    ClaimWorld world(2, 1);
    world.dispatchDelay = 100ms;
    const auto first = world.send(0, "k");
    world.run(50ms);
    world.pause(0);
    const auto second = world.send(1, "k");
    world.run(30s);
    EXPECT_EQ(world.sent(second).told, Told::RefusedUnknown);
    EXPECT_EQ(world.executionsOf("o/k"), 0);
    world.resume(0);
    world.run(2s);
    EXPECT_EQ(world.sent(first).told, Told::Answer);
    const auto third = world.send(1, "k");
    world.run(2s);
    EXPECT_EQ(world.sent(third).told, Told::Answer);
    EXPECT_EQ(world.executionsOf("o/k"), 1);
}

TEST(Claims, ManyClaimsShareFewTransactions)
{
    ClaimWorld world(1, 1, { .writesPerSecond = 1000 });
    for (int i = 0; i < 100; ++i)
        world.send(0, "k" + std::to_string(i));
    world.run(3s);
    EXPECT_EQ(world.counters(0).held, 100U);
    EXPECT_LE(world.counters(0).transactions, 6U);
}

TEST(Claims, OneConflictDoesNotStopTheOthersOfItsGroup)
{
    ClaimWorld world(2, 1, { .writesPerSecond = 1000 });
    world.send(0, "k3");
    world.run(1s);
    std::vector<RequestId> ids;
    ids.reserve(10);
    for (int i = 0; i < 10; ++i)
        ids.push_back(world.send(1, "k" + std::to_string(i)));
    world.run(3s);
    for (const auto& id : ids)
        EXPECT_EQ(world.sent(id).told, Told::Answer) << world.sent(id).key;
    EXPECT_EQ(world.mostExecutions(), 1);
    EXPECT_EQ(world.counters(1).conflicts, 1U);
}

TEST(Claims, WritesASecondAreBoundedAndFairAmongOrganisations)
{
    ClaimWorld world(1, 1, { .writesPerSecond = 10, .storeTimeout = 10s });
    std::vector<RequestId> many;
    many.reserve(200);
    for (int i = 0; i < 200; ++i)
        many.push_back(world.send(0, "k" + std::to_string(i), 1, "large"));
    const auto few = world.send(0, "k", 1, "small");
    world.run(10s);
    EXPECT_EQ(world.sent(few).told, Told::Answer);
    EXPECT_LE(world.table.rowsWritten, 102U);
    EXPECT_GE(world.table.rowsWritten, 95U);
}

TEST(Claims, MoreKeysThanRecordsAreRefusedAsNotRun)
{
    ClaimWorld world(1, 1, { .maxRecords = 2 });
    world.send(0, "k1");
    world.send(0, "k2");
    const auto refused = world.send(0, "k3");
    world.run(1s);
    EXPECT_EQ(world.sent(refused).told, Told::RefusedNotRun);
    EXPECT_EQ(world.sent(refused).code, ResultCode::ClaimUnavailable);
    EXPECT_EQ(world.executionsOf("o/k3"), 0);
}

TEST(Claims, ExpiredRowsAreWrittenOverAndRemoved)
{
    ClaimWorld world(1, 1, { .retention = 1min, .recordLifetime = 10s, .cleanupPeriod = 5s });
    world.send(0, "k");
    world.run(50s);
    world.crash(0);
    // The earlier process is gone; within the retention its claim counts.
    const auto within = world.send(0, "k");
    world.run(5s);
    EXPECT_EQ(world.sent(within).told, Told::RefusedUnknown);
    world.run(15s);
    EXPECT_TRUE(world.table.rows.empty());
    const auto later = world.send(0, "k");
    world.run(1s);
    EXPECT_EQ(world.sent(later).told, Told::Answer);
}

} // namespace
} // namespace lentilbay
