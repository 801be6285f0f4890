// Builds error responses and decides which errors carry Retry-After.
#include "lentilbay/Gateway/ErrorBody.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

constexpr Duration defaultRetryAfter = std::chrono::seconds { 1 };

/// Returns true for transient errors, where a later retry of the same request may succeed.
bool isTransient(ResultCode code)
{
    switch (code) {
    case ResultCode::RequestRateLimit:
    case ResultCode::TokenRateLimit:
    case ResultCode::ConcurrencyLimit:
    case ResultCode::NoCapacity:
    case ResultCode::QueueFull:
    case ResultCode::NoEndpoint:
    case ResultCode::Draining:
    case ResultCode::Fenced:
    case ResultCode::TooManyConnections:
    case ResultCode::Preempted:
    case ResultCode::ClaimUnavailable:
    case ResultCode::ClaimInProgress:
    case ResultCode::ClaimReleased:
    case ResultCode::EndpointUnreachable:
        return true;
    default:
        return false;
    }
}

int64_t wholeSeconds(Duration duration)
{
    return std::max<int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

std::string_view errorTypeOf(ResultCode code)
{
    constexpr int unauthorized = 401;
    constexpr int forbidden = 403;
    constexpr int notFound = 404;
    constexpr int tooManyRequests = 429;
    const int status = rowOf(code).httpStatus;
    if (status == unauthorized)
        return "authentication_error";
    if (status == forbidden)
        return "permission_error";
    if (status == notFound)
        return "not_found_error";
    if (status == tooManyRequests)
        return "rate_limit_error";
    if (status >= 500)
        return "server_error";
    return "invalid_request_error";
}

std::string errorBody(const Refusal& refusal, const RequestId& id)
{
    const auto code = refusal.failure.code;
    std::string message(rowOf(code).meaning);
    if (!refusal.failure.detail.empty())
        message += " " + refusal.failure.detail;
    const nlohmann::json body { { "error",
        { { "code", printed(code) }, { "type", errorTypeOf(code) }, { "message", message },
            { "ran", printed(refusal.ran) }, { "request_id", id.text() } } } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

CallerAnswer errorAnswer(const Refusal& refusal, const RequestId& id)
{
    const auto code = refusal.failure.code;
    CallerAnswer answer { .status = rowOf(code).httpStatus,
        .fields = { { "Content-Type", "application/json" }, { "Lentilbay-Request-Id", id.text() } },
        .body = std::make_shared<std::string>(errorBody(refusal, id)) };
    if (refusal.retryAfter || isTransient(code))
        answer.fields.emplace_back(
            "Retry-After", std::to_string(wholeSeconds(refusal.retryAfter.value_or(defaultRetryAfter))));
    return answer;
}

std::string errorEvent(const Refusal& refusal, const RequestId& id)
{
    return "data: " + errorBody(refusal, id) + "\n\n";
}

} // namespace lentilbay
