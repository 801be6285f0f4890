// Schedules that once broke an invariant, kept as they were shrunk.
#include "Schedule.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr LinkFaults someLoss { .loss = 0.02, .duplication = 0.02, .mostDelay = 20ms };

// A request that expired on an engine slowed sixfold, while a daemon that was cut off and paused held lower
// work.
TEST(KeptSchedules, ExpiryBesideAPausedDaemonThatIsCutOff)
{
    const Schedule schedule { .seed = 22,
        .daemons = 2,
        .links = someLoss,
        .steps = {
            { .act = Act::SlowEndpoint, .then = 37ms },
            { .act = Act::Cut, .daemon = 1 },
            { .act = Act::Burst, .tier = 1, .size = 7, .then = 464ms },
            { .act = Act::Pause, .then = 273ms },
            { .act = Act::Burst, .tier = 1, .then = 436ms },
            { .act = Act::Call, .then = 8ms },
            { .act = Act::Burst, .size = 4, .then = 360ms },
            { .act = Act::Burst, .daemon = 1, .size = 5, .then = 310ms },
            { .act = Act::CallKeyed, .then = 307ms },
            { .act = Act::Resume, .daemon = 1, .then = 296ms },
            { .act = Act::CallKeyed, .then = 227ms },
        } };
    EXPECT_EQ(faultsOf(runSchedule(schedule)), "");
}

} // namespace
} // namespace lentilbay
