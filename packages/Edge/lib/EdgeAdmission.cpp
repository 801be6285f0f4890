// Admission of a request at its arrival: route, organisation, quota and estimated work.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeRequest.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// A request is refused for an unknown route or key only if the configuration is at most this old: a newer
/// one may contain it.
constexpr Duration maxAgeForDenial = std::chrono::milliseconds(2200);
/// The least Retry-After while no endpoint can be reached; spread over twice that, as all callers are
/// refused.
constexpr Duration unreachableRetryAfter = std::chrono::seconds(1);
/// Expected fraction of the maximum answer tokens if the caller gives no length hint.
constexpr double expectedAnswerFraction = 0.8;
/// An answer that has not begun may end this long after the deadline that follows from the earliest time at
/// which its request may have arrived; less than the time by which a late answer harms its caller.
constexpr Duration maxEndDelay = std::chrono::milliseconds(400);
/// A caller that is refused waits for the stated time, but no longer than this fraction of what it has left.
constexpr double waitedFraction = 1.0 / 3;

std::string hostNameOf(const std::string& host) { return host.substr(0, host.find(':')); }

} // namespace

void EdgeRequest::admit(TimePoint now)
{
    m_number = m_state.nextRequestNumber();
    m_admittedAt = now;
    m_state.metrics.count("requests_read");
    for (const auto& it : m_metadata.unreadable) {
        m_state.metrics.count("headers_unreadable");
        logEvent(Event::HeaderUnreadable, { { "id", m_metadata.id.text() }, { "header", it } });
    }
    if (!validate(now))
        return;
    const auto deadline = m_metadata.deadline.value_or(m_route->timeout);
    m_expiresAt = m_arrivedAt + std::min(m_route->timeout, deadline);
    const auto& arrival = m_exchange->arrival();
    const auto uncertainty = arrival.latest - arrival.earliest;
    const auto endDelay = std::min(uncertainty, maxEndDelay);
    // A caller leaves by itself at its own deadline, but does not know the timeout of the route.
    const bool isBounded = !m_route->isStream || !m_metadata.deadline || deadline > m_route->timeout;
    m_endsAt = m_arrivedAt + std::min(m_route->timeout, deadline) + (isBounded ? endDelay : uncertainty);
    if (now >= m_expiresAt) {
        refuse(ResultCode::DeadlinePassedWaiting, Duration::zero(), now);
        return;
    }
    if (outlivesStop()) {
        refuse(ResultCode::Draining, drainingRetryAfter, now);
        return;
    }
    if (m_route->isResumable && m_metadata.lastEvent)
        m_events.skipUntil(*m_metadata.lastEvent);
    m_state.requests.emplace(m_number, shared_from_this());
    m_exchange->onClientDisconnect([self = shared_from_this()] { self->handleCallerLeft(); });
    armTimeout(now);
    // The daemon that forwarded the request has counted it.
    if (!m_forwarded)
        m_state.retryBudget(m_service).request(now);
    logEvent(Event::RequestAccepted,
        { { "id", m_metadata.id.text() }, { "route", m_route->name },
            { "version", static_cast<int64_t>(m_routes->version()) },
            { "organisation", m_organisation ? m_organisation->name.text() : std::string() },
            { "prompt_tokens", m_work.promptTokens },
            { "arrival_range_ms", millisecondsOf(arrival.latest - arrival.earliest) },
            { "deadline_ms", millisecondsOf(m_expiresAt - m_arrivedAt) } });
    enqueueOrFindOrigin(now);
    if (m_isOver || m_send || m_originLookup)
        return;
    const auto occupancy = m_state.endpointRegistry.occupancy(m_service, now);
    logEvent(Event::RequestWaits,
        { { "id", m_metadata.id.text() },
            { "waiting", static_cast<int64_t>(m_state.queue.sizeOf(m_service)) },
            { "slots", occupancy.slots }, { "load", occupancy.load } });
}

TimePoint EdgeRequest::currentEnd() const
{
    if (!isAtEndpoint())
        return std::min(m_expiresAt, m_endsAt);
    // A caller that receives an answer leaves by itself at its deadline.
    return m_exchange->hasBegun() ? m_endsAt : std::min(m_endsAt, m_expiresAt + maxEndDelay);
}

void EdgeRequest::armTimeout(TimePoint now)
{
    const auto stopsAt = m_state.requestsEndAt();
    if (stopsAt && m_route->executionSemantics != ExecutionSemantics::AtMostOnce)
        m_expiresAt = std::min(m_expiresAt, *stopsAt);
    m_endsAt = std::min(m_endsAt, stopsAt.value_or(m_endsAt));
    m_timer.expires_after(std::max(Duration::zero(), currentEnd() - now));
    m_timer.async_wait([self = shared_from_this()](std::error_code ec) {
        if (!ec)
            self->handleTimeout();
    });
}

