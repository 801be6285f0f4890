// Requests at an endpoint that nobody reported are found, and a report that lags makes none up.
#include "lentilbay/Control/EndpointOccupancy.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

LoadReport load(uint32_t running, TimePoint at) { return { .running = running, .measuredAt = at }; }

TEST(EndpointOccupancy, FindsWhatNobodyReported)
{
    EndpointOccupancy occupancy;
    occupancy.noteReported(2, TimePoint(10s));
    occupancy.judge(load(5, TimePoint(10s)), TimePoint(10500ms));
    EXPECT_EQ(occupancy.strangers(), 3U);
    occupancy.judge(load(2, TimePoint(11s)), TimePoint(11500ms));
    EXPECT_EQ(occupancy.strangers(), 0U);
}

TEST(EndpointOccupancy, WaitsForReportsOfWhatWasJustDispatched)
{
    EndpointOccupancy occupancy;
    occupancy.noteReported(0, TimePoint(10s));
    occupancy.judge(load(1, TimePoint(10s)), TimePoint(10100ms));
    EXPECT_EQ(occupancy.strangers(), 0U);
    occupancy.noteReported(1, TimePoint(10200ms));
    occupancy.judge(load(1, TimePoint(10s)), TimePoint(10500ms));
    EXPECT_EQ(occupancy.strangers(), 0U);
}

TEST(EndpointOccupancy, WorkThatHasJustEndedIsNoStranger)
{
    EndpointOccupancy occupancy;
    occupancy.noteReported(3, TimePoint(10s));
    occupancy.noteReported(0, TimePoint(10300ms));
    occupancy.judge(load(3, TimePoint(10s)), TimePoint(10500ms));
    EXPECT_EQ(occupancy.strangers(), 0U);
}

} // namespace
} // namespace lentilbay
