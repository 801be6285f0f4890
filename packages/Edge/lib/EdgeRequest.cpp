// Sending a request to endpoints and relaying the answer.
#include "lentilbay/Edge/EdgeRequest.h"

#include "EdgeTimes.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// A connection that has been idle for longer may be in the course of being closed by its endpoint; an
/// at-most-once request does not take that risk.
constexpr Duration maxIdleAgeForAtMostOnce = std::chrono::milliseconds(700);
constexpr Duration maxIdleAgeForOthers = std::chrono::seconds(60);
/// An endpoint that has written this many events has begun its answer. One that crashes may have written a
/// first one.
constexpr size_t eventsOfBegunAnswer = 2;
/// Upper bound of an answer that is not a stream.
constexpr size_t maxBufferedAnswerBytes = 4'194'304;
/// Bytes that a slow caller may leave unread before reading from the endpoint is paused.
constexpr size_t maxUnsentBytes = 65'536;
/// Such an answer never has a body.
constexpr int httpNoContent = 204;

/// The header fields of an endpoint's answer that are forwarded to the caller; the server adds its own
/// framing.
http::Headers forwardedHeaders(http::Headers headers)
{
    http::removeHopByHop(headers, {});
    headers.remove("Content-Length");
    return headers;
}

/// Until a request for which an endpoint has no connection is sent to it. Meanwhile the idle connection that
/// was withheld may carry another request.
constexpr Duration connectionRetryGap = std::chrono::milliseconds(60);
/// Callers that are refused together don't all retry at the same time.
constexpr double retryJitter = 0.1;

} // namespace

EdgeRequest::EdgeRequest(
    EdgeState& state, std::shared_ptr<http::Exchange> exchange, std::optional<ForwardedRequest> forwarded)
    : m_state(state)
    , m_exchange(std::move(exchange))
    , m_forwarded(std::move(forwarded))
    , m_metadata(platform::decodeCallerMetadata(m_exchange->request()))
    , m_requestHash(hashOf(m_metadata.id.text()))
    , m_routes(state.routes)
    , m_arrivedAt(m_exchange->arrival().earliest)
    , m_resend(state, m_attempts)
    , m_answerCharge(state.answerMemory,
          [this] {
              m_fallback.reset();
              releaseBuffer(m_fallbackBody);
              m_events.dropPartialEvent();
              if (m_send)
                  releaseBuffer(m_send->body);
              asio::post(m_state.context, [weak = weak_from_this()] {
                  if (const auto self = weak.lock(); self && self->m_answerCharge.isEvicted())
                      self->handleAnswersEvicted(bootNow());
              });
          })
    , m_timer(state.context)
{
    removeForwardingFields(m_exchange->request().headers);
}

void EdgeRequest::rejectWaiting(Duration retryAfter, TimePoint now)
{
    if (m_isOver)
        return;
    // Nothing is known of the queue if the request's time ran out.
    const auto base = retryAfter > Duration::zero() ? retryAfter : defaultRetryAfter;
    const double jitter = 1 + retryJitter * m_state.random.fraction();
    refuse(ResultCode::QueueShed, fromSeconds(toSeconds(base) * jitter), now);
}

void EdgeRequest::start(std::shared_ptr<EndpointState> endpoint, double cachedTokens, TimePoint now)
{
    auto work = m_work;
    work.cachedTokens = cachedTokens;
    const bool hasConnection = m_state.pools.hasIdle(leaseQuery(endpoint->entry()), now);
    const bool prefersPeer
        = m_state.prefersPeers(now) || m_state.sendPath(hasConnection) == SendPath::ThroughPeer;
    if (!m_forwarded && prefersPeer && startThroughPeer(now)) {
        endpoint->recordEnd(work, SendOutcome::Neutral, false, now);
        return;
    }
    m_work = work;
    m_send.emplace();
    m_send->endpoint = std::move(endpoint);
    connect(now);
}

bool EdgeRequest::startThroughPeer(TimePoint now)
{
    auto peer = m_state.relays.choose(m_attempts.tried(), m_state.random, m_isUnverified);
    if (!peer)
        return false;
    m_work.cachedTokens = 0;
    peer->recordSend(m_work, now);
    m_send.emplace();
    m_send->endpoint = std::move(peer);
    m_send->isThroughPeer = true;
    connect(now);
    return true;
}

void EdgeRequest::queueAgain(TimePoint now)
{
    if (m_isOver || m_send || m_originLookup || m_isConfirmingEnd || m_isAwaitingConnection)
        return;
    m_state.queue.remove(m_number);
    enqueue(now);
}

Duration EdgeRequest::maxIdleAge(const EndpointId& endpoint) const
{
    if (m_attempts.needsNewConnection(endpoint))
        return Duration::zero();
    return m_route->executionSemantics == ExecutionSemantics::AtMostOnce ? maxIdleAgeForAtMostOnce
                                                                         : maxIdleAgeForOthers;
}

LeaseQuery EdgeRequest::leaseQuery(const RoutedEndpoint& endpoint) const
{
    // A peer writes each answer once.
    const bool isToPeer = m_send && m_send->isThroughPeer;
    return { .endpoint = endpoint,
        .maxIdleAge = maxIdleAge(endpoint.id),
        .requestHash = isToPeer ? 0 : m_requestHash };
}

