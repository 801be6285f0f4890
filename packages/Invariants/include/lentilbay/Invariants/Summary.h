// Summarises a run: goodput by tier, refusals by result code, and wasted prefill.
#pragma once

#include "lentilbay/Invariants/Records.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilbay {

struct TierSummary {
    TierId tier;
    uint64_t sent = 0;
    /// Complete answers to the caller's own request within the deadline.
    uint64_t good = 0;
    /// All other answers.
    uint64_t late = 0;
    uint64_t lost = 0;
    uint64_t left = 0;
    std::map<ResultCode, uint64_t> refusals;

    auto operator<=>(const TierSummary&) const = default;
};

struct RunSummary {
    /// Keyed by rank.
    std::map<int, TierSummary> tiers;
    /// Prompt tokens that engines computed.
    uint64_t prefill = 0;
    /// The part of prefill spent on requests without a good outcome or on repeated dispatches.
    uint64_t wastedPrefill = 0;

    /// Wasted prefill as a fraction of all prefill, 0 to 1.
    double wastedShare() const
    {
        return prefill == 0 ? 0 : static_cast<double>(wastedPrefill) / static_cast<double>(prefill);
    }

    auto operator<=>(const RunSummary&) const = default;
};

RunSummary summarise(const RunRecords& records);

/// Prints an aligned table with a line for each tier and one for the prefill.
std::string printed(const RunSummary& summary);

} // namespace lentilbay
