// Confirms the configuration in force by what peers know of the platform's store, and decides when a peer is
// asked for that.
//
// A daemon that the store does not answer reads the configuration from a peer, but its position in the
// store's table stays where it was. From the first change on, it could not tell from the views in heartbeats
// whether its configuration is still the newest, and could not verify keys. Therefore a peer states its view
// with the configuration. The configuration in force is then known to contain all changes up to the covered
// version of that view, whatever has been read of the table itself.
#pragma once

#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Http/Message.h"
#include "lentilbay/Model/Topology.h"
#include "lentilbay/platform/StoreCalls.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lentilbay::edge {

/// How much of the store's table a configuration contains.
struct ConfigurationView {
    /// The table was read up to this version.
    StoreVersion covered;
    /// The version of the newest change in it, in the same era.
    StoreVersion changed;
    /// Time since the view was known to be complete, as of when it was written.
    Duration age {};

    auto operator<=>(const ConfigurationView&) const = default;
};

/// The view of a table as a heartbeat states it; std::nullopt if it is not known when that was complete.
std::optional<ConfigurationView> configurationViewOf(const TableView& table, uint64_t era);
/// The header field in which a daemon states its view with its configuration.
void addConfigurationView(http::Headers& headers, const ConfigurationView& view);
/// Returns std::nullopt if the sender states no view, as older builds do, or the field cannot be read.
std::optional<ConfigurationView> configurationViewOf(const http::Headers& headers);

/// The target of a call for the configuration. `ownHash` is hashOf() the document that the caller has; if the
/// peer has the same, it answers without a body. Older builds ignore it.
std::string configurationTarget(uint64_t ownHash);
/// The path without `have` is that of calls by older builds; they state no hash.
std::optional<uint64_t> ownHashOf(std::string_view target);

/// A call to a peer for its configuration.
struct ConfigurationCall {
    TimePoint askedAt {};
    /// hashOf() the document that was in force here, which the call stated.
    uint64_t ownHash = 0;
};

class ConfigurationViews {
public:
    /// @param bound the time within which the revocation of a key must be known
    ConfigurationViews(std::string daemon, Topology topology, Duration bound)
        : m_daemon(std::move(daemon))
        , m_topology(std::move(topology))
        , m_bound(bound)
    {
    }

    /// Records that the configuration in force contains all changes of a peer's view, which came with an
    /// answer to a call that began at `askedAt`. Views of an earlier era than the known one are ignored.
    void recordAnswer(const ConfigurationView& view, TimePoint askedAt);
    /// Records a view that a peer has stated without its configuration, and that was complete at `at`.
    /// Returns whether the configuration in force contains all of its changes.
    bool recordView(StoreVersion covered, StoreVersion changed, TimePoint at);
    /// Whether the configuration in force replaces a row that the store wrote with this version. The store's
    /// answer may arrive after a peer's newer view.
    bool isSuperseded(StoreVersion row) const { return m_covered && row < *m_covered; }
    /// The newest version that the configuration in force is known to contain; std::nullopt before the first
    /// answer.
    std::optional<StoreVersion> covered() const { return m_covered; }
    /// The version of the newest change up to covered().
    StoreVersion changed() const { return m_changed; }
    /// When the view was known to be complete.
    TimePoint confirmedAt() const { return m_confirmedAt; }

    /// What this daemon knows of its own configuration.
    struct Own {
        uint64_t version = 0;
        /// Time since it was known to be complete.
        Duration age {};
        bool isStoreUnreachable = false;
        /// Time since the newest view in heartbeats of this data centre was complete.
        Duration nearAge {};
    };
    /// The peer to read the view from now, if it is time to. At most one is returned in each retry period.
    std::optional<std::string> nextSource(
        const std::map<std::string, PeerTable::Peer>& peers, const Own& own, TimePoint now);

private:
    bool isDue(const std::map<std::string, PeerTable::Peer>& peers, const Own& own) const;
    /// Whether this daemon is one of those that ask first in its data centre.
    bool asksFirst(const std::map<std::string, PeerTable::Peer>& peers) const;

    std::string m_daemon;
    Topology m_topology;
    Duration m_bound;
    std::optional<StoreVersion> m_covered;
    StoreVersion m_changed;
    TimePoint m_confirmedAt {};
    TimePoint m_askedAt {};
    /// When each peer was last asked.
    std::map<std::string, TimePoint> m_asked;
};

} // namespace lentilbay::edge
