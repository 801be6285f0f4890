// One caller's request with its body, its connection and what has become of its answer.
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

/// The facts by which a claim tells a request sent again from another one.
struct KeyedRequest {
    RequestId id;
    OrganisationId organisation;
    ServiceId service;
    std::string idempotencyKey;
    uint64_t bodyHash = 0;

    auto operator<=>(const KeyedRequest&) const = default;
};

struct Exchange {
    KeyedRequest keyed;
    ServiceKind kind = ServiceKind::Model;
    bool idempotent = true;
    bool chat = false;
    bool stream = false;
    std::string method;
    /// Path and query at the endpoint.
    std::string target;
    /// The fields that are relayed to the endpoint.
    std::vector<HttpField> fields;
    std::shared_ptr<const std::string> body;

    ConnectionId connection = 0;
    /// Null once the answer or the refusal is whole, or the caller has left.
    std::shared_ptr<CallerChannel> channel;
    bool streamBegun = false;
    /// The events of a keyed request's stream, for those who ask again.
    std::string relayed;
    /// Later requests with the same key that wait for this answer.
    std::vector<RequestId> followers;

    /// "http://<host>:<port>" of the endpoint that the request was given to last.
    std::string endpointUrl;
    std::shared_ptr<EndpointCall> call;
    /// Whether the entry controller was told how the answer ended; it is told once.
    bool endReported = false;
    /// Set when the entry controller has recorded the outcome.
    std::optional<RequestOutcome> outcome;
    std::optional<Refusal> refusal;
    std::optional<CallerAnswer> answer;

    const RequestId& id() const { return keyed.id; }
    /// Whether its work must go on though the caller has left.
    bool outlivesCaller() const { return !idempotent || !keyed.idempotencyKey.empty(); }
};

} // namespace lentilbay
