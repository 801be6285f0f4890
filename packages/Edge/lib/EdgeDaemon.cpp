// Connects the components of the edge daemon.
#include "lentilbay/Edge/EdgeDaemon.h"

#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeRequest.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/platform/Documents.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <set>
#include <unistd.h>
#include <utility>

namespace lentilbay::edge {
namespace {

namespace ip = asio::ip;

/// The table in the store that maps the name of each daemon to its address.
constexpr const char* daemonTable = "daemons";
/// How often the queue and delayed deletions are processed, the queue in addition to whenever a request ends.
constexpr Duration pollPeriod = std::chrono::milliseconds(40);
/// The same while nothing waits: most daemons of a large fleet are idle for most of the time.
constexpr Duration idlePollPeriod = std::chrono::milliseconds(400);
/// Interval of idle connection expiry, registration in the store and shutdown checks.
constexpr Duration maintenancePeriod = std::chrono::milliseconds(500);
/// The configuration changes rarely; this bounds the calls if changes come in quick succession.
constexpr Duration configurationSpacing = std::chrono::milliseconds(200);
/// Endpoint entries change several times a second in total.
constexpr Duration endpointSpacing = std::chrono::milliseconds(700);
/// Entries that expired in an outage are restored within about two seconds of its end.
constexpr Duration lapsedEntryDelay = std::chrono::milliseconds(2100);
/// An entry expires after three heartbeats of its endpoint are missing; one of them may be due just after the
/// store is lost.
constexpr int missedHeartbeatsToExpire = 2;
/// After the store has come back from an older copy, a row of that copy is used after this time if it has not
/// been written again; an endpoint whose departure the store has lost is gone by then.
constexpr Duration copiedRowDelay = std::chrono::seconds(10);
/// The era of a store that has never come back from a copy.
constexpr uint64_t firstStoreEra = 1;
/// The time over which the daemons together write their rows again, and read tables that only some of them
/// need, after the store has come back from an older copy.
constexpr Duration rewriteSpread = std::chrono::seconds(2);
/// Daemons learn of each other from heartbeats; the table is needed only by daemons that start.
constexpr Duration daemonLongPollWait = Duration::zero();
constexpr Duration daemonSpacing = std::chrono::seconds(60);
/// Many times the usual response time of the store.
constexpr Duration announceTimeout = std::chrono::seconds(1);
/// Retry delay after a failure; only daemons that start depend on this row.
constexpr Duration announceRetry = std::chrono::milliseconds(700);
constexpr Duration rowDeletionRetry = std::chrono::seconds(10);
/// Idle caller connections are closed this long after SIGTERM; by then the load balancer sends no new ones.
constexpr Duration closeIdleAfterStop = std::chrono::milliseconds(2000);

/// Capacity is stated in thousandths of a core.
constexpr double thousandths = 1000;
/// After a restart the quota buckets start with this fraction of the slack, divided among the daemons, so
/// that the first requests need not wait for them to fill.
constexpr double initialQuotaFraction = 0.6;

uint64_t randomSeed()
{
    std::random_device device;
    return (uint64_t { device() } << 32U) | device();
}

std::string_view nameOf(http::CloseReason reason)
{
    switch (reason) {
    case http::CloseReason::Client:
        return "client";
    case http::CloseReason::LastResponse:
        return "last_response";
    case http::CloseReason::InvalidRequest:
        return "invalid_request";
    case http::CloseReason::MemoryExhausted:
        return "memory_exhausted";
    case http::CloseReason::Aborted:
        return "aborted";
    case http::CloseReason::IdleTimeout:
        return "idle_timeout";
    case http::CloseReason::Stop:
        break;
    }
    return "stop";
}

ip::tcp::endpoint tcpEndpoint(const platform::Address& address)
{
    return { ip::make_address(address.host), address.port };
}

} // namespace

EdgeDaemon::EdgeDaemon(platform::ProcessSettings settings, std::function<void()> reload)
    : m_state(m_context, std::move(settings), randomSeed())
    , m_reload(std::move(reload))
    , m_incarnation(randomSeed())
    , m_startedAt(bootNow())
    , m_loopWatch(m_startedAt)
    , m_countsAllUse(m_state.settings.isFirstStart)
    , m_quotaCheckpoints(m_state, m_incarnation, m_startedAt)
    , m_summaries({ .daemon = m_state.settings.daemon.text(),
          .topology = m_state.topology,
          .capacity = static_cast<uint32_t>(m_state.settings.cpuShare * thousandths),
          .isFirstStart = m_state.settings.isFirstStart,
          .startedAt = m_startedAt })
    , m_signals(m_context, SIGTERM, SIGHUP)
    , m_pollTimer(m_context)
    , m_heartbeatTimer(m_context)
    , m_maintenanceTimer(m_context)
    , m_stopTimer(m_context)
    , m_peerSocket(m_context)
    , m_catchUp({ .daemon = m_state.settings.daemon.text(), .isSettled = m_state.settings.isFirstStart })
    , m_configurationViews(
          m_state.settings.daemon.text(), m_state.topology, m_state.settings.bounds.keyRevocation)
    , m_configurationDocument(m_context)
    , m_endpointDocument(m_context)
    , m_transferBudget(m_state.settings.linkBytesPerSecond)
    , m_endpointCatchUp(
          m_state.settings.daemon.text(), m_state.topology, m_state.settings.bounds.endpointDrain)
    , m_sharedRowWriter(m_context, tcpEndpoint(m_state.settings.store))
    , m_roster(m_state.settings.daemon.text())
    , m_rosterWriter(m_context, tcpEndpoint(m_state.settings.store))
{
    std::signal(SIGPIPE, SIG_IGN);
    m_state.knowsDaemons = m_state.isConfigurationSettled = m_state.settings.isFirstStart;
    const auto& own = m_state.settings;
    m_callerServer = std::make_unique<http::HttpServer>(m_context,
        http::HttpServerOptions { .address = tcpEndpoint(own.callers),
            .limits = [this] { return callerLimits(); },
            .maxInputAge = [this](TimePoint now) { return m_loopWatch.maxInputAge(now); },
            .handler =
                [this](std::shared_ptr<http::Exchange> exchange) {
                    std::make_shared<EdgeRequest>(m_state, std::move(exchange))->admit(bootNow());
                },
            .malformed =
                [this](http::ParseError error) {
                    m_state.metrics.count("requests_malformed");
                    logEvent(Event::RequestMalformed, { { "error", static_cast<int64_t>(error) } });
                },
            .repeated = [this](const auto& request, int status) { recordSecondResponse(request, status); },
            .closed = [this](const auto& end) { recordConnectionEnd(end, "client"); },
            .requestMemory = m_state.requestMemory,
            .responseMemory = m_state.answerMemory,
            .whenIdle = [this](auto task) { m_loop.whenIdle(std::move(task), bootNow() + maxCloseDelay); } });
    serveReadiness();
    serveMetrics();
    m_peerSocket.open(ip::udp::v4());
    m_peerSocket.bind({ ip::make_address(own.ownHost), own.firstPeerPort });
    servePeers();
    m_state.setEndpointReader([this](TimePoint now) { m_endpointFollower->readNow(now); });
    m_state.setStoreStatus([this] { return m_endpointFollower->isStoreUnreachable(); });
    m_state.setStoreContact(
        [this] { return std::max(m_configurationFollower->answeredAt(), m_endpointFollower->answeredAt()); });
    m_state.streams.setSender(
        [this](const auto& daemon, const auto& message) { sendStreamMessage(daemon, message); });
    connectRollouts();
    followStore();
    followSharedRows();
}

void EdgeDaemon::run()
{
    const auto& own = m_state.settings;
    logEvent(Event::DaemonStarted,
        { { "daemon", own.daemon.text() },
            { "callers", own.callers.host + ":" + std::to_string(own.callers.port) },
            { "data_centre", own.dataCentre.text() },
            { "first_start", static_cast<int64_t>(own.isFirstStart) } });
    awaitSignal();
    receiveHeartbeats();
    m_state.setPollRequester([this] { hastenPoll(); });
    schedulePoll(pollPeriod);
    schedulePeriodic(m_heartbeatTimer, heartbeatPeriod, [this] {
        sendHeartbeats();
        checkStalledRequests(bootNow());
    });
    schedulePeriodic(m_maintenanceTimer, maintenancePeriod, [this] {
        const auto now = bootNow();
        m_state.pools.closeExpired(now, [this](const EndpointId& id) {
            return m_state.endpointRegistry.find(id) != nullptr || m_state.relays.isAlive(id);
        });
        announce(now);
        deleteStaleRow(now);
        storeSharedRows(now);
    });
    m_configurationFollower->start();
    m_endpointFollower->start();
    m_sharedRowFollower->start();
    m_quotaCheckpoints.update(m_countsAllUse, false, bootNow());
    announce(bootNow());
    m_loop.run();
    const auto graceLeft
        = m_state.graceEndsAt ? millisecondsOf(*m_state.graceEndsAt - bootNow()) : int64_t { -1 };
    logEvent(Event::DaemonStopped,
        { { "open_requests", static_cast<int64_t>(m_state.requests.size()) },
            { "connections", static_cast<int64_t>(m_callerServer->connections()) },
            { "grace_left_ms", graceLeft } });
}

void EdgeDaemon::poll(TimePoint now)
{
    m_state.metrics.count("polls");
    m_endpointFollower->applyDueChanges(now);
    m_state.streams.poll(now);
    m_state.streamOrigins.poll(m_state.peers.knownDaemons(), now);
    updateLinks(now);
    if (m_endpointReports.isRoundDue(m_summaries.isAggregator(), now)) {
        m_nextHeartbeatAt.clear();
        sendHeartbeats();
    }
    pollRollouts(now);
    if (m_state.queue.size() > 0)
        m_state.dispatchWaiting(now);
}

bool EdgeDaemon::hasUrgentWork()
{
    return m_endpointReports.hasNews(m_summaries.isAggregator()) || m_state.queue.size() > 0
        || m_state.streams.hasQueries() || m_state.links.isUnsettled()
        || m_endpointFollower->hasDelayedChanges() || m_state.rollouts.isActive();
}

void EdgeDaemon::schedulePoll(Duration delay)
{
    m_pollTimer.expires_after(delay);
    m_pollTimer.async_wait([this](std::error_code ec) {
        if (ec)
            return;
        m_isPollIdle = false;
        poll(bootNow());
        m_isPollIdle = !hasUrgentWork();
        schedulePoll(m_isPollIdle ? idlePollPeriod : pollPeriod);
    });
}

void EdgeDaemon::hastenPoll()
{
    // Setting the timer again cancels the wait that is in progress.
    if (std::exchange(m_isPollIdle, false))
        schedulePoll(pollPeriod);
}

void EdgeDaemon::schedulePeriodic(asio::steady_timer& timer, Duration period, std::function<void()> action)
{
    timer.expires_after(period);
    timer.async_wait([this, &timer, period, due = bootNow() + period, action = std::move(action)](
                         std::error_code ec) mutable {
        if (ec)
            return;
        m_loopWatch.recordTimer(due, bootNow());
        action();
        schedulePeriodic(timer, period, std::move(action));
    });
}

void EdgeDaemon::followStore()
{
    const auto store = tcpEndpoint(m_state.settings.store);
    m_configurationFollower = std::make_unique<StoreFollower>(m_context,
        StoreFollowerOptions { .store = store,
            .table = platform::configurationTable,
            .wait = longPollWait(),
            .spacing = configurationSpacing,
            .spacingWhilePassive = passiveSpacing(),
            .replica = { .rowOfEachEra = platform::configurationKey },
            .seed = randomSeed() },
        StoreFollower::Callbacks { .changed = [this](const auto& row) { applyConfigurationRow(row); },
            .deleted = [this](const std::string& key) { m_state.rollouts.orderRowDeleted(key, bootNow()); },
            .confirmed =
                [this](TimePoint at) {
                    m_state.rollouts.confirmOrders(at);
                    confirmConfiguration(at);
                    const auto now = bootNow();
                    m_catchUp.storeRead(m_storeEra > firstStoreEra, now);
                    catchUpWithPeers(now);
                },
            .skipPollingFor = [this](TimePoint now) { return skipPollingFor(*m_configurationFollower, now); },
            .hasOtherReader = [this] { return hasOtherReader(); },
            .eraChanged = [this](uint64_t era) { handleStoreEra(era, bootNow()); } });
    m_endpointFollower = std::make_unique<StoreFollower>(m_context,
        StoreFollowerOptions { .store = store,
            .table = platform::endpointTable,
            .wait = longPollWait(),
            .spacing = endpointSpacing,
            .spacingWhilePassive = passiveSpacing(),
            .replica = { .deletionDelay = lapsedEntryDelay,
                .minOutageToExpire = m_state.settings.endpointHeartbeat * missedHeartbeatsToExpire,
                .copiedRowDelay = copiedRowDelay,
                .isHarmless = [this](const auto& row) { return isHarmlessEndpointRow(row); },
                .keepsValues = true },
            .seed = randomSeed() },
        StoreFollower::Callbacks { .changed = [this](const auto& row) { applyEndpointRow(row); },
            .deleted =
                [this](const std::string& key) {
                    if (m_state.endpointRegistry.unlist(EndpointId(key)))
                        logEvent(Event::EndpointUnlisted, { { "endpoint", key } });
                },
            .confirmed = [this](TimePoint at) { m_state.confirmEndpoints(at, bootNow()); },
            .skipPollingFor = [this](TimePoint now) { return skipPollingFor(*m_endpointFollower, now); },
            .hasOtherReader = [this] { return hasOtherReader(); },
            .eraChanged = [this](uint64_t era) { handleStoreEra(era, bootNow()); } });
    m_daemonFollower = std::make_unique<StoreFollower>(m_context,
        StoreFollowerOptions { .store = store,
            .table = daemonTable,
            .wait = daemonLongPollWait,
            .spacing = daemonSpacing,
            .eraReadSpread = rewriteSpread,
            .seed = randomSeed() },
        StoreFollower::Callbacks { .changed = [this](const auto& row) { applyDaemonRow(row); },
            .deleted =
                [this](const std::string& key) {
                    m_roster.forgetRow(key);
                    if (key == m_state.settings.daemon.text())
                        announceAgain(bootNow());
                },
            .confirmed =
                [this](TimePoint) {
                    m_state.knowsDaemons = true;
                    grantInitialQuotas();
                },
            .eraChanged = [this](uint64_t era) { handleStoreEra(era, bootNow()); } });
}

void EdgeDaemon::handleStoreEra(uint64_t era, TimePoint now)
{
    if (era <= m_storeEra)
        return;
    const auto former = std::exchange(m_storeEra, era);
    const bool wasUsed = m_isAnnounced || m_configurationFollower->coveredVersion();
    for (auto* it : { m_configurationFollower.get(), m_endpointFollower.get(), m_daemonFollower.get(),
             m_sharedRowFollower.get() })
        it->enterEra(era, now);
    // A daemon that starts in a later era does not know for how long the store has been back.
    if (wasUsed || era > firstStoreEra)
        m_activeConfiguration.enterEra(now);
    if (!wasUsed)
        return;
    logEvent(Event::StoreEraChanged,
        { { "from", static_cast<int64_t>(former) }, { "to", static_cast<int64_t>(era) } });
    m_state.metrics.count("store_era_changes");
    m_state.rollouts.storeEraChanged();
    m_roster.clear();
    announceAgain(now);
}

void EdgeDaemon::announceAgain(TimePoint now)
{
    m_isAnnounced = false;
    m_nextAnnouncement = now + fromSeconds(toSeconds(rewriteSpread) * m_state.random.fraction());
}

void EdgeDaemon::grantInitialQuotas()
{
    if (m_countsAllUse || m_hasInitialQuotas || !m_state.routes)
        return;
    m_hasInitialQuotas = true;
    const auto now = bootNow();
    const auto& bounds = m_state.settings.bounds;
    const double level
        = bounds.quotaSlackTokens * initialQuotaFraction / static_cast<double>(m_state.peers.knownDaemons());
    for (const auto& organisation : m_state.routes->organisations()) {
        if (organisation.quota)
            m_state.quota(organisation, now).raiseLevelTo(level, now);
    }
}

bool EdgeDaemon::isHarmlessEndpointRow(const platform::StoreRow& row) const
{
    const auto decoded
        = outcomeOf<RoutedEndpoint>([&] { return platform::decodeEndpoint(EndpointId(row.key), row.value); });
    // An invalid entry removes the endpoint.
    const auto* endpoint = std::get_if<RoutedEndpoint>(&decoded);
    return !endpoint || !m_state.endpointRegistry.wouldReturn(*endpoint);
}

void EdgeDaemon::applyEndpointRow(const platform::StoreRow& row)
{
    const EndpointId id(row.key);
    auto decoded = outcomeOf<RoutedEndpoint>([&] { return platform::decodeEndpoint(id, row.value); });
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
        logEvent(Event::EndpointEntryInvalid,
            { { "endpoint", row.key }, { "code", printed(failure->code) }, { "detail", failure->detail } });
        m_state.endpointRegistry.unlist(id);
        return;
    }
    const auto& endpoint = std::get<RoutedEndpoint>(decoded);
    if (m_state.endpointRegistry.list(endpoint))
        logEvent(Event::EndpointListed,
            { { "endpoint", row.key }, { "service", endpoint.service.text() },
                { "slots", static_cast<int64_t>(endpoint.slots) },
                { "draining", static_cast<int64_t>(endpoint.isDraining) },
                { "row_version", static_cast<int64_t>(row.version.number) } });
}

