// The way of one request.
#include "lentilbay/Edge/EdgeRequest.h"

#include "EdgeTimes.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// Sends of one request that endpoints refuse, beside those that may have run.
constexpr int maxSends = 4;
/// Kept connections that may turn out closed before one request.
constexpr int maxStaleConnections = 4;
/// A connection that has been idle longer may just be closed by its endpoint; a request that must not run
/// twice does not take that risk.
constexpr Duration freshForAtMostOnce = std::chrono::milliseconds(700);
constexpr Duration freshForOthers = std::chrono::seconds(60);
/// An idempotent request leaves an endpoint that has been silent for this part of the objective, ...
constexpr double silentPartOfObjective = 0.6;
/// ... and a stream one that made a pause so many times as long as the gap objective.
constexpr double silentGaps = 2;
/// Bytes that a slow caller may leave unread before the endpoint is no longer read.
constexpr size_t maxUnsent = 65'536;

/// The fields of an endpoint's answer that the caller gets; the server frames the answer itself.
http::Headers passedOn(http::Headers headers)
{
    http::removeHopByHop(headers, {});
    headers.remove("Content-Length");
    return headers;
}

} // namespace

EdgeRequest::EdgeRequest(EdgeState& state, std::shared_ptr<http::Exchange> exchange)
    : m_state(state)
    , m_exchange(std::move(exchange))
    , m_facts(platform::decodeCallerFacts(m_exchange->request()))
    , m_routes(state.routes)
    , m_arrivedAt(m_exchange->arrivedAt())
    , m_timer(state.context)
{
}

void EdgeRequest::turnAway(Duration comeBackIn, TimePoint now)
{
    if (m_isOver)
        return;
    if (m_runs > 0)
        endAfterRun(ResultCode::EndpointBroke, now);
    else
        refuse(ResultCode::QueueShed, std::max(comeBackIn, usualReturn), now);
}

void EdgeRequest::start(std::shared_ptr<EndpointState> endpoint, TimePoint now)
{
    m_send.emplace();
    m_send->endpoint = std::move(endpoint);
    m_state.metrics.observe(Timing::Wait, m_route->rank, now - m_arrivedAt);
    m_tried.push_back(m_send->endpoint->listed().id);
    const auto freshest
        = m_route->repeatability == Repeatability::AtMostOnce ? freshForAtMostOnce : freshForOthers;
    // Not from inside the line's step, which is still going through its requests.
    m_state.pools.lease({ .endpoint = m_send->endpoint->listed(), .freshest = freshest },
        [self = shared_from_this(), target = m_send->endpoint](
            std::shared_ptr<http::ClientConnection> connection) {
            const auto at = bootNow();
            if (self->m_isOver || !self->m_send || self->m_send->endpoint != target
                || self->m_send->connection) {
                if (connection)
                    self->m_state.pools.giveBack(target->listed(), std::move(connection));
                return;
            }
            if (connection) {
                self->sendNow(std::move(connection), at);
                return;
            }
            self->endSend(SendEnd::Bad, at);
            self->sendFailed(false, ResultCode::EndpointUnreachable, at);
        });
}

void EdgeRequest::sendNow(std::shared_ptr<http::ClientConnection> connection, TimePoint now)
{
    m_send->connection = std::move(connection);
    if (now >= m_giveUpAt) {
        timedOut();
        return;
    }
    ++m_sends;
    m_send->isSent = true;
    m_send->sentAt = m_send->lastEventAt = now;
    const auto& endpoint = *m_send->endpoint;
    m_send->expectedFirst = endpoint.expectedFirst(m_work);
    logEvent(Event::RequestSent,
        { { "id", m_facts.id.text() }, { "endpoint", endpoint.listed().id.text() },
            { "waited_ms", millisecondsOf(now - m_arrivedAt) }, { "load", endpoint.load() },
            { "slots", static_cast<int64_t>(endpoint.listed().slots) },
            { "expected_first_ms", millisecondsOf(m_send->expectedFirst) },
            { "send", static_cast<int64_t>(m_sends) } });
    platform::SendFacts facts { .endpoint = endpoint.listed().id,
        .organisation = m_organisation ? std::optional(m_organisation->name) : std::nullopt,
        .timeLeft = m_giveUpAt - now,
        .lastEvent = m_eventsRelayed > 0 ? m_events.lastId() : std::nullopt };
    m_events.restart();
    const auto self = shared_from_this();
    const bool isHead = m_exchange->request().method == "HEAD";
    m_send->connection->exchange(platform::encodeEndpointRequest(m_exchange->request(), facts), isHead,
        { .head = [self](const http::HttpResponseHead& head) { return self->responseHead(head); },
            .body = [self](std::string_view piece) { self->responseBody(piece); },
            .whole = [self] { self->responseWhole(); },
            .broken = [self](http::BrokenAt at) { self->responseBroken(at); } });
}

