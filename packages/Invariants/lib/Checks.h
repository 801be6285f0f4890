// The checks of the individual invariants. Each appends the violations that it finds.
#pragma once

#include "RunIndex.h"
#include "lentilbay/Invariants/Checker.h"

namespace lentilbay {

using Violations = std::vector<Violation>;

// Dispatches (DispatchChecks.cpp).
void checkDispatchedAtMostOnce(const RunIndex& index, Violations& violations);
void checkNotRunIsTrue(const RunIndex& index, Violations& violations);
void checkNonIdempotent(const RunIndex& index, Violations& violations);
void checkLeavingEndpoints(const RunIndex& index, const CheckOptions& options, Violations& violations);

// Shed requests (ShedCheck.cpp).
void checkShed(const RunIndex& index, const CheckOptions& options, Violations& violations);
/// Whether an idle pool could not have served the request either, because of its deadline or a recorded
/// fault.
bool failsOnIdlePool(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller);

// Answers, stops and configurations (OutcomeChecks.cpp).
void checkWholeAnswers(const RunIndex& index, Violations& violations);
void checkPlannedStops(const RunIndex& index, const CheckOptions& options, Violations& violations);
void checkConfigurations(const RunIndex& index, const CheckOptions& options, Violations& violations);

} // namespace lentilbay
