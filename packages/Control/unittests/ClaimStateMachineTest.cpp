// Random schedules of two daemons that claim few keys: each key is executed at most once, whatever happens.
//
// Set LENTILBAY_CLAIM_SCHEDULES for a longer run; RC_PARAMS="reproduce=..." repeats a failure.
#include "ClaimWorld.h"

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
    LoseAnswers,
    LoseRequests,
    SlowTable,
    FastTable,
    CutPeers,
    JoinPeers,
    PassDeadline,
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
        "recover", "lose answers", "lose requests", "slow table", "fast table", "cut peers", "join peers",
        "pass deadline" };
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

void apply(ClaimWorld& world, const Step& step)
{
    constexpr int keys = 2;
    switch (step.action) {
    case Action::Send:
        world.send(step.daemon, std::to_string(step.number % keys), step.number % 10 == 9 ? 2 : 1);
        return;
    case Action::Run:
        return world.run(std::chrono::milliseconds(step.number * (step.number % 5 == 0 ? 5 : 1)));
    case Action::Crash:
        return world.crash(step.daemon);
    case Action::Pause:
        return world.pause(step.daemon);
    case Action::Resume:
        return world.resume(step.daemon);
    case Action::Outage:
        world.outage = true;
        return;
    case Action::Recover:
        world.outage = false;
        return;
    case Action::LoseAnswers:
        world.loseAnswers = 1 + step.number % 3;
        return;
    case Action::LoseRequests:
        world.loseRequests = 1 + step.number % 3;
        return;
    case Action::SlowTable:
        world.tableDelay = std::chrono::milliseconds(step.number * 4);
        return;
    case Action::FastTable:
        world.tableDelay = std::chrono::milliseconds(5);
        return;
    case Action::CutPeers:
        world.peersReachable = false;
        return;
    case Action::JoinPeers:
        world.peersReachable = true;
        return;
    case Action::PassDeadline:
        return world.passDeadline(step.daemon);
    }
}

void quieten(ClaimWorld& world)
{
    world.outage = false;
    world.loseAnswers = 0;
    world.loseRequests = 0;
    world.tableDelay = std::chrono::milliseconds(5);
    world.peersReachable = true;
    world.resume(0);
    world.resume(1);
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
        ClaimWorld world(2, 7, { .writesPerSecond = 200, .storeTimeout = std::chrono::milliseconds(500) });
        for (const auto& it : steps) {
            apply(world, it);
            RC_ASSERT(world.mostExecutions() <= 1);
            RC_ASSERT(world.breaches() == std::vector<std::string>());
        }
        quieten(world);
        world.run(std::chrono::seconds(12));
        const auto last = world.send(1, "0");
        world.run(std::chrono::seconds(6));
        RC_ASSERT(world.mostExecutions() <= 1);
        RC_ASSERT(world.breaches() == std::vector<std::string>());
        // Once all is well, a caller is told something.
        RC_ASSERT(world.sent(last).told != ClaimWorld::Told::Nothing);
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
