// Tests that the charges of a budget stay within its limit, and that the largest one is given up.
#include "lentilbay/Support/MemoryBudget.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

class MemoryBudgetTest : public testing::Test {
protected:
    std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(100'000);
    int evictions = 0;
    MemoryCharge large { budget, [this] { ++evictions; } };
    MemoryCharge small { budget, [] { ADD_FAILURE() << "the larger one is to be evicted"; } };
};

TEST_F(MemoryBudgetTest, LargestChargeIsEvicted)
{
    EXPECT_TRUE(large.resize(60'000));
    EXPECT_TRUE(small.resize(40'000));
    EXPECT_EQ(budget->usedBytes(), 100'000U);
    EXPECT_TRUE(small.resize(40'001));
    EXPECT_EQ(evictions, 1);
    EXPECT_TRUE(large.isEvicted());
    EXPECT_FALSE(large.resize(1));
    EXPECT_EQ(budget->usedBytes(), 40'001U);
    large.release();
    EXPECT_TRUE(large.resize(1));
}

TEST_F(MemoryBudgetTest, ChargeThatGrowsTooMuchIsEvictedItself)
{
    EXPECT_TRUE(small.resize(50'000));
    EXPECT_FALSE(large.resize(50'001));
    EXPECT_EQ(evictions, 1);
    EXPECT_EQ(budget->usedBytes(), 50'000U);
}

TEST_F(MemoryBudgetTest, OthersYieldToAChargeThatIsNotEvictable)
{
    small.setEvictable(false);
    EXPECT_TRUE(large.resize(20'000));
    EXPECT_TRUE(small.resize(90'000));
    EXPECT_EQ(evictions, 1);
}

TEST_F(MemoryBudgetTest, SmallChargesAreKept)
{
    small.setEvictable(false);
    EXPECT_TRUE(small.resize(200'000));
    EXPECT_TRUE(large.resize(MemoryBudget::minEvictableBytes - 1));
    EXPECT_EQ(evictions, 0);
}

TEST_F(MemoryBudgetTest, NothingIsCountedAfterAChargeIsGone)
{
    {
        MemoryCharge charge(budget, {});
        EXPECT_TRUE(charge.resize(10'000));
    }
    EXPECT_EQ(budget->usedBytes(), 0U);
}

} // namespace
} // namespace lentilbay
