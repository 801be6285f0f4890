// The state of one send of a request to an endpoint, and how sends fail.
#pragma once

#include "lentilbay/Edge/EndpointState.h"
#include "lentilbay/Edge/PeerForwarding.h"
#include "lentilbay/Edge/RolloutController.h"
#include "lentilbay/Http/ClientConnection.h"

#include <memory>
#include <string>

namespace lentilbay::edge {

/// The state of one send to an endpoint.
struct EndpointSend {
    /// The endpoint, or the peer if the request is sent through one.
    std::shared_ptr<EndpointState> endpoint;
    bool isThroughPeer = false;
    /// What the peer states about its answer.
    ForwardedAnswer peerAnswer;
    /// As of the send; the endpoint may have been started again since.
    EndpointIncarnation incarnation;
    uint64_t version = 0;
    RolloutSend rollout;
    std::shared_ptr<http::ClientConnection> connection;
    /// Bytes of the request may have reached the endpoint.
    bool isSent = false;
    TimePoint sentAt {};
    TimePoint lastEventAt {};
    /// Measured from the send, as estimated at that time.
    Duration expectedTimeToFirstEvent {};
    bool hadFirstEvent = false;
    /// The endpoint has written enough of the answer to show that the request does not crash it.
    bool hasBegunAnswer = false;
    size_t events = 0;
    /// Events other than comments.
    bool hadEvents = false;
    bool wasNotExecuted = false;
    bool isMisdirected = false;
    bool lacksWeights = false;
    bool isEventStream = false;
    http::HttpResponseHead head;
    bool isGenuine = false;
    /// What the header fields of the answer cost in memory.
    size_t headBytes = 0;
    std::string body;
};

/// How an endpoint failed a request. Requests that fail alike at two endpoints are the cause themselves.
enum class SendFailure : uint8_t {
    /// No connection was established.
    Unreachable,
    /// The connection ended in the answer, or before it.
    BrokenOff,
    /// The bytes received are no answer, or no whole one within the bounds of this daemon.
    Invalid,
    Unsigned,
    ServerError,
    /// A whole stream without an event.
    Empty,
    Stalled,
};

} // namespace lentilbay::edge