void EdgeRequest::connect(TimePoint now)
{
    m_exchange->detectDisconnect(now);
    if (m_isOver)
        return;
    m_state.metrics.observe(Timing::Wait, m_route->rank, now - m_arrivedAt);
    const auto& target = m_send->endpoint;
    m_attempts.begin(target->entry().id);
    const auto query = leaseQuery(target->entry());
    // The queue's decisions are still being processed, so the request is sent in the callback.
    if (!m_mayOpenSpare && m_state.pools.withholds(query, now)) {
        asio::post(m_state.context, [self = shared_from_this(), target] {
            if (!self->m_isOver && self->m_send && self->m_send->endpoint == target
                && !self->m_send->connection)
                self->awaitConnection(bootNow());
        });
        return;
    }
    m_state.pools.lease(
        query, [self = shared_from_this(), target](std::shared_ptr<http::ClientConnection> connection) {
            if (!self->m_isOver && self->m_send && self->m_send->endpoint == target
                && !self->m_send->connection)
                self->connected(std::move(connection), bootNow());
            else if (connection)
                self->m_state.pools.release(target->entry(), std::move(connection));
        });
}

void EdgeRequest::connected(std::shared_ptr<http::ClientConnection> connection, TimePoint now)
{
    if (!connection) {
        if (m_state.pools.withholds(leaseQuery(m_send->endpoint->entry()), now)) {
            awaitConnection(now);
            return;
        }
        failSend(SendFailure::Unreachable, now);
        sendFailed(false, ResultCode::EndpointUnreachable, now);
        return;
    }
    m_send->connection = std::move(connection);
    if (!m_send->isThroughPeer && m_state.mustReadEndpoints(now)) {
        awaitCurrentEndpoints(now);
        return;
    }
    if (m_send->isThroughPeer || isAcceptable(*m_send->endpoint, now))
        sendNow(now);
    else
        withdrawSend(now);
}

void EdgeRequest::awaitConnection(TimePoint now)
{
    logEvent(Event::SendAwaitsConnection,
        { { "id", m_metadata.id.text() }, { "endpoint", m_send->endpoint->entry().id.text() },
            { "connect_failed", static_cast<int64_t>(m_mayOpenSpare) } });
    m_state.metrics.count("sends_awaiting_connection");
    m_attempts.recordNoConnection();
    m_mayOpenSpare = true;
    m_send->wasNotExecuted = true;
    endSend(SendOutcome::Neutral, now);
    auto timer = std::make_shared<asio::steady_timer>(m_state.context, connectionRetryGap);
    timer->async_wait([self = shared_from_this(), timer](std::error_code) {
        self->m_isAwaitingConnection = false;
        self->m_attempts.retryRejecting();
        self->queueAgain(bootNow());
        self->m_state.dispatchWaiting(bootNow());
    });
    m_isAwaitingConnection
        = !m_state.endpointRegistry.hasCandidate(m_service, m_attempts.tried(), versionRule());
    if (!m_isAwaitingConnection)
        requeue(now);
}

void EdgeRequest::awaitCurrentEndpoints(TimePoint now)
{
    m_state.metrics.count("sends_awaiting_endpoints");
    logEvent(Event::SendAwaitsEndpoints,
        { { "id", m_metadata.id.text() }, { "endpoint", m_send->endpoint->entry().id.text() },
            { "endpoints_age_ms", millisecondsOf(now - *m_state.endpointsConfirmedAt) } });
    m_state.awaitEndpoints(
        now - m_state.maxEndpointsAge(),
        [self = shared_from_this(), connection = m_send->connection](bool) {
            if (!self->m_isOver && self->m_send && self->m_send->connection == connection)
                self->connected(connection, bootNow());
        },
        now);
}

void EdgeRequest::withdrawSend(TimePoint now)
{
    logEvent(Event::SendWithdrawn,
        { { "id", m_metadata.id.text() }, { "endpoint", m_send->endpoint->entry().id.text() } });
    endSend(SendOutcome::Neutral, now);
    m_state.rollouts.assign(m_service, m_version, m_rollout, now);
    if (m_state.endpointRegistry.hasCandidate(m_service, m_attempts.tried(), m_rollout.rule))
        requeue(now);
    else
        refuse(ResultCode::NoEndpoint, defaultRetryAfter, now);
}

void EdgeRequest::sendNow(TimePoint now)
{
    m_exchange->detectDisconnect(now);
    if (m_isOver)
        return;
    if (now >= m_expiresAt) {
        handleTimeout();
        return;
    }
    if (outlivesStop()) {
        endSend(SendOutcome::Neutral, now);
        refuse(ResultCode::Draining, drainingRetryAfter, now);
        return;
    }
    if (m_exchange->isClientUncertain()) {
        m_exchange->onClientStays([self = shared_from_this(), connection = m_send->connection] {
            // The endpoint may have left meanwhile.
            if (!self->m_isOver && self->m_send && self->m_send->connection == connection)
                self->connected(connection, bootNow());
        });
        return;
    }
    switch (m_state.crashes.judge(m_attributed, now)) {
    case CrashAttribution::Verdict::Blocked:
        endSend(SendOutcome::Neutral, now);
        refuse(ResultCode::CrashTriggerBlocked, blockedRetryAfter(now), now);
        return;
    case CrashAttribution::Verdict::Trial:
        m_state.crashes.recordTrial(m_attributed, now);
        break;
    case CrashAttribution::Verdict::Allowed:
        break;
    }
    m_attempts.recordArrival();
    m_send->isSent = true;
    m_send->sentAt = m_send->lastEventAt = now;
    const auto& endpoint = *m_send->endpoint;
    m_send->incarnation = endpoint.incarnation();
    m_send->version = endpoint.versionHash();
    m_send->expectedTimeToFirstEvent = endpoint.expectedTimeToFirstEvent(m_work);
    if (!m_send->isThroughPeer)
        m_send->rollout = m_state.rollouts.recordSend(endpoint, m_route->name, m_work, m_rollout, now);
    recordPromptSend();
    logSend(now);
    m_events.beginAnswer();
    const auto self = shared_from_this();
    const bool isHead = m_exchange->request().method == "HEAD";
    m_send->connection->exchange(encodedRequest(now), isHead,
        { .head = [self](const http::HttpResponseHead& head) { return self->handleResponseHead(head); },
            .body = [self](std::string_view piece) { self->handleResponseBody(piece); },
            .complete = [self] { self->handleResponseComplete(); },
            .failed = [self](http::FailurePoint at) { self->handleResponseBroken(at); } },
        m_requestHash);
}

