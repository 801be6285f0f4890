// WakeTimer: fires once, not before the last time set, and not after clear().
#include "lentilbay/Platform/WakeTimer.h"

#include "lentilbay/Support/SteadyClock.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

struct WakeTimerTest : testing::Test {
    void runUntilCalls(int n)
    {
        while (calls < n) {
            context.restart();
            context.run_one();
        }
    }

    asio::io_context context;
    int calls = 0;
    TimePoint calledAt {};
    WakeTimer timer { context, [this] {
                         ++calls;
                         calledAt = steadyNow();
                     } };
};

TEST_F(WakeTimerTest, APastTimeFiresAfterThePendingEvents)
{
    const auto now = steadyNow();
    timer.set(now, now);
    timer.set(now, now);
    EXPECT_EQ(calls, 0);
    context.poll();
    EXPECT_EQ(calls, 1);
}

TEST_F(WakeTimerTest, NeverFiresBeforeTheLastTimeSet)
{
    const auto now = steadyNow();
    timer.set(now + milliseconds { 5 }, now);
    timer.set(now + milliseconds { 30 }, now);
    runUntilCalls(1);
    EXPECT_GE(calledAt, now + milliseconds { 30 });
    context.poll();
    EXPECT_EQ(calls, 1);
}

TEST_F(WakeTimerTest, AnEarlierTimeRearmsTheTimer)
{
    const auto now = steadyNow();
    timer.set(now + hours { 1 }, now);
    timer.set(now + milliseconds { 5 }, now);
    runUntilCalls(1);
    EXPECT_GE(calledAt, now + milliseconds { 5 });
    timer.set(now + milliseconds { 10 }, steadyNow());
    runUntilCalls(2);
}

TEST_F(WakeTimerTest, AClearedTimerDoesNotFire)
{
    const auto now = steadyNow();
    timer.set(now, now);
    timer.clear();
    timer.set(now + milliseconds { 2 }, now);
    timer.clear();
    context.run();
    EXPECT_EQ(calls, 0);
}

} // namespace
} // namespace lentilbay
