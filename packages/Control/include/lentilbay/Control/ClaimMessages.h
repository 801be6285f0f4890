// How a daemon asks the holder of a claim what became of the request, in aggregates.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

/// One claim, as its row in the table names it.
struct ClaimReference {
    std::string rowKey;
    uint64_t nonce = 0;
    RequestId request;

    bool operator==(const ClaimReference&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(rowKey, nonce, request); }
};

struct ClaimQuery {
    std::vector<ClaimReference> claims;

    bool operator==(const ClaimQuery&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(claims); }
};

enum class ClaimState : uint8_t {
    /// Not finished; ask again.
    Running,
    Finished,
    /// Given up before its dispatch, which will never come.
    Abandoned,
    /// The holder knows nothing of it any more.
    Forgotten,
};

/// What became of one claim. All after `state` is only meaningful where it is Finished.
struct ClaimReport {
    ClaimReference claim;
    ClaimState state = ClaimState::Forgotten;
    /// The ResultCode; 1000 where the answer is whole.
    uint16_t code = 0;
    /// The Ran of a refusal.
    uint8_t ran = 0;
    uint16_t httpStatus = 0;
    std::string contentType;
    std::string body;

    bool operator==(const ClaimReport&) const = default;
    template <class Archive> void serialize(Archive& archive)
    {
        archive(claim, state, code, ran, httpStatus, contentType, body);
    }
};

struct ClaimAnswer {
    std::vector<ClaimReport> reports;

    bool operator==(const ClaimAnswer&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(reports); }
};

} // namespace lentilbay
