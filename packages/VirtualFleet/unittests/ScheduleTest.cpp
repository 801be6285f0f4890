// Property tests: the invariants hold on random schedules of load and faults.
//
// RapidCheck generates the steps from a fixed seed and shrinks a failing schedule. LENTILBAY_SCHEDULES sets
// the number of schedules per property, LENTILBAY_SEED the seed. ctest runs each property as its own test.
#include "Schedule.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t firstSeed = 20'261'203;

uint64_t fromEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

rc::Gen<ScheduleStep> anyStep(const std::vector<std::pair<size_t, ScheduleAction>>& weights)
{
    std::vector<ScheduleAction> actions;
    for (const auto& [weight, action] : weights)
        actions.insert(actions.end(), weight, action);
    return rc::gen::construct<ScheduleStep>(rc::gen::elementOf(actions), rc::gen::inRange<size_t>(0, 5),
        rc::gen::inRange<size_t>(0, 5), rc::gen::inRange<size_t>(0, 3), rc::gen::inRange<uint32_t>(0, 30),
        rc::gen::map(
            rc::gen::inRange(0, 1'500), [](int ms) { return Duration(std::chrono::milliseconds(ms)); }));
}

const std::vector<std::pair<size_t, ScheduleAction>> loadOnly { { 3, ScheduleAction::Call },
    { 5, ScheduleAction::Burst }, { 2, ScheduleAction::CallKeyed } };

const std::vector<std::pair<size_t, ScheduleAction>> loadAndFaults { { 3, ScheduleAction::Call },
    { 8, ScheduleAction::Burst }, { 2, ScheduleAction::CallKeyed }, { 1, ScheduleAction::Kill },
    { 2, ScheduleAction::Restart }, { 1, ScheduleAction::Pause }, { 2, ScheduleAction::Resume },
    { 1, ScheduleAction::Drain }, { 1, ScheduleAction::Cut }, { 2, ScheduleAction::Heal },
    { 1, ScheduleAction::KillEndpoint }, { 2, ScheduleAction::RestartEndpoint },
    { 1, ScheduleAction::LeaveEndpoint }, { 2, ScheduleAction::SlowEndpoint } };

/// Totals over all schedules of a property, which show whether the load exercised the fleet.
struct Totals {
    uint64_t calls = 0;
    uint64_t answered = 0;
    uint64_t shed = 0;
    uint64_t preempted = 0;
};

/// The invariants that a property checks.
enum class InvariantFilter : uint8_t { All, AllExceptShed, OnlyShed };

ScheduleResult filterViolations(ScheduleResult run, InvariantFilter filter)
{
    const auto isShed
        = [](const Violation& it) { return it.invariant == Invariant::HigherTierNotShedWhileLowerServed; };
    if (filter == InvariantFilter::AllExceptShed)
        std::erase_if(run.violations, isShed);
    if (filter == InvariantFilter::OnlyShed)
        std::erase_if(run.violations, [&](const Violation& it) { return !isShed(it); });
    return run;
}

Totals checkSchedules(const char* name, const std::vector<std::pair<size_t, ScheduleAction>>& weights,
    const LinkFaults& links, InvariantFilter filter = InvariantFilter::All)
{
    Totals totals;
    const rc::detail::TestParams params { .seed = fromEnvironment("LENTILBAY_SEED", firstSeed),
        .maxSuccess = static_cast<int>(fromEnvironment("LENTILBAY_SCHEDULES", 100)),
        .maxSize = 40 };
    const auto result = rc::detail::checkTestable(
        [&] {
            Schedule schedule { .seed = *rc::gen::inRange<uint64_t>(1, 1'000'000), .links = links };
            schedule.daemons = *rc::gen::inRange<size_t>(2, 6);
            schedule.steps = *rc::gen::container<std::vector<ScheduleStep>>(anyStep(weights));
            const auto run = filterViolations(runSchedule(schedule), filter);
            totals.calls += run.calls;
            totals.answered += run.answered;
            totals.shed += run.shed;
            totals.preempted += run.preempted;
            const auto failures = describeFailures(run);
            if (!failures.empty())
                RC_FAIL(failures);
        },
        rc::detail::TestMetadata { .id = name, .description = name }, params);
    std::ostringstream out;
    rc::detail::printResultMessage(result, out);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << "seed " << params.seed << "\n"
                                                                 << out.str();
    std::cout << name << ": " << totals.calls << " calls, " << totals.answered << " answered, " << totals.shed
              << " refused, " << totals.preempted << " preempted\n";
    return totals;
}

TEST(Schedules, LoadAloneBreaksNothing)
{
    const auto totals = checkSchedules("load alone", loadOnly, {});
    EXPECT_GT(totals.answered, 0U);
    EXPECT_GT(totals.shed, 0U) << "the load must exceed the capacity of the endpoints";
}

TEST(Schedules, LossyLinksBreakNothing)
{
    checkSchedules("lossy links", loadOnly, { .loss = 0.1, .duplication = 0.05, .maxDelay = 60ms });
}

constexpr LinkFaults someLoss { .loss = 0.02, .duplication = 0.02, .maxDelay = 20ms };

TEST(Schedules, FaultsBreakNothingButTheOrderOfTiers)
{
    checkSchedules("faults", loadAndFaults, someLoss, InvariantFilter::AllExceptShed);
}

TEST(Schedules, FaultsKeepTheOrderOfTiers)
{
    checkSchedules("faults and tiers", loadAndFaults, someLoss, InvariantFilter::OnlyShed);
}

} // namespace
} // namespace lentilbay
