// Sends and processes heartbeats between edge daemons: loads, quotas and views of the store.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Edge/EdgeRequest.h"
#include "lentilbay/Edge/ReaderWatch.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <iterator>

namespace lentilbay::edge {
namespace {

namespace ip = asio::ip;

/// A daemon reads the store itself if its view is older than this fraction of the tightest bound, or if the
/// reader's view is too old: that is up to twice its long-poll wait old, and reporting it takes up to three
/// heartbeat periods.
constexpr double maxPassiveAgeFraction = 0.8;
constexpr Duration maxReportingTime = 3 * heartbeatPeriod;
/// The store may hold a call for this fraction of the tightest bound: revoked keys and draining endpoints
/// must be noticed well within it.
constexpr double longPollFraction = 0.3;
/// The same in a large fleet, whose few readers make few of the calls.
constexpr double longPollFractionInLargeFleet = 0.25;
/// A passive daemon reads changes that peers have seen no more often than this fraction of the tightest
/// bound: while a fleet starts, entries change all the time.
constexpr double passiveSpacingFraction = 0.4;
Duration tightestBound(const platform::RuleBounds& bounds)
{
    return std::min({ bounds.endpointDrain, bounds.configurationAge, bounds.keyRevocation });
}

/// Returns when the tokens were counted that a peer states in a level.
SharedQuota::WindowParts windowPartsOf(const PeerHeartbeat::QuotaLevel& level)
{
    SharedQuota::WindowParts out;
    std::ranges::copy(level.inParts, out.begin());
    // An older build does not state the parts; its tokens are taken to be spread evenly.
    if (std::ranges::count(level.inParts, 0.F) == std::ssize(level.inParts))
        out.fill(level.inWindow / static_cast<double>(out.size()));
    return out;
}

} // namespace

Duration EdgeDaemon::longPollWait() const
{
    const double fraction = m_summaries.isActive() ? longPollFractionInLargeFleet : longPollFraction;
    return fromSeconds(toSeconds(tightestBound(m_state.settings.bounds)) * fraction);
}

Duration EdgeDaemon::passiveSpacing() const
{
    return fromSeconds(toSeconds(tightestBound(m_state.settings.bounds)) * passiveSpacingFraction);
}

void EdgeDaemon::receiveHeartbeats()
{
    m_peerSocket.async_receive_from(asio::buffer(m_datagram), m_sender, [this](std::error_code ec, size_t n) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec)
            handleDatagram({ m_datagram.data(), n }, bootNow());
        // Errors are reported for a port that nobody listens on; that peer is then detected as silent.
        receiveHeartbeats();
    });
}

void EdgeDaemon::handleDatagram(std::string_view datagram, TimePoint now)
{
    if (isRolloutMessage(datagram)) {
        handleRolloutMessage(datagram, now);
        return;
    }
    if (isStreamMessage(datagram)) {
        const auto decoded = outcomeOf<StreamMessage>([&] { return decodeStreamMessage(datagram); });
        if (const auto* message = std::get_if<StreamMessage>(&decoded)) {
            handleStreamMessage(*message, revisionOfStreamMessage(datagram), now);
            return;
        }
    } else {
        const auto decoded = outcomeOf<PeerHeartbeat>([&] { return decodePeerHeartbeat(datagram); });
        if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&decoded)) {
            handleHeartbeat(*heartbeat, now);
            return;
        }
    }
    m_state.metrics.count("peer_datagrams_invalid");
}

void EdgeDaemon::handleStreamMessage(const StreamMessage& message, WireRevision sender, TimePoint now)
{
    if (message.kind != StreamMessage::Kind::Query) {
        m_state.streams.apply(message, now);
        return;
    }
    auto origin = m_state.streams.known(message.stream);
    if (!origin) {
        if (const auto version = m_state.soleVersionOf(message.service, now))
            origin = { .service = message.service, .version = *version };
    }
    const auto answer = encodeStreamMessage(
        { .kind = StreamMessage::Kind::Answer, .stream = message.stream, .origin = origin }, sender);
    std::error_code ec;
    m_peerSocket.send_to(asio::buffer(answer), m_sender, 0, ec);
    m_state.metrics.count(ec ? "peer_datagrams_unsent" : "stream_origin_bytes_sent", ec ? 1 : answer.size());
}

