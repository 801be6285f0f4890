// The checks of the single invariants, each of which appends the breaches that it finds.
#pragma once

#include "RunIndex.h"
#include "lentilbay/Invariants/Checker.h"

namespace lentilbay {

using Breaches = std::vector<Breach>;

// Dispatches (DispatchChecks.cpp).
void checkDispatchedAtMostOnce(const RunIndex& index, Breaches& breaches);
void checkNotRunIsTrue(const RunIndex& index, Breaches& breaches);
void checkNonIdempotent(const RunIndex& index, Breaches& breaches);
void checkLeavingEndpoints(const RunIndex& index, const CheckOptions& options, Breaches& breaches);

// Shed requests (ShedCheck.cpp).
void checkShed(const RunIndex& index, const CheckOptions& options, Breaches& breaches);
/// Whether the request could not have been met on an idle pool either, by its deadline or by a recorded
/// fault.
bool failsOnIdlePool(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller);

// Answers, stops and configurations (OutcomeChecks.cpp).
void checkWholeAnswers(const RunIndex& index, Breaches& breaches);
void checkPlannedStops(const RunIndex& index, const CheckOptions& options, Breaches& breaches);
void checkConfigurations(const RunIndex& index, const CheckOptions& options, Breaches& breaches);

} // namespace lentilbay