void EdgeRequest::recordPromptSend()
{
    const auto* service = m_routes->findService(m_service);
    if (m_send->isThroughPeer || !m_work.isStream || !service || !service->engine)
        return;
    m_state.endpointRegistry.recordPromptSend(
        *m_send->endpoint, m_work, static_cast<double>(service->engine->kvTokens));
    m_state.metrics.count("prompt_tokens_sent", static_cast<uint64_t>(m_work.promptTokens));
    m_state.metrics.count("prompt_tokens_expected_cached", static_cast<uint64_t>(m_work.cachedTokens));
}

void EdgeRequest::logSend(TimePoint now) const
{
    const auto& endpoint = *m_send->endpoint;
    const auto waited = millisecondsOf(now - m_arrivedAt);
    if (m_send->isThroughPeer) {
        m_state.metrics.count("requests_forwarded");
        if (m_isUnverified)
            m_state.metrics.count("requests_forwarded_unverified");
        logEvent(Event::RequestForwarded,
            { { "id", m_metadata.id.text() }, { "peer", endpoint.entry().id.text() }, { "waited_ms", waited },
                { "in_flight", static_cast<int64_t>(endpoint.ownInFlight()) },
                { "unverified", static_cast<int64_t>(m_isUnverified) },
                { "send", static_cast<int64_t>(m_attempts.arrivals()) } });
        return;
    }
    logEvent(Event::RequestSent,
        { { "id", m_metadata.id.text() }, { "endpoint", endpoint.entry().id.text() }, { "waited_ms", waited },
            { "read_delay_ms", millisecondsOf(m_admittedAt - m_arrivedAt) }, { "load", endpoint.load() },
            { "slots", static_cast<int64_t>(endpoint.entry().slots) },
            { "endpoints_age_ms", millisecondsOf(now - m_state.endpointsConfirmedAt.value_or(now)) },
            { "expected_first_ms", millisecondsOf(m_send->expectedTimeToFirstEvent) },
            { "cached_tokens", m_work.cachedTokens },
            { "send", static_cast<int64_t>(m_attempts.arrivals()) } });
}

std::string EdgeRequest::encodedRequest(TimePoint now) const
{
    // A peer dates the arrival by itself.
    platform::SendMetadata metadata { .timeLeft = (m_send->isThroughPeer ? m_expiresAt : m_endsAt) - now,
        .lastEvent = m_eventsRelayed > 0 ? m_events.lastId() : std::nullopt };
    if (m_send->isThroughPeer) {
        http::Headers fields;
        addForwardingFields(fields,
            ForwardedRequest { .daemon = m_state.settings.daemon.text(),
                .service = m_service,
                .version = m_version,
                .isUnverified = m_isUnverified });
        return platform::encodePeerRequest(m_exchange->request(), metadata, fields);
    }
    metadata.endpoint = m_send->endpoint->entry().id;
    if (m_organisation)
        metadata.organisation = m_organisation->name;
    return platform::encodeEndpointRequest(m_exchange->request(), metadata);
}

Duration EdgeRequest::blockedRetryAfter(TimePoint now) const
{
    return std::clamp<Duration>(m_state.crashes.nextTrialAt(m_attributed, now) - now, defaultRetryAfter,
        m_state.settings.bounds.maxRetryAfter);
}

bool EdgeRequest::handleResponseHead(const http::HttpResponseHead& head)
{
    if (m_isOver || !m_send)
        return false;
    const auto metadata = platform::decodeResponseMetadata(head, m_metadata.id);
    if (!metadata.matchesRequest) {
        m_state.metrics.count("foreign_answers");
        return false;
    }
    // The endpoint may write such an answer once more, where that to the next request is expected.
    if (!metadata.isAttributed)
        m_send->connection->closeAfterResponse();
    m_send->head = head;
    m_send->headBytes = http::memoryOf(head.headers);
    if (!chargeAnswers(bootNow()))
        return false;
    m_send->isGenuine = metadata.isGenuine;
    m_send->peerAnswer = m_send->isThroughPeer ? forwardedAnswerOf(head.headers) : ForwardedAnswer {};
    m_send->wasNotExecuted = m_send->isThroughPeer ? m_send->peerAnswer.wasNotExecuted
                                                   : metadata.execution == platform::Execution::No;
    // A success that states it was not executed contradicts itself, and nothing of it is relayed.
    m_send->isEventStream
        = m_route->isStream && metadata.isSuccess && metadata.isGenuine && !m_send->wasNotExecuted;
    const bool hasBody = m_exchange->request().method != "HEAD";
    if (hasBody && !m_send->isEventStream && head.contentLength.value_or(0) > maxBufferedAnswerBytes) {
        rejectAnswer("answers_too_long", bootNow());
        return false;
    }
    // Those of an endpoint would reach the peer that has forwarded the request as if this daemon stated them.
    removeForwardingFields(m_send->head.headers);
    if (m_send->isThroughPeer) {
        m_peerRetryAfter = metadata.retryAfter;
        return true;
    }
    const auto now = bootNow();
    if (!metadata.isMisdirected)
        recordSignals(metadata, now);
    // Where the caller expects certain weights, the endpoint may be the right one and lack them.
    m_send->isMisdirected = metadata.isMisdirected && !m_metadata.expectsWeights;
    m_send->lacksWeights = metadata.isMisdirected && m_metadata.expectsWeights;
    m_state.recordHeard(m_send->incarnation, m_send->sentAt, now);
    return true;
}

