// A clean run breaches nothing; for each invariant a deliberate fault is reported.
#include "RunFixture.h"

#include <gtest/gtest.h>
#include <set>

using namespace lentilbay;
using namespace std::chrono_literals;

TEST(Checker, findsNothingInACleanRun) { EXPECT_EQ(checkInvariants(cleanRun()), std::vector<Breach> {}); }

TEST(Checker, findsNothingInAnEmptyRun) { EXPECT_TRUE(checkInvariants({}).empty()); }

TEST(Checker, namesEachInvariantOnce)
{
    std::set<std::string_view> names;
    for (size_t n = 0; n < invariantCount; ++n)
        names.insert(printed(static_cast<Invariant>(n)));
    EXPECT_EQ(names.size(), invariantCount);
    EXPECT_FALSE(names.contains(""));
}

TEST(DispatchedAtMostOnce, reportsASecondDispatchOfAnId)
{
    auto run = cleanRun();
    run.dispatches.push_back(dispatchOf(run.callers[0], "e2", 100, 200));
    const auto breaches = checkInvariants(run);
    ASSERT_EQ(breaches.size(), 1U);
    EXPECT_EQ(breaches[0].invariant, Invariant::DispatchedAtMostOnce);
    EXPECT_EQ(breaches[0].requests, std::vector { RequestId("gold-1") });
    EXPECT_EQ(breaches[0].at, after(100));
    EXPECT_EQ(printed(breaches[0], runStart),
        "0.100s dispatched-at-most-once: gold-1: dispatched 2 times, to e1, e2");
}

TEST(DispatchedAtMostOnce, reportsASecondDispatchUnderAnotherId)
{
    auto run = cleanRun();
    auto again = dispatchOf(run.callers[0], "e2", 100, 200);
    again.id = RequestId("other");
    run.dispatches.push_back(again);
    EXPECT_EQ(breachesOf(run, Invariant::DispatchedAtMostOnce), 1U);
}

TEST(DispatchedAtMostOnce, allowsTheSameContentFromTwoRequests)
{
    auto run = cleanRun();
    auto caller = run.callers[0];
    caller.id = RequestId("gold-2");
    auto dispatch = run.dispatches[0];
    dispatch.id = caller.id;
    run.callers.push_back(caller);
    run.dispatches.push_back(dispatch);
    EXPECT_EQ(breachesOf(run, Invariant::DispatchedAtMostOnce), 0U);
}

TEST(HigherTier, reportsASheddingWhileLowerTierWorkRuns)
{
    auto run = cleanRun();
    run.callers.push_back(refusedCaller("gold-2", 0, 20, 100, ResultCode::NoCapacity));
    const auto breaches = checkInvariants(run);
    ASSERT_EQ(breaches.size(), 1U);
    EXPECT_EQ(breaches[0].invariant, Invariant::HigherTierNotShedWhileLowerServed);
    EXPECT_EQ(breaches[0].requests, (std::vector { RequestId("gold-2"), RequestId("bulk-1") }));
}