void EdgeDaemon::sendStreamMessage(const std::string& daemon, const StreamMessage& message)
{
    const auto it = m_state.peers.peers().find(daemon);
    if (it == m_state.peers.peers().end())
        return;
    if (message.kind == StreamMessage::Kind::Query)
        hastenPoll();
    const auto datagram = encodeStreamMessage(message, it->second.revision);
    if (sendDatagram(it->second, datagram))
        m_state.metrics.count("stream_origin_bytes_sent", datagram.size());
}

bool EdgeDaemon::sendDatagram(const PeerTable::Peer& peer, std::string_view datagram)
{
    std::error_code ec;
    const auto host = ip::make_address(peer.host, ec);
    if (ec)
        return false;
    m_peerSocket.send_to(asio::const_buffer(datagram.data(), datagram.size()), { host, peer.port }, 0, ec);
    if (ec)
        m_state.metrics.count("peer_datagrams_unsent");
    return !ec;
}

void EdgeDaemon::handleHeartbeat(const PeerHeartbeat& heartbeat, TimePoint now)
{
    const auto known = m_state.peers.peers().find(heartbeat.daemon);
    const bool wasSilent = known == m_state.peers.peers().end() || known->second.isSilent;
    const bool wasKnown
        = known != m_state.peers.peers().end() && known->second.incarnation == heartbeat.incarnation;
    const bool changes = !wasSilent
        && (known->second.isPartitioned != heartbeat.isPartitioned
            || known->second.isLeaving != heartbeat.isLeaving
            || known->second.revision != heartbeat.revision);
    if (!m_state.peers.recordHeartbeat(heartbeat, m_sender.address().to_string(), m_sender.port(), now))
        return;
    if (heartbeat.echoedIncarnation == m_incarnation)
        m_state.peers.recordEcho(heartbeat.daemon, TimePoint(Duration(heartbeat.echoedMicroseconds)));
    if (wasSilent)
        logEvent(Event::PeerSeen,
            { { "daemon", heartbeat.daemon }, { "incarnation", static_cast<int64_t>(heartbeat.incarnation) },
                { "wire_revision", static_cast<int64_t>(heartbeat.revision) } });
    if (changes) {
        m_state.relays.update(m_state.peers);
        m_state.links.setPeers(m_state.relays.size());
    }
    // Version 0 of a build that states it says that none is in force there.
    if (heartbeat.revision >= WireRevision::ConfigurationVersion) {
        m_catchUp.recordPeer(heartbeat.daemon,
            m_state.topology.localityOf(DataCentreId(heartbeat.dataCentre)), heartbeat.configurationVersion,
            now);
        catchUpWithPeers(now);
    }
    applyPeerViews(heartbeat, now);
    const bool isSummarised = m_summaries.isSummarised(heartbeat, now);
    if (heartbeat.hasSummary) {
        applySummary(heartbeat, now);
    } else {
        m_summaries.recordPeer(heartbeat, wasKnown, now);
        if (!isSummarised)
            m_state.endpointRegistry.updatePeerLoads(heartbeat.daemon, heartbeat.loads, now);
    }
    applyPeerQuotas(heartbeat, !heartbeat.hasSummary && !isSummarised, now);
    applyPeerSignals(heartbeat, now);
    m_endpointReports.apply(heartbeat, m_incarnation, now);
    applyPeerCrashTriggers(heartbeat, now);
    if (m_endpointReports.hasNews(m_summaries.isAggregator()))
        hastenPoll();
}

void EdgeDaemon::applyPeerSignals(const PeerHeartbeat& heartbeat, TimePoint now)
{
    const TimePoint echoed { Duration(heartbeat.echoedMicroseconds) };
    if (heartbeat.signals.empty() || heartbeat.echoedIncarnation != m_incarnation || echoed > now)
        return;
    for (const auto& it : m_state.endpointRegistry.applySignalReports(heartbeat.signals, echoed, now))
        m_state.logSignals(it, heartbeat.daemon);
    // What failed right after it had rejected requests did not fail because of a request that it ran.
    for (const auto& it : heartbeat.signals) {
        if (it.rejectedAgeMicroseconds >= 0)
            m_state.crashes.dropBreaksAt(it.endpoint);
    }
}