bool EdgeRequest::responseHead(const http::HttpResponseHead& head)
{
    if (m_isOver || !m_send)
        return false;
    const auto facts = platform::decodeAnswerFacts(head, m_facts.id);
    if (!facts.isOurs) {
        m_state.metrics.count("foreign_answers");
        return false;
    }
    m_send->head = head;
    m_send->wasNotRun = facts.execution == platform::Execution::No;
    m_send->isOtherEndpoint = facts.isOtherEndpoint;
    m_send->isGenuine = facts.isGenuine;
    m_send->isEventStream = m_route->isStream && facts.isSuccess && facts.isGenuine;
    return true;
}

void EdgeRequest::responseBody(std::string_view piece)
{
    if (m_isOver || !m_send)
        return;
    const auto now = bootNow();
    if (m_send->isEventStream)
        relay(piece, now);
    else
        m_send->body += piece;
}

void EdgeRequest::relay(std::string_view piece, TimePoint now)
{
    auto events = m_events.feed(piece);
    if (events.events == 0)
        return;
    auto& endpoint = *m_send->endpoint;
    if (!m_send->hadFirst) {
        m_send->hadFirst = true;
        const auto error = now - m_send->sentAt - m_send->expectedFirst;
        m_state.metrics.observe(Timing::FirstEventError, m_route->rank, std::max(error, -error));
        endpoint.first(m_work, now - m_send->sentAt, now);
    } else {
        const auto* service = m_routes->findService(m_service);
        const double tokens = service && service->engine ? service->engine->tokensPerEvent : 1;
        endpoint.progressed(tokens * static_cast<double>(events.events), now - m_send->lastEventAt, now);
    }
    m_send->lastEventAt = now;
    if (m_eventsRelayed == 0) {
        noteFirstAnswer(now);
        beginAnswer();
    } else {
        m_longestPause = std::max(m_longestPause, now - m_lastRelayedAt);
    }
    m_lastRelayedAt = now;
    m_eventsRelayed += events.events;
    m_exchange->write(events.bytes);
    if (m_exchange->unsentBytes() <= maxUnsent)
        return;
    m_send->connection->pauseReading();
    m_exchange->onDrained([self = weak_from_this()] {
        if (auto request = self.lock(); request && request->m_send && request->m_send->connection)
            request->m_send->connection->resumeReading();
    });
}

void EdgeRequest::noteFirstAnswer(TimePoint now)
{
    m_firstAfter = now - m_arrivedAt;
    m_state.metrics.observe(Timing::FirstAnswer, m_route->rank, *m_firstAfter);
}

void EdgeRequest::beginAnswer()
{
    const auto& head = m_send->head;
    m_exchange->begin(head.status, head.reason, passedOn(head.headers));
}

void EdgeRequest::responseWhole()
{
    if (m_isOver || !m_send)
        return;
    const auto now = bootNow();
    if (m_send->wasNotRun) {
        const bool isOther = m_send->isOtherEndpoint;
        endSend(isOther ? SendEnd::Neutral : SendEnd::Full, now);
        sendFailed(false, ResultCode::EndpointRefused, now);
        return;
    }
    if (m_send->isEventStream)
        streamWhole(now);
    else
        plainWhole(now);
}

void EdgeRequest::streamWhole(TimePoint now)
{
    if (m_events.hasRest() || m_eventsRelayed == 0) {
        endSend(SendEnd::Bad, now);
        sendFailed(true, ResultCode::EndpointBroke, now);
        return;
    }
    endSend(SendEnd::Good, now);
    m_exchange->finish();
    finish(ResultCode::Ok, now);
}

