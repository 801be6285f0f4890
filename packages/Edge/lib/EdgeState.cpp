// The shared state of the edge daemon.
#include "lentilbay/Edge/EdgeState.h"

#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeRequest.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

/// Subtracted from the revocation bound: covers the time from verifying a key to the start at the endpoint,
/// and late timers.
constexpr Duration revocationMargin = std::chrono::milliseconds(400);
/// The bounds of the Retry-After of a request whose key no daemon can verify.
constexpr Duration minKeysRetryAfter = std::chrono::milliseconds(50);
constexpr Duration maxKeysRetryAfter = std::chrono::seconds(1);
/// In a large fleet the loads reported from other data centres are up to a second old, which is the duration
/// of a whole answer: all daemons see the same free slot and send to it at once.
constexpr Headroom staleLoadHeadroom { .sameRegion = 2, .otherRegion = 3 };
/// The fraction of the fleet's retry budget that is used: this daemon and the users count requests at
/// different times.
constexpr double retryBudgetFraction = 0.8;
/// The fractions of the memory limit that requests and answers may take. The rest is for what the daemon
/// knows, for the small exchanges that are never given up, and for copies.
constexpr double requestMemoryFraction = 0.2;
constexpr double answerMemoryFraction = 0.25;
/// A list of endpoints that is older may lack a new software version.
constexpr Duration maxAgeForSoleVersion = std::chrono::seconds(3);

/// A fraction of the process's memory limit; without such a limit there is no bound.
std::shared_ptr<MemoryBudget> memoryBudget(uint64_t limitBytes, double fraction)
{
    return std::make_shared<MemoryBudget>(limitBytes == 0
            ? MemoryBudget::unlimited
            : static_cast<size_t>(static_cast<double>(limitBytes) * fraction));
}

/// The counter of requests that the queue rejects for this cause.
std::string_view counterOf(std::optional<RefusalCause> cause)
{
    if (!cause)
        return "queue_refusals_without_time";
    switch (*cause) {
    case RefusalCause::Objective:
        return "queue_refusals_by_objective";
    case RefusalCause::Expiry:
        return "queue_refusals_by_expiry";
    case RefusalCause::QueueLength:
        break;
    }
    return "queue_refusals_by_length";
}

/// An endpoint that refuses connections if the address cannot be read.
asio::ip::tcp::endpoint endpointOf(const platform::Address& store)
{
    std::error_code ec;
    const auto host = asio::ip::make_address(store.host, ec);
    return ec ? asio::ip::tcp::endpoint() : asio::ip::tcp::endpoint(host, store.port);
}

/// @param seed random, so that it tells this process from earlier ones of the daemon
RolloutController::Options rolloutOptions(const platform::ProcessSettings& settings, uint64_t seed)
{
    const auto& bounds = settings.bounds;
    return { .daemon = settings.daemon.text(),
        .incarnation = seed,
        .storeHost = fmt::format("{}:{}", settings.store.host, settings.store.port),
        .limits
        = { .share = bounds.canaryShare, .slackRequests = bounds.canarySlack, .revert = bounds.rollback } };
}

} // namespace

EdgeState::EdgeState(asio::io_context& context, platform::ProcessSettings given, uint64_t seed)
    : context(context)
    , settings(std::move(given))
    , topology { .ownDataCentre = settings.dataCentre, .regions = settings.regions }
    , requestMemory(memoryBudget(settings.memoryBytes, requestMemoryFraction))
    , answerMemory(memoryBudget(settings.memoryBytes, answerMemoryFraction))
    , endpointRegistry(topology, seed)
    , queue(endpointRegistry)
    , pools(context, answerMemory)
    , relays(topology)
    , streamOrigins(context, endpointOf(settings.store))
    , versions(settings.isFirstStart)
    , rolloutCalls(context, endpointOf(settings.store))
    , rollouts(rolloutOptions(settings, seed), endpointRegistry)
    , peers(settings.daemon.text())
    , random(seed + 1)
{
    rollouts.setServiceCheck(
        [this](const ServiceId& service) { return routes && routes->findService(service) != nullptr; });
    rollouts.setCaller([this](std::string request, std::function<void(const StoreReply&)> done) {
        rolloutCalls.call(std::move(request), std::move(done));
    });
    pools.setConnectObserver([this](const EndpointId& id, bool isConnected) {
        if (const auto endpoint = endpointRegistry.find(id))
            recordConnection(*endpoint, isConnected, bootNow());
    });
    pools.setAliveObserver([this](const EndpointId& id, bool isAlive) {
        if (const auto endpoint = endpointRegistry.find(id))
            recordAliveCheck(*endpoint, isAlive, bootNow());
    });
}