std::vector<std::string> EdgeDaemon::aliveDaemons() const
{
    std::vector<std::string> out;
    for (const auto& [name, peer] : m_state.peers.peers()) {
        if (!peer.isSilent && !peer.isLeaving)
            out.push_back(name);
    }
    return out;
}

void EdgeDaemon::updateSignals(TimePoint now)
{
    if (!m_state.endpointRegistry.hasSignals() && !m_hadSignals)
        return;
    m_hadSignals = m_state.endpointRegistry.hasSignals();
    const auto& own = m_state.settings;
    auto daemons = m_state.peers.sendingDaemons(now);
    daemons.push_back({ .name = own.daemon.text(), .dataCentre = own.dataCentre });
    m_state.endpointRegistry.updateSignals(own.daemon.text(), std::move(daemons), now);
}

void EdgeDaemon::applyPeerQuotas(const PeerHeartbeat& heartbeat, bool isCounted, TimePoint now)
{
    if (!m_state.routes)
        return;
    // The first total after a time in which the daemon's use was part of a sum includes what the sum counted.
    const bool isNew = isCounted && m_summarisedPeers.erase(heartbeat.daemon) == 0;
    const bool adopts = !m_countsAllUse && heartbeat.statesUseTo(m_incarnation);
    bool hasAdoptedAll = adopts;
    for (const auto& organisation : m_state.routes->organisations()) {
        if (!organisation.quota)
            continue;
        auto& quota = m_state.quota(organisation, now);
        const auto it = std::ranges::find(
            heartbeat.quotas, hashOf(organisation.name.text()), &PeerHeartbeat::QuotaUse::organisation);
        if (adopts) {
            const auto i = static_cast<size_t>(it - heartbeat.quotas.begin());
            const bool hasAdopted = it == heartbeat.quotas.end()
                ? quota.adopt(m_state.quotaLimits(*organisation.quota).burstTokens, {}, now)
                : quota.adopt(heartbeat.levels[i].level, windowPartsOf(heartbeat.levels[i]), now);
            hasAdoptedAll = hasAdoptedAll && hasAdopted;
        }
        if (it == heartbeat.quotas.end())
            continue;
        const QuotaReport report { .incarnation = heartbeat.incarnation,
            .admittedTotal = it->admittedTotal,
            .countsAllUse = heartbeat.countsAllUse };
        if (isNew)
            m_summaries.recordUse(
                heartbeat, it->organisation, quota.applyReport(heartbeat.daemon, report, now), now);
        else
            quota.skipReport(heartbeat.daemon, report);
    }
    m_countsAllUse = m_countsAllUse || hasAdoptedAll;
}

Duration EdgeDaemon::skipPollingFor(const StoreFollower& follower, TimePoint now) const
{
    if (!hasOtherReader())
        return Duration::zero();
    const ReaderWatch watch { .maxViewAge
        = fromSeconds(toSeconds(tightestBound(m_state.settings.bounds)) * maxPassiveAgeFraction),
        .maxReaderAge = 2 * longPollWait() + maxReportingTime };
    // No reader may have been heard yet.
    const auto readerAt = m_awaitsReader ? now : follower.peerContactAt();
    return watch.passiveTime(follower.confirmedAt(), readerAt, now);
}

bool EdgeDaemon::hasOtherReader() const
{
    // Aggregators hear and tell all daemons of their data centre often. In a small fleet, the non-silent
    // daemon with the lexicographically smallest name reads for its data centre.
    if (m_summaries.isActive())
        return m_awaitsReader || (!m_summaries.isAggregator() && m_summaries.hasOtherAggregator());
    const auto& own = m_state.settings;
    return std::ranges::any_of(m_state.peers.peers(), [&](const auto& it) {
        const auto& [name, peer] = it;
        return !peer.isSilent && !peer.isLeaving && peer.dataCentre == own.dataCentre.text()
            && name < own.daemon.text();
    });
}

bool EdgeDaemon::writesCheckpoints() const
{
    if (m_summaries.isActive())
        return m_summaries.isFirstAggregator();
    const auto& own = m_state.settings;
    // A daemon that leaves writes only where no other one can.
    const auto rankOf
        = [](bool isLeaving, const std::string& daemon) { return std::pair(isLeaving, hashOf(daemon)); };
    const auto ownRank = rankOf(m_state.stopRequestedAt.has_value(), own.daemon.text());
    return std::ranges::none_of(m_state.peers.peers(), [&](const auto& it) {
        const auto& [name, peer] = it;
        return !peer.isSilent && peer.dataCentre == own.dataCentre.text()
            && rankOf(peer.isLeaving, name) < ownRank;
    });
}

