// The most weighted goodput that any scheduler could reach, worked out with all arrivals known.
#pragma once

#include "Workload.h"

#include <map>
#include <optional>
#include <string>

namespace lentilbay::bench {

struct Bound {
    /// The sum of the weights of answers in time, parts of answers counted in part.
    double weighted = 0;
    /// Requests in time, parts counted in part.
    double answers = 0;
    /// By tier and service.
    std::map<std::string, double> classes;
};

/// Each request is taken as work that may be spread over all engines at once between its arrival and its
/// deadline, with its shared prefix already cached; no scheduler can do better. Only requests of `rank` where
/// it is given. Requests of plain services count as answered.
Bound upperBound(const Workload& workload, const Scenario& scenario, std::optional<int> rank = std::nullopt);

} // namespace lentilbay::bench
