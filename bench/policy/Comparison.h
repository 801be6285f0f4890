// Runs all schedulers over the same scenarios and compares them with each other and with the bound.
#pragma once

#include "Bound.h"
#include "Schedulers.h"

#include <string>
#include <vector>

namespace lentilbay::bench {

/// One scheduler in one scenario.
struct Run {
    std::string workload;
    std::string scheduler;
    double load = 0;
    uint64_t seed = 0;
    Score score;
    /// Breaches of invariants; counted for the entry controller only.
    std::vector<std::string> breaches;
    EntryCounters counters;
    std::map<ResultCode, uint64_t> refusals;
};

/// All schedulers in one scenario.
struct Comparison {
    std::string workload;
    double load = 0;
    uint64_t seed = 0;
    double boundWeighted = 0;
    /// Answers in time by tier and service.
    std::map<std::string, double> boundClasses;
    /// Whether the top tier alone would fit the capacity.
    bool topTierFits = false;
    /// The entry controller's run first, then the plain ones.
    std::vector<Run> runs;

    const Run& entry() const { return runs.front(); }
    double bestPlainWeighted() const;
    double topTierPart() const;
};

Comparison compare(const Workload& workload, double load, Duration length, uint64_t seed);

/// What the entry controller must reach; see bench/bounds.ini.
struct PolicyBounds {
    double topTierGoodput = 0;
    double weightedOverBestPlain = 0;
    double weightedOverBound = 0;
    double wastedPrefill = 0;
    /// The load at which the weighted goodput is judged.
    double judgedLoad = 0;
};

/// Reads the section [policy]; throws std::runtime_error where it has a fault.
PolicyBounds readBounds(const std::string& path);

/// A sentence for each bound that is missed, judged by the means over the seeds of each workload and load.
std::vector<std::string> missedBounds(const std::vector<Comparison>& comparisons, const PolicyBounds& bounds);

} // namespace lentilbay::bench
