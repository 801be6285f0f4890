// Decides whether a run met its scenario's expectations and all invariants.
#pragma once

#include "Scenario.h"

#include <string>
#include <vector>

namespace lentilbay::scenario {

/// One line for each expectation that was not met and each breach; empty where all is well.
std::vector<std::string> judge(const Scenario& scenario, const RunRecords& records);

} // namespace lentilbay::scenario
