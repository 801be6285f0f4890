// Judges the daemon's links to the endpoints.
#include "lentilbay/Edge/LinkMonitor.h"

#include <algorithm>
#include <utility>

namespace lentilbay::edge {
namespace {

/// So many endpoints, or all if there are fewer, must be lost at once.
constexpr size_t endpointsOfPartition = 3;
/// So many probes to endpoints that had not failed, or all if there are fewer, must fail before the loss of
/// new connections alone is assumed: if a quarter of the endpoints has crashed, this happens by chance in 4
/// of 1,000 cases.
constexpr size_t failedProbesOfPartition = 4;
/// Losses and failures to connect are evidence for this long.
constexpr Duration evidenceLifetime = std::chrono::seconds(2);
/// On a daemon with traffic, some endpoint is heard within this time.
constexpr Duration heardLifetime = std::chrono::milliseconds(600);
/// Time between attempts to connect while there is a suspicion, and while the links are not up.
constexpr Duration suspicionProbePeriod = std::chrono::milliseconds(200);
constexpr Duration probePeriod = std::chrono::milliseconds(500);
/// The number of endpoints that are tried at a time. If no daemon reaches any, they may be back one by one.
constexpr size_t suspicionProbes = 4;
constexpr size_t probes = 1;
constexpr size_t probesOfNoneReachable = 4;
/// Links that go down again within this time must be up for longer before they are used again.
constexpr Duration flapWindow = std::chrono::seconds(10);
constexpr Duration minStableTime = std::chrono::milliseconds(500);
constexpr Duration maxStableTime = std::chrono::seconds(4);

size_t lossThreshold(const LinkEvidence& evidence)
{
    return std::min(endpointsOfPartition, evidence.endpoints);
}

} // namespace

SendPath sendPath(LinkState state, bool hasConnection, bool hasPeer)
{
    switch (state) {
    case LinkState::Up:
        return SendPath::Direct;
    case LinkState::NoNewConnections:
        return hasConnection || !hasPeer ? SendPath::Direct : SendPath::ThroughPeer;
    case LinkState::Partitioned:
    case LinkState::NoneReachable:
        break;
    }
    return hasPeer ? SendPath::ThroughPeer : SendPath::None;
}

LinkState judgeLinks(const LinkEvidence& evidence)
{
    if (evidence.endpoints < 2 || evidence.unconnectable == 0)
        return LinkState::Up;
    if (evidence.heard == 0 && evidence.lost >= lossThreshold(evidence))
        return evidence.peers > 0 ? LinkState::Partitioned : LinkState::NoneReachable;
    const bool probesFail = evidence.failedProbes >= std::min(failedProbesOfPartition, evidence.endpoints);
    return probesFail && evidence.unconnectable >= lossThreshold(evidence) ? LinkState::NoNewConnections
                                                                           : LinkState::Up;
}

bool isSuspicious(const LinkEvidence& evidence)
{
    return evidence.endpoints >= 2
        && (evidence.unconnectable >= 2 || (evidence.heard == 0 && evidence.lost >= 2));
}

void LinkMonitor::setEndpoints(const std::vector<uint64_t>& endpoints)
{
    std::unordered_map<uint64_t, Endpoint> kept;
    for (const auto id : endpoints) {
        const auto it = m_endpoints.find(id);
        kept.emplace(id, it == m_endpoints.end() ? Endpoint {} : it->second);
    }
    m_endpoints = std::move(kept);
}

void LinkMonitor::recordConnected(uint64_t endpoint, TimePoint now)
{
    m_connectedAt = now;
    if (!m_connectedSince)
        m_connectedSince = now;
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end())
        return;
    it->second.lostAt.reset();
    it->second.connectFailedAt.reset();
    it->second.isProbed = it->second.hasFailedProbe = false;
}

void LinkMonitor::recordConnectFailed(uint64_t endpoint, TimePoint now)
{
    m_connectedSince.reset();
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end())
        return;
    it->second.connectFailedAt = now;
    it->second.hasFailedProbe = std::exchange(it->second.isProbed, false) || it->second.hasFailedProbe;
    recordLost(it->second, now);
}

void LinkMonitor::recordHeard(uint64_t endpoint, TimePoint now)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end())
        return;
    it->second.heardAt = now;
    it->second.lostAt.reset();
}

void LinkMonitor::recordBroken(uint64_t endpoint, TimePoint now)
{
    if (const auto it = m_endpoints.find(endpoint); it != m_endpoints.end())
        recordLost(it->second, now);
}

