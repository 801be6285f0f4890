// What the entry controller asks of input and output.
#pragma once

#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Result.h"
#include "lentilbay/Support/Time.h"

#include <optional>
#include <variant>

namespace lentilbay {

/// Record the claim of a keyed request before its dispatch; answered by EntryController::claimed().
struct ClaimCommand {
    RequestId id;
};

/// Connect to the endpoint and dispatch. Before the first byte is written EntryController::mayDispatch() is
/// asked once more; after it no other endpoint may be tried.
struct DispatchCommand {
    RequestId id;
    EndpointId endpoint;
};

/// Stop the work at the endpoint, then refuse. Answered by EntryController::answerEnded(Cancelled).
struct CancelCommand {
    RequestId id;
    Failure reason;
};

/// Give the caller its final answer: a refusal.
struct RefuseCommand {
    RequestId id;
    Failure failure;
    Ran ran = Ran::No;
    std::optional<Duration> retryAfter;
};

using Command = std::variant<ClaimCommand, DispatchCommand, CancelCommand, RefuseCommand>;

/// How an attempt to claim a key ended.
enum class ClaimResult : uint8_t {
    /// This entry holds the claim and may dispatch.
    Held,
    /// Another daemon (or an earlier request here) holds it; the claims controller answers the caller.
    HeldElsewhere,
    /// The table did not answer before the deadline, and it is proved that no claim was recorded.
    Unavailable,
};

} // namespace lentilbay
