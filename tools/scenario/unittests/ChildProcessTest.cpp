// Tests of starting, signalling and awaiting child processes.
#include "ChildProcess.h"

#include <csignal>
#include <gtest/gtest.h>
#include <system_error>

using namespace lentilbay::scenario;
using namespace std::chrono_literals;

TEST(ChildProcess, reportsExitCode)
{
    ChildProcess child({ "/bin/sh", "-c", "exit 3" }, "/dev/null");
    EXPECT_EQ(child.wait(20s), 3);
    EXPECT_FALSE(child.isRunning());
}

TEST(ChildProcess, runsUntilKilledBySignal)
{
    ChildProcess child({ "/bin/sleep", "600" }, "/dev/null");
    EXPECT_EQ(child.wait(10ms), std::nullopt);
    EXPECT_TRUE(child.isRunning());
    child.signal(SIGKILL);
    EXPECT_EQ(child.wait(20s), 128 + SIGKILL);
    child.signal(SIGKILL);
}

TEST(ChildProcess, canBeMoveAssigned)
{
    ChildProcess child({ "/bin/sleep", "600" }, "/dev/null");
    child = ChildProcess({ "/bin/sh", "-c", "exit 4" }, "/dev/null");
    EXPECT_EQ(child.wait(20s), 4);
}

TEST(ChildProcess, throwsForMissingProgram)
{
    EXPECT_THROW(ChildProcess({ "/no/such/program" }, "/dev/null"), std::system_error);
}

TEST(FreePort, isNotZero) { EXPECT_NE(freePort(), 0); }