void EdgeRequest::recordSignals(const platform::ResponseMetadata& metadata, TimePoint now)
{
    auto& endpoint = *m_send->endpoint;
    const auto& id = endpoint.entry().id;
    if (!metadata.unreadable.empty()) {
        m_state.metrics.count("endpoint_headers_unreadable", metadata.unreadable.size());
        if (endpoint.noteUnreadableHeader())
            logEvent(Event::EndpointHeaderUnreadable,
                { { "id", m_metadata.id.text() }, { "endpoint", id.text() },
                    { "header", metadata.unreadable.front() } });
    }
    // An answer that cannot be read completely withdraws nothing, and endpoints that reject requests do not
    // always state their limit.
    const bool isConclusive
        = metadata.isAttributed && metadata.unreadable.empty() && metadata.isSuccess && metadata.isGenuine;
    if (m_state.endpointRegistry.recordSignals(endpoint,
            { .endpoint = m_send->incarnation,
                .signals = metadata.signals,
                .isConclusive = isConclusive,
                .isRejection = metadata.execution == platform::Execution::No,
                .sentAt = m_send->sentAt },
            now))
        m_state.logSignals(id, {});
    if (!metadata.retryAfter)
        return;
    m_state.endpointRegistry.pause(endpoint, m_send->incarnation, now + *metadata.retryAfter);
    logEvent(Event::EndpointPaused,
        { { "id", m_metadata.id.text() }, { "endpoint", id.text() },
            { "wait_ms", millisecondsOf(*metadata.retryAfter) } });
}

void EdgeRequest::handleResponseBody(std::string_view piece)
{
    if (m_isOver || !m_send)
        return;
    const auto now = bootNow();
    // Its beginning is gone.
    if (m_answerCharge.isEvicted())
        handleAnswersEvicted(now);
    else if (m_send->isEventStream)
        relay(piece, now);
    else
        buffer(piece, now);
}

void EdgeRequest::buffer(std::string_view piece, TimePoint now)
{
    if (m_send->body.size() + piece.size() > maxBufferedAnswerBytes) {
        rejectAnswer("answers_too_long", now);
        return;
    }
    m_send->body += piece;
    chargeAnswers(now);
}

bool EdgeRequest::chargeAnswers(TimePoint now)
{
    size_t bytes = m_fallback ? http::memoryOf(m_fallback->headers) + m_fallbackBody.size() : 0;
    if (m_send)
        bytes += m_send->headBytes + m_events.partialBytes() + m_send->body.size();
    if (m_answerCharge.resize(bytes))
        return true;
    handleAnswersEvicted(now);
    return false;
}

void EdgeRequest::handleAnswersEvicted(TimePoint now)
{
    m_answerCharge.release();
    if (m_isOver || !m_send)
        return;
    // An answer of a sound endpoint may also be given up, because others take the memory.
    const bool isBounded = m_send->head.contentLength.has_value();
    rejectAnswer("answers_over_memory", now, !isBounded);
}

void EdgeRequest::rejectAnswer(std::string_view counter, TimePoint now, bool isFailure)
{
    m_state.metrics.count(counter);
    // The connection is closed, because it is in the middle of an answer.
    if (isFailure)
        failSend(SendFailure::Invalid, now);
    else
        endSend(SendOutcome::Neutral, now);
    sendFailed(true, ResultCode::EndpointAnswerInvalid, now);
}

void EdgeRequest::relay(std::string_view piece, TimePoint now)
{
    auto events = m_events.feed(piece);
    if (m_events.isTooLong()) {
        rejectAnswer("answers_too_long", now);
        return;
    }
    if (!chargeAnswers(now))
        return;
    if (events.events > 0)
        relayEvents(events, now);
    // What follows is no part of the stream that the caller has begun to read.
    if (events.isInterrupted && !m_isOver && m_send)
        rejectAnswer("resumed_streams_interrupted", now);
}

void EdgeRequest::relayEvents(const EventSplitter::Piece& events, TimePoint now)
{
    auto& endpoint = *m_send->endpoint;
    if (!m_send->hadFirstEvent) {
        m_send->hadFirstEvent = true;
        const auto error = now - m_send->sentAt - m_send->expectedTimeToFirstEvent;
        m_state.metrics.observe(Timing::FirstEventError, m_route->rank, std::max(error, -error));
        endpoint.recordFirstEvent(m_work, now - m_send->sentAt, now);
        m_state.rollouts.recordFirstEvent(m_send->rollout, now);
    } else {
        endpoint.recordProgress(tokensOf(events.events), now - m_send->lastEventAt, now);
    }
    m_send->lastEventAt = now;
    m_send->events += events.events;
    m_send->hadEvents = m_send->hadEvents || events.events > events.comments;
    // The endpoint that ended the stream before left events out.
    if (m_send->hadEvents && m_unconfirmedEndpoint)
        ResendDecision::recordLateFailure(*std::exchange(m_unconfirmedEndpoint, nullptr), now);
    if (!m_send->isThroughPeer)
        m_state.recordHeard(m_send->incarnation, m_send->sentAt, now);
    if (m_send->events >= eventsOfBegunAnswer)
        recordAnswerBegun(now);
    if (m_eventsRelayed == 0) {
        recordOrigin(now);
        recordFirstAnswer(now);
        beginAnswer();
    } else {
        m_longestPause = std::max(m_longestPause, now - m_lastRelayedAt);
    }
    m_lastRelayedAt = now;
    m_eventsRelayed += events.events;
    m_hasRelayedEvents = m_hasRelayedEvents || m_send->hadEvents;
    m_exchange->write(events.bytes);
    if (m_exchange->unsentBytes() <= maxUnsentBytes)
        return;
    m_send->connection->pauseReading();
    m_exchange->onDrained([self = weak_from_this()] {
        if (auto request = self.lock(); request && request->m_send && request->m_send->connection)
            request->m_send->connection->resumeReading();
    });
}

