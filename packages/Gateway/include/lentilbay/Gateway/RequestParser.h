// Reads what callers send: headers and OpenAI-compatible bodies, each fault with its own code.
#pragma once

#include "lentilbay/Gateway/Caller.h"
#include "lentilbay/Support/Result.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// The facts of a completion that the scheduler needs; the body itself is relayed as it came.
struct CompletionFacts {
    std::string model;
    bool stream = false;
    uint32_t promptTokens = 0;
    /// 0 where the caller set no bound.
    uint32_t maxAnswerTokens = 0;
    std::vector<uint64_t> prefixHashes;

    auto operator<=>(const CompletionFacts&) const = default;
};

enum class CompletionKind : uint8_t { Chat, Text };

/// Fails with InvalidUtf8, MalformedJson, MissingModel or InvalidRequest.
Result<CompletionFacts> parseCompletion(std::string_view body, CompletionKind kind);

/// The headers by which a caller steers its request.
struct CallerHeaders {
    std::optional<Duration> deadline;
    /// Empty where the caller named none.
    std::string tier;
    std::string idempotencyKey;

    auto operator<=>(const CallerHeaders&) const = default;
};

/// Fails with InvalidDeadline or InvalidIdempotencyKey.
Result<CallerHeaders> parseHeaders(const CallerRequest& request);

/// The key of "Authorization: Bearer <key>"; fails with MissingKey.
Result<std::string> parseBearerKey(const CallerRequest& request);

/// Whether the text is well-formed UTF-8.
bool isUtf8(std::string_view text);

} // namespace lentilbay
