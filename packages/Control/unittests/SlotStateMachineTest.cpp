// Schedules of load and faults, drawn by RapidCheck: what must hold of slots at every millisecond.
#include "SlotFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace lentilbay::test {
namespace {

using namespace std::chrono_literals;

constexpr auto verdictLifetime = 1s;

enum class Act : uint8_t {
    Wait,
    WaitUrgent,
    End,
    GiveUp,
    Pause,
    Resume,
    Stop,
    Restart,
    DeclareDead,
    DeclareAlive,
    Cut,
    Heal,
    Leave
};

struct Step {
    Act act;
    size_t daemon;
    size_t other;
    int rank;
    int milliseconds;
};

std::ostream& operator<<(std::ostream& out, const Step& step)
{
    static const char* const names[] = { "Wait", "WaitUrgent", "End", "GiveUp", "Pause", "Resume", "Stop",
        "Restart", "DeclareDead", "DeclareAlive", "Cut", "Heal", "Leave" };
    return out << names[static_cast<size_t>(step.act)] << "(daemon " << step.daemon << ", other "
               << step.other << ", rank " << step.rank << ", then " << step.milliseconds << " ms)";
}

rc::Gen<Step> anyStep(Act last)
{
    return rc::gen::construct<Step>(rc::gen::cast<Act>(rc::gen::inRange<int>(0, static_cast<int>(last) + 1)),
        rc::gen::inRange<size_t>(0, 3), rc::gen::inRange<size_t>(0, 3), rc::gen::inRange(0, 4),
        rc::gen::inRange(1, 900));
}

void apply(SlotFleet& fleet, const Step& step)
{
    switch (step.act) {
    case Act::Wait:
        return fleet.wait(step.daemon, step.rank, 8);
    case Act::WaitUrgent:
        return fleet.wait(step.daemon, step.rank, 2, true);
    case Act::End:
        return fleet.endOne(step.daemon);
    case Act::GiveUp:
        return fleet.giveUp(step.daemon, step.rank);
    case Act::Pause:
        return fleet.setPaused(step.daemon, true);
    case Act::Resume:
        return fleet.setPaused(step.daemon, false);
    case Act::Stop:
        return fleet.stop(step.daemon);
    case Act::Restart:
        return fleet.restart(step.daemon);
    case Act::DeclareDead:
        return step.daemon == step.other ? void()
                                         : fleet.setView(step.daemon, step.other, MemberStatus::Dead);
    case Act::DeclareAlive:
        return fleet.setView(step.daemon, step.other, MemberStatus::Alive);
    case Act::Cut:
        return fleet.setCut(step.daemon, step.other, true);
    case Act::Heal:
        return fleet.setCut(step.daemon, step.other, false);
    case Act::Leave:
        return fleet.leave(step.other % 2);
    }
}

/// The greatest rank that runs anywhere, or that some live entry could dispatch now.
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

/// How often a verdict allowed a refusal while the schedules ran; without any the property says nothing.
uint64_t verdictsActedOn = 0;

/// A verdict that an entry may act on now never calls a tier the lowest while a lower one runs.
void checkVerdicts(SlotFleet& fleet)
{
    const int lowest = lowestServed(fleet);
    for (size_t i = 0; i < fleet.size(); ++i) {
        auto& daemon = fleet.daemon(i);
        const auto& verdict = daemon.blackboard.findPool(SlotFleet::service)->verdict;
        const bool mayAct = daemon.isUp && !daemon.isPaused && verdict.askedAt
            && fleet.now() < *verdict.askedAt + verdictLifetime && !verdict.hasFreeSlot;
        if (!mayAct)
            continue;
        RC_ASSERT(verdict.lowestServedRank >= lowest);
        verdictsActedOn += verdict.lowestServedRank < 3 ? 1 : 0;
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
        .endChance = random.chance(0.5) ? 0.002 : 0.01,
        .faults = { .loss = losses[random.below(3)],
            .duplication = 0.05,
            .leastDelay = 1ms,
            .mostDelay = random.chance(0.5) ? 5ms : 120ms } });
}

/// Runs a property over fixed seeds, so that the verdict is the same each time. RapidCheck prints the shrunk
/// steps; LENTILBAY_SCHEDULES asks for a longer run.
void checkSchedules(
    const char* name, const std::function<void(uint64_t, const std::vector<Step>&)>& property, Act last)
{
    const char* asked = std::getenv("LENTILBAY_SCHEDULES");
    rc::detail::TestParams params {
        .seed = 20261203, .maxSuccess = asked ? std::atoi(asked) : 400, .maxSize = 40
    };
    const auto result = rc::detail::checkTestable(
        [&] {
            const auto seed = *rc::gen::arbitrary<uint64_t>();
            const auto steps = *rc::gen::container<std::vector<Step>>(anyStep(last));
            property(seed, steps);
        },
        rc::detail::TestMetadata { .id = name, .description = name }, params);
    std::ostringstream out;
    rc::detail::printResultMessage(result, out);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << out.str();
}

TEST(SlotStateMachine, OneOwnerNeverOverfillsAnEndpoint)
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
        Act::GiveUp);
}

TEST(SlotStateMachine, AVerdictNeverOverlooksALowerTier)
{
    checkSchedules(
        "verdicts",
        [](uint64_t seed, const std::vector<Step>& steps) {
            auto fleet = faultyFleet(seed);
            fleet.run(4s);
            for (size_t i = 0; i < fleet.size(); ++i)
                fleet.wait(i, static_cast<int>(i), 6, i == 0);
            for (const auto& step : steps) {
                apply(fleet, step);
                fleet.run(std::chrono::milliseconds(step.milliseconds), [&] { checkVerdicts(fleet); });
            }
        },
        Act::Leave);
    EXPECT_GT(verdictsActedOn, 10'000U);
}

} // namespace
} // namespace lentilbay::test
