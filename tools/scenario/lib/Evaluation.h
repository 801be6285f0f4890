// Checks a run against its scenario's expectations and the invariants.
#pragma once

#include "Scenario.h"

#include <string>
#include <vector>

namespace lentilbay::scenario {

/// Returns one line for each unmet expectation and each invariant violation; empty if there are none.
std::vector<std::string> evaluate(const Scenario& scenario, const RunRecords& records);

} // namespace lentilbay::scenario
