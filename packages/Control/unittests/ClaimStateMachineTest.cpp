// Checks with random schedules of two daemons and a few keys that each key is executed at most once under any
// combination of faults.
//
// LENTILBAY_CLAIM_SCHEDULES sets the number of schedules; RC_PARAMS="reproduce=..." reproduces a failure.
#include "ClaimSimulation.h"

#include <array>
#include <cstdlib>
#include <gtest/gtest.h>
#include <ostream>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace lentilbay {
namespace {

enum class Action : uint8_t {
    Send,
    Run,
    Crash,
    Pause,
    Resume,
    Outage,
    Recover,
    LoseReplies,
    LoseRequests,
    SlowTable,
    FastTable,
    PartitionPeers,
    ReconnectPeers,
    ExpireDeadline,
};
constexpr int actions = 14;

struct Step {
    Action action = Action::Run;
    int daemon = 0;
    int number = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step)
{
    constexpr std::array<const char*, actions> names { "send", "run", "crash", "pause", "resume", "outage",
        "recover", "lose replies", "lose requests", "slow table", "fast table", "partition peers",
        "reconnect peers", "expire deadline" };
    return out << names[static_cast<size_t>(step.action)] << ' ' << step.daemon << ' ' << step.number;
}

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::action,
                                    rc::gen::weightedOneOf<Action>({ { 6, rc::gen::just(Action::Send) },
                                        { 6, rc::gen::just(Action::Run) },
                                        { 6,
                                            rc::gen::map(rc::gen::inRange(0, actions),
                                                [](int it) { return static_cast<Action>(it); }) } })),
        rc::gen::set(&Step::daemon, rc::gen::inRange(0, 2)),
        rc::gen::set(&Step::number, rc::gen::inRange(0, 1000)));
}

void apply(ClaimSimulation& simulation, const Step& step)
{
    constexpr int keys = 2;
    switch (step.action) {
    case Action::Send:
        simulation.send(step.daemon, std::to_string(step.number % keys), step.number % 10 == 9 ? 2 : 1);
        return;
    case Action::Run:
        return simulation.run(std::chrono::milliseconds(step.number * (step.number % 5 == 0 ? 5 : 1)));
    case Action::Crash:
        return simulation.crash(step.daemon);
    case Action::Pause:
        return simulation.pause(step.daemon);
    case Action::Resume:
        return simulation.resume(step.daemon);
    case Action::Outage:
        simulation.outage = true;
        return;
    case Action::Recover:
        simulation.outage = false;
        return;
    case Action::LoseReplies:
        simulation.loseReplies = 1 + step.number % 3;
        return;
    case Action::LoseRequests:
        simulation.loseRequests = 1 + step.number % 3;
        return;
    case Action::SlowTable:
        simulation.tableDelay = std::chrono::milliseconds(step.number * 4);
        return;
    case Action::FastTable:
        simulation.tableDelay = std::chrono::milliseconds(5);
        return;
    case Action::PartitionPeers:
        simulation.peersReachable = false;
        return;
    case Action::ReconnectPeers:
        simulation.peersReachable = true;
        return;
    case Action::ExpireDeadline:
        return simulation.expireDeadline(step.daemon);
    }
}

void clearFaults(ClaimSimulation& simulation)
{
    simulation.outage = false;
    simulation.loseReplies = 0;
    simulation.loseRequests = 0;
    simulation.tableDelay = std::chrono::milliseconds(5);
    simulation.peersReachable = true;
    simulation.resume(0);
    simulation.resume(1);
}

int scheduleCount()
{
    const char* given = std::getenv("LENTILBAY_CLAIM_SCHEDULES");
    return given == nullptr ? 3000 : std::atoi(given);
}

TEST(ClaimStateMachine, EachKeyIsExecutedAtMostOnce)
{
    const auto property = [] {
        const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
        ClaimSimulation simulation(
            2, 7, { .writesPerSecond = 200, .storeTimeout = std::chrono::milliseconds(500) });
        for (const auto& it : steps) {
            apply(simulation, it);
            RC_ASSERT(simulation.maxExecutions() <= 1);
            RC_ASSERT(simulation.violations() == std::vector<std::string>());
        }
        clearFaults(simulation);
        simulation.run(std::chrono::seconds(12));
        const auto last = simulation.send(1, "0");
        simulation.run(std::chrono::seconds(6));
        RC_ASSERT(simulation.maxExecutions() <= 1);
        RC_ASSERT(simulation.violations() == std::vector<std::string>());
        // Once all faults have ended, each caller gets an answer or a refusal.
        RC_ASSERT(simulation.sent(last).outcome != ClaimSimulation::Outcome::None);
    };
    rc::detail::TestParams params;
    params.seed = 20'261'203;
    params.maxSuccess = scheduleCount();
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    std::ostringstream out;
    rc::detail::printResultMessage(result, out);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << out.str();
}

} // namespace
} // namespace lentilbay
