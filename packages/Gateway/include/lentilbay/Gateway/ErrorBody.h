// The refusals that callers read: an OpenAI-style error object with a numbered code and what is known to have
// run.
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
    Ran ran = Ran::No;
    std::optional<Duration> retryAfter;

    auto operator<=>(const Refusal&) const = default;
};

/// "invalid_request_error", "rate_limit_error", ...: the type that clients of OpenAI's interface know.
std::string_view errorTypeOf(ResultCode code);

/// {"error": {"code", "type", "message", "ran", "request_id"}}
std::string errorBody(const Refusal& refusal, const RequestId& id);

/// The body with its HTTP status, Retry-After where a later attempt may succeed, and the request's id.
CallerAnswer errorAnswer(const Refusal& refusal, const RequestId& id);

/// The last event of a stream that did not come to its end.
std::string errorEvent(const Refusal& refusal, const RequestId& id);

} // namespace lentilbay