void EdgeState::recordAliveCheck(EndpointState& endpoint, bool isAlive, TimePoint now)
{
    if (isAlive) {
        crashes.recordConnected(endpoint.hash(), now);
        recordConnection(endpoint, true, now);
        return;
    }
    // The check needs a new connection, which fails at every endpoint while the links are lost.
    if (links.state() != LinkState::Up)
        return;
    const bool wasSuspended = endpoint.isSuspended(now);
    endpoint.recordLost(now);
    failureSources.recordLost(endpoint.hash());
    recordGone(endpoint, now);
    if (!wasSuspended)
        logEvent(Event::EndpointSuspected,
            { { "endpoint", endpoint.entry().id.text() }, { "misdirected", int64_t { 0 } } });
}

void EdgeState::recordHeard(const EndpointIncarnation& endpoint, TimePoint sentAt, TimePoint now)
{
    links.recordHeard(endpoint.endpoint, now);
    crashes.recordAlive(endpoint.endpoint, sentAt);
    endpointRegistry.failureReports().recordHeard(endpoint.endpoint, endpoint.startedAtMilliseconds, now);
}

void EdgeState::recordGone(const EndpointState& endpoint, TimePoint now)
{
    if (links.state() != LinkState::Up)
        return;
    endpointRegistry.failureReports().recordFailure(
        endpoint.hash(), endpoint.entry().startedAtMilliseconds, now);
    requestPoll();
}

void EdgeState::recordConnection(const EndpointState& endpoint, bool isConnected, TimePoint now)
{
    if (isConnected) {
        links.recordConnected(endpoint.hash(), now);
        endpointRegistry.failureReports().recordHeard(
            endpoint.hash(), endpoint.entry().startedAtMilliseconds, now);
    } else {
        links.recordConnectFailed(endpoint.hash(), now);
        recordGone(endpoint, now);
        requestPoll();
    }
    links.update(now);
}

void EdgeState::confirmEndpoints(TimePoint at, TimePoint now)
{
    endpointsConfirmedAt = at;
    versions.update(endpointRegistry, now);
    std::vector<std::function<void(bool isCurrent)>> current;
    for (auto it = m_endpointWaiters.begin(); it != m_endpointWaiters.end();) {
        if (it->second.since > at) {
            ++it;
            continue;
        }
        current.push_back(std::move(it->second.done));
        it = m_endpointWaiters.erase(it);
    }
    for (const auto& done : current)
        done(true);
    if (!m_endpointWaiters.empty() && m_readEndpoints)
        m_readEndpoints(now);
}

void EdgeState::awaitEndpoints(
    TimePoint since, std::function<void(bool isCurrent)> done, TimePoint now, Duration timeout)
{
    const bool isCurrent = endpointsConfirmedAt && *endpointsConfirmedAt >= since;
    if (isCurrent || !m_readEndpoints) {
        done(isCurrent);
        return;
    }
    auto timer = std::make_unique<asio::steady_timer>(context, timeout);
    timer->async_wait([this, number = ++m_lastWaiter](std::error_code) {
        const auto it = m_endpointWaiters.find(number);
        if (it == m_endpointWaiters.end())
            return;
        const auto waiter = std::move(it->second.done);
        m_endpointWaiters.erase(it);
        waiter(false);
    });
    m_endpointWaiters[m_lastWaiter]
        = { .since = since, .done = std::move(done), .timeout = std::move(timer) };
    m_readEndpoints(now);
}