void EdgeRequest::recordAnswerBegun(TimePoint now)
{
    if (std::exchange(m_send->hasBegunAnswer, true))
        return;
    m_state.crashes.recordAnswer(m_attributed, now);
    if (m_prompt && !m_send->isThroughPeer)
        m_state.endpointRegistry.promptCache().recordAnswer(
            *m_prompt, { m_send->incarnation.endpoint, m_send->incarnation.startedAtMilliseconds }, now);
}

ConnectionLoss EdgeRequest::readLoss(http::FailurePoint at) const
{
    return edge::readLoss({ .isThroughPeer = m_send->isThroughPeer,
        .isUnsent = at == http::FailurePoint::NothingSent,
        .isInvalidAnswer = at == http::FailurePoint::InvalidResponse,
        .wereLinksInterrupted = m_state.links.wereInterruptedSince(m_send->lastEventAt),
        .isOverloaded = m_state.endpointRegistry.isOverloaded(*m_send->endpoint, bootNow()) });
}

void EdgeRequest::recordBrokenOff(ConnectionLoss loss, TimePoint now)
{
    if (m_send->hasBegunAnswer || !mayBeCausedByRequest(loss))
        return;
    m_attempts.recordBroken();
    if (loss == ConnectionLoss::Peer)
        return;
    // An endpoint that lives has not crashed; with little traffic, nothing else shows it.
    m_state.pools.checkAlive(m_send->endpoint->entry());
    const bool isBrittle = m_state.endpointRegistry.isBrittle(m_service);
    m_state.crashes.recordBreak({ .name = m_send->endpoint->entry().id.text(),
        .endpoint = m_send->incarnation,
        .request = m_attributed,
        .at = now,
        .mayBeOverloaded = isBrittle });
}

void EdgeRequest::recordOrigin(TimePoint now)
{
    if (!m_route->isResumable)
        return;
    if (m_send->isThroughPeer) {
        m_isVersionUncertain = !m_send->peerAnswer.version;
        m_version = m_send->peerAnswer.version;
        if (m_version)
            shareOrigin(now);
        return;
    }
    // The entry that the endpoint was chosen by may have been that of an engine that was replaced under its
    // id.
    m_isVersionUncertain = m_send->endpoint->versionHash() != m_send->version;
    if (m_isVersionUncertain)
        return;
    m_version = m_send->version;
    shareOrigin(now);
}

void EdgeRequest::shareOrigin(TimePoint now)
{
    m_isOriginShared = !m_state.soleVersion(m_service, now);
    const bool isResumed = m_metadata.lastEvent && m_metadata.resumedRequest;
    const auto stream = streamHash(isResumed ? *m_metadata.resumedRequest : m_metadata.id);
    const StreamOrigin origin { .service = hashOf(m_service.text()), .version = *m_version };
    m_state.streams.record(stream, origin, m_isOriginShared, now);
    if (m_isOriginShared)
        m_state.streamOrigins.record(stream, origin);
}

void EdgeRequest::recordFirstAnswer(TimePoint now)
{
    m_timeToFirstEvent = now - m_arrivedAt;
    m_state.metrics.observe(Timing::FirstAnswer, m_route->rank, *m_timeToFirstEvent);
}

void EdgeRequest::beginAnswer()
{
    const auto& head = m_send->head;
    m_exchange->begin(head.status, head.reason, answerHeaders(head.headers));
}

http::Headers EdgeRequest::answerHeaders(http::Headers headers) const
{
    auto out = forwardedHeaders(std::move(headers));
    if (m_forwarded)
        addForwardingFields(out,
            ForwardedAnswer { .endpoint = m_attempts.last().text(),
                .version = m_isVersionUncertain ? std::nullopt : m_version });
    return out;
}

void EdgeRequest::handleResponseComplete()
{
    if (m_isOver || !m_send)
        return;
    const auto now = bootNow();
    if (m_answerCharge.isEvicted()) {
        handleAnswersEvicted(now);
        return;
    }
    if (m_send->wasNotExecuted) {
        if (!m_send->isMisdirected && !m_send->lacksWeights && !m_send->isThroughPeer)
            m_attempts.recordRejection();
        if (m_send->peerAnswer.wasNotSent)
            m_attempts.recordRefusalByPeer();
        const auto keyRefusal = m_isUnverified ? keyRefusalOf(m_send->body) : std::nullopt;
        m_isUnverifiedByPeer = keyRefusal == ResultCode::KeysUnverifiable;
        endSend(m_send->isMisdirected  ? SendOutcome::Misdirected
                : m_send->lacksWeights ? SendOutcome::Neutral
                                       : SendOutcome::Full,
            now);
        if (keyRefusal && !m_isUnverifiedByPeer)
            refuse(*keyRefusal, m_peerRetryAfter, now);
        else
            sendFailed(false, ResultCode::EndpointRefused, now);
        return;
    }
    if (m_send->isEventStream)
        completeStream(now);
    else
        completeNonStream(now);
}

void EdgeRequest::completeStream(TimePoint now)
{
    switch (streamEnd()) {
    case StreamEnd::Broken:
        recordBrokenOff(readLoss(http::FailurePoint::DuringResponse), now);
        failSend(SendFailure::BrokenOff, now);
        sendFailed(true, ResultCode::EndpointBroke, now);
        return;
    case StreamEnd::Empty:
        handleEmptyStream(now);
        return;
    case StreamEnd::Unconfirmed:
        handleUnconfirmedEnd(now);
        return;
    case StreamEnd::Whole:
        break;
    }
    recordAnswerBegun(now);
    const auto head = std::move(m_send->head);
    endSend(SendOutcome::Succeeded, now);
    deliverEnd(head, now);
}

