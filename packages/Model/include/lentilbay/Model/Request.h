// Request metadata for scheduling, and the outcome of a request. Holds neither body nor prompt text.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/ResultCode.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// Whether a request without a complete answer was executed by an endpoint.
enum class Executed : uint8_t {
    /// Not executed: no byte of it was written to an endpoint.
    No,
    /// Dispatched and partly executed.
    Partly,
    Unknown,
};

constexpr std::string_view printed(Executed ran)
{
    return ran == Executed::No ? "no" : ran == Executed::Partly ? "partly" : "unknown";
}

/// The metadata of a request that the gateway has authenticated and read.
struct Arrival {
    RequestId id;
    OrganisationId organisation;
    TierId tier;
    ServiceId service;
    /// The time from arrival to the end of the answer that the caller asked for.
    std::optional<Duration> deadline;
    /// Estimated from the body for a model; 0 for a plain service.
    uint32_t promptTokens = 0;
    /// The maximum number of answer tokens, or 0 if the caller set none.
    uint32_t maxAnswerTokens = 0;
    /// See prefixHashesOf().
    std::vector<uint64_t> prefixHashes;
    /// Empty if the caller sent none.
    std::string idempotencyKey;
    /// The hash of service, path and body; requests with the same idempotency key must have the same hash.
    uint64_t bodyHash = 0;

    auto operator<=>(const Arrival&) const = default;
};

/// How the answer of an endpoint ended.
enum class AnswerEnd : uint8_t {
    Whole,
    /// Truncated or invalid after the dispatch began.
    Broken,
    /// The endpoint rejected the request and stated that it executed none of it.
    Refused,
    /// Cancelled by the entry daemon.
    Cancelled,
};

/// The final outcome of a request; exactly one per request.
struct RequestOutcome {
    RequestId id;
    ResultCode code = ResultCode::Ok;
    /// Only meaningful if code is not Ok.
    Executed ran = Executed::No;
    EndpointId endpoint;
    TierId tier;
    uint32_t promptTokens = 0;
    uint32_t answerTokens = 0;
    Duration waited {};
    Duration total {};
    bool inTime = false;

    auto operator<=>(const RequestOutcome&) const = default;
};

} // namespace lentilbay
