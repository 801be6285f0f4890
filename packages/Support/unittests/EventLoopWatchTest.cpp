// Tests of EventLoopWatch: how long input may have waited for a loop that is on time, late, or late for long.
#include "lentilbay/Support/EventLoopWatch.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr auto period = 200ms;

TimePoint at(Duration sinceStart) { return TimePoint { 1h } + sinceStart; }

TEST(EventLoopWatchTest, InputOfALoopThatIsOnTimeIsRecent)
{
    EventLoopWatch watch(at(0ms));
    for (int i = 1; i <= 10; ++i) {
        watch.recordTimer(at(i * period), at(i * period + 1ms));
        if (i > 1) {
            EXPECT_LE(watch.maxInputAge(at((i + 1) * period)), period);
        }
    }
}

TEST(EventLoopWatchTest, InputMayBeAsOldAsTheLoopIsLate)
{
    EventLoopWatch watch(at(0ms));
    for (int i = 1; i <= 5; ++i)
        watch.recordTimer(at(i * period), at(i * period));
    // The input is read before the timer.
    EXPECT_GE(watch.maxInputAge(at(1s + 3s)), 3s);
    // The rest of it is read after the timer.
    watch.recordTimer(at(1s + period), at(1s + 3s));
    EXPECT_GE(watch.maxInputAge(at(1s + 3s + 10ms)), 3s);
    watch.recordTimer(at(1s + 3s + period), at(1s + 3s + period));
    watch.recordTimer(at(1s + 3s + 2 * period), at(1s + 3s + 2 * period));
    EXPECT_LE(watch.maxInputAge(at(1s + 3s + 3 * period)), period);
}

TEST(EventLoopWatchTest, AgeOfInputIsBoundedInALoopThatIsAlwaysLate)
{
    EventLoopWatch watch(at(0ms));
    constexpr auto turn = 500ms;
    for (int i = 1; i <= 100; ++i) {
        watch.recordTimer(at((i - 1) * turn + period), at(i * turn));
        EXPECT_LE(watch.maxInputAge(at(i * turn)), 3 * turn);
    }
    EXPECT_EQ(watch.delay(), turn - period);
}

TEST(EventLoopWatchTest, DelayIsExpectedByTheTimersOfTheLastSeconds)
{
    EventLoopWatch watch(at(0ms));
    watch.recordTimer(at(period), at(period));
    EXPECT_EQ(watch.expectedDelay(), 0ms);
    watch.recordTimer(at(2 * period), at(2 * period + 450ms));
    watch.recordTimer(at(2 * period + 450ms), at(2 * period + 500ms));
    EXPECT_EQ(watch.expectedDelay(), 450ms) << "also if the latest one ran earlier";
    // The window has ended, and the one before it still counts.
    const auto later = 2 * period + 500ms + EventLoopWatch::delayWindow + period;
    watch.recordTimer(at(later), at(later + 440ms));
    EXPECT_EQ(watch.expectedDelay(), 450ms);
    const auto muchLater = later + 3 * EventLoopWatch::delayWindow;
    watch.recordTimer(at(muchLater), at(muchLater));
    EXPECT_EQ(watch.expectedDelay(), 0ms);
}

TEST(EventLoopWatchTest, TimerIsOverdueInATurnThatHasNotComeToIt)
{
    EventLoopWatch watch(at(0ms));
    watch.recordTimer(at(period), at(period + 600ms));
    EXPECT_EQ(watch.overdueTime(at(period + 600ms), period), 600ms - period);
    watch.recordTimer(at(period + 600ms), at(period + 600ms));
    EXPECT_EQ(watch.overdueTime(at(period + 700ms), period), 0ms) << "an earlier delay does not count";
}

TEST(EventLoopWatchTest, NothingArrivesBeforeTheStart)
{
    EventLoopWatch watch(at(0ms));
    EXPECT_EQ(watch.maxInputAge(at(30ms)), 30ms);
}

} // namespace
} // namespace lentilbay