bool EdgeRequest::outlivesStop() const
{
    const auto stopsAt = m_state.requestsEndAt();
    return stopsAt && m_expiresAt > *stopsAt && m_route->executionSemantics == ExecutionSemantics::AtMostOnce;
}

void EdgeRequest::handleStop(TimePoint now)
{
    if (m_isOver)
        return;
    if (outlivesStop() && !m_send && m_attempts.possibleExecutions() == 0)
        refuse(ResultCode::Draining, drainingRetryAfter, now);
    else
        armTimeout(now);
}

bool EdgeRequest::validate(TimePoint now)
{
    if (m_state.stopRequestedAt && now - *m_state.stopRequestedAt > acceptAfterStop) {
        refuse(ResultCode::Draining, drainingRetryAfter, now);
        return false;
    }
    const auto age = m_state.routesAge(now);
    if (!m_routes || !m_state.endpointsConfirmedAt || !age || !m_state.isConfigurationSettled
        || m_state.isConfigurationOutdated) {
        refuse(ResultCode::NotConfigured, defaultRetryAfter, now);
        return false;
    }
    const bool isRecent = *age < maxAgeForDenial;
    m_route = m_routes->findRoute(hostNameOf(m_metadata.host), m_exchange->request().path());
    if (!m_route) {
        refuse(isRecent ? ResultCode::UnknownRoute : ResultCode::NotConfigured,
            isRecent ? std::nullopt : std::optional(defaultRetryAfter), now);
        return false;
    }
    if (m_metadata.id.empty()) {
        refuse(ResultCode::InvalidRequest, std::nullopt, now);
        return false;
    }
    double weights = 0;
    for (const auto& it : m_route->targets)
        weights += it.weight;
    double drawn = m_state.random.fraction() * weights;
    for (const auto& it : m_route->targets) {
        drawn -= it.weight;
        if (it.weight > 0 && (m_service.empty() || drawn + it.weight > 0))
            m_service = it.service;
        if (drawn <= 0)
            break;
    }
    if (m_forwarded) {
        m_state.metrics.count("requests_of_peers");
        logEvent(Event::ForwardedRequestReceived,
            { { "id", m_metadata.id.text() }, { "daemon", m_forwarded->daemon } });
        if (m_forwarded->isUnverified)
            m_state.metrics.count("requests_of_peers_unverified");
        m_version = m_forwarded->version;
        if (std::ranges::find(m_route->targets, m_forwarded->service, &RouteTarget::service)
            != m_route->targets.end())
            m_service = m_forwarded->service;
    }
    const auto maxTokens = static_cast<double>(m_metadata.maxAnswerTokens.value_or(0));
    m_work = { .isStream = m_route->isStream,
        .promptTokens = static_cast<double>(m_metadata.promptTokens.value_or(0)),
        .answerTokens = m_metadata.expectedAnswerTokens
            ? std::min(maxTokens, static_cast<double>(*m_metadata.expectedAnswerTokens))
            : maxTokens * expectedAnswerFraction };
    if (m_work.isStream && (!m_metadata.promptParts.empty() || m_metadata.lastPromptPart))
        m_prompt = std::make_shared<const std::vector<PromptPrefix>>(
            prefixesOf(m_metadata.promptParts, m_metadata.lastPromptPart));
    return authenticate(now) && checkTriggers(now) && (!countsQuota() || checkQuota(now));
}

bool EdgeRequest::checkTriggers(TimePoint now)
{
    const auto organisation = m_organisation ? hashOf(m_organisation->name.text()) : 0;
    m_attributed = { .organisation = organisation };
    const auto& request = m_exchange->request();
    // Headers differ between the repetitions of a request, the parts of its prompt do not.
    auto fingerprint = hashOf(request.body, hashOf(request.target, hashOf(m_metadata.host, organisation)));
    for (const auto it : m_metadata.promptParts) {
        m_attributed.triggers.push_back(triggerOfPart(it.id));
        fingerprint = hashOf({ reinterpret_cast<const char*>(&it.id), sizeof it.id }, fingerprint);
    }
    m_attributed.triggers.push_back(triggerOfRequest(fingerprint));
    auto failureKeys = m_attributed.triggers;
    failureKeys.push_back(hashOf(m_route->name, organisation));
    m_resend.setFailureKeys(std::move(failureKeys));
    m_state.crashes.recordRequest(m_attributed);
    if (m_state.crashes.judge(m_attributed, now) != CrashAttribution::Verdict::Blocked)
        return true;
    refuse(ResultCode::CrashTriggerBlocked, blockedRetryAfter(now), now);
    return false;
}

