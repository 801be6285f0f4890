// What an edge daemon tells the others and takes from them: loads, quotas, and views of the store.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Edge/EdgeRequest.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

namespace ip = asio::ip;

/// A view of the store that is older than this part of the tightest bound makes a daemon read by itself. The
/// reader's own is up to twice its wait old, and telling it takes up to three status periods.
constexpr double oldestRestingPart = 0.8;
/// The store may keep a call for this part of the tightest bound: a key that was taken away and endpoints
/// that leave must be noticed well within it.
constexpr double feedWaitPart = 0.3;
/// A resting daemon reads what peers have seen no more often than this part of the tightest bound: while a
/// fleet starts, entries change all the time.
constexpr double restingSpacingPart = 0.4;

Duration tightestBound(const platform::RuleBounds& bounds)
{
    return std::min({ bounds.endpointDrain, bounds.configurationAge, bounds.keyRevocation });
}

} // namespace

Duration EdgeDaemon::feedWait() const
{
    return fromSeconds(toSeconds(tightestBound(m_state.settings.bounds)) * feedWaitPart);
}

Duration EdgeDaemon::restingSpacing() const
{
    return fromSeconds(toSeconds(tightestBound(m_state.settings.bounds)) * restingSpacingPart);
}

void EdgeDaemon::receivePeers()
{
    m_peerSocket.async_receive_from(asio::buffer(m_datagram), m_sender, [this](std::error_code ec, size_t n) {
        if (ec == asio::error::operation_aborted)
            return;
        if (!ec) {
            const auto decoded = outcomeOf<PeerStatus>(
                [&] { return decodePeerStatus(std::string_view(m_datagram.data(), n)); });
            if (const auto* status = std::get_if<PeerStatus>(&decoded))
                peerHeard(*status, bootNow());
            else
                m_state.metrics.count("peer_datagrams_invalid");
        }
        // An error here is a port that nobody listens on; that peer falls silent by itself.
        receivePeers();
    });
}

void EdgeDaemon::peerHeard(const PeerStatus& status, TimePoint now)
{
    const auto known = m_state.peers.peers().find(status.daemon);
    const bool wasSilent = known == m_state.peers.peers().end() || known->second.isSilent;
    if (!m_state.peers.heard(status, m_sender.address().to_string(), m_sender.port(), now))
        return;
    if (wasSilent)
        logEvent(Event::PeerSeen,
            { { "daemon", status.daemon }, { "incarnation", static_cast<int64_t>(status.incarnation) } });
    takeViews(status, now);
    m_state.book.heardLoads(status.daemon, status.loads, now);
    takeQuotas(status, now);
}

void EdgeDaemon::takeQuotas(const PeerStatus& status, TimePoint now)
{
    if (!m_state.routes)
        return;
    const bool adopts
        = status.countsAllUse && !m_countsAllUse && status.levels.size() == status.quotas.size();
    for (const auto& organisation : m_state.routes->organisations()) {
        if (!organisation.quota)
            continue;
        auto& quota = m_state.quota(organisation, now);
        const auto it = std::ranges::find(
            status.quotas, hashOf(organisation.name.text()), &PeerStatus::QuotaUse::organisation);
        if (adopts) {
            const auto i = static_cast<size_t>(it - status.quotas.begin());
            if (it == status.quotas.end())
                quota.adopt(organisation.quota->burstTokens, 0, now);
            else
                quota.adopt(status.levels[i].level, status.levels[i].inWindow, now);
        }
        if (it != status.quotas.end())
            quota.heard(status.daemon,
                { .incarnation = status.incarnation,
                    .admittedTotal = it->admittedTotal,
                    .countsAllUse = status.countsAllUse },
                now);
    }
    m_countsAllUse = m_countsAllUse || adopts;
}

bool EdgeDaemon::mayRest(const StoreFollower& follower, TimePoint now) const
{
    const auto confirmedAt = follower.confirmedAt();
    const auto oldest = fromSeconds(toSeconds(tightestBound(m_state.settings.bounds)) * oldestRestingPart);
    return confirmedAt && now - *confirmedAt <= oldest && isHelper();
}

bool EdgeDaemon::isHelper() const
{
    // The first by name of those that are heard reads for its data centre.
    const auto& own = m_state.settings;
    return std::ranges::any_of(m_state.peers.peers(), [&](const auto& it) {
        const auto& [name, peer] = it;
        return !peer.isSilent && !peer.isLeaving && peer.dataCentre == own.dataCentre.text()
            && name < own.daemon.text();
    });
}

