// A clean run has no violation, and a violation added to it is reported, for each invariant.
#include "RunFixture.h"

#include <gtest/gtest.h>
#include <set>

using namespace lentilbay;
using namespace std::chrono_literals;

TEST(Checker, reportsNothingForCleanRun)
{
    EXPECT_EQ(checkInvariants(cleanRun()), std::vector<Violation> {});
}

TEST(Checker, reportsNothingForEmptyRun) { EXPECT_TRUE(checkInvariants({}).empty()); }

TEST(Checker, printsDistinctInvariantNames)
{
    std::set<std::string_view> names;
    for (size_t n = 0; n < invariantCount; ++n)
        names.insert(printed(static_cast<Invariant>(n)));
    EXPECT_EQ(names.size(), invariantCount);
    EXPECT_FALSE(names.contains(""));
}

TEST(DispatchedAtMostOnce, reportsSecondDispatchOfSameId)
{
    auto run = cleanRun();
    run.dispatches.push_back(dispatchOf(run.callers[0], "e2", 100, 200));
    const auto violations = checkInvariants(run);
    ASSERT_EQ(violations.size(), 1U);
    EXPECT_EQ(violations[0].invariant, Invariant::DispatchedAtMostOnce);
    EXPECT_EQ(violations[0].requests, std::vector { RequestId("gold-1") });
    EXPECT_EQ(violations[0].at, after(100));
    EXPECT_EQ(printed(violations[0], runStart),
        "0.100s dispatched-at-most-once: gold-1: dispatched 2 times, to e1, e2");
}

TEST(DispatchedAtMostOnce, reportsSecondDispatchUnderDifferentId)
{
    auto run = cleanRun();
    auto again = dispatchOf(run.callers[0], "e2", 100, 200);
    again.id = RequestId("other");
    run.dispatches.push_back(again);
    EXPECT_EQ(countViolations(run, Invariant::DispatchedAtMostOnce), 1U);
}

TEST(DispatchedAtMostOnce, allowsSameContentFromTwoRequests)
{
    auto run = cleanRun();
    auto caller = run.callers[0];
    caller.id = RequestId("gold-2");
    auto dispatch = run.dispatches[0];
    dispatch.id = caller.id;
    run.callers.push_back(caller);
    run.dispatches.push_back(dispatch);
    EXPECT_EQ(countViolations(run, Invariant::DispatchedAtMostOnce), 0U);
}

TEST(HigherTier, reportsSheddingWhileLowerTierWorkRuns)
{
    auto run = cleanRun();
    run.callers.push_back(refusedCaller("gold-2", 0, 20, 100, ResultCode::NoCapacity));
    const auto violations = checkInvariants(run);
    ASSERT_EQ(violations.size(), 1U);
    EXPECT_EQ(violations[0].invariant, Invariant::HigherTierNotShedWhileLowerServed);
    EXPECT_EQ(violations[0].requests, (std::vector { RequestId("gold-2"), RequestId("bulk-1") }));
}