void EdgeDaemon::deleteStaleRow(TimePoint now)
{
    if (m_state.stopRequestedAt || now < m_nextRowDeletion)
        return;
    if (const auto stale = m_roster.nextStale(m_state.peers))
        deleteDaemonRow(*stale);
}

void EdgeDaemon::deleteDaemonRow(const DaemonRoster::Row& row)
{
    if (m_rosterWriter.isBusy())
        return;
    const auto& store = m_state.settings.store;
    m_rosterWriter.send(platform::deleteRowRequest(fmt::format("{}:{}", store.host, store.port), daemonTable,
                            row.daemon, row.version),
        [this, row](bool acknowledged) {
            logEvent(Event::DaemonRowDeleted,
                { { "daemon", row.daemon }, { "row_version", static_cast<int64_t>(row.version) },
                    { "acknowledged", static_cast<int64_t>(acknowledged) } });
            // The row may have another version, which is read later.
            if (acknowledged)
                m_roster.forgetRow(row.daemon);
            else
                m_nextRowDeletion = bootNow() + rowDeletionRetry;
        });
}

void EdgeDaemon::applyDaemonRow(const platform::StoreRow& row)
{
    m_roster.recordRow({ .daemon = row.key, .version = row.version.number });
    const auto address = outcomeOf<platform::Address>([&] { return platform::decodeAddress(row.value); });
    if (const auto* found = std::get_if<platform::Address>(&address))
        m_state.peers.addListed(row.key, found->host, found->port, bootNow());
    else
        logEvent(Event::StoreCallFailed,
            { { "table", daemonTable }, { "detail", std::get<Failure>(address).detail } });
}

