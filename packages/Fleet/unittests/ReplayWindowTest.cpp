// ReplayWindow: accepts each sequence number once, tolerates reordering within the window, and rejects
// earlier incarnations.
#include "lentilbay/Fleet/ReplayWindow.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

const TimePoint start { 100s };
const DaemonId sender("a");

TEST(ReplayWindow, AcceptsEachSequenceOnceInAnyOrder)
{
    ReplayWindow window;
    for (const uint64_t sequence : { 10, 8, 9, 2000, 1999, 11 + 1000 })
        EXPECT_TRUE(window.accept(sender, 1, sequence, start)) << sequence;
    for (const uint64_t sequence : { 2000, 1999, 1011 })
        EXPECT_FALSE(window.accept(sender, 1, sequence, start)) << sequence;
    // Outside the window, so it cannot be distinguished from a replayed packet.
    EXPECT_FALSE(window.accept(sender, 1, 2000 - ReplayWindow::width, start));
}

TEST(ReplayWindow, RejectsEarlierIncarnations)
{
    ReplayWindow window;
    EXPECT_TRUE(window.accept(sender, 2, 50, start));
    EXPECT_FALSE(window.accept(sender, 1, 51, start));
    EXPECT_TRUE(window.accept(sender, 3, 1, start));
    EXPECT_TRUE(window.accept(DaemonId("b"), 1, 1, start));
}

TEST(ReplayWindow, LimitsTheNumberOfSenders)
{
    ReplayWindow window;
    for (size_t i = 0; i < ReplayWindow::maxSenders; ++i)
        EXPECT_TRUE(window.accept(DaemonId(std::to_string(i)), 1, 1, start));
    EXPECT_FALSE(window.accept(sender, 1, 1, start));
    EXPECT_TRUE(window.accept(sender, 1, 1, start + ReplayWindow::idleLifetime + 1s));
    EXPECT_EQ(window.senderCount(), 1U);
}

} // namespace
} // namespace lentilbay
