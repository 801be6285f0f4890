// State of one request: its body, the caller's connection and the response.
#pragma once

#include "lentilbay/Gateway/Caller.h"
#include "lentilbay/Gateway/ErrorBody.h"
#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Model/Request.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

class EndpointCall;

/// Identifies a request in an idempotency claim. The body hash distinguishes a retry from a different request
/// that reuses the key.
struct RequestIdentity {
    RequestId id;
    OrganisationId organisation;
    ServiceId service;
    std::string idempotencyKey;
    uint64_t bodyHash = 0;

    auto operator<=>(const RequestIdentity&) const = default;
};

struct Exchange {
    RequestIdentity identity;
    ServiceKind kind = ServiceKind::Model;
    bool idempotent = true;
    bool chat = false;
    bool stream = false;
    std::string method;
    /// Path and query sent to the endpoint.
    std::string target;
    /// The header fields that are forwarded to the endpoint.
    std::vector<HttpField> fields;
    std::shared_ptr<const std::string> body;

    ConnectionId connection = 0;
    /// Null once the response or error is complete, or the caller has disconnected.
    std::shared_ptr<CallerChannel> channel;
    bool streamStarted = false;
    /// The relayed events of a request that outlives its caller, stored so that the stream can be replayed to
    /// a retry.
    std::string replayEvents;
    /// Later requests with the same idempotency key that wait for this response.
    std::vector<RequestId> waitingDuplicates;

    /// "http://<host>:<port>" of the endpoint that the request was last assigned to.
    std::string endpointUrl;
    std::shared_ptr<EndpointCall> call;
    /// Whether answerEnded() was reported to the entry controller; it must be reported only once.
    bool endReported = false;
    /// Set once the entry controller has produced the outcome.
    std::optional<RequestOutcome> outcome;
    std::optional<Refusal> refusal;
    std::optional<CallerAnswer> answer;

    const RequestId& id() const { return identity.id; }
    /// Returns true if the request must continue after the caller disconnects.
    bool outlivesCaller() const { return !idempotent || !identity.idempotencyKey.empty(); }
};

} // namespace lentilbay