void EdgeDaemon::announce(TimePoint now)
{
    if (m_isAnnounced || now < m_nextAnnouncement || m_state.stopRequestedAt)
        return;
    m_nextAnnouncement = now + announceTimeout + announceRetry;
    if (m_announcement)
        m_announcement->close();
    m_announcement = std::make_shared<http::ClientConnection>(m_context);
    const auto& own = m_state.settings;
    m_announcement->connect(tcpEndpoint(own.store), announceTimeout, [this](bool connected) {
        if (!connected) {
            announcementFailed("could not connect");
            return;
        }
        const auto& settings = m_state.settings;
        auto request = platform::writeRowRequest(
            fmt::format("{}:{}", settings.store.host, settings.store.port), daemonTable,
            settings.daemon.text(), fmt::format("{}:{}", settings.ownHost, settings.firstPeerPort));
        m_announcement->exchange(std::move(request), false,
            { .head =
                    [this](const http::HttpResponseHead& head) {
                        m_isAnnounced = head.status == 200;
                        return true;
                    },
                .body = [](std::string_view) {},
                .complete =
                    [this] {
                        m_announcement->close();
                        if (m_isAnnounced)
                            readDaemonsAfterAnnouncement();
                        else
                            announcementFailed("refused");
                    },
                .failed =
                    [this](http::FailurePoint) {
                        announcementFailed("connection closed before the answer was complete");
                    } });
    });
}

