// Tests single claims under each fault of the table and of the holder, and the outcome for the caller.
#include "ClaimSimulation.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;
using Outcome = ClaimSimulation::Outcome;

TEST(Claims, ASecondDaemonReturnsTheAnswerOfTheFirst)
{
    ClaimSimulation simulation(2, 1);
    const auto first = simulation.send(0, "k");
    simulation.run(50ms);
    const auto second = simulation.send(1, "k");
    simulation.run(2s);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
    EXPECT_EQ(simulation.sent(first).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.sent(second).outcome, Outcome::Answered);
    const auto late = simulation.send(1, "k");
    simulation.run(2s);
    EXPECT_EQ(simulation.sent(late).outcome, Outcome::Answered);
}

TEST(Claims, ASecondRequestAtTheSameDaemonFollowsTheFirst)
{
    ClaimSimulation simulation(1, 1);
    simulation.send(0, "k");
    const auto second = simulation.send(0, "k");
    simulation.run(2s);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
    EXPECT_EQ(simulation.sent(second).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.table.rowsWritten, 1U);
}

TEST(Claims, ADifferentBodyWithTheSameKeyIsRefused)
{
    ClaimSimulation simulation(2, 1);
    simulation.send(0, "k", 1);
    simulation.run(2s);
    const auto here = simulation.send(0, "k", 2);
    const auto elsewhere = simulation.send(1, "k", 2);
    simulation.run(2s);
    EXPECT_EQ(simulation.sent(here).code, ResultCode::IdempotencyKeyReused);
    EXPECT_EQ(simulation.sent(elsewhere).code, ResultCode::IdempotencyKeyReused);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
}

TEST(Claims, KeysOfDifferentOrganisationsAreIndependent)
{
    ClaimSimulation simulation(1, 1);
    simulation.send(0, "k", 1, "o");
    simulation.send(0, "k", 2, "p");
    simulation.run(2s);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
    EXPECT_EQ(simulation.executionsOf("p/k"), 1);
}

TEST(Claims, ALostReplyIsResolvedByReadingTheNonce)
{
    ClaimSimulation simulation(1, 1);
    simulation.loseReplies = 1;
    const auto id = simulation.send(0, "k");
    simulation.run(5s);
    EXPECT_EQ(simulation.sent(id).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.table.rowsWritten, 1U);
    EXPECT_EQ(simulation.counters(0).ambiguous, 1U);
}