StreamEnd EdgeRequest::streamEnd() const
{
    const auto& head = m_send->head;
    const bool hasNoBody = head.status == httpNoContent;
    return readStreamEnd({ .hasPartialEvent = m_events.hasPartialEvent(),
        .hasEvents = m_send->hadEvents,
        .isFramed = head.isChunked || head.contentLength || hasNoBody,
        .isResumed = m_hasRelayedEvents || (m_route->isResumable && m_metadata.lastEvent) });
}

void EdgeRequest::handleEmptyStream(TimePoint now)
{
    auto head = std::move(m_send->head);
    const bool isFirst = !m_emptyAnswer;
    failSend(SendFailure::Empty, now);
    logFailedSend(true, ResultCode::EndpointAnswerInvalid);
    // Where such requests give no events anyway, another endpoint would be asked in vain.
    if (isFirst && m_resend.mayOthersDoBetter() && now < m_expiresAt
        && m_resend.maySendElsewhere(resendContext(), now)) {
        m_emptyAnswer = std::move(head);
        requeue(now);
        return;
    }
    m_state.crashes.recordAnswer(m_attributed, now);
    deliverEnd(head, now);
}

void EdgeRequest::handleUnconfirmedEnd(TimePoint now)
{
    const auto endpoint = m_send->endpoint;
    const auto head = std::move(m_send->head);
    logEvent(Event::StreamEndUnconfirmed,
        { { "id", m_metadata.id.text() }, { "endpoint", endpoint->entry().id.text() },
            { "last_event", m_events.lastId().value_or("") },
            { "confirms",
                m_unconfirmedEndpoint ? m_unconfirmedEndpoint->entry().id.text() : std::string() } });
    // It may be a crash, unless the endpoint shows a sign of life.
    recordBrokenOff(readLoss(http::FailurePoint::DuringResponse), now);
    endSend(SendOutcome::Neutral, now);
    if (!m_unconfirmedEndpoint) {
        m_unconfirmedEndpoint = endpoint;
        sendFailed(true, ResultCode::EndpointBroke, now);
        return;
    }
    m_isConfirmingEnd = true;
    m_state.pools.checkAlive(endpoint->entry(), [self = shared_from_this(), head](bool isAlive) {
        self->m_isConfirmingEnd = false;
        if (self->m_isOver)
            return;
        const auto later = bootNow();
        if (!isAlive) {
            self->sendFailed(true, ResultCode::EndpointBroke, later);
            return;
        }
        self->m_state.crashes.recordAnswer(self->m_attributed, later);
        self->deliverEnd(head, later);
    });
}

void EdgeRequest::deliverEnd(const http::HttpResponseHead& head, TimePoint now)
{
    if (m_exchange->hasBegun()) {
        m_exchange->finish();
    } else if (head.status == httpNoContent) {
        m_exchange->respond(head.status, head.reason, answerHeaders(head.headers), {});
    } else {
        m_exchange->begin(head.status, head.reason, answerHeaders(head.headers));
        m_exchange->finish();
    }
    finish(ResultCode::Ok, now);
}

void EdgeRequest::completeNonStream(TimePoint now)
{
    const int status = m_send->head.status;
    const bool isSuccess = status >= 200 && status < 300;
    // A peer's own error is not an endpoint's answer.
    if ((isSuccess || m_send->isThroughPeer) && !m_send->isGenuine) {
        failSend(SendFailure::Unsigned, now);
        sendFailed(true, ResultCode::EndpointAnswerInvalid, now);
        return;
    }
    if (isSuccess && !std::exchange(m_send->hadFirstEvent, true)) {
        m_send->endpoint->recordFirstEvent(m_work, now - m_send->sentAt, now);
        m_state.rollouts.recordFirstEvent(m_send->rollout, now);
    }
    if (isSuccess)
        recordAnswerBegun(now);
    auto head = std::move(m_send->head);
    auto body = std::move(m_send->body);
    if (status >= 500)
        failSend(SendFailure::ServerError, now);
    else
        endSend(SendOutcome::Succeeded, now);
    if (status >= 500 && m_eventsRelayed > 0) {
        sendFailed(true, ResultCode::EndpointBroke, now);
        return;
    }
    if (status >= 500 && !m_fallback) {
        m_fallback = std::move(head);
        m_fallbackBody = std::move(body);
        sendFailed(true, ResultCode::EndpointBroke, now);
        return;
    }
    if (m_eventsRelayed > 0) {
        sendFailed(true, ResultCode::EndpointAnswerInvalid, now);
        return;
    }
    if (isSuccess)
        recordFirstAnswer(now);
    m_exchange->respond(head.status, head.reason, answerHeaders(std::move(head.headers)), body);
    finish(status >= 500 ? ResultCode::EndpointBroke : ResultCode::Ok, now);
}

void EdgeRequest::handleResponseBroken(http::FailurePoint at)
{
    if (m_isOver || !m_send)
        return;
    const auto now = bootNow();
    if (at == http::FailurePoint::NothingSent) {
        handleClosedUnsent(now);
        return;
    }
    const bool wasNotExecuted = m_send->wasNotExecuted;
    const auto loss = readLoss(at);
    if (at == http::FailurePoint::InvalidResponse)
        m_state.metrics.count("answers_invalid");
    if (!m_send->isThroughPeer)
        m_state.links.recordBroken(m_send->endpoint->hash(), now);
    if (!wasNotExecuted)
        recordBrokenOff(loss, now);
    if (sendOutcomeOf(loss) == SendOutcome::Failed)
        failSend(loss == ConnectionLoss::InvalidAnswer ? SendFailure::Invalid : SendFailure::BrokenOff, now);
    else
        endSend(sendOutcomeOf(loss), now);
    sendFailed(!wasNotExecuted,
        loss == ConnectionLoss::InvalidAnswer ? ResultCode::EndpointAnswerInvalid : ResultCode::EndpointBroke,
        now);
}