void EdgeDaemon::announcementFailed(const std::string& reason)
{
    logEvent(Event::StoreCallFailed, { { "table", daemonTable }, { "detail", reason } });
    // A store that does not accept writes may still list the other daemons.
    startDaemonFollower();
}

void EdgeDaemon::readDaemonsAfterAnnouncement()
{
    // Of two daemons that start at the same time, at least one sees the other, if both read the table after
    // they have written their rows to it.
    if (m_isDaemonFollowerStarted)
        m_daemonFollower->readNow(bootNow());
    else
        startDaemonFollower();
}

void EdgeDaemon::startDaemonFollower()
{
    if (!std::exchange(m_isDaemonFollowerStarted, true))
        m_daemonFollower->start();
}

void EdgeDaemon::recordSecondResponse(const http::HttpRequest& request, int status)
{
    m_state.metrics.count("second_responses_dropped");
    logEvent(Event::SecondResponseDropped,
        { { "target", request.target }, { "status", static_cast<int64_t>(status) } });
}

void EdgeDaemon::recordConnectionEnd(const http::ConnectionEnd& end, std::string_view peer)
{
    m_state.metrics.count(fmt::format("connections_ended_{}", nameOf(end.reason)));
    const bool isLost = end.reason != http::CloseReason::Client
        && (end.unansweredBytes > 0 || end.unsentBytes > 0 || end.hadOpenRequest);
    if (isLost)
        m_state.metrics.count("connections_ended_unanswered");
    if (!isLost && end.reason != http::CloseReason::Stop)
        return;
    logEvent(Event::ConnectionEnded,
        { { "reason", std::string(nameOf(end.reason)) }, { "peer", std::string(peer) },
            { "requests", static_cast<int64_t>(end.requests) },
            { "unanswered_bytes", static_cast<int64_t>(end.unansweredBytes) },
            { "unsent_bytes", static_cast<int64_t>(end.unsentBytes) },
            { "open_request", static_cast<int64_t>(end.hadOpenRequest) },
            { "waited_ms", millisecondsOf(end.waitedFor) }, { "closing_ms", millisecondsOf(end.closingFor) },
            { "dropped_after_ms", end.droppedAfter ? millisecondsOf(*end.droppedAfter) : -1 },
            { "longest_loop_delay_ms", millisecondsOf(m_loopWatch.expectedDelay()) } });
}

