// The open requests of one entry daemon: what each is waiting for, and what was promised to it.
#pragma once

#include "lentilbay/Control/Commands.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Policy/Routing.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace lentilbay {

struct EndpointRuntime;
struct PoolRuntime;
struct OrganisationRuntime;

enum class RequestPhase : uint8_t {
    /// In a queue; no endpoint chosen.
    Waiting,
    /// Out of the queue for a moment: before a retry, or until an endpoint fast enough may be free.
    SetAside,
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
    /// Counts up with each arrival.
    uint64_t sequence = 0;
    RequestPhase phase = RequestPhase::Waiting;

    // What was promised; fixed at the arrival.
    int rank = 0;
    double goodputWeight = 1;
    bool sheddable = true;
    /// Whether it may be cancelled once it runs: idempotent, and its tier allows it.
    bool preemptible = true;
    bool idempotent = true;
    bool needsClaim = false;
    TimePoint arrivedAt {};
    /// When the whole answer must be there; nothing where neither caller, tier nor service sets one.
    std::optional<TimePoint> deadline;
    /// When the first token must be there.
    std::optional<TimePoint> firstTokenDeadline;
    ExpectedWork expected;

    // Where it stands. The pointers live as long as the controller; pool is never null.
    OrganisationRuntime* organisation = nullptr;
    PoolRuntime* pool = nullptr;
    /// Not null exactly while it holds a slot: from Connecting on.
    EndpointRuntime* endpoint = nullptr;
    /// Not null after a failed connection: another one is preferred.
    EndpointRuntime* failedEndpoint = nullptr;
    bool claimHeld = false;
    bool callerGone = false;
    /// Its place is to go to a higher tier although its dispatch was asked for; nothing is written then.
    bool isRevoked = false;
    uint32_t failedConnections = 0;
    /// The next look at it, which is also its key in the timers.
    TimePoint timerAt = TimePoint::max();
    /// Counted in PoolState::urgent: its last chance is near, and nothing here could give way.
    bool isUrgent = false;
    /// When work of a lower tier was last cancelled on its behalf.
    std::optional<TimePoint> displacedAt;

    // How it ran.
    /// The part of the prompt that its endpoint was thought to hold; before the dispatch, the best of all.
    double cachedFraction = 0;
    /// Seconds of prefill that were ahead of it at its endpoint.
    double prefillAhead = 0;
    /// What the endpoint said of it in the end.
    std::optional<uint32_t> reportedCachedTokens;
    /// When it was given a slot, before its connection stood.
    TimePoint offeredAt {};
    TimePoint dispatchedAt {};
    std::optional<TimePoint> firstTokenAt;
    /// When the endpoint is taken to have begun with its prompt.
    TimePoint prefillBeganAt {};
    uint32_t answerTokens = 0;
    /// The start of the stretch of tokens whose speed is observed next.
    TimePoint observedAt {};
    uint32_t observedTokens = 0;
    /// Why it is being cancelled.
    std::optional<Failure> cancelReason;

    bool holdsSlot() const { return endpoint != nullptr; }
    bool isPlain() const { return expected.plainSeconds.mean > 0; }
};

using RequestTable = std::unordered_map<RequestId, OpenRequest>;

} // namespace lentilbay
