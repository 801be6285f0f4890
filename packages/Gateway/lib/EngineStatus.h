// Classifies the HTTP error status of a model engine.
#pragma once

#include <cstdint>

namespace lentilbay {

constexpr int statusOk = 200;
constexpr int firstErrorStatus = 400;

enum class EngineErrorClass : uint8_t {
    /// The request is invalid; the engine's response explains the error to the caller.
    ClientError,
    /// The engine did not execute any part of the request.
    NotExecuted,
    /// The request may or may not have been executed.
    Unknown,
};

/// A server error may occur after the request was executed, so only "too many requests" proves that nothing
/// was.
constexpr EngineErrorClass classifyErrorStatus(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int tooManyRequests = 429;
    constexpr int firstServerError = 500;
    if (status == tooManyRequests)
        return EngineErrorClass::NotExecuted;
    if (status >= firstErrorStatus && status < firstServerError && status != requestTimeout)
        return EngineErrorClass::ClientError;
    return EngineErrorClass::Unknown;
}

} // namespace lentilbay