bool EdgeDaemon::isReady(TimePoint now) const
{
    // A daemon that verifies keys only by what it reads from peers serves the requests that it gets, but the
    // load balancer should send new connections to daemons that follow the store.
    const auto followedAt = m_configurationFollower->confirmedAt();
    return !m_state.stopRequestedAt && m_state.endpointsConfirmedAt && m_state.knowsDaemons
        && m_state.isConfigurationSettled && !m_state.isConfigurationOutdated && m_state.canVerifyKeys(now)
        && followedAt && m_state.verifiesKeysAsOf(*followedAt, now);
}

void EdgeDaemon::serveReadiness()
{
    m_readinessServer = std::make_unique<http::HttpServer>(m_context,
        http::HttpServerOptions { .address = tcpEndpoint(m_state.settings.readiness),
            .handler =
                [this](std::shared_ptr<http::Exchange> exchange) {
                    const int status = isReady(bootNow()) ? 200 : 503;
                    exchange->respond(status, http::reasonPhrase(status), {}, "");
                },
            .malformed = {} });
}

void EdgeDaemon::serveMetrics()
{
    m_metricsServer = std::make_unique<http::HttpServer>(m_context,
        http::HttpServerOptions { .address = tcpEndpoint(m_state.settings.metrics),
            .handler =
                [this](std::shared_ptr<http::Exchange> exchange) {
                    exchange->respond(200, "OK", {}, m_state.metrics.text(gauges(bootNow())));
                },
            .malformed = {} });
}

