// Aggregators of a large fleet: which daemons they are, and what this one sends and applies as sums.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace lentilbay::edge {
namespace {

/// In a large fleet, a daemon that starts has heard an aggregator after this time.
constexpr Duration readerDiscoveryTime = std::chrono::seconds(2);

} // namespace

void EdgeDaemon::updateAggregators(TimePoint now)
{
    m_awaitsReader = m_awaitsReader && now - m_startedAt < readerDiscoveryTime;
    const bool wasAggregator = m_summaries.isAggregator();
    const auto outdated = m_summaries.update(m_state.peers, m_state.stopRequestedAt.has_value(), now);
    for (const auto& it : outdated)
        m_state.endpointRegistry.updatePeerLoads(it, {}, now);
    m_state.assignSlots(now);
    for (auto* it : { m_configurationFollower.get(), m_endpointFollower.get() })
        it->setWait(longPollWait());
    const auto estimated = m_summaries.takeEstimatedUse();
    m_state.applyUse(estimated, now);
    for (const auto& it : estimated)
        m_state.metrics.count("quota_tokens_estimated", static_cast<uint64_t>(it.second));
    if (wasAggregator != m_summaries.isAggregator())
        logEvent(Event::AggregatorChanged,
            { { "is_aggregator", static_cast<int64_t>(m_summaries.isAggregator()) },
                { "aggregators",
                    fmt::format("{}",
                        fmt::join(m_summaries.aggregatorsOf(m_state.settings.dataCentre.text()), " ")) },
                { "daemons", static_cast<int64_t>(m_state.peers.knownDaemons()) } });
}

std::string EdgeDaemon::encodeSections(PeerSummaries::Content content, TimePoint now) const
{
    const auto summary = content == PeerSummaries::Content::Fleet ? m_summaries.fleetSummary(now)
                                                                  : m_summaries.dataCentreSummary(now);
    return encodeSharedSections(summary, m_summaries.members(m_state.peers, content, m_sequence));
}

void EdgeDaemon::applyMembers(const PeerHeartbeat& heartbeat, TimePoint now)
{
    bool changes = false;
    for (const auto& [dataCentre, period, daemons] : heartbeat.members) {
        for (const auto& it : daemons) {
            const auto known = m_state.peers.peers().find(it.daemon);
            const bool wasSilent = known == m_state.peers.peers().end() || known->second.isSilent;
            changes |= wasSilent || known->second.isPartitioned != it.isPartitioned
                || known->second.isLeaving != it.isLeaving;
            if (!m_state.peers.recordMember(it, dataCentre, std::chrono::milliseconds(period), now))
                continue;
            if (wasSilent)
                logEvent(Event::PeerSeen,
                    { { "daemon", it.daemon }, { "incarnation", static_cast<int64_t>(it.incarnation) },
                        { "wire_revision", static_cast<int64_t>(it.revision) },
                        { "reported_by", heartbeat.daemon } });
            m_catchUp.recordPeer(it.daemon, m_state.topology.localityOf(DataCentreId(dataCentre)),
                it.configurationVersion, now);
            if (m_summaries.isSummarised({ .dataCentre = dataCentre, .revision = it.revision }, now))
                m_summarisedPeers.insert(it.daemon);
        }
    }
    if (changes) {
        m_state.relays.update(m_state.peers);
        m_state.links.setPeers(m_state.relays.size());
    }
    if (!heartbeat.members.empty())
        catchUpWithPeers(now);
}

void EdgeDaemon::applySummary(const PeerHeartbeat& heartbeat, TimePoint now)
{
    applyMembers(heartbeat, now);
    const auto update = m_summaries.applySummary(heartbeat, now);
    if (!update)
        return;
    if (update->isFirst) {
        // What these daemons stated of themselves is in the sum.
        for (const auto& [name, peer] : m_state.peers.peers()) {
            if (m_summaries.isSummarised({ .dataCentre = peer.dataCentre, .revision = peer.revision }, now)) {
                m_state.endpointRegistry.updatePeerLoads(name, {}, now);
                m_summarisedPeers.insert(name);
            }
        }
    }
    m_state.endpointRegistry.updatePeerLoads(update->source, update->loads, now);
    m_state.applyUse(update->use, now);
}

} // namespace lentilbay::edge
