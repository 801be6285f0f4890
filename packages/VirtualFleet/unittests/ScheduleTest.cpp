// The state-machine test: the invariants hold on random schedules of load and faults.
//
// RapidCheck draws the steps from fixed seeds and shrinks what fails. LENTILBAY_SCHEDULES sets how many
// schedules each property runs, LENTILBAY_SEED the first seed; ctest runs parts with seeds of their own.
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

rc::Gen<ScheduleStep> anyStep(const std::vector<std::pair<size_t, Act>>& weights)
{
    std::vector<Act> acts;
    for (const auto& [weight, act] : weights)
        acts.insert(acts.end(), weight, act);
    return rc::gen::construct<ScheduleStep>(rc::gen::elementOf(acts), rc::gen::inRange<size_t>(0, 5),
        rc::gen::inRange<size_t>(0, 5), rc::gen::inRange<size_t>(0, 3), rc::gen::inRange<uint32_t>(0, 30),
        rc::gen::map(
            rc::gen::inRange(0, 1'500), [](int ms) { return Duration(std::chrono::milliseconds(ms)); }));
}

const std::vector<std::pair<size_t, Act>> loadOnly { { 3, Act::Call }, { 5, Act::Burst },
    { 2, Act::CallKeyed } };

const std::vector<std::pair<size_t, Act>> loadAndFaults { { 3, Act::Call }, { 8, Act::Burst },
    { 2, Act::CallKeyed }, { 1, Act::Kill }, { 2, Act::Restart }, { 1, Act::Pause }, { 2, Act::Resume },
    { 1, Act::Drain }, { 1, Act::Cut }, { 2, Act::Heal }, { 1, Act::KillEndpoint },
    { 2, Act::RestartEndpoint }, { 1, Act::LeaveEndpoint }, { 2, Act::SlowEndpoint } };

/// What all schedules of a property did together, so that an idle property is seen.
struct Totals {
    uint64_t calls = 0;
    uint64_t answered = 0;
    uint64_t shed = 0;
    uint64_t preempted = 0;
};

/// Which invariants a property judges.
enum class Judged : uint8_t { All, AllButShed, OnlyShed };

ScheduleResult judged(ScheduleResult run, Judged which)
{
    const auto isShed
        = [](const Breach& it) { return it.invariant == Invariant::HigherTierNotShedWhileLowerServed; };
    if (which == Judged::AllButShed)
        std::erase_if(run.breaches, isShed);
    if (which == Judged::OnlyShed)
        std::erase_if(run.breaches, [&](const Breach& it) { return !isShed(it); });
    return run;
}

Totals checkSchedules(const char* name, const std::vector<std::pair<size_t, Act>>& weights,
    const LinkFaults& links, Judged which = Judged::All)
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
            const auto run = judged(runSchedule(schedule), which);
            totals.calls += run.calls;
            totals.answered += run.answered;
            totals.shed += run.shed;
            totals.preempted += run.preempted;
            const auto faults = faultsOf(run);
            if (!faults.empty())
                RC_FAIL(faults);
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
    EXPECT_GT(totals.shed, 0U) << "the load must be more than the endpoints can serve";
}

TEST(Schedules, LossyLinksBreakNothing)
{
    checkSchedules("lossy links", loadOnly, { .loss = 0.1, .duplication = 0.05, .mostDelay = 60ms });
}

constexpr LinkFaults someLoss { .loss = 0.02, .duplication = 0.02, .mostDelay = 20ms };

TEST(Schedules, FaultsBreakNothingButTheOrderOfTiers)
{
    checkSchedules("faults", loadAndFaults, someLoss, Judged::AllButShed);
}

TEST(Schedules, FaultsKeepTheOrderOfTiers)
{
    checkSchedules("faults and tiers", loadAndFaults, someLoss, Judged::OnlyShed);
}

} // namespace
} // namespace lentilbay
