// What a model engine's HTTP status says of the request.
#pragma once

#include <cstdint>

namespace lentilbay {

constexpr int statusOk = 200;
constexpr int firstErrorStatus = 400;

enum class EngineVerdict : uint8_t {
    /// The request itself is wrong; the engine's answer tells the caller why.
    CallersFault,
    /// The engine took nothing of the request.
    NotRun,
    /// Nobody can tell whether it ran.
    Unknown,
};

/// A server error may come after the work was done, so only "too many requests" proves that nothing ran.
constexpr EngineVerdict verdictOf(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int tooManyRequests = 429;
    constexpr int firstServerError = 500;
    if (status == tooManyRequests)
        return EngineVerdict::NotRun;
    if (status >= firstErrorStatus && status < firstServerError && status != requestTimeout)
        return EngineVerdict::CallersFault;
    return EngineVerdict::Unknown;
}

} // namespace lentilbay
