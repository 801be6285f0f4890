// Decides when a daemon reads the configuration from a peer instead of the platform's store.
//
// The store may have lost versions that it had acknowledged, until the operator writes them again. Daemons
// that had read them keep them in force. A daemon that starts in between, or had not read them before, finds
// an older version in the store and reads the newer one from a peer.
#pragma once

#include "lentilbay/Model/Topology.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lentilbay::edge {

struct ConfigurationCatchUpOptions {
    /// Spreads the calls of several daemons over their peers.
    std::string daemon;
    /// No peer can have a newer configuration than the store, because the fleet starts for the first time.
    bool isSettled = false;
};

class ConfigurationCatchUp {
public:
    explicit ConfigurationCatchUp(ConfigurationCatchUpOptions options)
        : m_options(std::move(options))
        , m_isSettled(m_options.isSettled)
    {
    }

    /// Records that the configuration was read from the store. `mayBeOlder` is whether the store has come
    /// back from an older copy of itself before.
    void storeRead(bool mayBeOlder, TimePoint now);
    /// Records the version of the configuration that is in force at a peer; 0 if none is.
    void recordPeer(const std::string& daemon, Locality locality, uint64_t version, TimePoint now);
    /// Whether this daemon may use its configuration: it has compared it with a peer's, or has had time to.
    /// Stays true once it is.
    bool isSettled(uint64_t ownVersion, TimePoint now);
    /// The peer to read the configuration from now; std::nullopt if none has a newer one, or this daemon is
    /// about to read it from the store. At most one call is made in each retry period. `isReading` is whether
    /// the configuration is arriving from the store or a peer; reading it twice at a time would take longer.
    std::optional<std::string> nextSource(uint64_t ownVersion, bool isReading, TimePoint now);
    /// For how long a peer has been known to have a newer version in force than this daemon; zero if none
    /// has.
    Duration behindFor(uint64_t ownVersion, TimePoint now) const;
    /// Whether requests must not be served by a view of this age any more, because a newer version exists:
    /// peers have it, or no peer is heard and an answer of the store has been arriving for long, which one
    /// without changes does not. `bound` is the time within which a configuration must be in force.
    bool isOutdated(
        uint64_t ownVersion, Duration viewAge, bool isArriving, Duration bound, TimePoint now) const;
    /// The newest version that a peer has reported recently enough to exist still; 0 if there is none.
    uint64_t newestKnown(TimePoint now) const;

private:
    struct Peer {
        Locality locality = Locality::OwnDataCentre;
        uint64_t version = 0;
        TimePoint heardAt {};
        /// When it was last asked for its configuration.
        TimePoint askedAt {};
    };
    /// The newest version at peers that were heard recently; 0 if there is none.
    uint64_t newest(TimePoint now) const;

    ConfigurationCatchUpOptions m_options;
    std::map<std::string, Peer> m_peers;
    bool m_isSettled;
    std::optional<TimePoint> m_readAt;
    /// The newest version that any peer has reported, and when one has last reported it.
    uint64_t m_newestKnown = 0;
    TimePoint m_newestHeardAt {};
    /// When a peer was first known to have a newer version than this daemon.
    std::optional<TimePoint> m_behindSince;
    TimePoint m_askedAt {};
};

} // namespace lentilbay::edge
