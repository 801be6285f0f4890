// Tests that retries stay within a fraction of the requests plus the slack over any window.
#include "lentilbay/Policy/RepeatBudget.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr RepeatLimits limits { .ratio = 0.2, .slack = 5, .window = 10s };

TEST(RepeatBudget, AllowsSlackPlusFractionOfRequests)
{
    RepeatBudget budget;
    for (int i = 0; i < 100; ++i)
        budget.request(TimePoint(1s));
    int retries = 0;
    while (budget.take(limits, TimePoint(2s)))
        ++retries;
    EXPECT_EQ(retries, 25);
}

TEST(RepeatBudget, OldRequestsAllowNothing)
{
    RepeatBudget budget;
    for (int i = 0; i < 100; ++i)
        budget.request(TimePoint(1s));
    int retries = 0;
    while (budget.take(limits, TimePoint(12s)))
        ++retries;
    EXPECT_EQ(retries, 5);
}

TEST(RepeatBudget, RetriesLeaveTheWindow)
{
    RepeatBudget budget;
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(budget.take(limits, TimePoint(1s)));
    EXPECT_FALSE(budget.take(limits, TimePoint(10s)));
    EXPECT_TRUE(budget.take(limits, TimePoint(12s)));
}

} // namespace
} // namespace lentilbay
