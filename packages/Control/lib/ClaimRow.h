// The row of the table that holds a claim.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace lentilbay {

/// The only daemon that may ever dispatch the request, and how to ask it.
struct ClaimRow {
    DaemonId daemon;
    std::string address;
    uint64_t incarnation = 0;
    /// Tells this claim from any other, also of the same process.
    uint64_t nonce = 0;
    uint64_t bodyHash = 0;
    RequestId request;
    /// By the claimant's clock.
    WallTimePoint claimedAt {};

    auto operator<=>(const ClaimRow&) const = default;
};

/// Words separated by spaces; none of the fields may hold a space. An empty address is printed as "-".
std::string printClaimRow(const ClaimRow& row);
/// Nothing where the text is no claim.
std::optional<ClaimRow> parseClaimRow(const std::string& text);

} // namespace lentilbay
