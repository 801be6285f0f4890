// Checks invariants of slot sharing at every millisecond of random schedules of load and faults.
#include "SlotFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace lentilbay::test {
namespace {

using namespace std::chrono_literals;

constexpr auto occupancyLifetime = 1s;

enum class Action : uint8_t {
    Wait,
    WaitUrgent,
    Finish,
    Cancel,
    Pause,
    Resume,
    Stop,
    Restart,
    DeclareDead,
    DeclareAlive,
    Partition,
    Heal,
    Leave
};

struct Step {
    Action action;
    size_t daemon;
    size_t other;
    int rank;
    int milliseconds;
};

std::ostream& operator<<(std::ostream& out, const Step& step)
{
    static const char* const names[] = { "Wait", "WaitUrgent", "Finish", "Cancel", "Pause", "Resume", "Stop",
        "Restart", "DeclareDead", "DeclareAlive", "Partition", "Heal", "Leave" };
    return out << names[static_cast<size_t>(step.action)] << "(daemon " << step.daemon << ", other "
               << step.other << ", rank " << step.rank << ", then " << step.milliseconds << " ms)";
}

rc::Gen<Step> genStep(Action last)
{
    return rc::gen::construct<Step>(
        rc::gen::cast<Action>(rc::gen::inRange<int>(0, static_cast<int>(last) + 1)),
        rc::gen::inRange<size_t>(0, 3), rc::gen::inRange<size_t>(0, 3), rc::gen::inRange(0, 4),
        rc::gen::inRange(1, 900));
}

void apply(SlotFleet& fleet, const Step& step)
{
    switch (step.action) {
    case Action::Wait:
        return fleet.addWaiting(step.daemon, step.rank, 8);
    case Action::WaitUrgent:
        return fleet.addWaiting(step.daemon, step.rank, 2, true);
    case Action::Finish:
        return fleet.finishOne(step.daemon);
    case Action::Cancel:
        return fleet.cancelWaiting(step.daemon, step.rank);
    case Action::Pause:
        return fleet.setPaused(step.daemon, true);
    case Action::Resume:
        return fleet.setPaused(step.daemon, false);
    case Action::Stop:
        return fleet.stop(step.daemon);
    case Action::Restart:
        return fleet.restart(step.daemon);
    case Action::DeclareDead:
        return step.daemon == step.other ? void()
                                         : fleet.setView(step.daemon, step.other, MemberStatus::Dead);
    case Action::DeclareAlive:
        return fleet.setView(step.daemon, step.other, MemberStatus::Alive);
    case Action::Partition:
        return fleet.setPartitioned(step.daemon, step.other, true);
    case Action::Heal:
        return fleet.setPartitioned(step.daemon, step.other, false);
    case Action::Leave:
        return fleet.leave(step.other % 2);
    }
}

/// Returns the greatest rank that has a request in flight at any daemon; -1 if there is none.
int lowestServed(SlotFleet& fleet)
{
    int lowest = -1;
    for (size_t i = 0; i < fleet.size(); ++i) {
        for (const auto& state : fleet.daemon(i).blackboard.endpoints) {
            for (int rank = 0; rank < maxTiers; ++rank) {
                if (state.inFlight[static_cast<size_t>(rank)] > 0)
                    lowest = std::max(lowest, rank);
            }
        }
    }
    return lowest;
}

/// Number of times in all schedules that an occupancy report allowed a refusal. Without any, the property
/// would be vacuous.
uint64_t reportsActedOn = 0;

/// Checks that no unexpired occupancy report names a lowest served tier while a lower tier is running.
void checkOccupancy(SlotFleet& fleet)
{
    const int lowest = lowestServed(fleet);
    for (size_t i = 0; i < fleet.size(); ++i) {
        auto& daemon = fleet.daemon(i);
        const auto& occupancy = daemon.blackboard.findPool(SlotFleet::service)->occupancy;
        const bool mayAct = daemon.isUp && !daemon.isPaused && occupancy.requestedAt
            && fleet.now() < *occupancy.requestedAt + occupancyLifetime && !occupancy.hasFreeSlot;
        if (!mayAct)
            continue;
        RC_ASSERT(occupancy.lowestServedRank >= lowest);
        reportsActedOn += occupancy.lowestServedRank < 3 ? 1 : 0;
    }
}

void checkCapacity(SlotFleet& fleet, uint32_t slotsEach)
{
    for (size_t k = 0; k < 2; ++k)
        RC_ASSERT(fleet.inFlightAt(k) <= slotsEach);
}

SlotFleet faultyFleet(uint64_t seed)
{
    Random random(seed);
    const double losses[] = { 0, 0.02, 0.15 };
    return SlotFleet({ .daemons = 3,
        .endpoints = 2,
        .slotsEach = 3,
        .seed = seed,
        .finishProbability = random.chance(0.5) ? 0.002 : 0.01,
        .faults = { .loss = losses[random.below(3)],
            .duplication = 0.05,
            .minDelay = 1ms,
            .maxDelay = random.chance(0.5) ? 5ms : 120ms } });
}

/// Checks a property with a fixed seed, so that the result is reproducible. RapidCheck prints the shrunk
/// steps; LENTILBAY_SCHEDULES sets the number of schedules.
void checkSchedules(
    const char* name, const std::function<void(uint64_t, const std::vector<Step>&)>& property, Action last)
{
    const char* scheduleCount = std::getenv("LENTILBAY_SCHEDULES");
    rc::detail::TestParams params {
        .seed = 20261203, .maxSuccess = scheduleCount ? std::atoi(scheduleCount) : 400, .maxSize = 40
    };
    const auto result = rc::detail::checkTestable(
        [&] {
            const auto seed = *rc::gen::arbitrary<uint64_t>();
            const auto steps = *rc::gen::container<std::vector<Step>>(genStep(last));
            property(seed, steps);
        },
        rc::detail::TestMetadata { .id = name, .description = name }, params);
    std::ostringstream out;
    rc::detail::printResultMessage(result, out);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << out.str();
}

TEST(SlotStateMachine, ASingleOwnerNeverOvercommitsAnEndpoint)
{
    checkSchedules(
        "capacity",
        [](uint64_t seed, const std::vector<Step>& steps) {
            auto fleet = faultyFleet(seed);
            for (const auto& step : steps) {
                apply(fleet, step);
                fleet.run(std::chrono::milliseconds(step.milliseconds), [&] { checkCapacity(fleet, 3); });
            }
        },
        Action::Cancel);
}

TEST(SlotStateMachine, OccupancyAccountsForTheLowestRunningTier)
{
    checkSchedules(
        "occupancy",
        [](uint64_t seed, const std::vector<Step>& steps) {
            auto fleet = faultyFleet(seed);
            fleet.run(4s);
            for (size_t i = 0; i < fleet.size(); ++i)
                fleet.addWaiting(i, static_cast<int>(i), 6, i == 0);
            for (const auto& step : steps) {
                apply(fleet, step);
                fleet.run(std::chrono::milliseconds(step.milliseconds), [&] { checkOccupancy(fleet); });
            }
        },
        Action::Leave);
    EXPECT_GT(reportsActedOn, 10'000U);
}

} // namespace
} // namespace lentilbay::test