void EdgeRequest::plainWhole(TimePoint now)
{
    const int status = m_send->head.status;
    const bool isSuccess = status >= 200 && status < 300;
    if (isSuccess && !m_send->isGenuine) {
        endSend(SendEnd::Bad, now);
        sendFailed(true, ResultCode::EndpointAnswerInvalid, now);
        return;
    }
    if (!m_send->hadFirst) {
        m_send->hadFirst = true;
        if (isSuccess)
            m_send->endpoint->first(m_work, now - m_send->sentAt, now);
    }
    auto head = std::move(m_send->head);
    auto body = std::move(m_send->body);
    endSend(status >= 500 ? SendEnd::Bad : SendEnd::Good, now);
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
        noteFirstAnswer(now);
    m_exchange->respond(head.status, head.reason, passedOn(std::move(head.headers)), body);
    finish(status >= 500 ? ResultCode::EndpointBroke : ResultCode::Ok, now);
}

void EdgeRequest::responseBroken(http::BrokenAt at)
{
    if (m_isOver || !m_send)
        return;
    const auto now = bootNow();
    if (at == http::BrokenAt::NothingSent) {
        // The endpoint had closed a kept connection, which tells nothing of its health.
        m_send->wasNotRun = true;
        m_tried.pop_back();
        endSend(SendEnd::Neutral, now);
        if (now < m_giveUpAt && ++m_staleConnections <= maxStaleConnections) {
            waitAgain(now);
            return;
        }
        refuse(ResultCode::NoEndpoint, usualReturn, now);
        return;
    }
    const bool wasNotRun = m_send->wasNotRun;
    endSend(SendEnd::Bad, now);
    sendFailed(!wasNotRun, ResultCode::EndpointBroke, now);
}

void EdgeRequest::endSend(SendEnd end, TimePoint now)
{
    auto send = std::move(*m_send);
    m_send.reset();
    const bool wasSuspended = send.endpoint->isSuspended(now);
    send.endpoint->ended(m_work, end, send.hadFirst, now);
    if (end == SendEnd::Bad && !wasSuspended && send.endpoint->isSuspended(now))
        logEvent(Event::EndpointSuspected, { { "endpoint", send.endpoint->listed().id.text() } });
    if (send.isSent && !send.wasNotRun)
        ++m_runs;
    if (send.connection)
        m_state.pools.giveBack(send.endpoint->listed(), std::move(send.connection));
}

bool EdgeRequest::mayStillSend(TimePoint now)
{
    if (m_sends >= maxSends || m_runs >= m_route->maxAttempts)
        return false;
    if (m_runs > 0 && m_route->repeatability == Repeatability::AtMostOnce)
        return false;
    return m_sends == 0 || m_state.repeats(m_service).take(m_state.repeatLimits(), now);
}

void EdgeRequest::logFailedSend(bool mayHaveRun, ResultCode reason) const
{
    logEvent(Event::SendFailed,
        { { "id", m_facts.id.text() }, { "endpoint", m_tried.back().text() }, { "code", printed(reason) },
            { "may_have_run", static_cast<int64_t>(mayHaveRun) },
            { "events", static_cast<int64_t>(m_eventsRelayed) } });
}

void EdgeRequest::sendFailed(bool mayHaveRun, ResultCode reason, TimePoint now)
{
    logFailedSend(mayHaveRun, reason);
    if (now < m_giveUpAt && m_state.book.hasAny(m_service, m_tried) && mayStillSend(now)) {
        waitAgain(now);
        return;
    }
    if (m_runs == 0)
        refuse(reason == ResultCode::EndpointUnreachable ? ResultCode::NoEndpoint : ResultCode::QueueShed,
            usualReturn, now);
    else
        endAfterRun(reason, now);
}

void EdgeRequest::endAfterRun(ResultCode reason, TimePoint now)
{
    if (m_fallback && m_eventsRelayed == 0) {
        m_exchange->respond(
            m_fallback->status, m_fallback->reason, passedOn(m_fallback->headers), m_fallbackBody);
    }
    finish(reason, now);
}

void EdgeRequest::waitAgain(TimePoint now)
{
    if (m_eventsRelayed > 0) {
        m_state.metrics.count("streams_resumed");
        logEvent(Event::StreamResumed,
            { { "id", m_facts.id.text() }, { "last_event", m_events.lastId().value_or("") } });
    }
    enqueue(now);
    m_state.step(now);
}

