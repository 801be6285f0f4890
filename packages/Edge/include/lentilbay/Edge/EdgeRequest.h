// One caller's request from its arrival to its final answer.
//
// admit -> wait -> start -> [retry or resume elsewhere] -> final answer. The daemon that received the request
// sends it to endpoints, or through a peer if it cannot reach them. An at-most-once request is sent again
// only if the endpoint stated that it did not execute it, or if no connection was established.
#pragma once

#include "lentilbay/Edge/ConnectionLoss.h"
#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Edge/EndpointSend.h"
#include "lentilbay/Edge/EventSplitter.h"
#include "lentilbay/Edge/PeerForwarding.h"
#include "lentilbay/Edge/ResendDecision.h"
#include "lentilbay/Edge/StreamEnd.h"
#include "lentilbay/Edge/StreamOriginLookup.h"
#include "lentilbay/Http/Server.h"
#include "lentilbay/Policy/RequestAttempts.h"
#include "lentilbay/platform/CallerHeaders.h"

#include <asio/steady_timer.hpp>

namespace lentilbay::edge {

class EdgeRequest : public std::enable_shared_from_this<EdgeRequest> {
public:
    /// `forwarded` is set if a peer sends the request through this daemon.
    EdgeRequest(EdgeState& state, std::shared_ptr<http::Exchange> exchange,
        std::optional<ForwardedRequest> forwarded = std::nullopt);