void EdgeDaemon::applyPeerViews(const PeerHeartbeat& heartbeat, TimePoint now)
{
    const TimePoint echoed { Duration(heartbeat.echoedMicroseconds) };
    if (!heartbeat.views || heartbeat.echoedIncarnation != m_incarnation || echoed > now)
        return;
    // The peer wrote this after it had received our heartbeat with the echoed time, however long either was
    // delayed in transit.
    const auto era = heartbeat.views->era;
    handleStoreEra(era, now);
    const auto take = [&](StoreFollower& follower, const TableView& table) {
        const auto view = configurationViewOf(table, era);
        if (view)
            follower.peerConfirmed(view->covered, view->changed, echoed - view->age);
        return view;
    };
    if (const auto view = take(*m_configurationFollower, heartbeat.views->configuration);
        view && m_configurationViews.recordView(view->covered, view->changed, echoed - view->age))
        confirmConfiguration(echoed - view->age);
    take(*m_endpointFollower, heartbeat.views->endpoints);
}

TableView EdgeDaemon::viewOf(const StoreFollower& follower, TimePoint now)
{
    const auto confirmedAt = follower.confirmedAt();
    const auto covered = follower.coveredVersion();
    if (!covered || !confirmedAt)
        return {};
    return { .coveredVersion = covered->number,
        .changedVersion = follower.changedVersion().number,
        .ageMicroseconds = (now - *confirmedAt).count() };
}

std::string_view EdgeDaemon::sentBytesCounter(Locality locality)
{
    if (locality == Locality::OwnDataCentre)
        return "peer_bytes_sent_in_data_centre";
    return locality == Locality::OwnRegion ? "peer_bytes_sent_in_region" : "peer_bytes_sent_between_regions";
}

PeerHeartbeat EdgeDaemon::makeHeartbeat(TimePoint now)
{
    const auto& own = m_state.settings;
    PeerHeartbeat out { .daemon = own.daemon.text(),
        .incarnation = m_incarnation,
        .sequence = m_sequence,
        .dataCentre = own.dataCentre.text(),
        .isLeaving = m_state.stopRequestedAt.has_value(),
        .configurationVersion = m_state.routes ? m_state.routes->version() : 0 };
    for (const auto& [id, endpoint] : m_state.endpointRegistry.all()) {
        if (endpoint->ownInFlight() > 0)
            out.loads.push_back({ .endpoint = hashOf(id.text()),
                .inFlight = static_cast<uint16_t>(endpoint->ownInFlight()) });
    }
    for (auto& [name, quota] : m_state.quotas())
        out.quotas.push_back({ .organisation = hashOf(name.text()), .admittedTotal = quota.admittedTotal() });
    out.signals = m_state.endpointRegistry.signalReports(now);
    const auto links = m_state.links.state();
    out.isPartitioned = links == LinkState::Partitioned || links == LinkState::NoneReachable;
    const auto confirmedAt = m_state.endpointsConfirmedAt;
    // Peers then send neither requests nor keys to be verified through this daemon.
    out.isOutdated = !confirmedAt || now - *confirmedAt > m_state.settings.bounds.endpointDrain
        || !m_state.canVerifyKeys(now + maxReportingTime);
    m_countsAllUse = m_countsAllUse || now - m_startedAt > m_state.settings.bounds.quotaWindow;
    out.countsAllUse = m_countsAllUse;
    out.capacity = m_summaries.capacity();
    return out;
}