std::optional<TimePoint> EdgeState::requestsEndAt() const
{
    if (!stopRequestedAt)
        return std::nullopt;
    const auto graceEnd = graceEndsAt.value_or(*stopRequestedAt + settings.bounds.stopGrace);
    return std::max(*stopRequestedAt + acceptAfterStop, graceEnd - stopMargin);
}

std::optional<Duration> EdgeState::routesAge(TimePoint now) const
{
    if (!routes || !routesConfirmedAt)
        return std::nullopt;
    return now - *routesConfirmedAt;
}

std::optional<uint64_t> EdgeState::soleVersion(const ServiceId& service, TimePoint now) const
{
    const bool isRecent = endpointsConfirmedAt && now - *endpointsConfirmedAt < maxAgeForSoleVersion;
    return isRecent ? versions.soleVersion(service, now) : std::nullopt;
}

std::optional<uint64_t> EdgeState::soleVersionOf(uint64_t serviceHash, TimePoint now) const
{
    if (!routes)
        return std::nullopt;
    for (const auto& it : routes->services()) {
        if (hashOf(it.name.text()) == serviceHash)
            return soleVersion(it.name, now);
    }
    return std::nullopt;
}

bool EdgeState::canVerifyKeys(TimePoint now) const
{
    return routes && routesConfirmedAt && verifiesKeysAsOf(*routesConfirmedAt, now);
}

bool EdgeState::verifiesKeysAsOf(TimePoint confirmedAt, TimePoint now) const
{
    return now - confirmedAt < settings.bounds.keyRevocation - revocationMargin;
}

Duration EdgeState::keysRetryAfter(TimePoint now) const
{
    // A daemon that has stood still reads the store at once. Otherwise another daemon is likely to answer.
    if (!m_storeReachedAt || !m_isStoreUnreachable || !m_isStoreUnreachable())
        return minKeysRetryAfter;
    return std::clamp<Duration>((now - m_storeReachedAt()) / 2, minKeysRetryAfter, maxKeysRetryAfter);
}

SharedQuota& EdgeState::quota(const RoutedOrganisation& organisation, TimePoint now)
{
    // Each heartbeat looks up all organisations; counting the participants takes time for each peer.
    if (const auto it = m_quotas.find(organisation.name); it != m_quotas.end())
        return it->second;
    const auto limits = organisation.quota ? quotaLimits(*organisation.quota) : QuotaLimits {};
    auto& out = m_quotas
                    .try_emplace(
                        organisation.name, limits, settings.isFirstStart, peers.quotaParticipants(now), now)
                    .first->second;
    restoreQuota(organisation.name, out, now);
    return out;
}

void EdgeState::dropWithdrawnReservations()
{
    std::erase_if(m_retryReservations, [this](const auto& it) {
        return std::ranges::none_of(routes->organisations(),
            [&](const auto& organisation) { return organisation.quota && organisation.name == it.first; });
    });
}

void EdgeState::applyUse(std::span<const std::pair<uint64_t, double>> use, TimePoint now)
{
    if (!routes || use.empty())
        return;
    for (const auto& organisation : routes->organisations()) {
        if (!organisation.quota)
            continue;
        const auto hash = hashOf(organisation.name.text());
        for (const auto& it : use) {
            if (it.first == hash)
                quota(organisation, now).applyUse(it.second, now);
        }
    }
}

void EdgeState::restoreQuotas(QuotaHistory history, TimePoint now)
{
    m_quotaHistory = std::move(history);
    for (auto& [organisation, quota] : m_quotas)
        restoreQuota(organisation, quota, now);
}

void EdgeState::restoreQuota(const OrganisationId& organisation, SharedQuota& quota, TimePoint now) const
{
    if (!m_quotaHistory)
        return;
    const auto it = m_quotaHistory->uses.find(hashOf(organisation.text()));
    if (it != m_quotaHistory->uses.end() && isRestorable(it->second, quota.limits()))
        quota.restore(
            it->second.level, it->second.parts, m_quotaHistory->takenAt, m_quotaHistory->restartedAt, now);
}