TEST(Claims, ALostWriteIsRetried)
{
    ClaimSimulation simulation(1, 1);
    simulation.loseRequests = 1;
    const auto id = simulation.send(0, "k");
    simulation.run(5s);
    EXPECT_EQ(simulation.sent(id).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
}

TEST(Claims, RequestsWaitDuringAnOutageUntilTheirDeadline)
{
    ClaimSimulation simulation(1, 1);
    simulation.outage = true;
    const auto refused = simulation.send(0, "k");
    const auto waits = simulation.send(0, "l");
    simulation.run(5s);
    simulation.expireDeadline(0);
    EXPECT_EQ(simulation.sent(refused).outcome, Outcome::RefusedNotRun);
    simulation.outage = false;
    simulation.run(2s);
    EXPECT_EQ(simulation.sent(waits).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.executionsOf("o/k"), 0);
    // No row was written for the refused request, so its key is still free.
    const auto again = simulation.send(0, "k");
    simulation.run(1s);
    EXPECT_EQ(simulation.sent(again).outcome, Outcome::Answered);
}

TEST(Claims, AWriteThatTakesEffectAfterTheRefusalIsRemoved)
{
    ClaimSimulation simulation(2, 1);
    simulation.tableDelay = 4s;
    const auto refused = simulation.send(0, "k");
    simulation.run(1s);
    simulation.expireDeadline(0);
    EXPECT_EQ(simulation.sent(refused).outcome, Outcome::RefusedNotRun);
    simulation.tableDelay = 5ms;
    simulation.run(6s);
    EXPECT_EQ(simulation.table.rows.size(), 1U) << "the write has taken effect";
    // The holder reports to another daemon that the claim is abandoned. That daemon removes the row, and the
    // next attempt runs.
    const auto elsewhere = simulation.send(1, "k");
    simulation.run(1s);
    EXPECT_EQ(simulation.sent(elsewhere).outcome, Outcome::RefusedNotRun);
    EXPECT_EQ(simulation.sent(elsewhere).code, ResultCode::ClaimReleased);
    const auto again = simulation.send(1, "k");
    simulation.run(1s);
    EXPECT_EQ(simulation.sent(again).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
}

TEST(Claims, ADaemonOverwritesItsOwnAbandonedClaim)
{
    ClaimSimulation simulation(1, 1);
    simulation.autoDispatch = false;
    simulation.send(0, "k");
    simulation.run(1s);
    simulation.expireDeadline(0);
    simulation.autoDispatch = true;
    const auto again = simulation.send(0, "k");
    simulation.run(1s);
    EXPECT_EQ(simulation.sent(again).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
}

TEST(Claims, ACrashedHolderGivesAnUnknownOutcomeAndNoSecondRun)
{
    for (const bool ranBefore : { false, true }) {
        ClaimSimulation simulation(2, 1);
        simulation.autoDispatch = ranBefore;
        simulation.send(0, "k");
        simulation.run(1s);
        simulation.crash(0);
        simulation.autoDispatch = true;
        const auto here = simulation.send(0, "k");
        const auto elsewhere = simulation.send(1, "k");
        simulation.run(5s);
        for (const auto& id : { here, elsewhere }) {
            EXPECT_EQ(simulation.sent(id).outcome, Outcome::RefusedUnknown);
            EXPECT_EQ(simulation.sent(id).code, ResultCode::ClaimHolderGone);
        }
        EXPECT_EQ(simulation.executionsOf("o/k"), ranBefore ? 1 : 0);
    }
}

TEST(Claims, OnlyThePausedClaimantRunsTheRequestAfterItResumes)
{
    ClaimSimulation simulation(2, 1);
    simulation.dispatchDelay = 100ms;
    const auto first = simulation.send(0, "k");
    simulation.run(50ms);
    simulation.pause(0);
    const auto second = simulation.send(1, "k");
    simulation.run(30s);
    EXPECT_EQ(simulation.sent(second).outcome, Outcome::RefusedUnknown);
    EXPECT_EQ(simulation.executionsOf("o/k"), 0);
    simulation.resume(0);
    simulation.run(2s);
    EXPECT_EQ(simulation.sent(first).outcome, Outcome::Answered);
    const auto third = simulation.send(1, "k");
    simulation.run(2s);
    EXPECT_EQ(simulation.sent(third).outcome, Outcome::Answered);
    EXPECT_EQ(simulation.executionsOf("o/k"), 1);
}

TEST(Claims, ClaimsAreWrittenInGroups)
{
    ClaimSimulation simulation(1, 1, { .writesPerSecond = 1000 });
    for (int i = 0; i < 100; ++i)
        simulation.send(0, "k" + std::to_string(i));
    simulation.run(3s);
    EXPECT_EQ(simulation.counters(0).held, 100U);
    EXPECT_LE(simulation.counters(0).transactions, 6U);
}

TEST(Claims, AConflictDoesNotBlockOtherClaimsOfItsGroup)
{
    ClaimSimulation simulation(2, 1, { .writesPerSecond = 1000 });
    simulation.send(0, "k3");
    simulation.run(1s);
    std::vector<RequestId> ids;
    ids.reserve(10);
    for (int i = 0; i < 10; ++i)
        ids.push_back(simulation.send(1, "k" + std::to_string(i)));
    simulation.run(3s);
    for (const auto& id : ids)
        EXPECT_EQ(simulation.sent(id).outcome, Outcome::Answered) << simulation.sent(id).key;
    EXPECT_EQ(simulation.maxExecutions(), 1);
    EXPECT_EQ(simulation.counters(1).conflicts, 1U);
}

TEST(Claims, WriteRateIsLimitedAndFairAmongOrganisations)
{
    ClaimSimulation simulation(1, 1, { .writesPerSecond = 10, .storeTimeout = 10s });
    std::vector<RequestId> requestIds;
    requestIds.reserve(200);
    for (int i = 0; i < 200; ++i)
        requestIds.push_back(simulation.send(0, "k" + std::to_string(i), 1, "large"));
    const auto few = simulation.send(0, "k", 1, "small");
    simulation.run(10s);
    EXPECT_EQ(simulation.sent(few).outcome, Outcome::Answered);
    EXPECT_LE(simulation.table.rowsWritten, 102U);
    EXPECT_GE(simulation.table.rowsWritten, 95U);
}

TEST(Claims, KeysBeyondTheRecordLimitAreRefusedAsNotRun)
{
    ClaimSimulation simulation(1, 1, { .maxRecords = 2 });
    simulation.send(0, "k1");
    simulation.send(0, "k2");
    const auto refused = simulation.send(0, "k3");
    simulation.run(1s);
    EXPECT_EQ(simulation.sent(refused).outcome, Outcome::RefusedNotRun);
    EXPECT_EQ(simulation.sent(refused).code, ResultCode::ClaimUnavailable);
    EXPECT_EQ(simulation.executionsOf("o/k3"), 0);
}

TEST(Claims, ExpiredRowsAreRemovedAndTheirKeysAreFree)
{
    ClaimSimulation simulation(1, 1, { .retention = 1min, .recordLifetime = 10s, .cleanupPeriod = 5s });
    simulation.send(0, "k");
    simulation.run(50s);
    simulation.crash(0);
    // The claim of the crashed process is valid until its retention ends.
    const auto within = simulation.send(0, "k");
    simulation.run(5s);
    EXPECT_EQ(simulation.sent(within).outcome, Outcome::RefusedUnknown);
    simulation.run(15s);
    EXPECT_TRUE(simulation.table.rows.empty());
    const auto later = simulation.send(0, "k");
    simulation.run(1s);
    EXPECT_EQ(simulation.sent(later).outcome, Outcome::Answered);
}

} // namespace
} // namespace lentilbay
