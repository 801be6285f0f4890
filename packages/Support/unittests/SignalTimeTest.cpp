// Tests of SignalTime: signals that their handler comes to late, and that come before it watches.
#include "lentilbay/Support/SignalTime.h"

#include "lentilbay/Support/SteadyClock.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

volatile std::sig_atomic_t handled = 0;

extern "C" void countSignal(int) { handled = handled + 1; }

class SignalTimeTest : public testing::Test {
protected:
    void SetUp() override
    {
        handled = 0;
        std::signal(SIGTERM, countSignal);
    }
    void TearDown() override { std::signal(SIGTERM, SIG_DFL); }
};

TEST_F(SignalTimeTest, SignalIsDatedByItsArrival)
{
    const SignalTime time;
    EXPECT_FALSE(time.first());
    const auto before = bootNow();
    std::raise(SIGTERM);
    const auto after = bootNow();
    std::this_thread::sleep_for(20ms);
    ASSERT_TRUE(time.first());
    EXPECT_GE(*time.first(), before);
    EXPECT_LE(*time.first(), after);
    std::raise(SIGTERM);
    EXPECT_LE(*time.first(), after) << "a second signal does not count";
    EXPECT_EQ(handled, 2);
}

TEST_F(SignalTimeTest, FormerHandlerIsRestoredByTheLastObject)
{
    std::raise(SIGTERM);
    {
        const SignalTime one;
        EXPECT_FALSE(one.first()) << "it came before";
        {
            const SignalTime other;
            std::raise(SIGTERM);
            EXPECT_EQ(handled, 2) << "called once for each signal";
        }
        std::raise(SIGTERM);
        EXPECT_TRUE(one.first());
    }
    std::raise(SIGTERM);
    EXPECT_EQ(handled, 4);
    EXPECT_FALSE(SignalTime().first());
}

} // namespace
} // namespace lentilbay
