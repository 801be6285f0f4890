// Tests that retries stay within a fraction of the requests plus the slack over any window.
#include "lentilbay/Policy/WindowedRetryBudget.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr WindowedRetryLimits limits { .ratio = 0.2, .slack = 5, .window = 10s };

TEST(WindowedRetryBudget, AllowsSlackPlusFractionOfRequests)
{
    WindowedRetryBudget budget;
    for (int i = 0; i < 100; ++i)
        budget.request(TimePoint(1s));
    int retries = 0;
    while (budget.take(limits, TimePoint(2s)))
        ++retries;
    EXPECT_EQ(retries, 25);
}

TEST(WindowedRetryBudget, OldRequestsAllowNothing)
{
    WindowedRetryBudget budget;
    for (int i = 0; i < 100; ++i)
        budget.request(TimePoint(1s));
    int retries = 0;
    while (budget.take(limits, TimePoint(12s)))
        ++retries;
    EXPECT_EQ(retries, 5);
}

TEST(WindowedRetryBudget, RetriesLeaveTheWindow)
{
    WindowedRetryBudget budget;
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(budget.take(limits, TimePoint(1s)));
    EXPECT_FALSE(budget.take(limits, TimePoint(10s)));
    EXPECT_TRUE(budget.take(limits, TimePoint(12s)));
}

} // namespace
} // namespace lentilbay
