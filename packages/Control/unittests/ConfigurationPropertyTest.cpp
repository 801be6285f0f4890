// Two to five daemons under random fault sequences: an accepted configuration is in force everywhere or the
// daemon is fenced, and it never reverts; every reported outcome matches the table; and the fleet converges
// after the faults end.
//
// A failure prints RapidCheck's seed and the shrunk list of steps; RC_PARAMS reproduces it.
#include "ConfigurationFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

enum class StepKind : uint8_t {
    Run,
    Propose,
    ProposeOld,
    Partition,
    Heal,
    CutStore,
    Crash,
    Start,
    Pause,
    TableOutage,
    ObjectOutage,
    LoseAnswers,
    OldHead,
    Loss,
    SlowStore,
    Stop,
};

struct Step {
    StepKind kind;
    uint32_t argument;
};

void showValue(const Step& step, std::ostream& os)
{
    static constexpr std::array names { "Run", "Propose", "ProposeOld", "Partition", "Heal", "CutStore",
        "Crash", "Start", "Pause", "TableOutage", "ObjectOutage", "LoseAnswers", "OldHead", "Loss",
        "SlowStore", "Stop" };
    os << names.at(static_cast<size_t>(step.kind)) << "(" << step.argument << ")";
}

rc::Gen<Step> anyStep()
{
    const auto kind = rc::gen::weightedElement<StepKind>({ { 10, StepKind::Run }, { 8, StepKind::Propose },
        { 2, StepKind::ProposeOld }, { 4, StepKind::Partition }, { 2, StepKind::Heal },
        { 4, StepKind::CutStore }, { 2, StepKind::Crash }, { 3, StepKind::Start }, { 2, StepKind::Pause },
        { 2, StepKind::TableOutage }, { 1, StepKind::ObjectOutage }, { 2, StepKind::LoseAnswers },
        { 1, StepKind::OldHead }, { 1, StepKind::Loss }, { 1, StepKind::SlowStore }, { 1, StepKind::Stop } });
    return rc::gen::construct<Step>(kind, rc::gen::inRange<uint32_t>(0, 1000));
}

void perform(ConfigurationFleet& fleet, const Step& step)
{
    const auto size = fleet.nodes.size();
    const auto i = step.argument % size;
    const bool on = step.argument % 2 == 1;
    switch (step.kind) {
    case StepKind::Run:
        // Durations shorter and longer than the timeouts of the protocol.
        return fleet.run(std::chrono::milliseconds(20 * (step.argument + 1)));
    case StepKind::Propose:
        fleet.propose(i, step.argument);
        return;
    case StepKind::ProposeOld:
        fleet.propose(i, step.argument, step.argument % 3);
        return;
    case StepKind::Partition: {
        std::vector<int> groups;
        for (size_t n = 0; n < size; ++n)
            groups.push_back(static_cast<int>((step.argument >> n) & 1U));
        return fleet.partition(groups);
    }
    case StepKind::Heal:
        return fleet.heal();
    case StepKind::CutStore:
        fleet.nodes[i]->reachesStore = !fleet.nodes[i]->reachesStore;
        return;
    case StepKind::Crash:
        return fleet.crash(i);
    case StepKind::Start:
        return fleet.start(i);
    case StepKind::Pause:
        return fleet.pause(i, std::chrono::milliseconds(30 * step.argument));
    case StepKind::TableOutage:
        fleet.store.tableUnavailable = on;
        return;
    case StepKind::ObjectOutage:
        fleet.store.objectsUnavailable = on;
        return;
    case StepKind::LoseAnswers:
        fleet.store.losesReplies = on;
        return;
    case StepKind::OldHead:
        fleet.store.servesStaleHead = on;
        return;
    case StepKind::Loss:
        fleet.loss = 0.05 * (step.argument % 8);
        fleet.duplication = 0.05 * (step.argument % 3);
        fleet.maxDelay = std::chrono::milliseconds(10 + step.argument);
        return;
    case StepKind::SlowStore:
        fleet.store.maxDelay = std::chrono::milliseconds(5 + 2 * step.argument);
        return;
    case StepKind::Stop:
        return fleet.stop(i);
    }
}

void endFaults(ConfigurationFleet& fleet)
{
    fleet.heal();
    fleet.loss = 0;
    fleet.duplication = 0;
    fleet.maxDelay = std::chrono::milliseconds(20);
    fleet.store.tableUnavailable = fleet.store.objectsUnavailable = false;
    fleet.store.losesReplies = fleet.store.servesStaleHead = false;
    fleet.store.maxDelay = std::chrono::milliseconds(5);
    for (size_t i = 0; i < fleet.nodes.size(); ++i) {
        fleet.nodes[i]->reachesStore = true;
        fleet.nodes[i]->pausedUntil = fleet.now;
        // A daemon that announced its stop terminates; then all daemons are started again.
        if (fleet.nodes[i]->stopping)
            fleet.crash(i);
        fleet.start(i);
    }
}

RC_GTEST_PROP(ConfigurationProperty, AnAcceptedVersionIsInForceOrFencedEverywhereAndNeverReverts, ())
{
    const auto size = *rc::gen::inRange<size_t>(2, 6);
    const auto regions = *rc::gen::inRange<size_t>(1, 4);
    const auto seed = *rc::gen::inRange<uint64_t>(0, 1'000'000);
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    ConfigurationFleet fleet(size, regions, seed);
    fleet.run(std::chrono::seconds(3));
    fleet.propose(0, 5000, 0);
    fleet.run(std::chrono::seconds(4));
    for (const auto& step : steps)
        perform(fleet, step);
    RC_LOG() << (fleet.violations.empty() ? "" : fleet.violations.front());
    RC_ASSERT(fleet.violations.empty());
    endFaults(fleet);
    fleet.run(std::chrono::seconds(40));
    fleet.propose(0, 5001);
    const bool isSettled = fleet.settlesWithin(std::chrono::seconds(60));
    fleet.checkOutcomes();
    RC_LOG() << (fleet.violations.empty() ? "" : fleet.violations.front());
    RC_ASSERT(fleet.violations.empty());
    RC_ASSERT(isSettled);
    RC_CLASSIFY(fleet.accepted > 2, "accepted under faults");
}

} // namespace
} // namespace lentilbay
