// Tests that sums over a window are right and take bounded memory.
#include "lentilbay/Policy/WindowSum.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

TEST(WindowSum, SumThatIsNeverReadGrewWithoutBound)
{
    // Guards against a bucket that is kept forever for each 100 ms with an amount: the requests of a service
    // whose queue never waits and the demand of an organisation's lowest rank are counted but not read.
    WindowSum sum;
    for (TimePoint now(1s); now < TimePoint(1h); now += 100ms)
        sum.add(1, now);
    EXPECT_LE(sum.bucketCount(), 700U);
    EXPECT_NEAR(sum.within(8s, TimePoint(1h)), 80, 2);
}

TEST(WindowSum, LongWindowsThatAreReadAreKept)
{
    WindowSum sum;
    EXPECT_EQ(sum.within(10min, TimePoint(1s)), 0);
    for (TimePoint now(1s); now < TimePoint(1h); now += 1s)
        sum.add(1, now);
    EXPECT_NEAR(sum.within(10min, TimePoint(1h)), 600, 2);
}

} // namespace
} // namespace lentilbay
