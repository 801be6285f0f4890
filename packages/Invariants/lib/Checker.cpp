// Runs all checks and sorts the violations.
#include "lentilbay/Invariants/Checker.h"

#include "Checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace lentilbay {

std::string_view printed(Invariant invariant)
{
    switch (invariant) {
    case Invariant::DispatchedAtMostOnce:
        return "dispatched-at-most-once";
    case Invariant::HigherTierNotShedWhileLowerServed:
        return "higher-tier-not-shed-while-lower-served";
    case Invariant::WholeAnswerToItsCaller:
        return "whole-answer-to-its-caller";
    case Invariant::NotRunIsTrue:
        return "not-run-is-true";
    case Invariant::NonIdempotentRunsAtMostOnce:
        return "non-idempotent-runs-at-most-once";
    case Invariant::LeavingEndpointGetsNoNewWork:
        return "leaving-endpoint-gets-no-new-work";
    case Invariant::PlannedStopCutsNothingOff:
        return "planned-stop-cuts-nothing-off";
    case Invariant::AcceptedConfigurationInForce:
        return "accepted-configuration-in-force";
    }
    return "";
}

std::string printed(const Violation& violation, TimePoint origin)
{
    std::string requests;
    for (const auto& it : violation.requests)
        requests += (requests.empty() ? "" : ", ") + (it.empty() ? std::string("(no id)") : it.text());
    return fmt::format("{:.3f}s {}: {}{}{}", toSeconds(violation.at - origin), printed(violation.invariant),
        requests, requests.empty() ? "" : ": ", violation.detail);
}

std::vector<Violation> checkInvariants(const RunRecords& records, const CheckOptions& options)
{
    const RunIndex index(records);
    Violations violations;
    checkDispatchedAtMostOnce(index, violations);
    checkShed(index, options, violations);
    checkWholeAnswers(index, violations);
    checkNotRunIsTrue(index, violations);
    checkNonIdempotent(index, violations);
    checkLeavingEndpoints(index, options, violations);
    checkPlannedStops(index, options, violations);
    checkConfigurations(index, options, violations);
    std::ranges::stable_sort(violations, [](const Violation& a, const Violation& b) {
        return std::tie(a.invariant, a.at) < std::tie(b.invariant, b.at);
    });
    return violations;
}

} // namespace lentilbay
