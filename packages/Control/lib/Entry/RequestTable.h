// The open requests of one entry daemon: what each is waiting for, and what has been promised to it.
#pragma once

#include "lentilbay/Control/Commands.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lentilbay {

enum class RequestPhase : uint8_t {
    /// In a queue; no endpoint chosen.
    Waiting,
    /// In no queue until the claim is decided; it holds no slot, so that a slow table blocks nobody else.
    Claiming,
    /// An endpoint was chosen and its slot is taken; nothing has been written.
    Connecting,
    /// The dispatch began, so no other endpoint may ever be tried.
    Running,
    /// The entry asked for the work to be stopped.
    Cancelling,
};

/// One open request.
struct OpenRequest {
    Arrival arrival;
    uint64_t sequence = 0;
    int rank = 0;
    bool idempotent = true;
    bool needsClaim = false;
    bool claimHeld = false;
    bool callerGone = false;
    RequestPhase phase = RequestPhase::Waiting;
    TimePoint arrivedAt {};
    /// When the whole answer must be there; nothing where neither caller, tier nor service sets one.
    std::optional<TimePoint> deadline;
    /// When the first token must be there.
    std::optional<TimePoint> firstTokenDeadline;
    /// Set from Connecting on.
    EndpointId endpoint;
    TimePoint dispatchedAt {};
    std::optional<TimePoint> firstTokenAt;
    uint32_t answerTokens = 0;
    uint32_t failedConnections = 0;
    /// Why it is being cancelled.
    std::optional<Failure> cancelReason;

    bool holdsSlot() const { return phase >= RequestPhase::Connecting; }
};

using RequestTable = std::unordered_map<RequestId, OpenRequest>;

} // namespace lentilbay
