// ByteBudget: deferrable messages wait for credit, other messages do not, and the debt is bounded.
#include "lentilbay/Fleet/ByteBudget.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

const TimePoint start { 100s };

TEST(ByteBudget, DefersUntilDebtIsRepaid)
{
    ByteBudget budget(1000, 2000);
    EXPECT_TRUE(budget.hasCredit(start));
    budget.consume(3000, start);
    EXPECT_FALSE(budget.hasCredit(start + 900ms));
    EXPECT_TRUE(budget.hasCredit(start + 1100ms));
}

TEST(ByteBudget, DebtIsBounded)
{
    ByteBudget budget(1000, 2000);
    budget.consume(1'000'000, start);
    EXPECT_FALSE(budget.hasCredit(start + 1900ms));
    EXPECT_TRUE(budget.hasCredit(start + 2100ms));
}

TEST(ByteBudget, ZeroMeansUnlimited)
{
    ByteBudget budget;
    budget.consume(1'000'000, start);
    EXPECT_TRUE(budget.hasCredit(start));
}

} // namespace
} // namespace lentilbay
