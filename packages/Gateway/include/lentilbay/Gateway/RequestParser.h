// Parses request headers and OpenAI-compatible bodies. Each kind of error has its own result code.
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

/// The parameters of a completion request that the scheduler needs. The body itself is forwarded unchanged.
struct CompletionParameters {
    std::string model;
    bool stream = false;
    uint32_t promptTokens = 0;
    /// 0 if the caller set no limit.
    uint32_t maxAnswerTokens = 0;
    std::vector<uint64_t> prefixHashes;

    auto operator<=>(const CompletionParameters&) const = default;
};

enum class CompletionKind : uint8_t { Chat, Text };

/// Fails with InvalidUtf8, MalformedJson, MissingModel or InvalidRequest.
Result<CompletionParameters> parseCompletion(std::string_view body, CompletionKind kind);

/// The request headers that control scheduling.
struct CallerHeaders {
    std::optional<Duration> deadline;
    /// Empty if the caller did not request a tier.
    std::string tier;
    std::string idempotencyKey;

    auto operator<=>(const CallerHeaders&) const = default;
};

/// Fails with InvalidDeadline or InvalidIdempotencyKey.
Result<CallerHeaders> parseHeaders(const CallerRequest& request);

/// Returns the key of "Authorization: Bearer <key>". Fails with MissingKey.
Result<std::string> parseBearerKey(const CallerRequest& request);

/// Returns true if the text is well-formed UTF-8.
bool isUtf8(std::string_view text);

} // namespace lentilbay
