// Runs all checks and orders what they found.
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

std::string printed(const Breach& breach, TimePoint origin)
{
    std::string requests;
    for (const auto& it : breach.requests)
        requests += (requests.empty() ? "" : ", ") + (it.empty() ? std::string("(no id)") : it.text());
    return fmt::format("{:.3f}s {}: {}{}{}", toSeconds(breach.at - origin), printed(breach.invariant),
        requests, requests.empty() ? "" : ": ", breach.detail);
}

std::vector<Breach> checkInvariants(const RunRecords& records, const CheckOptions& options)
{
    const RunIndex index(records);
    Breaches breaches;
    checkDispatchedAtMostOnce(index, breaches);
    checkShed(index, options, breaches);
    checkWholeAnswers(index, breaches);
    checkNotRunIsTrue(index, breaches);
    checkNonIdempotent(index, breaches);
    checkLeavingEndpoints(index, options, breaches);
    checkPlannedStops(index, options, breaches);
    checkConfigurations(index, options, breaches);
    std::ranges::stable_sort(breaches, [](const Breach& a, const Breach& b) {
        return std::tie(a.invariant, a.at) < std::tie(b.invariant, b.at);
    });
    return breaches;
}

} // namespace lentilbay
