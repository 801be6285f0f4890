// Tests when a daemon reads a table that others read for it.
#include "lentilbay/Edge/ReaderWatch.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start { 100s };
constexpr ReaderWatch watch { .maxViewAge = 3200ms, .maxReaderAge = 2600ms };

TEST(ReaderWatch, RecentViewIsNotReadAgain)
{
    EXPECT_EQ(watch.passiveTime(start, start, start + 1s), 1600ms);
    EXPECT_LE(watch.passiveTime(std::nullopt, start, start + 1s), 0ms);
}

TEST(ReaderWatch, DaemonsWhoseReadersWereTurnedAwayReadAtTheLastMoment)
{
    // The readers report nothing newer from now on.
    EXPECT_LE(watch.passiveTime(start, start, start + 2600ms), 0ms);
    // The daemon has read the table itself, and reads on at its usual pace.
    EXPECT_LE(watch.passiveTime(start + 2600ms, start, start + 3300ms), 0ms);
    // A reader reads again.
    EXPECT_GT(watch.passiveTime(start + 5s, start + 5s, start + 6s), 0ms);
}

} // namespace
} // namespace lentilbay::edge
