// Tests that unreported requests are detected, and that delayed reports cause no false detection.
#include "lentilbay/Control/EndpointOccupancy.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

LoadReport load(uint32_t running, TimePoint at) { return { .running = running, .measuredAt = at }; }

TEST(EndpointOccupancy, DetectsUnreportedRequests)
{
    EndpointOccupancy occupancy;
    occupancy.noteReported(2, TimePoint(10s));
    occupancy.evaluate(load(5, TimePoint(10s)), TimePoint(10500ms));
    EXPECT_EQ(occupancy.unreportedRequests(), 3U);
    occupancy.evaluate(load(2, TimePoint(11s)), TimePoint(11500ms));
    EXPECT_EQ(occupancy.unreportedRequests(), 0U);
}

TEST(EndpointOccupancy, WaitsForReportsOfRecentDispatches)
{
    EndpointOccupancy occupancy;
    occupancy.noteReported(0, TimePoint(10s));
    occupancy.evaluate(load(1, TimePoint(10s)), TimePoint(10100ms));
    EXPECT_EQ(occupancy.unreportedRequests(), 0U);
    occupancy.noteReported(1, TimePoint(10200ms));
    occupancy.evaluate(load(1, TimePoint(10s)), TimePoint(10500ms));
    EXPECT_EQ(occupancy.unreportedRequests(), 0U);
}

TEST(EndpointOccupancy, DoesNotCountRequestsThatHaveJustEnded)
{
    EndpointOccupancy occupancy;
    occupancy.noteReported(3, TimePoint(10s));
    occupancy.noteReported(0, TimePoint(10300ms));
    occupancy.evaluate(load(3, TimePoint(10s)), TimePoint(10500ms));
    EXPECT_EQ(occupancy.unreportedRequests(), 0U);
}

} // namespace
} // namespace lentilbay