TEST(WholeAnswer, reportsAnothersAnswer)
{
    auto run = cleanRun();
    run.callers[0].own = false;
    EXPECT_EQ(breachesOf(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(WholeAnswer, reportsAPartGivenAsAWhole)
{
    auto run = cleanRun();
    run.callers[1].whole = false;
    EXPECT_EQ(breachesOf(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(WholeAnswer, reportsALostRequestUnlessItsDaemonWasKilled)
{
    auto run = cleanRun();
    run.callers[0].end = CallerEnd::Lost;
    EXPECT_EQ(breachesOf(run, Invariant::WholeAnswerToItsCaller), 1U);
    run.faults = { { .kind = FaultRecord::Kind::DaemonKilled, .subject = "d2", .from = after(100) } };
    EXPECT_EQ(breachesOf(run, Invariant::WholeAnswerToItsCaller), 1U);
    run.faults[0].subject = "d1";
    EXPECT_EQ(breachesOf(run, Invariant::WholeAnswerToItsCaller), 0U);
    run.faults[0].from = after(301);
    EXPECT_EQ(breachesOf(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(WholeAnswer, allowsNoConnectionToADaemonThatStops)
{
    auto run = cleanRun();
    auto late = answeredCaller("late", 0, 500, 501);
    late.end = CallerEnd::Lost;
    run.callers.push_back(late);
    run.stops = { { .daemon = DaemonId("d1"), .requestedAt = after(450), .exitedAt = after(480) } };
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
    run.dispatches.push_back(dispatchOf(late, "e1", 500, 700));
    EXPECT_EQ(breachesOf(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(NotRun, reportsARefusalThatSaysNoForWorkThatRan)
{
    auto run = cleanRun();
    auto refused = refusedCaller("bulk-2", 1, 30, 200, ResultCode::Preempted);
    run.callers.push_back(refused);
    EXPECT_EQ(breachesOf(run, Invariant::NotRunIsTrue), 0U);
    run.dispatches.push_back(dispatchOf(refused, "e1", 50, 190));
    EXPECT_EQ(breachesOf(run, Invariant::NotRunIsTrue), 1U);
    run.callers.back().ran = Ran::Partly;
    EXPECT_EQ(breachesOf(run, Invariant::NotRunIsTrue), 0U);
}

TEST(NotRun, isTrueWhereTheEndpointRefused)
{
    auto run = cleanRun();
    auto refused = refusedCaller("bulk-2", 1, 30, 200, ResultCode::EndpointRefused);
    run.callers.push_back(refused);
    run.dispatches.push_back(dispatchOf(refused, "e1", 50, 51));
    run.dispatches.back().executed = false;
    run.dispatches.back().endpointFailed = true;
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
}

TEST(NotRun, isJudgedByContentWhereTheIdIsUnknown)
{
    auto run = cleanRun();
    auto refused = refusedCaller("bulk-2", 1, 30, 200, ResultCode::Preempted);
    auto dispatch = dispatchOf(refused, "e1", 50, 190);
    dispatch.id = RequestId("renamed");
    run.callers.push_back(refused);
    run.dispatches.push_back(dispatch);
    EXPECT_EQ(breachesOf(run, Invariant::NotRunIsTrue), 1U);
}

TEST(NonIdempotent, reportsAKeyThatRanTwice)
{
    auto run = cleanRun();
    const auto retry = reservation("lot-2", "k1", 50, 70);
    run.callers.push_back(retry);
    EXPECT_EQ(breachesOf(run, Invariant::NonIdempotentRunsAtMostOnce), 0U);
    run.dispatches.push_back(dispatchOf(retry, "app", 55, 65));
    const auto breaches = checkInvariants(run);
    ASSERT_EQ(breaches.size(), 1U);
    EXPECT_EQ(breaches[0].invariant, Invariant::NonIdempotentRunsAtMostOnce);
    EXPECT_EQ(breaches[0].at, after(55));
}

TEST(NonIdempotent, keysOfTwoOrganisationsAreTwoKeys)
{
    auto run = cleanRun();
    auto other = reservation("lot-2", "k1", 50, 70);
    other.organisation = OrganisationId("society");
    run.callers.push_back(other);
    run.dispatches.push_back(dispatchOf(other, "app", 55, 65));
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
}

TEST(NonIdempotent, countsOnlyWhatRan)
{
    auto run = cleanRun();
    const auto retry = reservation("lot-2", "k1", 50, 70);
    run.callers.push_back(retry);
    run.dispatches.push_back(dispatchOf(retry, "app", 55, 56));
    run.dispatches.back().executed = false;
    EXPECT_EQ(breachesOf(run, Invariant::NonIdempotentRunsAtMostOnce), 0U);
}

TEST(LeavingEndpoint, reportsNewWorkAfterTheGrace)
{
    auto run = cleanRun();
    run.endpoints[0].leavingSince = after(0);
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
    const auto late = answeredCaller("late", 0, 5'990, 6'300);
    run.callers.push_back(late);
    run.dispatches.push_back(dispatchOf(late, "e1", 5'001, 6'290));
    EXPECT_EQ(breachesOf(run, Invariant::LeavingEndpointGetsNoNewWork), 1U);
    EXPECT_EQ(breachesOf(run, Invariant::LeavingEndpointGetsNoNewWork, { .leavingGrace = 6s }), 0U);
}

TEST(PlannedStop, reportsWhatItCutsOff)
{
    auto run = cleanRun();
    run.stops = { { .daemon = DaemonId("d1"), .requestedAt = after(100), .exitedAt = after(500) } };
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
    run.callers[0].end = CallerEnd::Refused;
    run.callers[0].code = ResultCode::Draining;
    run.callers[0].ran = Ran::Partly;
    EXPECT_EQ(breachesOf(run, Invariant::PlannedStopCutsNothingOff), 1U);
    run.callers[0].end = CallerEnd::Lost;
    EXPECT_EQ(breachesOf(run, Invariant::PlannedStopCutsNothingOff), 1U);
}

TEST(PlannedStop, mayRefuseWhatHasNotRun)
{
    auto run = cleanRun();
    run.stops = { { .daemon = DaemonId("d1"), .requestedAt = after(100), .exitedAt = after(500) } };
    run.callers.push_back(refusedCaller("gold-2", 0, 90, 110, ResultCode::Draining));
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
}

TEST(PlannedStop, reportsAnExitCode)
{
    auto run = cleanRun();
    run.stops
        = { { .daemon = DaemonId("d1"), .requestedAt = after(450), .exitedAt = after(500), .exitCode = 1 } };
    EXPECT_EQ(breachesOf(run, Invariant::PlannedStopCutsNothingOff), 1U);
}

TEST(AcceptedConfiguration, reportsADaemonThatIsBehind)
{
    auto run = cleanRun();
    run.observed.push_back({ .daemon = DaemonId("d2"), .version = 1, .at = after(5'099) });
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
    run.observed.back().at = after(5'100);
    EXPECT_EQ(breachesOf(run, Invariant::AcceptedConfigurationInForce), 1U);
    run.observed.back().takesWork = false;
    EXPECT_EQ(checkInvariants(run), std::vector<Breach> {});
}

TEST(AcceptedConfiguration, reportsARevert)
{
    auto run = cleanRun();
    run.observed.push_back({ .daemon = DaemonId("d1"), .version = 1, .at = after(300) });
    EXPECT_EQ(breachesOf(run, Invariant::AcceptedConfigurationInForce), 1U);
}

TEST(AcceptedConfiguration, reportsAnotherDocumentUnderTheSameVersion)
{
    auto run = cleanRun();
    run.observed[1].contentDigest = 23;
    EXPECT_EQ(breachesOf(run, Invariant::AcceptedConfigurationInForce), 1U);
}