void EdgeDaemon::addressHeartbeat(PeerHeartbeat& heartbeat, const PeerTable::Peer& peer, TimePoint now)
{
    heartbeat.echoedMicroseconds = peer.sentMicroseconds;
    heartbeat.echoedIncarnation = peer.incarnation;
    heartbeat.sentMicroseconds = now.time_since_epoch().count();
    heartbeat.views.reset();
    if (m_state.topology.localityOf(DataCentreId(peer.dataCentre)) == Locality::OwnDataCentre)
        heartbeat.views = { .era = m_storeEra,
            .configuration = configurationView(now),
            .endpoints = viewOf(*m_endpointFollower, now) };
    heartbeat.levels.clear();
    if (m_countsAllUse && !peer.countsAllUse) {
        for (auto& [organisation, quota] : m_state.quotas()) {
            PeerHeartbeat::QuotaLevel level { .level = static_cast<float>(quota.fleetLevel(now)),
                .inWindow = static_cast<float>(quota.admittedInWindow(now)) };
            std::ranges::transform(quota.windowParts(now), level.inParts.begin(),
                [](double tokens) { return static_cast<float>(tokens); });
            heartbeat.levels.push_back(level);
        }
    }
}

void EdgeDaemon::sendHeartbeats()
{
    const auto now = bootNow();
    for (const auto& it : m_state.peers.detectSilent(now))
        logEvent(Event::PeerSilent, { { "daemon", it } });
    m_state.endpointRegistry.dropStaleLoads(now);
    observeLinks(now);
    if (hasUrgentWork())
        hastenPoll();
    updateSignals(now);
    m_endpointReports.update(now);
    catchUpWithPeers(now);
    catchUpEndpoints(now);
    catchUpConfigurationView(now);
    m_state.versions.update(m_state.endpointRegistry, now);
    const auto daemons = aliveDaemons();
    m_state.streams.setDaemons(m_state.settings.daemon.text(), daemons);
    updateRollouts(daemons);
    updateCrashTriggers(daemons, now);
    const auto participants = m_state.peers.quotaParticipants(now);
    for (auto& [name, quota] : m_state.quotas())
        quota.refresh(participants, now);
    updateAggregators(now);
    ++m_sequence;
    const auto own = makeHeartbeat(now);
    m_quotaCheckpoints.update(m_countsAllUse, writesCheckpoints(), now);
    m_summaries.recordOwn(own, now);
    const auto triggers = m_state.crashes.reports(now);
    std::erase_if(
        m_nextHeartbeatAt, [&](const auto& it) { return !m_state.peers.peers().contains(it.first); });
    std::map<PeerSummaries::Content, std::string> sections;
    std::map<PeerSummaries::Content, std::vector<EndpointFailureReport>> failures;
    for (const auto& [name, peer] : m_state.peers.peers()) {
        std::vector<TriggerReport> addressed;
        std::ranges::copy_if(triggers, std::back_inserter(addressed),
            [this, &daemon = name](const auto& it) { return m_state.crashes.isAddressedTo(it, daemon); });
        const auto locality = m_state.topology.localityOf(DataCentreId(peer.dataCentre));
        auto route = m_summaries.routeTo(name, peer);
        if (!route && !addressed.empty())
            route = { .period = directHeartbeatPeriod(locality) };
        if (!route)
            continue;
        auto& next = m_nextHeartbeatAt[name];
        if (now < next)
            continue;
        next = now + route->period - heartbeatPeriod / 2;
        auto heartbeat = own;
        heartbeat.periodMilliseconds = static_cast<uint32_t>(route->period / std::chrono::milliseconds(1));
        heartbeat.triggers = std::move(addressed);
        const auto [reported, isFirst] = failures.try_emplace(route->content);
        if (isFirst)
            reported->second = m_endpointReports.reports(route->content, now);
        heartbeat.failures = reported->second;
        addressHeartbeat(heartbeat, peer, bootNow());
        std::string_view shared;
        if (route->content != PeerSummaries::Content::Own) {
            auto& encoded = sections[route->content];
            if (encoded.empty())
                encoded = encodeSections(route->content, now);
            shared = encoded;
            heartbeat.includedSequence = m_summaries.includedSequence(name, now);
            heartbeat.loads.clear();
            if (heartbeat.levels.empty())
                heartbeat.quotas.clear();
        }
        const auto datagram = encodePeerHeartbeat(heartbeat, peer.revision, shared);
        if (sendDatagram(peer, datagram)) {
            m_state.metrics.count("peer_datagrams_sent");
            m_state.metrics.count(sentBytesCounter(locality), datagram.size());
        }
    }
}

void EdgeDaemon::checkStalledRequests(TimePoint now)
{
    // Iterates over a copy, because a request may end while it is checked.
    const auto requests = m_state.requests;
    for (const auto& [number, request] : requests)
        request->checkProgress(now);
}

} // namespace lentilbay::edge
