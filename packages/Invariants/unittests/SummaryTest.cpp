// Goodput counts complete answers in time; prefill without a good answer counts as wasted.
#include "lentilbay/Invariants/Summary.h"
#include "RunFixture.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace std::chrono_literals;

TEST(Summary, countsOutcomesByTier)
{
    auto run = cleanRun();
    run.callers[0].deadline = 299ms;
    run.callers.push_back(refusedCaller("bulk-2", 1, 0, 10, ResultCode::NoCapacity));
    run.callers.push_back(answeredCaller("bulk-3", 1, 0, 10));
    run.callers.back().end = CallerEnd::Lost;
    const auto summary = summarise(run);
    EXPECT_EQ(summary.tiers.at(0).late, 1U);
    EXPECT_EQ(summary.tiers.at(0).good, 1U);
    EXPECT_EQ(summary.tiers.at(1).sent, 3U);
    EXPECT_EQ(summary.tiers.at(1).good, 1U);
    EXPECT_EQ(summary.tiers.at(1).lost, 1U);
    EXPECT_EQ(summary.tiers.at(1).refusals.at(ResultCode::NoCapacity), 1U);
    EXPECT_NE(printed(summary).find("1 LB-3001"), std::string::npos) << printed(summary);
}

TEST(Summary, countsPrefillWithoutGoodAnswerAsWasted)
{
    auto run = cleanRun();
    run.dispatches[0].prefillComputed = 1'000;
    run.dispatches[1].prefillComputed = 500;
    EXPECT_EQ(summarise(run).wastedPrefill, 0U);
    run.callers[1].end = CallerEnd::Refused;
    EXPECT_EQ(summarise(run).wastedPrefill, 500U);
    EXPECT_EQ(summarise(run).prefill, 1'500U);
    run.dispatches.push_back(run.dispatches[0]);
    EXPECT_EQ(summarise(run).wastedPrefill, 1'500U);
    EXPECT_DOUBLE_EQ(summarise(run).wastedShare(), 0.6);
}