    /// Validates the request; afterwards it is waiting or has its final answer.
    void admit(TimePoint now);
    /// Sends the request to an endpoint for which EndpointState::recordSend() has been called, with
    /// `cachedTokens` in its work.
    void start(std::shared_ptr<EndpointState> endpoint, double cachedTokens, TimePoint now);
    /// Called when no endpoint is expected to have room in time.
    void rejectWaiting(Duration retryAfter, TimePoint now);
    /// Moves the request elsewhere if its current endpoint or peer has stalled.
    void checkProgress(TimePoint now);
    /// Decides anew how a waiting request is sent; see EdgeState::queueAllAgain(), which then dispatches.
    void queueAgain(TimePoint now);
    /// Called when the daemon begins to stop. The request ends before the process does, and is refused now if
    /// that cannot be ensured any more once it has been sent.
    void handleStop(TimePoint now);
    /// Ends the request, because the process ends before it could be answered otherwise.
    void endForStop(TimePoint now);

private:
    bool validate(TimePoint now);
    /// Ends the request at its deadline, or when the daemon stops.
    void armTimeout(TimePoint now);
    /// When the request ends if nothing changes: an answer that has begun goes on for as long as its caller
    /// may wait.
    TimePoint currentEnd() const;
    /// Whether an endpoint has been given the request, and its answer is not complete.
    bool isAtEndpoint() const { return m_send && m_send->isSent; }
    /// Whether the request, which may be executed once at most, may still run when the daemon stops.
    bool outlivesStop() const;
    bool authenticate(TimePoint now);
    /// Leaves the key to a peer, or refuses the request if none can verify it.
    bool leaveKeyToPeer(TimePoint now);
    /// Whether this daemon counts the quota of the request: it has verified its key.
    bool countsQuota() const { return m_forwarded ? m_forwarded->isUnverified : !m_isUnverified; }
    /// Refuses a request that crashes endpoints, or has a part in its prompt that does.
    bool checkTriggers(TimePoint now);
    bool checkQuota(TimePoint now);
    /// How long the caller waits before it retries, if it is told to wait longer.
    Duration longestWait(TimePoint now) const;
    /// Queues the request, after its stream's origin has been looked up if it resumes one.
    void enqueueOrFindOrigin(TimePoint now);
    /// Whether the caller, or the daemon that forwarded the request, has the beginning of the stream.
    bool isResumedStream() const { return m_route->isResumable && m_metadata.lastEvent && m_version; }
    /// Called with where the resumed stream began.
    void originFound(const std::optional<StreamOrigin>& origin, std::string_view source, TimePoint now);
    /// Sets service and software version if the stream began at a service of this request's route.
    bool applyOrigin(const StreamOrigin& origin);
    /// Identifies the stream that this request begins or resumes, for all daemons.
    uint64_t streamHash(const RequestId& firstRequest) const;
    /// Records the software version that begins the stream.
    void recordOrigin(TimePoint now);
    /// Tells other daemons the version if the service has several.
    void shareOrigin(TimePoint now);
    void enqueue(TimePoint now);
    WaitingRequest waitingRequest() const;
    /// What decides about another send, as of now.
    ResendContext resendContext() const;
    /// The endpoints that may serve the request.
    VersionRule versionRule() const
    {
        return m_version ? VersionRule { .required = m_version } : m_rollout.rule;
    }
    /// Whether the endpoint may get the request now.
    bool isAcceptable(const EndpointState& endpoint, TimePoint now) const;
    /// Sends the request through a peer. Returns false if there is none.
    bool startThroughPeer(TimePoint now);
    /// Connects to the endpoint or peer of m_send.
    void connect(TimePoint now);
    /// How long a connection to the endpoint that is used may have been idle.
    Duration maxIdleAge(const EndpointId& endpoint) const;
    LeaseQuery leaseQuery(const RoutedEndpoint& endpoint) const;
    /// Called with the connection to the endpoint or peer of m_send, or with nullptr if there is none.
    void connected(std::shared_ptr<http::ClientConnection> connection, TimePoint now);
    /// Leaves the request to other endpoints for a while, because the only idle connection to the endpoint is
    /// withheld from it, or no other one could be opened.
    void awaitConnection(TimePoint now);
    /// Puts off the send until the list of endpoints has been read again, or the store is found not to
    /// answer.
    void awaitCurrentEndpoints(TimePoint now);
    /// The request as bytes, for the endpoint or peer of m_send.
    std::string encodedRequest(TimePoint now) const;
    /// Counts what the prompt cache of the endpoint is expected to gain and save.
    void recordPromptSend();
    void logSend(TimePoint now) const;
    /// Judges a connection that was closed before the answer was complete.
    ConnectionLoss readLoss(http::FailurePoint at) const;
    /// Moves the request away from connections that were lost with the links to the endpoints.
    void leaveLostLinks(TimePoint now);
    /// Sends the request on the established connection.
    void sendNow(TimePoint now);
    bool handleResponseHead(const http::HttpResponseHead& head);
    void recordSignals(const platform::ResponseMetadata& metadata, TimePoint now);
    void handleResponseBody(std::string_view piece);
    /// Keeps a piece of an answer that is not a stream.
    void buffer(std::string_view piece, TimePoint now);
    /// Breaks off an answer that may not be relayed any further, and counts it.
    void rejectAnswer(std::string_view counter, TimePoint now, bool isFailure = true);
    /// Updates what is kept of endpoints' answers. Breaks the current one off and returns false if it is to
    /// be given up.
    bool chargeAnswers(TimePoint now);
    /// Gives up what is kept of endpoints' answers, because its charge was evicted.
    void handleAnswersEvicted(TimePoint now);
    void handleResponseComplete();
    void completeStream(TimePoint now);
    StreamEnd streamEnd() const;
    /// Asks another endpoint whether anything is left of the stream, or ends it if one has confirmed that
    /// nothing is.
    void handleUnconfirmedEnd(TimePoint now);
    /// Asks another endpoint for the events of a new stream that has none, or ends the response with the
    /// empty answer.
    void handleEmptyStream(TimePoint now);
    /// Ends the response as an endpoint's whole answer with this head.
    void deliverEnd(const http::HttpResponseHead& head, TimePoint now);
    void completeNonStream(TimePoint now);
    void handleResponseBroken(http::FailurePoint at);
    /// Called when a connection was closed before any byte of the request was sent on it.
    void handleClosedUnsent(TimePoint now);
    void relay(std::string_view piece, TimePoint now);
    void relayEvents(const EventSplitter::Piece& events, TimePoint now);
    /// The answer tokens in so many events of the service.
    double tokensOf(size_t events) const;
    void recordAnswerBegun(TimePoint now);
    /// Records that the endpoint broke off its answer.
    void recordBrokenOff(ConnectionLoss loss, TimePoint now);
    void recordFirstAnswer(TimePoint now);
    void beginAnswer();
    /// The header fields of an endpoint's answer for the caller, or for the peer that forwarded the request.
    http::Headers answerHeaders(http::Headers headers) const;
    /// Ends the current send as failed, and decides whether the endpoint or the request is the cause.
    void failSend(SendFailure failure, TimePoint now);
    /// Ends the current send and records its outcome for the endpoint.
    /// @param evidence of a failure against the endpoint
    void endSend(SendOutcome outcome, TimePoint now, double evidence = 1);
    void logFailedSend(bool mayHaveExecuted, ResultCode reason) const;
    /// Called after a send without a usable answer: sends again if that is allowed, otherwise ends the
    /// request.
    void sendFailed(bool mayHaveExecuted, ResultCode reason, TimePoint now);
    /// Ends a request that may have been executed; forwards an endpoint's own error response if there is one.
    /// An answer that has begun is broken off, so that the caller can resume it elsewhere.
    void endAfterExecution(ResultCode reason, TimePoint now);
    /// Ends a send before its first byte because the endpoint no longer accepts requests.
    void withdrawSend(TimePoint now);
    /// The time after which a caller whose request is blocked may retry.
    Duration blockedRetryAfter(TimePoint now) const;
    void requeue(TimePoint now);
    void handleTimeout();
    /// Ends the request whatever its state; `refusal` states why if it has not been executed.
    void end(ResultCode refusal, std::optional<Duration> retryAfter, TimePoint now);
    void handleCallerLeft();
    /// Whether a refusal, which states that the request was not executed, would be true, and would be the
    /// first answer.
    bool isRefusable() const { return m_attempts.possibleExecutions() == 0 && !m_exchange->hasBegun(); }
    /// Ends the request with a refusal, or as endAfterExecution() does if it is not refusable.
    void refuse(ResultCode code, std::optional<Duration> retryAfter, TimePoint now);
    void finish(ResultCode code, TimePoint now);
    bool isOver() const { return m_isOver; }