void EdgeDaemon::awaitSignal()
{
    m_signals.async_wait([this](std::error_code ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP)
            m_reload();
        else
            stop(bootNow());
        awaitSignal();
    });
}

void EdgeDaemon::stop(TimePoint now)
{
    if (m_state.stopRequestedAt)
        return;
    m_state.stopRequestedAt = now;
    // The signal has waited for the event loop, and before that for a process that stood still.
    const auto signalledAt = std::min(now, m_signalTime.first().value_or(now));
    const auto& grace = m_state.settings.bounds.stopGrace;
    m_state.graceEndsAt = signalledAt + grace
        - std::min<Duration>(grace / 2, m_loopWatch.overdueTime(signalledAt, heartbeatPeriod));
    for (auto* server : { m_callerServer.get(), m_peerServer.get() })
        server->closeAfterResponses();
    logEvent(Event::DrainStarted,
        { { "open_requests", static_cast<int64_t>(m_state.requests.size()) },
            { "grace_left_ms", millisecondsOf(*m_state.graceEndsAt - now) } });
    if (const auto own = m_roster.ownRow())
        deleteDaemonRow(*own);
    // Iterates over a copy, because a request may end.
    for (const auto requests = m_state.requests; const auto& [number, request] : requests)
        request->handleStop(now);
    schedulePeriodic(m_stopTimer, stopCheckPeriod, [this] { scheduleStopCheck(bootNow()); });
    scheduleStopCheck(now);
}