void LinkMonitor::recordSilent(uint64_t endpoint, TimePoint now)
{
    if (const auto it = m_endpoints.find(endpoint); it != m_endpoints.end())
        recordLost(it->second, now);
}

void LinkMonitor::recordLost(Endpoint& endpoint, TimePoint now)
{
    endpoint.lostAt = now;
    m_hasLosses = true;
}

LinkEvidence LinkMonitor::evidence(TimePoint now) const
{
    LinkEvidence out { .endpoints = m_endpoints.size(), .peers = m_peers };
    for (const auto& [id, it] : m_endpoints) {
        const bool isLost = it.lostAt && now - *it.lostAt <= evidenceLifetime;
        out.lost += isLost ? 1 : 0;
        out.heard += !isLost && it.heardAt != TimePoint {} && now - it.heardAt <= heardLifetime ? 1 : 0;
        const bool isUnconnectable = it.connectFailedAt && now - *it.connectFailedAt <= evidenceLifetime
            && *it.connectFailedAt > m_connectedAt;
        out.unconnectable += isUnconnectable ? 1 : 0;
        // An endpoint that is heard later, and does not break off, has not crashed, so its failure counts as
        // one of a probe. Where most endpoints have refused a connection before any is probed, too few are
        // left to be probed.
        const bool wasAlive
            = isUnconnectable && (it.hasFailedProbe || (!isLost && it.heardAt > *it.connectFailedAt));
        out.failedProbes += wasAlive ? 1 : 0;
    }
    return out;
}

void LinkMonitor::enter(LinkState state, TimePoint now)
{
    if (m_state == LinkState::Up) {
        const bool isFlapping = m_upAt != TimePoint {} && now - m_upAt < flapWindow;
        m_stableTime = isFlapping ? std::clamp<Duration>(2 * m_stableTime, minStableTime, maxStableTime)
                                  : Duration::zero();
        m_connectedSince.reset();
    }
    m_state = state;
    if (state != LinkState::Up)
        return;
    m_upAt = now;
    m_hasLosses = false;
    for (auto& [id, it] : m_endpoints) {
        it.lostAt.reset();
        it.connectFailedAt.reset();
        it.isProbed = it.hasFailedProbe = false;
    }
}

LinkState LinkMonitor::update(TimePoint now)
{
    if (m_state == LinkState::Up && !m_hasLosses)
        return m_state;
    const auto found = evidence(now);
    if (m_state != LinkState::Up && m_connectedSince && now - *m_connectedSince >= m_stableTime) {
        enter(LinkState::Up, now);
        return m_state;
    }
    const auto judged = judgeLinks(found);
    switch (m_state) {
    case LinkState::Up:
        if (judged != LinkState::Up)
            enter(judged, now);
        else
            m_hasLosses = found.lost > 0 || found.unconnectable > 0;
        break;
    case LinkState::NoNewConnections:
        if (judged == LinkState::Partitioned || judged == LinkState::NoneReachable)
            enter(judged, now);
        break;
    case LinkState::Partitioned:
    case LinkState::NoneReachable:
        m_state = m_peers > 0 ? LinkState::Partitioned : LinkState::NoneReachable;
        break;
    }
    return m_state;
}

std::vector<uint64_t> LinkMonitor::nextProbes(TimePoint now)
{
    const bool isUp = m_state == LinkState::Up;
    if (isUp && !isSuspicious(now))
        return {};
    if (now - m_probedAt < (isUp ? suspicionProbePeriod : probePeriod))
        return {};
    m_probedAt = now;
    const size_t n = isUp                     ? suspicionProbes
        : m_state == LinkState::NoneReachable ? probesOfNoneReachable
                                              : probes;
    std::vector<uint64_t> out;
    // While there is only a suspicion, endpoints that have not failed show more than those that have.
    const auto hasFailed = [](const Endpoint& it) { return it.connectFailedAt || it.lostAt; };
    while (out.size() < std::min(n, m_endpoints.size())) {
        auto it = std::ranges::min_element(m_endpoints, {}, [&](const auto& endpoint) {
            return std::pair(isUp && hasFailed(endpoint.second), endpoint.second.probedAt);
        });
        // All that have not failed are being probed already.
        if (it->second.probedAt == now)
            break;
        it->second.isProbed = !hasFailed(it->second);
        it->second.probedAt = now;
        out.push_back(it->first);
    }
    return out;
}

} // namespace lentilbay::edge