bool EdgeRequest::authenticate(TimePoint now)
{
    if (!m_route->needsKey)
        return true;
    if (!m_state.canVerifyKeys(now))
        return leaveKeyToPeer(now);
    m_organisation = m_metadata.key ? m_routes->findOrganisation(*m_metadata.key) : nullptr;
    if (m_organisation)
        return true;
    const bool isRecent = *m_state.routesAge(now) < maxAgeForDenial;
    if (!m_metadata.key)
        refuse(ResultCode::MissingKey, std::nullopt, now);
    else if (isRecent)
        refuse(ResultCode::UnknownKey, std::nullopt, now);
    else
        return leaveKeyToPeer(now);
    return false;
}

bool EdgeRequest::leaveKeyToPeer(TimePoint now)
{
    if (m_forwarded || !m_state.relays.choose({}, m_state.random, true)) {
        refuse(ResultCode::KeysUnverifiable, m_state.keysRetryAfter(now), now);
        return false;
    }
    m_isUnverified = true;
    m_organisation = m_metadata.key ? m_routes->findOrganisation(*m_metadata.key) : nullptr;
    return true;
}

bool EdgeRequest::checkQuota(TimePoint now)
{
    if (!m_organisation || !m_organisation->quota)
        return true;
    if (!m_state.knowsDaemons || m_state.awaitsQuotaHistory) {
        refuse(ResultCode::NotConfigured, defaultRetryAfter, now);
        return false;
    }
    const auto& quota = *m_organisation->quota;
    m_quotaTokens = m_metadata.promptTokens && m_metadata.maxAnswerTokens
        ? static_cast<double>(*m_metadata.promptTokens + *m_metadata.maxAnswerTokens)
        : quota.defaultTokens;
    auto& shared = m_state.quota(*m_organisation, now);
    const auto limits = m_state.quotaLimits(quota);
    const auto participants = m_state.peers.quotaParticipants(now);
    // Its caller has waited already, and has the begin of the answer.
    const bool isResumed = m_route->isResumable && m_metadata.lastEvent && m_metadata.resumedRequest;
    const int rank = isResumed ? SharedQuota::resumingRank : m_route->rank;
    if (shared.admit(m_quotaTokens, limits, participants, now, rank))
        return true;
    logEvent(Event::QuotaExceeded,
        { { "id", m_metadata.id.text() }, { "organisation", m_organisation->name.text() },
            { "tokens", m_quotaTokens }, { "bucket", shared.level(now) },
            { "bucket_size", limits.burstTokens }, { "in_window", shared.admittedInWindow(now) },
            { "window_size", limits.windowTokens },
            { "reserved_for_silent", shared.reservedForSilent(participants, now) },
            { "rank", static_cast<int64_t>(rank) }, { "allowance", shared.allowance() },
            { "own_in_window", shared.ownInWindow(now) },
            { "report_interval_ms", millisecondsOf(participants.reportInterval) },
            { "daemons", static_cast<int64_t>(participants.known) },
            { "silent", static_cast<int64_t>(participants.silent) } });
    const RefusedTokens refused { .tokens = m_quotaTokens,
        .rank = rank,
        .earliest = shared.timeUntil(m_quotaTokens, participants, now, rank),
        .tokensPerSecond = shared.ownTokensPerSecond(participants, now),
        .maxWait = std::min(longestWait(now), m_state.settings.bounds.maxRetryAfter) };
    const auto wait = m_state.retryReservations(m_organisation->name).reserve(refused, now);
    m_state.metrics.count(wait < refused.maxWait ? "quota_retries_stated" : "quota_retries_too_late");
    refuse(ResultCode::TokenRateLimit, wait, now);
    return false;
}

Duration EdgeRequest::longestWait(TimePoint now) const
{
    const auto deadline = m_metadata.deadline.value_or(m_route->timeout);
    const auto left = m_arrivedAt + std::min(m_route->timeout, deadline) - now;
    return std::max(Duration::zero(), fromSeconds(toSeconds(left) * waitedFraction));
}

uint64_t EdgeRequest::streamHash(const RequestId& firstRequest) const
{
    // An organisation cannot resume the streams of another one.
    return hashOf(firstRequest.text(), m_organisation ? hashOf(m_organisation->name.text()) : 0);
}

bool EdgeRequest::applyOrigin(const StreamOrigin& origin)
{
    const auto it = std::ranges::find_if(m_route->targets,
        [&](const auto& target) { return hashOf(target.service.text()) == origin.service; });
    if (it == m_route->targets.end())
        return false;
    m_service = it->service;
    m_version = origin.version;
    return true;
}