void EdgeRequest::checkProgress(TimePoint now)
{
    if (m_isOver || !m_send || !m_send->isSent || m_route->repeatability == Repeatability::AtMostOnce)
        return;
    if (!m_send->endpoint->isSilent(now) || m_runs + 1 >= m_route->maxAttempts)
        return;
    const auto silence = now - m_send->lastEventAt;
    const auto tolerated = m_send->hadFirst
        ? fromSeconds(toSeconds(m_route->gapObjective) * silentGaps)
        : std::max(fromSeconds(toSeconds(m_route->objective) * silentPartOfObjective),
            2 * m_send->endpoint->expectedFirst({ .isStream = m_work.isStream }));
    // Silence alone ends nothing: the endpoint may still go on, and only another one with room does better.
    if (silence < tolerated || !m_state.book.choose(waitingRequest().query, now) || !mayStillSend(now))
        return;
    logFailedSend(true, ResultCode::EndpointStalled);
    endSend(SendEnd::Bad, now);
    waitAgain(now);
}

void EdgeRequest::timedOut()
{
    if (m_isOver)
        return;
    const auto now = bootNow();
    if (m_send) {
        // Its silence until the end is a failure of the endpoint; a long answer is not.
        const bool wasSilent = m_send->isSent && m_send->endpoint->isSilent(now);
        endSend(wasSilent ? SendEnd::Bad : SendEnd::Neutral, now);
    }
    if (m_runs == 0)
        refuse(ResultCode::DeadlinePassedWaiting, Duration::zero(), now);
    else
        endAfterRun(ResultCode::EndpointTimeout, now);
}

void EdgeRequest::callerLeft()
{
    if (m_isOver)
        return;
    const auto now = bootNow();
    if (m_send)
        endSend(SendEnd::Neutral, now);
    finish(ResultCode::CallerLeft, now);
}

void EdgeRequest::refuse(ResultCode code, std::optional<Duration> comeBackIn, TimePoint now)
{
    const int status = rowOf(code).httpStatus;
    if (m_quotaTokens > 0 && code != ResultCode::TokenRateLimit && m_organisation && m_runs == 0)
        m_state.quota(*m_organisation, now).giveBack(m_quotaTokens, now);
    logEvent(Event::RequestRefused,
        { { "id", m_facts.id.text() }, { "code", printed(code) },
            { "version", static_cast<int64_t>(m_routes ? m_routes->version() : 0) },
            { "age_ms", millisecondsOf(m_state.routesAge(now).value_or(Duration::zero())) },
            { "held_ms", millisecondsOf(now - m_arrivedAt) },
            { "come_back_ms", comeBackIn ? millisecondsOf(*comeBackIn) : -1 } });
    http::Headers headers;
    if (comeBackIn) {
        headers = platform::retryAfterHeaders(*comeBackIn);
        m_state.metrics.observe(Timing::PromisedReturn, m_route ? m_route->rank : -1, *comeBackIn);
    }
    m_exchange->respond(status, http::reasonPhrase(status), headers, printed(code) + "\n");
    finish(code, now);
}

void EdgeRequest::finish(ResultCode code, TimePoint now)
{
    if (std::exchange(m_isOver, true))
        return;
    const auto self = shared_from_this();
    m_timer.cancel();
    m_state.line.remove(m_number);
    if (!m_exchange->isDone()) {
        const int status = rowOf(code).httpStatus;
        if (m_exchange->hasBegun())
            m_exchange->abort();
        else
            m_exchange->respond(status, http::reasonPhrase(status), {}, printed(code) + "\n");
    }
    m_exchange->onClientLeft({});
    m_exchange->onDrained({});
    const int rank = m_route ? m_route->rank : -1;
    m_state.metrics.requestEnded(rank, code, now - m_arrivedAt);
    if (m_eventsRelayed > 1)
        m_state.metrics.observe(Timing::LongestPause, rank, m_longestPause);
    logEvent(Event::RequestEnded,
        { { "id", m_facts.id.text() }, { "code", printed(code) },
            { "endpoint", m_tried.empty() ? std::string() : m_tried.back().text() },
            { "sends", static_cast<int64_t>(m_sends) }, { "events", static_cast<int64_t>(m_eventsRelayed) },
            { "first_ms", m_firstAfter ? millisecondsOf(*m_firstAfter) : -1 },
            { "longest_pause_ms", millisecondsOf(m_longestPause) },
            { "total_ms", millisecondsOf(now - m_arrivedAt) } });
    m_state.requests.erase(m_number);
    // Room may have come free. Not from here: a caller of this function may still use the request.
    asio::post(m_state.context, [&state = m_state] { state.step(bootNow()); });
}

} // namespace lentilbay::edge
