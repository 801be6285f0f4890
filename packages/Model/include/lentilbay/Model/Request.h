// A request as the scheduler sees it: facts of its arrival, and how it ended. No body, no prompt text.
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

/// What is known of a request that did not get its whole answer.
enum class Ran : uint8_t {
    /// Proved: no byte of it was written to an endpoint.
    No,
    /// It was dispatched and part of its work was done.
    Partly,
    Unknown,
};

constexpr std::string_view printed(Ran ran)
{
    return ran == Ran::No ? "no" : ran == Ran::Partly ? "partly" : "unknown";
}

/// What the gateway knows of a request once it has been authenticated and read.
struct Arrival {
    RequestId id;
    OrganisationId organisation;
    TierId tier;
    ServiceId service;
    /// From arrival to the whole answer, as the caller asked for it.
    std::optional<Duration> deadline;
    /// Estimated from the body for a model, 0 for a plain service.
    uint32_t promptTokens = 0;
    /// The most tokens the answer may have, or 0 where the caller set no bound.
    uint32_t maxAnswerTokens = 0;
    /// Hashes of the prompt's blocks, each over all blocks up to it, so that equal prefixes share entries.
    std::vector<uint64_t> prefixHashes;
    /// Empty where the caller sent none.
    std::string idempotencyKey;
    /// The hash of service, path and body; two requests with one key must agree in it.
    uint64_t bodyHash = 0;

    auto operator<=>(const Arrival&) const = default;
};

/// How an endpoint's answer ended.
enum class AnswerEnd : uint8_t {
    Whole,
    /// It broke off or was not understood after the dispatch began.
    Broken,
    /// The endpoint refused and said that it ran nothing of the request.
    Refused,
    /// The entry cancelled it.
    Cancelled,
};

/// One record for each request: its only outcome.
struct RequestOutcome {
    RequestId id;
    ResultCode code = ResultCode::Ok;
    /// Only meaningful where code is not Ok.
    Ran ran = Ran::No;
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
