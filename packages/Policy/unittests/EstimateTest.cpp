// Tests of the exponentially weighted moving average.
#include "lentilbay/Policy/Estimate.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

TEST(Estimate, FirstObservationReplacesThePrior)
{
    Estimate estimate(10, 0.1);
    EXPECT_EQ(estimate.mean(), 10);
    estimate.observe(2);
    EXPECT_EQ(estimate.mean(), 2);
    EXPECT_EQ(estimate.spread(), 0);
}

TEST(Estimate, ConvergesAfterChange)
{
    Estimate estimate(1, 0.2);
    for (int i = 0; i < 50; ++i)
        estimate.observe(1);
    for (int i = 0; i < 20; ++i)
        estimate.observe(5);
    EXPECT_NEAR(estimate.mean(), 5, 0.1);
    EXPECT_GT(estimate.spread(), 0);
}

} // namespace
} // namespace lentilbay
