// Property tests: runs of a strict-priority scheduler have no violation, and a violation added to one is
// reported.
#include "RunFixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace lentilbay;

namespace {

constexpr int requestMilliseconds = 10;

/// Requests of the given ranks at one endpoint that executes one at a time in order of rank. The first half
/// of them is served; the rest, which are of the lowest tiers, are refused.
RunRecords priorityRun(const std::vector<int>& ranks)
{
    RunRecords run;
    run.endpoints = { engineRecord("e1") };
    std::vector<CallerRecord> waiting;
    for (size_t n = 0; n < ranks.size(); ++n)
        waiting.push_back(answeredCaller("r" + std::to_string(n), ranks[n], 0, 0));
    std::ranges::stable_sort(waiting, {}, &CallerRecord::rank);
    const auto served = (waiting.size() + 1) / 2;
    for (size_t n = 0; n < waiting.size(); ++n) {
        const auto begin = static_cast<int>(std::min(n, served - 1)) * requestMilliseconds;
        auto& caller = waiting[n];
        caller.endedAt = after(begin + requestMilliseconds);
        if (n < served) {
            run.dispatches.push_back(dispatchOf(caller, "e1", begin, begin + requestMilliseconds));
        } else {
            caller.end = CallerEnd::Refused;
            caller.code = ResultCode::NoCapacity;
            caller.ran = Executed::No;
        }
        run.callers.push_back(caller);
    }
    return run;
}

std::vector<int> anyRanks(int lowest = 0)
{
    return *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(lowest, lowest + 4)));
}

} // namespace

RC_GTEST_PROP(CheckerProperty, reportsNothingForPriorityRuns, ())
{
    RC_ASSERT(checkInvariants(priorityRun(anyRanks())).empty());
}

RC_GTEST_PROP(CheckerProperty, reportsAnyRepeatedDispatch, ())
{
    auto run = priorityRun(anyRanks());
    const auto position = *rc::gen::inRange<size_t>(0, run.dispatches.size());
    auto again = run.dispatches[position];
    again.arrivedAt += std::chrono::milliseconds(1);
    run.dispatches.push_back(again);
    RC_ASSERT(countViolations(run, Invariant::DispatchedAtMostOnce) == 1U);
}

RC_GTEST_PROP(CheckerProperty, reportsAnyHigherTierRefusalWhileLowerTierRuns, ())
{
    auto run = priorityRun(anyRanks(1));
    const auto& victim = run.callers[*rc::gen::inRange<size_t>(0, run.dispatches.size())];
    auto refused = refusedCaller("refused", *rc::gen::inRange(0, victim.rank), 0, 0, ResultCode::NoCapacity);
    refused.endedAt = victim.endedAt - std::chrono::milliseconds(1);
    run.callers.push_back(refused);
    RC_ASSERT(countViolations(run, Invariant::HigherTierNotShedWhileLowerServed) == 1U);
}

RC_GTEST_PROP(CheckerProperty, reportsAnyDeniedExecution, ())
{
    auto run = priorityRun(anyRanks());
    auto& denied = run.callers[*rc::gen::inRange<size_t>(0, run.dispatches.size())];
    denied.end = CallerEnd::Refused;
    denied.code = ResultCode::NoCapacity;
    denied.ran = Executed::No;
    RC_ASSERT(countViolations(run, Invariant::NotRunIsTrue) == 1U);
}
