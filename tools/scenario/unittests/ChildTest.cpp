// Child processes are signalled, awaited and never left behind.
#include "Child.h"

#include <csignal>
#include <gtest/gtest.h>
#include <system_error>

using namespace lentilbay::scenario;
using namespace std::chrono_literals;

TEST(Child, givesItsExitCode)
{
    Child child({ "/bin/sh", "-c", "exit 3" }, "/dev/null");
    EXPECT_EQ(child.wait(20s), 3);
    EXPECT_FALSE(child.isRunning());
}

TEST(Child, isEndedByASignalAndOnlyThen)
{
    Child child({ "/bin/sleep", "600" }, "/dev/null");
    EXPECT_EQ(child.wait(10ms), std::nullopt);
    EXPECT_TRUE(child.isRunning());
    child.signal(SIGKILL);
    EXPECT_EQ(child.wait(20s), 128 + SIGKILL);
    child.signal(SIGKILL);
}

TEST(Child, isReplacedByAnother)
{
    Child child({ "/bin/sleep", "600" }, "/dev/null");
    child = Child({ "/bin/sh", "-c", "exit 4" }, "/dev/null");
    EXPECT_EQ(child.wait(20s), 4);
}

TEST(Child, namesAProgramThatIsNotThere)
{
    EXPECT_THROW(Child({ "/no/such/program" }, "/dev/null"), std::system_error);
}

TEST(FreePort, isNotZero) { EXPECT_NE(freePort(), 0); }
