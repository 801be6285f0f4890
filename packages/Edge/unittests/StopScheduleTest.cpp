// Tests of the last check of a stop, on event loops that are on time and late.
#include "lentilbay/Edge/StopSchedule.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr Duration grace = 8s;

/// When the last check comes after SIGTERM, if each one is late by `delay` and the first by `first`.
Duration lastCheck(Duration delay, Duration first)
{
    const TimePoint since {};
    const StopSchedule schedule { .grace = grace, .graceEndsAt = since + grace, .expectedDelay = delay };
    auto now = since + first;
    while (!schedule.isLastCheck(now))
        now += stopCheckPeriod + delay;
    return now - since;
}

TEST(StopScheduleTest, LastCheckCameAfterTheGracePeriodOnALateEventLoop)
{
    for (const Duration delay : { 0ms, 50ms, 200ms, 450ms, 900ms }) {
        for (Duration first = 0ms; first <= delay + stopCheckPeriod; first += 10ms)
            EXPECT_LE(lastCheck(delay, first), grace - exitMargin) << delay.count();
    }
}

TEST(StopScheduleTest, RequestsWereEndedTooEarlyAfterASingleDelay)
{
    for (const Duration delay : { 0ms, 450ms, 900ms, 6000ms })
        EXPECT_GE(lastCheck(delay, 0ms), grace - grace / shareOfLastCheck) << delay.count();
    EXPECT_GT(lastCheck(0ms, 0ms), grace - 500ms);
}

} // namespace
} // namespace lentilbay::edge