void EdgeRequest::handleClosedUnsent(TimePoint now)
{
    m_send->wasNotExecuted = true;
    if (m_attempts.recordClosedUnsent()) {
        failSend(SendFailure::Unreachable, now);
        sendFailed(false, ResultCode::EndpointUnreachable, now);
        return;
    }
    // The endpoint had closed an idle connection, which says nothing about its health.
    endSend(SendOutcome::Neutral, now);
    if (now < m_expiresAt)
        requeue(now);
    else
        refuse(ResultCode::NoEndpoint, defaultRetryAfter, now);
}

void EdgeRequest::failSend(SendFailure failure, TimePoint now)
{
    if (failure == SendFailure::Unreachable || m_send->isThroughPeer) {
        // While the links are lost, this shows nothing about the endpoint, which may still answer on
        // established connections.
        const bool areLinksUp = m_state.links.state() == LinkState::Up;
        endSend(areLinksUp ? SendOutcome::Unreachable : SendOutcome::Neutral, now);
        return;
    }
    const auto [outcome, evidence] = m_resend.judgeFailure(m_metadata.id, m_send->endpoint, failure, now);
    endSend(outcome, now, evidence);
}

void EdgeRequest::endSend(SendOutcome outcome, TimePoint now, double evidence)
{
    auto send = std::move(*m_send);
    m_send.reset();
    m_events.dropPartialEvent();
    // Peers are not suspended: heartbeats show which of them are alive.
    if (send.isThroughPeer)
        outcome = SendOutcome::Neutral;
    const bool wasSuspended = send.endpoint->isSuspended(now);
    send.endpoint->recordEnd(m_work, outcome, send.hadFirstEvent, now, evidence);
    if (outcome == SendOutcome::Succeeded)
        m_resend.recordSuccess(*send.endpoint, now);
    const bool isSuspect = outcome == SendOutcome::Failed || outcome == SendOutcome::Unreachable
        || outcome == SendOutcome::Misdirected;
    if (isSuspect && !wasSuspended && send.endpoint->isSuspended(now))
        logSuspicion(*send.endpoint, outcome);
    if (send.isSent && !send.wasNotExecuted)
        m_attempts.recordPossibleExecution();
    // While the links are lost, silence shows nothing.
    if (!send.wasNotExecuted && (outcome != SendOutcome::Neutral || m_state.links.state() == LinkState::Up))
        m_state.rollouts.recordEnd(send.rollout, m_rollout,
            { .outcome = outcome, .evidence = evidence, .answerTokens = tokensOf(send.events) }, now);
    if (send.connection)
        m_state.pools.release(send.endpoint->entry(), std::move(send.connection));
}

ResendContext EdgeRequest::resendContext() const
{
    return { .service = m_service,
        .route = *m_route,
        .versions = versionRule(),
        .isForwarded = m_forwarded.has_value(),
        .isUnverified = m_isUnverified,
        .isVersionUnknown = m_eventsRelayed > 0 && m_isVersionUncertain };
}

void EdgeRequest::logFailedSend(bool mayHaveExecuted, ResultCode reason) const
{
    logEvent(Event::SendFailed,
        { { "id", m_metadata.id.text() }, { "endpoint", m_attempts.last().text() },
            { "code", printed(reason) }, { "may_have_run", static_cast<int64_t>(mayHaveExecuted) },
            { "events", static_cast<int64_t>(m_eventsRelayed) } });
}

void EdgeRequest::sendFailed(bool mayHaveExecuted, ResultCode reason, TimePoint now)
{
    logFailedSend(mayHaveExecuted, reason);
    if (now < m_expiresAt && m_resend.maySendElsewhere(resendContext(), now)) {
        requeue(now);
        return;
    }
    if (!isRefusable())
        endAfterExecution(reason, now);
    else if (m_isUnverifiedByPeer || (m_isUnverified && reason == ResultCode::EndpointUnreachable))
        refuse(ResultCode::KeysUnverifiable, m_state.keysRetryAfter(now), now);
    else
        refuse(reason == ResultCode::EndpointUnreachable ? ResultCode::NoEndpoint : ResultCode::QueueShed,
            std::max(defaultRetryAfter, m_peerRetryAfter.value_or(Duration::zero())), now);
}

void EdgeRequest::endAfterExecution(ResultCode reason, TimePoint now)
{
    if (m_fallback && m_eventsRelayed == 0) {
        m_exchange->respond(
            m_fallback->status, m_fallback->reason, answerHeaders(m_fallback->headers), m_fallbackBody);
    }
    if (m_emptyAnswer && m_eventsRelayed == 0 && !m_exchange->hasBegun()) {
        deliverEnd(*m_emptyAnswer, now);
        return;
    }
    finish(reason, now);
}

void EdgeRequest::requeue(TimePoint now)
{
    if (m_eventsRelayed > 0) {
        m_state.metrics.count("streams_resumed");
        logEvent(Event::StreamResumed,
            { { "id", m_metadata.id.text() }, { "last_event", m_events.lastId().value_or("") } });
    }
    enqueue(now);
    m_state.dispatchWaiting(now);
}