    EdgeState& m_state;
    std::shared_ptr<http::Exchange> m_exchange;
    /// Set if a peer sends the request through this daemon.
    std::optional<ForwardedRequest> m_forwarded;
    platform::CallerMetadata m_metadata;
    /// hashOf() its id.
    uint64_t m_requestHash = 0;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
    const RoutedOrganisation* m_organisation = nullptr;
    /// The key could not be verified, so the request is sent through peers only. The organisation is that of
    /// an outdated configuration, or not known.
    bool m_isUnverified = false;
    /// The peer that was asked last could not verify the key either.
    bool m_isUnverifiedByPeer = false;
    uint64_t m_number = 0;
    /// The caller's deadline counts from here, however late the event loop has come to the request. The
    /// earliest time if it is not known exactly, so that nothing is begun too late.
    TimePoint m_arrivedAt;
    TimePoint m_admittedAt {};
    TimePoint m_expiresAt {};
    /// What an endpoint has been given to execute is not ended before. Later than `m_expiresAt` if the
    /// request may have arrived later than `m_arrivedAt`.
    TimePoint m_endsAt {};
    ServiceId m_service;
    /// Its `cachedTokens` are those of the endpoint of `m_send`.
    Work m_work;
    std::shared_ptr<const std::vector<PromptPrefix>> m_prompt;
    double m_quotaTokens = 0;
    AttributedRequest m_attributed;
    RequestAttempts m_attempts;
    ResendDecision m_resend;
    /// The return that a peer has planned for the caller.
    std::optional<Duration> m_peerRetryAfter;
    std::optional<EndpointSend> m_send;
    EventSplitter m_events;
    size_t m_eventsRelayed = 0;
    /// Events other than comments were relayed.
    bool m_hasRelayedEvents = false;
    /// The head of a whole answer without an event, which the caller gets if no endpoint gives another one.
    std::optional<http::HttpResponseHead> m_emptyAnswer;
    /// The endpoint that gave an answer whose end has to be confirmed.
    std::shared_ptr<EndpointState> m_unconfirmedEndpoint;
    /// Whether it is being checked that the endpoint which confirmed an end has not failed itself.
    bool m_isConfirmingEnd = false;
    /// There is no other endpoint meanwhile, so the request is neither queued nor sent.
    bool m_isAwaitingConnection = false;
    /// An idle connection has been withheld from the request before, so another one may be opened.
    bool m_mayOpenSpare = false;
    /// hashOf() the software version that began the stream; only that version may go on with it.
    std::optional<uint64_t> m_version;
    /// The engine that began the stream was replaced under its id, so its version is not known.
    bool m_isVersionUncertain = false;
    bool m_hasWaited = false;
    bool m_isOriginShared = false;
    /// Set while the origin of the stream, or an endpoint of its version, is being looked up.
    std::shared_ptr<StreamOriginLookup> m_originLookup;
    RolloutTicket m_rollout;
    /// From arrival to the first event, or to the complete non-streamed answer.
    std::optional<Duration> m_timeToFirstEvent;
    TimePoint m_lastRelayedAt {};
    Duration m_longestPause {};
    /// An endpoint's error response, which is forwarded to the caller if no other send succeeds.
    std::optional<http::HttpResponseHead> m_fallback;
    std::string m_fallbackBody;
    /// Of the answers to this request: the current one as far as it is kept, and the fallback.
    MemoryCharge m_answerCharge;
    asio::steady_timer m_timer;
    bool m_isOver = false;
};

} // namespace lentilbay::edge
