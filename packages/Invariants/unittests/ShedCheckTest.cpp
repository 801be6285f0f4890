// Tests of what counts as shed, what counts as served, and which recorded faults excuse a refusal.
#include "RunFixture.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace std::chrono_literals;

namespace {

constexpr auto shed = Invariant::HigherTierNotShedWhileLowerServed;

/// The clean run, in which bulk-1 runs from 15 ms to 395 ms, plus a top-tier request refused at 100 ms.
RunRecords runWithRefusal(ResultCode code)
{
    auto run = cleanRun();
    run.callers.push_back(refusedCaller("gold-2", 0, 20, 100, code));
    return run;
}

} // namespace

TEST(ShedCheck, countsRefusalsOtherThanClientErrorsAndLimits)
{
    for (const auto& row : resultCodeTable()) {
        const auto number = static_cast<int>(row.code);
        const bool isExcused = number < 3000;
        EXPECT_EQ(countViolations(runWithRefusal(row.code), shed), isExcused ? 0U : 1U) << row.name;
    }
}

TEST(ShedCheck, requiresConcurrentLowerTierWork)
{
    for (const auto endedAt : { 10, 395, 500 }) {
        auto run = cleanRun();
        run.callers.push_back(refusedCaller("gold-2", 0, 0, endedAt, ResultCode::NoCapacity));
        EXPECT_EQ(countViolations(run, shed), 0U) << endedAt;
    }
    auto run = cleanRun();
    run.callers.push_back(refusedCaller("gold-2", 0, 0, 394, ResultCode::NoCapacity));
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, unfinishedWorkCountsAsServed)
{
    auto run = cleanRun();
    run.dispatches[1].endedAt.reset();
    run.callers.push_back(refusedCaller("gold-2", 0, 0, 100'000, ResultCode::QueueFull));
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, ignoresSameTierAndOtherPools)
{
    auto run = cleanRun();
    run.callers.push_back(refusedCaller("bulk-2", 1, 20, 100, ResultCode::NoCapacity));
    auto elsewhere = refusedCaller("gold-2", 0, 20, 100, ResultCode::NoCapacity);
    elsewhere.service = ServiceId("lot-reservations");
    run.callers.push_back(elsewhere);
    EXPECT_EQ(countViolations(run, shed), 0U);
}

TEST(ShedCheck, countsOtherServicesOnPoolEndpoints)
{
    auto run = runWithRefusal(ResultCode::NoCapacity);
    run.endpoints[1].services.push_back(ServiceId("reviewer"));
    run.callers[1].service = ServiceId("reviewer");
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, excusesDeadlineInfeasibleOnIdlePool)
{
    auto run = runWithRefusal(ResultCode::DeadlineInfeasible);
    run.callers.back().deadline = 189ms;
    EXPECT_EQ(countViolations(run, shed), 0U);
    run.callers.back().deadline = 190ms;
    EXPECT_EQ(countViolations(run, shed), 1U);
    EXPECT_EQ(countViolations(run, shed, { .idleOverhead = 1ms }), 0U);
    // The fastest endpoint determines the idle time, and prefill of a prefix that may be cached doesn't
    // count.
    run.callers.back().deadline = 150ms;
    EXPECT_EQ(countViolations(run, shed), 0U);
    run.callers.back().sharedPrefixTokens = 500;
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.callers.back().sharedPrefixTokens = 0;
    run.endpoints[1].prefillTokensPerSecond = 20'000;
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, countsOnlyWorkRunningThroughoutAnswerDelay)
{
    const auto run = runWithRefusal(ResultCode::NoCapacity);
    EXPECT_EQ(countViolations(run, shed, { .answerDelay = 80ms }), 1U);
    EXPECT_EQ(countViolations(run, shed, { .answerDelay = 90ms }), 0U);
}

TEST(ShedCheck, drainingRequiresRecordedStop)
{
    auto run = runWithRefusal(ResultCode::Draining);
    run.stops = { { .daemon = DaemonId("d2"), .requestedAt = after(10) } };
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.stops[0].daemon = DaemonId("d1");
    EXPECT_EQ(countViolations(run, shed), 0U);
    run.stops[0].requestedAt = after(101);
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, claimUnavailableRequiresPlatformFault)
{
    auto run = runWithRefusal(ResultCode::ClaimUnavailable);
    run.faults = { { .kind = FaultRecord::Kind::PlatformFault, .from = after(0), .until = after(50) } };
    EXPECT_EQ(countViolations(run, shed), 0U);
    EXPECT_EQ(countViolations(run, shed, { .faultGracePeriod = {} }), 0U);
    run.faults[0].until = after(10);
    EXPECT_EQ(countViolations(run, shed, { .faultGracePeriod = {} }), 1U);
    run.faults[0].from = after(101);
    run.faults[0].until.reset();
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, fencedRequiresFencingFault)
{
    auto run = runWithRefusal(ResultCode::Fenced);
    run.faults = { { .kind = FaultRecord::Kind::EndpointFault, .from = after(0) } };
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.faults[0].kind = FaultRecord::Kind::Partition;
    EXPECT_EQ(countViolations(run, shed), 0U);
    run.faults[0] = { .kind = FaultRecord::Kind::DaemonPaused, .subject = "d2", .from = after(0) };
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, ownerUnreachableRequiresDaemonOrLinkFault)
{
    auto run = runWithRefusal(ResultCode::OwnerUnreachable);
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.faults = { { .kind = FaultRecord::Kind::EndpointFault, .subject = "e1", .from = after(0) } };
    EXPECT_EQ(countViolations(run, shed), 1U);
    for (const auto kind :
        { FaultRecord::Kind::Partition, FaultRecord::Kind::DaemonKilled, FaultRecord::Kind::DaemonPaused }) {
        run.faults = { { .kind = kind, .subject = "d2", .from = after(0) } };
        EXPECT_EQ(countViolations(run, shed), 0U);
        run.faults[0].from = after(101);
        EXPECT_EQ(countViolations(run, shed), 1U);
    }
}

TEST(ShedCheck, expiryInQueueRequiresPauseOfOwnDaemon)
{
    auto run = runWithRefusal(ResultCode::DeadlinePassedWaiting);
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.faults = { { .kind = FaultRecord::Kind::DaemonPaused, .subject = "d2", .from = after(0) } };
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.faults[0].subject = run.callers.back().daemon.text();
    EXPECT_EQ(countViolations(run, shed), 0U);
    run.faults[0].until = after(1);
    EXPECT_EQ(countViolations(run, shed), 1U);
}

TEST(ShedCheck, endpointUnreachableRequiresAllEndpointsUnavailable)
{
    auto run = runWithRefusal(ResultCode::EndpointUnreachable);
    run.faults = { { .kind = FaultRecord::Kind::EndpointFault, .subject = "e1", .from = after(0) } };
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.endpoints[1].leavingSince = after(50);
    EXPECT_EQ(countViolations(run, shed), 0U);
}

TEST(ShedCheck, brokenAnswerRequiresEndpointFailure)
{
    auto run = runWithRefusal(ResultCode::EndpointBroke);
    run.callers.back().ran = Executed::Partly;
    run.dispatches.push_back(dispatchOf(run.callers.back(), "e1", 30, 90));
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.dispatches.back().endpointFailed = true;
    EXPECT_EQ(countViolations(run, shed), 0U);
}

TEST(ShedCheck, stragglerExcusesOnlyEarlierDispatches)
{
    auto run = runWithRefusal(ResultCode::DeadlinePassedRunning);
    run.callers.back().ran = Executed::Partly;
    run.dispatches.push_back(dispatchOf(run.callers.back(), "e1", 30, 90));
    run.faults = { { .kind = FaultRecord::Kind::EndpointFault, .subject = "e1", .from = after(10) } };
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.faults[0].from = after(40);
    EXPECT_EQ(countViolations(run, shed), 0U);
}

TEST(ShedCheck, claimInProgressRequiresEarlierRequestWithKey)
{
    auto run = cleanRun();
    auto bulk = answeredCaller("bulk-lot", 1, 0, 400);
    bulk.service = ServiceId("lot-reservations");
    run.callers.push_back(bulk);
    run.dispatches.push_back(dispatchOf(bulk, "app", 5, 395));
    auto refused = reservation("lot-2", "k2", 50, 70);
    refused.end = CallerEnd::Refused;
    refused.code = ResultCode::ClaimInProgress;
    run.callers.push_back(refused);
    EXPECT_EQ(countViolations(run, shed), 1U);
    run.callers.back().idempotencyKey = "k1";
    EXPECT_EQ(countViolations(run, shed), 0U);
}
