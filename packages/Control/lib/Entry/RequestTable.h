// The open requests of one entry daemon: phase, deadlines and progress of each.
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
    /// In a queue; no endpoint is selected.
    Waiting,
    /// Temporarily out of the queue: backing off before a retry, or waiting for a faster endpoint.
    Deferred,
    /// Waiting for its claim, in no queue. Holds no slot, so that a slow table does not block other requests.
    Claiming,
    /// An endpoint is selected and its slot is taken; nothing has been written.
    Connecting,
    /// Dispatch has started; no other endpoint may be tried any more.
    Running,
    /// Cancellation at the endpoint was requested.
    Cancelling,
};

struct OpenRequest {
    Arrival arrival;
    /// Unique, in order of arrival.
    uint64_t sequence = 0;
    RequestPhase phase = RequestPhase::Waiting;

    // Set on arrival and constant afterwards.
    int rank = 0;
    double goodputWeight = 1;
    bool sheddable = true;
    /// Whether it may be preempted while running: it is idempotent, and its tier allows preemption.
    bool preemptible = true;
    bool idempotent = true;
    bool needsClaim = false;
    TimePoint arrivedAt {};
    /// Deadline of the complete answer; empty if neither caller, tier nor service sets one.
    std::optional<TimePoint> deadline;
    std::optional<TimePoint> firstTokenDeadline;
    ExpectedWork expected;

    // Scheduling state. The objects pointed to outlive the request; `pool` is never null.
    OrganisationRuntime* organisation = nullptr;
    PoolRuntime* pool = nullptr;
    /// Not null if and only if the request holds a slot, which it does from Connecting on.
    EndpointRuntime* endpoint = nullptr;
    /// The endpoint of the last failed connection, which is avoided on retry; null if there is none.
    EndpointRuntime* failedEndpoint = nullptr;
    bool claimHeld = false;
    bool callerGone = false;
    /// Preempted by a higher tier while connecting; mayDispatch() denies the dispatch.
    bool isRevoked = false;
    uint32_t failedConnections = 0;
    /// The next check, which is also its key in State::timers; max if none is scheduled.
    TimePoint timerAt = TimePoint::max();
    /// Counted in PoolState::urgent: close to its latest feasible start, and no request here can be
    /// preempted.
    bool isUrgent = false;
    /// When a request of a lower tier was last preempted on its behalf.
    std::optional<TimePoint> lastPreemptionAt;

    // Progress and measurements.
    /// The fraction of the prompt that its endpoint is believed to have cached; before an endpoint is
    /// selected, the maximum over all endpoints.
    double cachedFraction = 0;
    /// The prefill backlog of its endpoint at dispatch, in seconds.
    double queuedPrefillSeconds = 0;
    /// The number of cached prompt tokens that the endpoint reported.
    std::optional<uint32_t> reportedCachedTokens;
    /// When it took its slot, before the connection was established.
    TimePoint slotTakenAt {};
    TimePoint dispatchedAt {};
    std::optional<TimePoint> firstTokenAt;
    /// When the endpoint is assumed to have started the prefill.
    TimePoint prefillStartedAt {};
    uint32_t answerTokens = 0;
    /// Start time and token count of the current decode sample.
    TimePoint sampleStartedAt {};
    uint32_t sampleStartTokens = 0;
    std::optional<Failure> cancelReason;

    bool holdsSlot() const { return endpoint != nullptr; }
    bool isPlain() const { return expected.plainSeconds.mean > 0; }
};

using RequestTable = std::unordered_map<RequestId, OpenRequest>;

} // namespace lentilbay
