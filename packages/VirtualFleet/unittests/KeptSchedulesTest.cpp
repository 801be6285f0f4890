// Regression tests: shrunk schedules that once violated an invariant.
#include "Schedule.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr LinkFaults someLoss { .loss = 0.02, .duplication = 0.02, .maxDelay = 20ms };

// A request expired on an engine slowed sixfold while a daemon that was partitioned and paused held
// lower-tier work.
TEST(KeptSchedules, ExpiryBesidePausedAndPartitionedDaemon)
{
    const Schedule schedule { .seed = 22,
        .daemons = 2,
        .links = someLoss,
        .steps = {
            { .action = ScheduleAction::SlowEndpoint, .then = 37ms },
            { .action = ScheduleAction::Cut, .daemon = 1 },
            { .action = ScheduleAction::Burst, .tier = 1, .size = 7, .then = 464ms },
            { .action = ScheduleAction::Pause, .then = 273ms },
            { .action = ScheduleAction::Burst, .tier = 1, .then = 436ms },
            { .action = ScheduleAction::Call, .then = 8ms },
            { .action = ScheduleAction::Burst, .size = 4, .then = 360ms },
            { .action = ScheduleAction::Burst, .daemon = 1, .size = 5, .then = 310ms },
            { .action = ScheduleAction::CallKeyed, .then = 307ms },
            { .action = ScheduleAction::Resume, .daemon = 1, .then = 296ms },
            { .action = ScheduleAction::CallKeyed, .then = 227ms },
        } };
    EXPECT_EQ(describeFailures(runSchedule(schedule)), "");
}

} // namespace
} // namespace lentilbay
