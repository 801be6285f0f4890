// Error responses for callers: an OpenAI-style error object with a numbered code and whether the request may
// have been executed.
#pragma once

#include "lentilbay/Gateway/Caller.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Result.h"

#include <optional>
#include <string>
#include <string_view>

namespace lentilbay {

struct Refusal {
    Failure failure;
    Executed ran = Executed::No;
    std::optional<Duration> retryAfter;

    auto operator<=>(const Refusal&) const = default;
};

/// Returns the error type used by the OpenAI API, such as "invalid_request_error" or "rate_limit_error".
std::string_view errorTypeOf(ResultCode code);

/// Returns {"error": {"code", "type", "message", "ran", "request_id"}}.
std::string errorBody(const Refusal& refusal, const RequestId& id);

/// Returns the error response with its HTTP status, the request id and, if a retry may succeed, Retry-After.
CallerAnswer errorAnswer(const Refusal& refusal, const RequestId& id);

/// Returns the final event of a stream that ended prematurely.
std::string errorEvent(const Refusal& refusal, const RequestId& id);

} // namespace lentilbay
