// Decides when a daemon reads the list of endpoints from a peer instead of the platform's store, and how it
// is encoded.
//
// The store may turn single daemons away, or a daemon may lose its way to the store, while others read it.
// Such a daemon would send requests to endpoints that have left and not know those that have joined. What it
// needs is known to its peers.
#pragma once

#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Model/Topology.h"
#include "lentilbay/platform/StoreCalls.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lentilbay::edge {

/// What a daemon answers to a peer that asks for its list.
struct EndpointList {
    /// All entries, or none if the peer has them already. `rows.version` is the version up to which the list
    /// is complete.
    platform::StoreRows rows;
    /// Entries that the store has deleted already: by key, the time left until their deletion is applied.
    std::map<std::string, Duration> delayedDeletions;
    /// The version of the newest change in the list.
    StoreVersion changed;
    /// Time since the list was known to be complete, as of when the answer was written.
    Duration age {};
    /// The list has not changed since the version that the peer stated.
    bool isUnchanged = false;
};

std::string encodeEndpointList(const EndpointList& list);
Result<EndpointList> decodeEndpointList(std::string_view text);

/// What a daemon asks a peer for.
struct EndpointListQuery {
    /// The version up to which its own list is complete; std::nullopt if it has none.
    std::optional<StoreVersion> covered;
};

/// The path and query of such a call.
std::string endpointListTarget(const EndpointListQuery& query);
/// Returns std::nullopt if a call's target asks for something else.
std::optional<EndpointListQuery> endpointListQueryOf(std::string_view target);

class EndpointCatchUp {
public:
    /// @param bound the time within which a departure has to be known
    EndpointCatchUp(std::string daemon, Topology topology, Duration bound)
        : m_daemon(std::move(daemon))
        , m_topology(std::move(topology))
        , m_bound(bound)
    {
    }

    /// What this daemon knows of its own list.
    struct View {
        /// Time since it was known to be complete.
        Duration age {};
        /// A peer has seen a change that it lacks.
        bool isBehind = false;
        bool isStoreUnreachable = false;
    };
    /// The peer to read the list from now, if it is time to. At most one is returned in each retry period.
    std::optional<std::string> nextSource(
        const std::map<std::string, PeerTable::Peer>& peers, const View& view, TimePoint now);

private:
    bool isDue(const View& view) const;

    std::string m_daemon;
    Topology m_topology;
    Duration m_bound;
    TimePoint m_askedAt {};
    /// When each peer was last asked.
    std::map<std::string, TimePoint> m_asked;
};

} // namespace lentilbay::edge
