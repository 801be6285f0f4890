// What a run gave its callers: goodput by tier, refusals by code, and prompt processing that was wasted.
#pragma once

#include "lentilbay/Invariants/Records.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilbay {

struct TierSummary {
    TierId tier;
    uint64_t sent = 0;
    /// Whole, the caller's own and within the deadline.
    uint64_t good = 0;
    uint64_t late = 0;
    uint64_t lost = 0;
    uint64_t left = 0;
    std::map<ResultCode, uint64_t> refusals;

    auto operator<=>(const TierSummary&) const = default;
};

struct RunSummary {
    /// By rank.
    std::map<int, TierSummary> tiers;
    /// Prompt tokens that engines read.
    uint64_t prefill = 0;
    /// Of these, those read for requests that did not end as good, and those read again.
    uint64_t wastedPrefill = 0;

    /// 0 to 1.
    double wastedShare() const
    {
        return prefill == 0 ? 0 : static_cast<double>(wastedPrefill) / static_cast<double>(prefill);
    }

    auto operator<=>(const RunSummary&) const = default;
};

RunSummary summarise(const RunRecords& records);

/// An aligned table with one line for each tier and one for the prefill.
std::string printed(const RunSummary& summary);

} // namespace lentilbay
