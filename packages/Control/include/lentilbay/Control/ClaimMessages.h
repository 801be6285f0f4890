// Messages that query the holder of a claim for the outcome of the request, several claims at a time.
#pragma once

#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

/// Identifies a claim as stored in its table row.
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
    /// Not finished yet; query again.
    Running,
    Finished,
    /// Given up before dispatch; it will never be dispatched.
    Abandoned,
    /// The holder has no record of the claim.
    Forgotten,
};

/// The outcome of one claim. Members after `state` are meaningful only if it is Finished.
struct ClaimReport {
    ClaimReference claim;
    ClaimState state = ClaimState::Forgotten;
    /// The ResultCode; 1000 if the answer is complete.
    uint16_t code = 0;
    /// The Executed value of a refusal.
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
