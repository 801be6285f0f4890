// policy-bench: prints the goodput of lentilbay's entry controller and of baseline schedulers for several
// loads and seeds, and optionally checks it against bench/bounds.ini.
#include "Comparison.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>

DEFINE_string(loads, "0.5,1,1.5,2,3", "comma-separated loads as multiples of the engines' capacity");
DEFINE_int32(seeds, 3, "number of seeds, starting at 1");
DEFINE_int32(seconds, 240, "length of the arrival period in seconds of virtual time");
DEFINE_string(json, "", "file to which all runs are written as JSON");
DEFINE_string(bounds, "", "file of bounds such as bench/bounds.ini; the exit code is 1 if a bound is missed");
DEFINE_string(workload, "", "run only the workload of this name");
DEFINE_bool(details, false, "print refusals by code and violated invariants");

namespace lentilbay::bench {
namespace {

struct Spread {
    double mean = 0;
    double deviation = 0;
};

Spread spreadOf(const std::vector<double>& values)
{
    Spread out;
    for (const auto it : values)
        out.mean += it / static_cast<double>(values.size());
    for (const auto it : values)
        out.deviation += (it - out.mean) * (it - out.mean) / static_cast<double>(values.size());
    out.deviation = std::sqrt(out.deviation);
    return out;
}

std::string formatSpread(const Spread& spread)
{
    char text[32];
    std::snprintf(text, sizeof text, "%6.3f+-%.3f", spread.mean, spread.deviation);
    return text;
}

void printRows(const std::vector<Comparison>& group)
{
    for (size_t i = 0; i < group.front().runs.size(); ++i) {
        std::vector<std::vector<double>> columns(6);
        for (const auto& comparison : group) {
            const auto& score = comparison.runs[i].score;
            for (size_t rank = 0; rank < 3; ++rank)
                columns[rank].push_back(score.inTime[rank] / std::max(1.0, score.arrived[rank]));
            columns[3].push_back(score.weightedGoodput / std::max(1.0, comparison.boundWeightedGoodput));
            columns[4].push_back(
                score.weightedGoodput / std::max(1.0, comparison.bestBaselineWeightedGoodput()));
            columns[5].push_back(score.wastedPrefillFraction());
        }
        std::printf("%-12s %4.1f %-16s", group.front().workload.c_str(), group.front().load,
            group.front().runs[i].scheduler.c_str());
        for (const auto& it : columns)
            std::printf(" %s", formatSpread(spreadOf(it)).c_str());
        std::printf("\n");
    }
}

void printDetails(const Comparison& comparison)
{
    const auto& run = comparison.entry();
    std::printf("  seed %llu: top tier fits %d, preempted %llu, late %.0f, shed while lower served %llu, "
                "breaches %zu",
        static_cast<unsigned long long>(comparison.seed), comparison.topTierFits ? 1 : 0,
        static_cast<unsigned long long>(run.counters.preempted), run.score.late,
        static_cast<unsigned long long>(run.counters.shedWhileLowerServed), run.violations.size());
    for (const auto& [code, n] : run.refusals)
        std::printf(", %s %llu", printed(code).c_str(), static_cast<unsigned long long>(n));
    for (const auto& it : comparison.runs)
        std::printf(", %s %.0f engine-seconds", it.scheduler.c_str(), it.score.engineSeconds);
    std::printf("\n");
    for (const auto& [name, n] : run.score.classes) {
        auto bound = comparison.boundClasses.find(name);
        std::printf("    %-28s %6.0f arrived, %6.0f in time, at most %6.0f\n", name.c_str(), n.first,
            n.second, bound == comparison.boundClasses.end() ? n.first : bound->second);
    }
    for (size_t i = 0; i < std::min<size_t>(3, run.violations.size()); ++i)
        std::printf("    %s\n", run.violations[i].c_str());
}

nlohmann::json jsonOf(const Comparison& comparison)
{
    nlohmann::json out = { { "workload", comparison.workload }, { "load", comparison.load },
        { "seed", comparison.seed }, { "bound_weighted", comparison.boundWeightedGoodput },
        { "top_tier_fits", comparison.topTierFits } };
    for (const auto& run : comparison.runs) {
        out["runs"].push_back({ { "scheduler", run.scheduler }, { "arrived", run.score.arrived },
            { "in_time", run.score.inTime }, { "weighted", run.score.weightedGoodput },
            { "late", run.score.late }, { "prefill", run.score.prefill },
            { "wasted_prefill", run.score.wastedPrefill }, { "preempted", run.counters.preempted },
            { "breaches", run.violations } });
    }
    return out;
}

int run()
{
    std::vector<Comparison> all;
    std::printf("%-12s %4s %-16s %13s %13s %13s %13s %13s %13s\n", "workload", "load", "scheduler", "tier 0",
        "tier 1", "tier 2", "of the bound", "of best plain", "wasted prefill");
    for (const auto& workload :
        { daejeon(), cooperative(), withTiersByService(daejeon()), withTiersByService(cooperative()) }) {
        if (!FLAGS_workload.empty() && FLAGS_workload != workload.name)
            continue;
        std::stringstream loads(FLAGS_loads);
        for (std::string load; std::getline(loads, load, ',');) {
            std::vector<Comparison> group;
            for (int seed = 1; seed <= FLAGS_seeds; ++seed)
                group.push_back(
                    compare(workload, std::stod(load), std::chrono::seconds(FLAGS_seconds), seed));
            printRows(group);
            for (const auto& it : group) {
                if (FLAGS_details)
                    printDetails(it);
            }
            std::fflush(stdout);
            all.insert(all.end(), group.begin(), group.end());
        }
    }
    if (!FLAGS_json.empty()) {
        nlohmann::json out = nlohmann::json::array();
        for (const auto& it : all)
            out.push_back(jsonOf(it));
        std::ofstream(FLAGS_json) << out.dump(1) << "\n";
    }
    if (FLAGS_bounds.empty())
        return 0;
    const auto missed = missedBounds(all, readBounds(FLAGS_bounds));
    for (const auto& it : missed)
        std::printf("MISSED %s\n", it.c_str());
    return missed.empty() ? 0 : 1;
}

} // namespace
} // namespace lentilbay::bench

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return lentilbay::bench::run();
}
