// Compares the configuration in force with those of the peers.
#include "lentilbay/Edge/ConfigurationCatchUp.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <tuple>

namespace lentilbay::edge {
namespace {

/// A daemon that reads the store has read a new version after this time.
constexpr Duration storeReadDelay = std::chrono::milliseconds(1200);
/// Time between two calls to peers.
constexpr Duration retryPeriod = std::chrono::milliseconds(300);
/// A peer that reported its version is asked for its configuration for this long.
constexpr Duration reportLifetime = std::chrono::seconds(2);
/// A version that a peer has reported exists, also if no peer is heard any more. Bounds the effect of a wrong
/// report.
constexpr Duration knownVersionLifetime = std::chrono::seconds(30);
/// How long a daemon that starts waits for the first report of a peer: the other daemons are read from the
/// store, and each side sends a heartbeat.
constexpr Duration firstReportTimeout = std::chrono::milliseconds(1200);
/// A version that a peer reports was acknowledged at most this long before: the peer has read it, and its
/// report has arrived. A daemon that is behind has so much less than the bound to put it in force.
constexpr Duration reportDelay = std::chrono::milliseconds(1500);
/// A daemon that is behind for less serves on: in this time it reads most changes.
constexpr Duration minBehindToRefuse = std::chrono::milliseconds(1200);
/// While an answer arrives, a view serves until this long before the bound.
constexpr Duration viewAgeMargin = std::chrono::milliseconds(500);
/// How long it waits for a newer configuration that a peer has reported.
constexpr Duration catchUpTimeout = std::chrono::seconds(3);

} // namespace

void ConfigurationCatchUp::storeRead(bool mayBeOlder, TimePoint now)
{
    m_readAt = m_readAt.value_or(now);
    m_isSettled = m_isSettled || !mayBeOlder;
}

void ConfigurationCatchUp::recordPeer(
    const std::string& daemon, Locality locality, uint64_t version, TimePoint now)
{
    auto& peer = m_peers[daemon];
    peer.locality = locality;
    peer.version = version;
    peer.heardAt = now;
    if (version >= m_newestKnown || now - m_newestHeardAt > knownVersionLifetime) {
        m_newestKnown = version;
        m_newestHeardAt = now;
    }
}

Duration ConfigurationCatchUp::behindFor(uint64_t ownVersion, TimePoint now) const
{
    const bool isBehind = newestKnown(now) > ownVersion;
    return isBehind && m_behindSince ? now - *m_behindSince : Duration::zero();
}

uint64_t ConfigurationCatchUp::newestKnown(TimePoint now) const
{
    return now - m_newestHeardAt <= knownVersionLifetime ? m_newestKnown : 0;
}

uint64_t ConfigurationCatchUp::newest(TimePoint now) const
{
    uint64_t out = 0;
    for (const auto& [daemon, it] : m_peers) {
        if (now - it.heardAt <= reportLifetime)
            out = std::max(out, it.version);
    }
    return out;
}

bool ConfigurationCatchUp::isOutdated(
    uint64_t ownVersion, Duration viewAge, bool isArriving, Duration bound, TimePoint now) const
{
    const bool isBehind
        = behindFor(ownVersion, now) > std::max<Duration>(minBehindToRefuse, bound - reportDelay);
    const bool hearsPeers = std::ranges::any_of(
        m_peers, [&](const auto& it) { return now - it.second.heardAt <= reportLifetime; });
    return isBehind || (isArriving && !hearsPeers && viewAge > bound - viewAgeMargin);
}

bool ConfigurationCatchUp::isSettled(uint64_t ownVersion, TimePoint now)
{
    if (m_isSettled || !m_readAt)
        return m_isSettled;
    const auto known = newest(now);
    const auto elapsed = now - *m_readAt;
    m_isSettled
        = known == 0 ? elapsed >= firstReportTimeout : known <= ownVersion || elapsed >= catchUpTimeout;
    return m_isSettled;
}

std::optional<std::string> ConfigurationCatchUp::nextSource(
    uint64_t ownVersion, bool isReading, TimePoint now)
{
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.heardAt > reportLifetime; });
    if (newestKnown(now) <= ownVersion) {
        m_behindSince.reset();
        return std::nullopt;
    }
    m_behindSince = m_behindSince.value_or(now);
    const auto known = newest(now);
    const bool awaitsStore = m_isSettled && now - *m_behindSince < storeReadDelay;
    if (known <= ownVersion || isReading || awaitsStore || now - m_askedAt < retryPeriod)
        return std::nullopt;
    // The near ones come first; among them, the one that was asked longest ago, in case one of them does not
    // answer. The hash spreads the calls of several daemons.
    using Rank = std::tuple<Locality, TimePoint, uint64_t>;
    std::pair<const std::string, Peer>* out = nullptr;
    Rank best;
    for (auto& it : m_peers) {
        if (it.second.version != known)
            continue;
        const Rank rank { it.second.locality, it.second.askedAt, hashOf(it.first, hashOf(m_options.daemon)) };
        if (!out || rank < best) {
            out = &it;
            best = rank;
        }
    }
    if (!out)
        return std::nullopt;
    m_askedAt = out->second.askedAt = now;
    return out->first;
}

} // namespace lentilbay::edge