TEST(WholeAnswer, reportsAnswerToDifferentRequest)
{
    auto run = cleanRun();
    run.callers[0].own = false;
    EXPECT_EQ(countViolations(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(WholeAnswer, reportsPartialAnswerMarkedComplete)
{
    auto run = cleanRun();
    run.callers[1].whole = false;
    EXPECT_EQ(countViolations(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(WholeAnswer, reportsLostRequestUnlessDaemonWasKilled)
{
    auto run = cleanRun();
    run.callers[0].end = CallerEnd::Lost;
    EXPECT_EQ(countViolations(run, Invariant::WholeAnswerToItsCaller), 1U);
    run.faults = { { .kind = FaultRecord::Kind::DaemonKilled, .subject = "d2", .from = after(100) } };
    EXPECT_EQ(countViolations(run, Invariant::WholeAnswerToItsCaller), 1U);
    run.faults[0].subject = "d1";
    EXPECT_EQ(countViolations(run, Invariant::WholeAnswerToItsCaller), 0U);
    run.faults[0].from = after(301);
    EXPECT_EQ(countViolations(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(WholeAnswer, allowsRefusedConnectionToStoppingDaemon)
{
    auto run = cleanRun();
    auto late = answeredCaller("late", 0, 500, 501);
    late.end = CallerEnd::Lost;
    run.callers.push_back(late);
    run.stops = { { .daemon = DaemonId("d1"), .requestedAt = after(450), .exitedAt = after(480) } };
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
    run.dispatches.push_back(dispatchOf(late, "e1", 500, 700));
    EXPECT_EQ(countViolations(run, Invariant::WholeAnswerToItsCaller), 1U);
}

TEST(NotRun, reportsRefusalThatDeniesExecution)
{
    auto run = cleanRun();
    auto refused = refusedCaller("bulk-2", 1, 30, 200, ResultCode::Preempted);
    run.callers.push_back(refused);
    EXPECT_EQ(countViolations(run, Invariant::NotRunIsTrue), 0U);
    run.dispatches.push_back(dispatchOf(refused, "e1", 50, 190));
    EXPECT_EQ(countViolations(run, Invariant::NotRunIsTrue), 1U);
    run.callers.back().ran = Executed::Partly;
    EXPECT_EQ(countViolations(run, Invariant::NotRunIsTrue), 0U);
}

TEST(NotRun, holdsIfEndpointRefused)
{
    auto run = cleanRun();
    auto refused = refusedCaller("bulk-2", 1, 30, 200, ResultCode::EndpointRefused);
    run.callers.push_back(refused);
    run.dispatches.push_back(dispatchOf(refused, "e1", 50, 51));
    run.dispatches.back().executed = false;
    run.dispatches.back().endpointFailed = true;
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
}

TEST(NotRun, matchesByContentIfIdIsUnknown)
{
    auto run = cleanRun();
    auto refused = refusedCaller("bulk-2", 1, 30, 200, ResultCode::Preempted);
    auto dispatch = dispatchOf(refused, "e1", 50, 190);
    dispatch.id = RequestId("renamed");
    run.callers.push_back(refused);
    run.dispatches.push_back(dispatch);
    EXPECT_EQ(countViolations(run, Invariant::NotRunIsTrue), 1U);
}

TEST(NonIdempotent, reportsKeyExecutedTwice)
{
    auto run = cleanRun();
    const auto retry = reservation("lot-2", "k1", 50, 70);
    run.callers.push_back(retry);
    EXPECT_EQ(countViolations(run, Invariant::NonIdempotentRunsAtMostOnce), 0U);
    run.dispatches.push_back(dispatchOf(retry, "app", 55, 65));
    const auto violations = checkInvariants(run);
    ASSERT_EQ(violations.size(), 1U);
    EXPECT_EQ(violations[0].invariant, Invariant::NonIdempotentRunsAtMostOnce);
    EXPECT_EQ(violations[0].at, after(55));
}

TEST(NonIdempotent, scopesKeysByOrganisation)
{
    auto run = cleanRun();
    auto other = reservation("lot-2", "k1", 50, 70);
    other.organisation = OrganisationId("society");
    run.callers.push_back(other);
    run.dispatches.push_back(dispatchOf(other, "app", 55, 65));
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
}

TEST(NonIdempotent, countsOnlyExecutedDispatches)
{
    auto run = cleanRun();
    const auto retry = reservation("lot-2", "k1", 50, 70);
    run.callers.push_back(retry);
    run.dispatches.push_back(dispatchOf(retry, "app", 55, 56));
    run.dispatches.back().executed = false;
    EXPECT_EQ(countViolations(run, Invariant::NonIdempotentRunsAtMostOnce), 0U);
}

TEST(LeavingEndpoint, reportsNewWorkAfterGracePeriod)
{
    auto run = cleanRun();
    run.endpoints[0].leavingSince = after(0);
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
    const auto late = answeredCaller("late", 0, 5'990, 6'300);
    run.callers.push_back(late);
    run.dispatches.push_back(dispatchOf(late, "e1", 5'001, 6'290));
    EXPECT_EQ(countViolations(run, Invariant::LeavingEndpointGetsNoNewWork), 1U);
    EXPECT_EQ(countViolations(run, Invariant::LeavingEndpointGetsNoNewWork, { .leavingGrace = 6s }), 0U);
}

TEST(PlannedStop, reportsAbortedRequest)
{
    auto run = cleanRun();
    run.stops = { { .daemon = DaemonId("d1"), .requestedAt = after(100), .exitedAt = after(500) } };
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
    run.callers[0].end = CallerEnd::Refused;
    run.callers[0].code = ResultCode::Draining;
    run.callers[0].ran = Executed::Partly;
    EXPECT_EQ(countViolations(run, Invariant::PlannedStopCutsNothingOff), 1U);
    run.callers[0].end = CallerEnd::Lost;
    EXPECT_EQ(countViolations(run, Invariant::PlannedStopCutsNothingOff), 1U);
}

TEST(PlannedStop, allowsRefusalBeforeExecution)
{
    auto run = cleanRun();
    run.stops = { { .daemon = DaemonId("d1"), .requestedAt = after(100), .exitedAt = after(500) } };
    run.callers.push_back(refusedCaller("gold-2", 0, 90, 110, ResultCode::Draining));
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
}

TEST(PlannedStop, reportsNonzeroExitCode)
{
    auto run = cleanRun();
    run.stops
        = { { .daemon = DaemonId("d1"), .requestedAt = after(450), .exitedAt = after(500), .exitCode = 1 } };
    EXPECT_EQ(countViolations(run, Invariant::PlannedStopCutsNothingOff), 1U);
}

TEST(AcceptedConfiguration, reportsStaleDaemon)
{
    auto run = cleanRun();
    run.observed.push_back({ .daemon = DaemonId("d2"), .version = 1, .at = after(5'099) });
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
    run.observed.back().at = after(5'100);
    EXPECT_EQ(countViolations(run, Invariant::AcceptedConfigurationInForce), 1U);
    run.observed.back().takesWork = false;
    EXPECT_EQ(checkInvariants(run), std::vector<Violation> {});
}

TEST(AcceptedConfiguration, reportsRevert)
{
    auto run = cleanRun();
    run.observed.push_back({ .daemon = DaemonId("d1"), .version = 1, .at = after(300) });
    EXPECT_EQ(countViolations(run, Invariant::AcceptedConfigurationInForce), 1U);
}

TEST(AcceptedConfiguration, reportsDifferentDocumentWithSameVersion)
{
    auto run = cleanRun();
    run.observed[1].contentDigest = 23;
    EXPECT_EQ(countViolations(run, Invariant::AcceptedConfigurationInForce), 1U);
}
