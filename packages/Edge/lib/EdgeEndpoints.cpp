// The list of endpoints: from the platform's store, or from a peer if the store does not answer this daemon.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/platform/Documents.h"

namespace lentilbay::edge {

void EdgeDaemon::catchUpEndpoints(TimePoint now)
{
    const auto& follower = *m_endpointFollower;
    if (follower.isReceiving(now) || m_endpointDocument.isReceiving(now))
        return;
    const auto confirmedAt = follower.confirmedAt();
    const EndpointCatchUp::View view { .age = now - confirmedAt.value_or(m_startedAt),
        .isBehind = follower.isBehind(),
        .isStoreUnreachable = follower.isStoreUnreachable() };
    const auto daemon = m_endpointCatchUp.nextSource(m_state.peers.peers(), view, now);
    if (!daemon)
        return;
    m_state.metrics.count("endpoint_lists_read_from_peers");
    m_endpointDocument.read(*daemon, m_state.peers.peers().at(*daemon),
        endpointListTarget({ .covered = follower.coveredVersion() }), now,
        [this, daemon = *daemon, askedAt = now](const std::string& document, const http::Headers&) {
            applyPeerEndpoints(daemon, document, askedAt);
        });
}

void EdgeDaemon::applyPeerEndpoints(const std::string& daemon, const std::string& document, TimePoint askedAt)
{
    const auto decoded = outcomeOf<EndpointList>([&] { return decodeEndpointList(document); });
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
        m_state.metrics.count("peer_endpoint_lists_invalid");
        logEvent(Event::StoreCallFailed,
            { { "table", platform::endpointTable }, { "peer", daemon }, { "detail", failure->detail } });
        return;
    }
    const auto& list = std::get<EndpointList>(decoded);
    const auto formerAge = millisecondsOf(askedAt - m_endpointFollower->confirmedAt().value_or(m_startedAt));
    handleStoreEra(list.rows.version.era, bootNow());
    const auto at = askedAt - list.age;
    if (list.isUnchanged)
        m_endpointFollower->peerConfirmed(list.rows.version, list.changed, at);
    else if (!m_endpointFollower->applyPeerRows(
                 { .rows = list.rows, .delayedDeletions = list.delayedDeletions }, at))
        return;
    logEvent(Event::EndpointsReadFromPeer,
        { { "peer", daemon }, { "version", static_cast<int64_t>(list.rows.version.number) },
            { "entries", static_cast<int64_t>(list.rows.rows.size()) },
            { "delayed_deletions", static_cast<int64_t>(list.delayedDeletions.size()) },
            { "peer_age_ms", millisecondsOf(list.age) }, { "former_age_ms", formerAge } });
}

void EdgeDaemon::serveEndpoints(http::Exchange& exchange, const EndpointListQuery& query)
{
    const auto now = bootNow();
    const auto confirmedAt = m_endpointFollower->confirmedAt();
    const auto covered = m_endpointFollower->coveredVersion();
    if (!covered || !confirmedAt) {
        exchange.respond(404, http::reasonPhrase(404), {}, "");
        return;
    }
    EndpointList out { .rows = { .version = *covered },
        .changed = m_endpointFollower->changedVersion(),
        .age = now - *confirmedAt };
    out.isUnchanged = query.covered && query.covered->era == covered->era && out.changed <= *query.covered;
    if (!out.isUnchanged) {
        auto all = m_endpointFollower->rows(now).value_or(ReplicaRows { .rows = out.rows });
        out.rows = std::move(all.rows);
        out.delayedDeletions = std::move(all.delayedDeletions);
    }
    serveDocument(exchange, encodeEndpointList(out));
}

} // namespace lentilbay::edge