void EdgeDaemon::takeViews(const PeerStatus& status, TimePoint now)
{
    const TimePoint echoed { Duration(status.echoedMicroseconds) };
    if (!status.views || status.echoedIncarnation != m_incarnation || echoed > now)
        return;
    // The peer wrote this after it had our status of the echoed time, whatever delayed either on the way.
    const auto take = [&](StoreFollower& follower, const TableView& view) {
        if (view.ageMicroseconds >= 0)
            follower.peerConfirmed(
                view.coveredVersion, view.changedVersion, echoed - Duration(view.ageMicroseconds));
    };
    take(*m_configuration, status.views->configuration);
    take(*m_endpoints, status.views->endpoints);
}

TableView EdgeDaemon::viewOf(const StoreFollower& follower, TimePoint now)
{
    const auto confirmedAt = follower.confirmedAt();
    return { .coveredVersion = follower.coveredVersion(),
        .changedVersion = follower.changedVersion(),
        .ageMicroseconds = confirmedAt ? (now - *confirmedAt).count() : -1 };
}

Duration EdgeDaemon::periodTo(Place place) const
{
    if (m_state.peers.known() <= smallFleet || place == Place::OwnDataCentre)
        return peerPeriod;
    return place == Place::OwnRegion ? otherDataCentrePeriod : otherRegionPeriod;
}

std::string_view EdgeDaemon::sentBytesName(Place place)
{
    if (place == Place::OwnDataCentre)
        return "peer_bytes_sent_in_data_centre";
    return place == Place::OwnRegion ? "peer_bytes_sent_in_region" : "peer_bytes_sent_between_regions";
}

PeerStatus EdgeDaemon::makeStatus(TimePoint now)
{
    const auto& own = m_state.settings;
    PeerStatus out { .daemon = own.daemon.text(),
        .incarnation = m_incarnation,
        .sequence = m_sequence,
        .dataCentre = own.dataCentre.text(),
        .isLeaving = m_state.stopRequestedAt.has_value() };
    for (const auto& [id, endpoint] : m_state.book.all()) {
        if (endpoint->ownInFlight() > 0)
            out.loads.push_back({ .endpoint = hashOf(id.text()),
                .inFlight = static_cast<uint16_t>(endpoint->ownInFlight()) });
    }
    for (auto& [name, quota] : m_state.quotas())
        out.quotas.push_back({ .organisation = hashOf(name.text()), .admittedTotal = quota.admittedTotal() });
    m_countsAllUse = m_countsAllUse || now - m_startedAt > m_state.settings.bounds.quotaWindow;
    out.countsAllUse = m_countsAllUse;
    return out;
}

void EdgeDaemon::sendStatuses()
{
    const auto now = bootNow();
    for (const auto& it : m_state.peers.step(now))
        logEvent(Event::PeerSilent, { { "daemon", it } });
    m_state.book.forgetStaleLoads(now);
    ++m_sequence;
    auto status = makeStatus(now);
    std::erase_if(m_nextStatus, [&](const auto& it) { return !m_state.peers.peers().contains(it.first); });
    for (const auto& [name, peer] : m_state.peers.peers()) {
        auto& next = m_nextStatus[name];
        if (now < next)
            continue;
        const auto place = m_state.places.placeOf(DataCentreId(peer.dataCentre));
        const auto period = periodTo(place);
        next = now + period - peerPeriod / 2;
        status.periodMilliseconds = static_cast<uint32_t>(period / std::chrono::milliseconds(1));
        status.echoedMicroseconds = peer.sentMicroseconds;
        status.echoedIncarnation = peer.incarnation;
        const auto at = bootNow();
        status.sentMicroseconds = at.time_since_epoch().count();
        status.views.reset();
        if (place == Place::OwnDataCentre)
            status.views
                = { .configuration = viewOf(*m_configuration, at), .endpoints = viewOf(*m_endpoints, at) };
        status.levels.clear();
        if (m_countsAllUse && !peer.countsAllUse) {
            for (auto& [organisation, quota] : m_state.quotas())
                status.levels.push_back({ .level = static_cast<float>(quota.level(now)),
                    .inWindow = static_cast<float>(quota.inWindow(now)) });
        }
        std::error_code ec;
        const auto host = ip::make_address(peer.host, ec);
        if (ec)
            continue;
        const auto datagram = encodePeerStatus(status);
        m_peerSocket.send_to(asio::buffer(datagram), { host, peer.port }, 0, ec);
        if (ec)
            m_state.metrics.count("peer_datagrams_unsent");
        else
            m_state.metrics.count(sentBytesName(place), datagram.size());
    }
}

void EdgeDaemon::checkRequests(TimePoint now)
{
    // A copy: a request that moves on may end.
    const auto requests = m_state.requests;
    for (const auto& [number, request] : requests)
        request->checkProgress(now);
}

} // namespace lentilbay::edge
