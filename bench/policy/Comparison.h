// Runs all schedulers on the same scenarios and compares them with each other and with the upper bound.
#pragma once

#include "Bound.h"
#include "Schedulers.h"

#include <string>
#include <vector>

namespace lentilbay::bench {

/// The result of one scheduler in one scenario.
struct Run {
    std::string workload;
    std::string scheduler;
    double load = 0;
    uint64_t seed = 0;
    Score score;
    /// Violated invariants; checked for the entry controller only.
    std::vector<std::string> violations;
    EntryCounters counters;
    /// The number of refused or cancelled requests by result code; recorded for the entry controller only.
    std::map<ResultCode, uint64_t> refusals;
};

/// The results of all schedulers in one scenario, and the upper bound for it.
struct Comparison {
    std::string workload;
    double load = 0;
    uint64_t seed = 0;
    double boundWeightedGoodput = 0;
    /// The upper bound on answers in time, keyed by "TIER/SERVICE".
    std::map<std::string, double> boundClasses;
    /// Whether the capacity suffices for all requests of the top tier if no others are served.
    bool topTierFits = false;
    /// The entry controller first, then the baseline schedulers.
    std::vector<Run> runs;

    const Run& entry() const { return runs.front(); }
    double bestBaselineWeightedGoodput() const;
    /// The fraction of the top tier's requests that the entry controller answered in time.
    double topTierInTimeFraction() const;
};

/// Runs all schedulers on one scenario; `load` is a multiple of the engines' capacity.
Comparison compare(const Workload& workload, double load, Duration length, uint64_t seed);

/// The targets of the entry controller; bench/bounds.ini describes each key.
struct PolicyBounds {
    double topTierGoodput = 0;
    double weightedOverBestPlain = 0;
    double weightedOverBound = 0;
    double wastedPrefill = 0;
    /// The load at which the bounds on weighted goodput apply.
    double judgedLoad = 0;
};

/// Reads the section [policy]; throws std::runtime_error with the first diagnostic if it is invalid.
PolicyBounds readBounds(const std::string& path);

/// Returns one message for each missed bound and each violated invariant. Bounds apply to the means over all
/// seeds of a workload and load.
std::vector<std::string> missedBounds(const std::vector<Comparison>& comparisons, const PolicyBounds& bounds);

} // namespace lentilbay::bench
