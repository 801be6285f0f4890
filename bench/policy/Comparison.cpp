// Runs the schedulers and checks the entry controller's results against its bounds.
#include "Comparison.h"

#include "lentilbay/Invariants/Checker.h"
#include "lentilbay/Support/SectionReader.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <stdexcept>

namespace lentilbay::bench {
namespace {

/// The top tier counts as fitting if the upper bound answers this fraction of it.
constexpr double topTierFitFraction = 0.9999;

template <class S>
Run runScheduler(const Workload& workload, const Scenario& scenario, const std::string& name, uint64_t seed)
{
    Run out { .workload = workload.name, .scheduler = name, .seed = seed };
    EngineFleet fleet(workload, scenario);
    S scheduler(workload, scenario, fleet, seed);
    simulate(scheduler, fleet, scenario);
    out.score = scoreOf(workload, scenario, fleet);
    if constexpr (std::is_same_v<S, EntryScheduler>) {
        out.counters = scheduler.counters();
        out.refusals = scheduler.refusals();
        // The simulation advances in ticks, so all events of one tick carry the same timestamp.
        const CheckOptions options { .idleOverhead = 2 * tick, .answerDelay = tick / 2 };
        for (const auto& it : checkInvariants(recordsOf(workload, scenario, fleet), options))
            out.violations.push_back(printed(it));
    }
    return out;
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const auto it : values)
        sum += it;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

} // namespace

double Comparison::bestBaselineWeightedGoodput() const
{
    double best = 0;
    for (size_t i = 1; i < runs.size(); ++i)
        best = std::max(best, runs[i].score.weightedGoodput);
    return best;
}

double Comparison::topTierInTimeFraction() const
{
    const auto& score = entry().score;
    return score.arrived[0] == 0 ? 1 : score.inTime[0] / score.arrived[0];
}

Comparison compare(const Workload& workload, double load, Duration length, uint64_t seed)
{
    const auto scenario = makeScenario(workload, load, length, seed);
    Comparison out { .workload = workload.name, .load = load, .seed = seed };
    const auto bound = upperBound(workload, scenario);
    out.boundWeightedGoodput = bound.weightedGoodput;
    out.boundClasses = bound.classes;
    size_t top = 0;
    for (const auto& it : scenario.requests)
        top += it.rank == 0 ? 1 : 0;
    out.topTierFits
        = upperBound(workload, scenario, 0).answers >= topTierFitFraction * static_cast<double>(top);
    out.runs.push_back(runScheduler<EntryScheduler>(workload, scenario, "lentilbay", seed));
    out.runs.push_back(runScheduler<RoundRobin>(workload, scenario, "round-robin", seed));
    out.runs.push_back(runScheduler<LeastReportedLoad>(workload, scenario, "least-load", seed));
    out.runs.push_back(runScheduler<StrictPriority>(workload, scenario, "strict-priority", seed));
    for (auto& it : out.runs)
        it.load = load;
    return out;
}

PolicyBounds readBounds(const std::string& path)
{
    Diagnostics diagnostics;
    const auto document = readIniFile(path, diagnostics);
    SectionReader reader(document, "policy", diagnostics);
    PolicyBounds out;
    out.topTierGoodput = reader.number("top_tier_goodput", 0, { 0, 1 });
    out.weightedOverBestPlain = reader.number("weighted_over_best_plain", 0, { 0, 100 });
    out.weightedOverBound = reader.number("weighted_over_bound", 0, { 0, 1 });
    out.wastedPrefill = reader.number("wasted_prefill", 0, { 0, 1 });
    out.judgedLoad = reader.number("judged_load", 0, { 0, 100 });
    reader.reportUnknownKeys();
    if (!diagnostics.empty())
        throw std::runtime_error(printed(diagnostics.front()));
    return out;
}

std::vector<std::string> missedBounds(const std::vector<Comparison>& comparisons, const PolicyBounds& bounds)
{
    struct Values {
        std::vector<double> top;
        std::vector<double> overPlain;
        std::vector<double> overBound;
        std::vector<double> wasted;
    };
    std::map<std::pair<std::string, double>, Values> groups;
    std::vector<std::string> out;
    for (const auto& it : comparisons) {
        auto& group = groups[{ it.workload, it.load }];
        if (it.topTierFits)
            group.top.push_back(it.topTierInTimeFraction());
        group.overPlain.push_back(
            it.entry().score.weightedGoodput / std::max(1.0, it.bestBaselineWeightedGoodput()));
        group.overBound.push_back(it.entry().score.weightedGoodput / std::max(1.0, it.boundWeightedGoodput));
        group.wasted.push_back(it.entry().score.wastedPrefillFraction());
        for (const auto& violation : it.entry().violations)
            out.push_back(it.workload + " seed " + std::to_string(it.seed) + ": " + violation);
    }
    for (const auto& it : groups) {
        const auto& key = it.first;
        const auto& group = it.second;
        const auto check = [&](const char* what, double value, double bound, bool isLowerBound) {
            if (isLowerBound ? value >= bound : value <= bound)
                return;
            std::ostringstream text;
            text << key.first << " at load " << key.second << ": " << what << " is " << value << ", bound "
                 << bound;
            out.push_back(text.str());
        };
        if (!group.top.empty())
            check("top tier's goodput", mean(group.top), bounds.topTierGoodput, true);
        check("wasted prefill", mean(group.wasted), bounds.wastedPrefill, false);
        if (key.second != bounds.judgedLoad)
            continue;
        check("weighted goodput over the best plain scheduler", mean(group.overPlain),
            bounds.weightedOverBestPlain, true);
        check("weighted goodput over the upper bound", mean(group.overBound), bounds.weightedOverBound, true);
    }
    return out;
}

} // namespace lentilbay::bench
