// The table row that stores a claim.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace lentilbay {

/// Names the only daemon that may ever dispatch the request, and its address for outcome queries.
struct ClaimRow {
    DaemonId daemon;
    std::string address;
    uint64_t incarnation = 0;
    /// Distinguishes this claim from all others, including those of the same process.
    uint64_t nonce = 0;
    uint64_t bodyHash = 0;
    RequestId request;
    /// On the claimant's clock.
    WallTimePoint claimedAt {};

    auto operator<=>(const ClaimRow&) const = default;
};

/// Prints the fields separated by spaces; no field may contain a space. An empty address is printed as "-".
std::string printClaimRow(const ClaimRow& row);
/// Returns nullopt if the text is not a valid claim.
std::optional<ClaimRow> parseClaimRow(const std::string& text);

} // namespace lentilbay