void EdgeRequest::checkProgress(TimePoint now)
{
    // The origin of a stream matters to other daemons from when a second version is listed.
    if (!m_isOver && m_send && m_version && m_eventsRelayed > 0 && !m_isOriginShared
        && !m_state.soleVersion(m_service, now))
        shareOrigin(now);
    if (m_isOver || !m_send || !m_send->isSent
        || m_route->executionSemantics == ExecutionSemantics::AtMostOnce)
        return;
    if (m_send->isThroughPeer || m_state.links.state() == LinkState::Partitioned) {
        leaveLostLinks(now);
        return;
    }
    // A stall alone does not end a send: the endpoint may recover, and a retry helps only if another endpoint
    // has room.
    if (!m_resend.hasStalled(resendContext(), *m_send, m_work.isStream, now)
        || !m_state.endpointRegistry.choose(waitingRequest().query, now)
        || !m_resend.takeSend(resendContext(), now))
        return;
    logFailedSend(true, ResultCode::EndpointStalled);
    failSend(SendFailure::Stalled, now);
    requeue(now);
}

void EdgeRequest::leaveLostLinks(TimePoint now)
{
    if (!m_resend.mayLeaveLostLink(resendContext(), *m_send, now) || !m_resend.takeSend(resendContext(), now))
        return;
    logFailedSend(true, ResultCode::EndpointStalled);
    endSend(SendOutcome::Neutral, now);
    requeue(now);
}

void EdgeRequest::handleTimeout()
{
    if (m_isOver)
        return;
    const auto now = bootNow();
    if (isAtEndpoint() && now < currentEnd()) {
        armTimeout(now);
        return;
    }
    const auto stopsAt = m_state.requestsEndAt();
    if (stopsAt && now >= *stopsAt)
        endForStop(now);
    else
        end(ResultCode::DeadlinePassedWaiting, Duration::zero(), now);
}

void EdgeRequest::endForStop(TimePoint now)
{
    if (!m_isOver)
        end(ResultCode::Draining, drainingRetryAfter, now);
}

void EdgeRequest::end(ResultCode refusal, std::optional<Duration> retryAfter, TimePoint now)
{
    if (m_send) {
        // A stall until the deadline is a failure of the endpoint; a long answer is not.
        const bool wasStalled = m_send->isSent && m_send->endpoint->isStalled(now);
        if (wasStalled)
            failSend(SendFailure::Stalled, now);
        else
            endSend(SendOutcome::Neutral, now);
    }
    if (isRefusable())
        refuse(refusal, retryAfter, now);
    else
        endAfterExecution(ResultCode::EndpointTimeout, now);
}

void EdgeRequest::handleCallerLeft()
{
    if (m_isOver)
        return;
    const auto now = bootNow();
    if (m_send)
        endSend(SendOutcome::Neutral, now);
    finish(ResultCode::CallerLeft, now);
}

void EdgeRequest::refuse(ResultCode code, std::optional<Duration> retryAfter, TimePoint now)
{
    if (!isRefusable()) {
        endAfterExecution(ResultCode::EndpointBroke, now);
        return;
    }
    const int status = rowOf(code).httpStatus;
    if (m_quotaTokens > 0 && code != ResultCode::TokenRateLimit && m_organisation)
        m_state.quota(*m_organisation, now).refund(m_quotaTokens, now);
    logEvent(Event::RequestRefused,
        { { "id", m_metadata.id.text() }, { "code", printed(code) },
            { "version", static_cast<int64_t>(m_routes ? m_routes->version() : 0) },
            { "age_ms", millisecondsOf(m_state.routesAge(now).value_or(Duration::zero())) },
            { "held_ms", millisecondsOf(now - m_arrivedAt) },
            { "come_back_ms", retryAfter ? millisecondsOf(*retryAfter) : -1 } });
    http::Headers headers;
    if (retryAfter) {
        headers = platform::retryAfterHeaders(*retryAfter);
        m_state.metrics.observe(Timing::PromisedReturn, m_route ? m_route->rank : -1, *retryAfter);
    }
    if (m_forwarded)
        addForwardingFields(
            headers, ForwardedAnswer { .wasNotExecuted = true, .wasNotSent = m_attempts.arrivals() == 0 });
    m_exchange->respond(status, http::reasonPhrase(status), headers, refusalBody(code));
    finish(code, now);
}

void EdgeRequest::finish(ResultCode code, TimePoint now)
{
    if (std::exchange(m_isOver, true))
        return;
    const auto self = shared_from_this();
    m_timer.cancel();
    m_originLookup.reset();
    m_state.queue.remove(m_number);
    if (!m_exchange->isDone()) {
        const int status = rowOf(code).httpStatus;
        if (m_exchange->hasBegun())
            m_exchange->abort();
        else
            m_exchange->respond(status, http::reasonPhrase(status), {}, printed(code) + "\n");
    }
    m_exchange->onClientDisconnect({});
    m_exchange->onDrained({});
    const int rank = m_route ? m_route->rank : -1;
    m_state.metrics.requestEnded(rank, code, now - m_arrivedAt);
    if (m_eventsRelayed > 1)
        m_state.metrics.observe(Timing::LongestPause, rank, m_longestPause);
    logEvent(Event::RequestEnded,
        { { "id", m_metadata.id.text() }, { "code", printed(code) }, { "endpoint", m_attempts.last().text() },
            { "sends", static_cast<int64_t>(m_attempts.arrivals()) },
            { "events", static_cast<int64_t>(m_eventsRelayed) },
            { "first_ms", m_timeToFirstEvent ? millisecondsOf(*m_timeToFirstEvent) : -1 },
            { "longest_pause_ms", millisecondsOf(m_longestPause) },
            { "deadline_ms", m_route ? millisecondsOf(m_expiresAt - m_arrivedAt) : -1 },
            { "arrival_range_ms", millisecondsOf(m_exchange->arrival().latest - m_arrivedAt) },
            { "total_ms", millisecondsOf(now - m_arrivedAt) } });
    m_state.requests.erase(m_number);
    // A slot may be free now. Deferred, because a caller of this function may still use the request.
    asio::post(m_state.context, [&state = m_state] { state.dispatchWaiting(bootNow()); });
}

} // namespace lentilbay::edge