StopSchedule EdgeDaemon::stopSchedule() const
{
    return { .grace = m_state.settings.bounds.stopGrace,
        .graceEndsAt = *m_state.graceEndsAt,
        .expectedDelay = m_loopWatch.expectedDelay() };
}

void EdgeDaemon::scheduleStopCheck(TimePoint now)
{
    const bool isLast = stopSchedule().isLastCheck(now);
    if (std::exchange(m_isStopCheckPending, true) && !isLast)
        return;
    m_loop.whenIdle(
        [this] {
            m_isStopCheckPending = false;
            checkStop(bootNow());
        },
        // The last check comes before all other tasks.
        isLast ? TimePoint::min() : now + maxCloseDelay);
}

void EdgeDaemon::checkStop(TimePoint now)
{
    const auto elapsed = now - *m_state.stopRequestedAt;
    const bool isLast = stopSchedule().isLastCheck(now);
    // Callers then open their next connection to another daemon instead of being refused here.
    const std::array servers { m_callerServer.get(), m_peerServer.get() };
    if (elapsed >= closeIdleAfterStop) {
        for (auto* it : servers)
            it->closeIdle(now);
    }
    if (elapsed < acceptAfterStop && !isLast)
        return;
    if (isLast)
        endRequests(now);
    // From now on each request is refused, so that there is no reason to wait for the rest of one.
    auto headers = platform::retryAfterHeaders(drainingRetryAfter);
    m_callerServer->refuseUnfinished(headers, now);
    addForwardingFields(headers, ForwardedAnswer { .wasNotExecuted = true });
    m_peerServer->refuseUnfinished(headers, now);
    if (!m_state.requests.empty() && !isLast)
        return;
    for (auto* it : servers) {
        it->stopAccepting();
        it->closeIdle(now);
    }
    const bool isConnected = std::ranges::any_of(servers, [](auto* it) { return it->connections() > 0; });
    if (isConnected && !isLast)
        return;
    if (isLast)
        endRequests(now);
    m_loop.stop();
}

void EdgeDaemon::endRequests(TimePoint now)
{
    for (const auto requests = m_state.requests; const auto& [number, request] : requests)
        request->endForStop(now);
}

} // namespace lentilbay::edge