QuotaLimits EdgeState::quotaLimits(const TokenQuota& quota) const
{
    const auto& bounds = settings.bounds;
    return limitsFor({ .tokensPerSecond = quota.tokensPerSecond,
        .burstTokens = quota.burstTokens,
        .window = bounds.quotaWindow,
        .overshoot = bounds.quotaOvershoot,
        .slackTokens = bounds.quotaSlackTokens });
}

WindowedRetryLimits EdgeState::retryLimits() const
{
    return { .ratio = settings.bounds.retryRatio * retryBudgetFraction,
        .slack = settings.bounds.retrySlack * retryBudgetFraction / static_cast<double>(peers.knownDaemons()),
        .window = settings.bounds.retryWindow };
}

void EdgeState::logSignals(const EndpointId& endpoint, const std::string& source) const
{
    const auto state = endpointRegistry.find(endpoint);
    if (!state)
        return;
    const auto signals = endpointRegistry.signalsOf(*state);
    logEvent(Event::EndpointSignalsChanged,
        { { "endpoint", endpoint.text() },
            { "requests_per_second", signals.maxRequestsPerSecond.value_or(-1) },
            { "rejections_per_second", signals.maxRejectionsPerSecond.value_or(-1) },
            { "leaving", static_cast<int64_t>(signals.isLeaving) }, { "load", state->load() },
            { "reported_by", source } });
}

void EdgeState::assignSlots(TimePoint now)
{
    std::vector<SlotAssignment::Daemon> daemons;
    if (peers.knownDaemons() > smallFleetSize) {
        for (const auto& it : peers.sendingDaemons(now))
            daemons.push_back({ .name = it.name, .dataCentre = it.dataCentre });
        daemons.push_back({ .name = settings.daemon.text(), .dataCentre = settings.dataCentre });
    }
    // A daemon that hears few others does not know which slots they take.
    if (daemons.size() <= smallFleetSize)
        daemons.clear();
    if (endpointRegistry.areSlotsDivided() == daemons.empty())
        logEvent(Event::SlotsDivided, { { "daemons", static_cast<int64_t>(daemons.size()) } });
    endpointRegistry.assignSlots(settings.daemon.text(), std::move(daemons));
}

void EdgeState::queueAllAgain(TimePoint now)
{
    if (queue.size() == 0)
        return;
    // Iterates over a copy, because a request may end.
    for (const auto waiting = requests; const auto& [number, request] : waiting)
        request->queueAgain(now);
    dispatchWaiting(now);
}

void EdgeState::dispatchWaiting(TimePoint now)
{
    // Starting a request may end it immediately and call this function again.
    if (m_isDispatching)
        return;
    m_isDispatching = true;
    const bool isLarge = peers.knownDaemons() > smallFleetSize;
    endpointRegistry.setHeadroom(isLarge ? staleLoadHeadroom : Headroom {});
    const auto sending = peers.knownDaemons() - peers.partitionedDaemons();
    queue.setOptions({ .order = { .maxRetryAfter = settings.bounds.maxRetryAfter },
        .slotShare = 1.0 / static_cast<double>(sending) });
    for (bool again = true; again;) {
        auto decisions = queue.decide(now);
        again = false;
        for (auto& it : decisions.started) {
            if (auto request = requests.find(it.number); request != requests.end()) {
                const auto keep = request->second;
                keep->start(std::move(it.endpoint), it.cachedTokens, now);
            } else {
                it.endpoint->recordEnd({}, SendOutcome::Neutral, false, now);
            }
        }
        for (const auto& it : decisions.rejected) {
            metrics.count(counterOf(it.cause));
            if (auto request = requests.find(it.number); request != requests.end()) {
                const auto keep = request->second;
                keep->rejectWaiting(it.retryAfter, now);
            }
        }
    }
    m_isDispatching = false;
    if (queue.size() > 0)
        requestPoll();
}

} // namespace lentilbay::edge