void EdgeRequest::enqueueOrFindOrigin(TimePoint now)
{
    // The peer that verifies the key looks up the origin.
    if (!m_route->isResumable || !m_metadata.lastEvent || m_isUnverified) {
        enqueue(now);
        m_state.dispatchWaiting(now);
        return;
    }
    StreamOriginLookup::Query query { .service = m_service, .arrivedAt = m_arrivedAt };
    for (const auto& it : m_route->targets)
        query.services.push_back(it.service);
    if (m_metadata.resumedRequest)
        query.stream = streamHash(*m_metadata.resumedRequest);
    const auto lookup = std::make_shared<StreamOriginLookup>(m_state, std::move(query),
        [this](const auto& origin, std::string_view source) { originFound(origin, source, bootNow()); });
    m_originLookup = lookup;
    if (m_forwarded && m_version)
        lookup->found(
            StreamOrigin { .service = hashOf(m_service.text()), .version = *m_version }, "forwarder", now);
    else
        lookup->start(now);
}

void EdgeRequest::originFound(
    const std::optional<StreamOrigin>& origin, std::string_view source, TimePoint now)
{
    const auto self = shared_from_this();
    m_originLookup.reset();
    const bool isStated = m_version.has_value();
    const bool isKnown = origin && applyOrigin(*origin);
    if (!isStated) {
        m_state.metrics.count(isKnown ? "stream_origins_found" : "stream_origins_unknown");
        logEvent(Event::StreamOriginFound,
            { { "id", m_metadata.id.text() },
                { "resumed", m_metadata.resumedRequest ? m_metadata.resumedRequest->text() : std::string() },
                { "source", isKnown ? std::string(source) : std::string() },
                { "waited_ms", millisecondsOf(now - m_arrivedAt) } });
    }
    if (!isKnown) {
        refuse(ResultCode::StreamOriginUnknown, defaultRetryAfter, now);
        return;
    }
    enqueue(now);
    m_state.dispatchWaiting(now);
}

void EdgeRequest::enqueue(TimePoint now)
{
    if (m_isUnverified) {
        if (!startThroughPeer(now))
            refuse(ResultCode::KeysUnverifiable, m_state.keysRetryAfter(now), now);
        return;
    }
    m_state.rollouts.assign(m_service, m_version, m_rollout, now);
    if (!m_state.endpointRegistry.hasCandidate(m_service, {}, m_rollout.rule)) {
        refuse(ResultCode::NoEndpoint, defaultRetryAfter, now);
        return;
    }
    // A forwarded request is not forwarded again.
    // Whether a connection to the endpoint is idle is known when one has been chosen.
    const auto path = m_state.sendPath(true);
    const bool hasEndpoint = m_state.endpointRegistry.hasSlotShare(m_service)
        && m_state.endpointRegistry.hasCandidate(m_service, m_attempts.tried(), m_rollout.rule);
    if (!m_forwarded && m_state.prefersPeers(now) && startThroughPeer(now))
        return;
    if (path == SendPath::Direct && hasEndpoint) {
        auto waiting = waitingRequest();
        waiting.isRequeued = std::exchange(m_hasWaited, true);
        m_state.queue.push(std::move(waiting));
        return;
    }
    if (path != SendPath::None && !m_forwarded && startThroughPeer(now))
        return;
    const auto retryAfter
        = unreachableRetryAfter + fromSeconds(toSeconds(unreachableRetryAfter) * m_state.random.fraction());
    refuse(ResultCode::NoEndpoint, std::max(retryAfter, m_peerRetryAfter.value_or(Duration::zero())), now);
}

bool EdgeRequest::isAcceptable(const EndpointState& endpoint, TimePoint now) const
{
    const auto version = endpoint.versionHash();
    return m_state.endpointRegistry.acceptsRequests(endpoint, now)
        && versionRule().allowsAny(version, endpoint.hash())
        && m_state.rollouts.mayUse(m_service, version, now);
}

double EdgeRequest::tokensOf(size_t events) const
{
    const auto* service = m_routes->findService(m_service);
    const double tokensPerEvent = service && service->engine ? service->engine->tokensPerEvent : 1;
    return tokensPerEvent * static_cast<double>(events);
}

WaitingRequest EdgeRequest::waitingRequest() const
{
    return { .number = m_number,
        .rank = m_route->rank,
        .hasBegun = m_attempts.possibleExecutions() > 0 || isResumedStream(),
        .query = { .service = m_service,
            .work = m_work,
            .objectiveAt = m_arrivedAt + m_route->objective,
            .expiresAt = m_expiresAt,
            .gapObjective = m_route->isStream ? m_route->gapObjective : Duration::zero(),
            .tokensPerEvent = tokensOf(1),
            .versions = versionRule(),
            .prompt = m_prompt,
            .tried = m_attempts.tried() },
        .arrivedAt = m_arrivedAt,
        .expiresAt = m_expiresAt };
}

} // namespace lentilbay::edge
