// Byte budgets: deferrable messages wait, others go on, and debt is bounded.
#include "lentilbay/Fleet/ByteBudget.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

const TimePoint start { 100s };

TEST(ByteBudget, DefersUntilTheRateHasPaid)
{
    ByteBudget budget(1000, 2000);
    EXPECT_TRUE(budget.open(start));
    budget.spend(3000, start);
    EXPECT_FALSE(budget.open(start + 900ms));
    EXPECT_TRUE(budget.open(start + 1100ms));
}

TEST(ByteBudget, DebtIsBounded)
{
    ByteBudget budget(1000, 2000);
    budget.spend(1'000'000, start);
    EXPECT_FALSE(budget.open(start + 1900ms));
    EXPECT_TRUE(budget.open(start + 2100ms));
}

TEST(ByteBudget, ZeroMeansUnlimited)
{
    ByteBudget budget;
    budget.spend(1'000'000, start);
    EXPECT_TRUE(budget.open(start));
}

} // namespace
} // namespace lentilbay
