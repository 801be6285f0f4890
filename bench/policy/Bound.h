// An upper bound on the weighted goodput of any scheduler, computed offline from all arrivals.
#pragma once

#include "Workload.h"

#include <map>
#include <optional>
#include <string>

namespace lentilbay::bench {

struct Bound {
    /// The sum of the weights of the answers in time; a request served in part counts fractionally.
    double weightedGoodput = 0;
    /// The number of answers in time; a request served in part counts fractionally.
    double answers = 0;
    /// Answers in time, keyed by "TIER/SERVICE".
    std::map<std::string, double> classes;
};

/// Computes the bound of a relaxed problem: the work of a request may be divided among all engines at any
/// time between its arrival and its deadline, and its shared prefix is already cached. No scheduler can
/// exceed it. Counts only requests of `rank` if given; requests of plain services count as answered in time.
Bound upperBound(const Workload& workload, const Scenario& scenario, std::optional<int> rank = std::nullopt);

} // namespace lentilbay::bench
