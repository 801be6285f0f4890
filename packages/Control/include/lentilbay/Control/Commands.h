// The commands that the entry controller issues to the I/O layer.
#pragma once

#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Result.h"
#include "lentilbay/Support/Time.h"

#include <optional>
#include <variant>

namespace lentilbay {

/// Record the claim of a request with an idempotency key before its dispatch. Completed by
/// EntryController::claimed().
struct ClaimCommand {
    RequestId id;
};

/// Connect to the endpoint and dispatch the request. EntryController::mayDispatch() must be called again
/// right before the first byte is written; once it has returned true, no other endpoint may be tried.
struct DispatchCommand {
    RequestId id;
    EndpointId endpoint;
};

/// Cancel the request at the endpoint, then refuse it. Completed by EntryController::answerEnded(Cancelled).
struct CancelCommand {
    RequestId id;
    Failure reason;
};

/// Send the caller a refusal as its final answer.
struct RefuseCommand {
    RequestId id;
    Failure failure;
    Executed ran = Executed::No;
    std::optional<Duration> retryAfter;
};

using Command = std::variant<ClaimCommand, DispatchCommand, CancelCommand, RefuseCommand>;

/// The result of an attempt to claim a key.
enum class ClaimResult : uint8_t {
    /// This entry holds the claim and may dispatch.
    Held,
    /// Another daemon, or an earlier request of this one, holds the claim; the claim controller answers the
    /// caller.
    HeldElsewhere,
    /// The table did not answer before the deadline, and it is certain that no claim was recorded.
    Unavailable,
};

} // namespace lentilbay
