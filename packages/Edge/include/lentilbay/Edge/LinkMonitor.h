// Decides what a daemon does that cannot reach endpoints which other daemons reach.
//
// A daemon that is partitioned from the endpoints observes what it would also observe if they failed: their
// connections hang, are reset, or are refused. Two things tell the cases apart. A partition affects several
// endpoints at once, also healthy ones of other services, and the other daemons still hear from them. As
// connections may also be reset, or all endpoints be silent for a moment, without a partition, a failure to
// establish a new connection is needed as well; the daemon tries one as soon as it has a suspicion.
//
// Where endpoints are still heard, failures to connect alone show nothing: when many endpoints crash at once,
// the daemon opens new connections mostly to them, as its connections to the others live on. Only failed
// probes count then, which are sent to endpoints that have not failed, and failures to connect to endpoints
// that are heard afterwards.
//
// Requests are then sent through peers. New connections are tried at intervals until one is established.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay::edge {

enum class LinkState : uint8_t {
    /// The endpoints can be reached, apart from single ones that fail.
    Up,
    /// Established connections work, and new ones cannot be established.
    NoNewConnections,
    /// No endpoint can be reached, and peers reach some.
    Partitioned,
    /// No endpoint can be reached, and no peer is known to reach one.
    NoneReachable,
};

/// How a request is sent.
enum class SendPath : uint8_t {
    Direct,
    ThroughPeer,
    /// Neither way works, so the request is refused.
    None,
};

/// How a request is sent in a state of the links; `hasConnection` is whether an established connection to the
/// endpoint is idle.
SendPath sendPath(LinkState state, bool hasConnection, bool hasPeer);

/// What a daemon observed in the recent past.
struct LinkEvidence {
    /// The endpoints that are listed and not leaving.
    size_t endpoints = 0;
    /// Those that could not be connected to since a connection was established to any endpoint.
    size_t unconnectable = 0;
    /// Of these, the ones that had not failed when they were probed, or that have been heard since.
    size_t failedProbes = 0;
    /// Those that broke off a connection, do not answer, or cannot be connected to, and have not been heard
    /// since.
    size_t lost = 0;
    /// Those of which bytes were received, and that are not among the lost ones.
    size_t heard = 0;
    /// Other daemons that take requests and do not report that they reach no endpoint.
    size_t peers = 0;

    bool operator==(const LinkEvidence&) const = default;
};

LinkState judgeLinks(const LinkEvidence& evidence);
/// Whether the evidence suffices for trying a new connection now.
bool isSuspicious(const LinkEvidence& evidence);

class LinkMonitor {
public:
    /// Sets the endpoints that are listed and not leaving, by the hash of their id.
    void setEndpoints(const std::vector<uint64_t>& endpoints);
    /// Sets the number of other daemons that take requests and do not report that they reach no endpoint.
    void setPeers(size_t n) { m_peers = n; }

    void recordConnected(uint64_t endpoint, TimePoint now);
    void recordConnectFailed(uint64_t endpoint, TimePoint now);
    /// Records bytes of an answer.
    void recordHeard(uint64_t endpoint, TimePoint now);
    /// Records that a connection that had carried bytes of a request was closed before the answer was
    /// complete.
    void recordBroken(uint64_t endpoint, TimePoint now);
    /// Records that an endpoint has not answered for longer than expected.
    void recordSilent(uint64_t endpoint, TimePoint now);

    /// Determines the state. To be called regularly, and after a connection could or could not be
    /// established.
    LinkState update(TimePoint now);
    LinkState state() const { return m_state; }
    /// Whether the links were not up at any time since then, so that a connection which was used then may
    /// have been lost with them.
    bool wereInterruptedSince(TimePoint at) const { return m_state != LinkState::Up || m_upAt >= at; }
    LinkEvidence evidence(TimePoint now) const;
    /// Whether the links may be lost, which is not known yet.
    /// Whether update() may change something as time passes, or endpoints are to be probed.
    bool isUnsettled() const { return m_state != LinkState::Up || m_hasLosses; }
    bool isSuspicious(TimePoint now) const { return m_hasLosses && edge::isSuspicious(evidence(now)); }
    /// The endpoints to which a new connection is to be tried now.
    std::vector<uint64_t> nextProbes(TimePoint now);

private:
    struct Endpoint {
        TimePoint heardAt {};
        /// The latest failure to connect; not set if a connection has been established since.
        std::optional<TimePoint> connectFailedAt;
        /// The latest loss; not set if the endpoint has been heard, or connected to, since.
        std::optional<TimePoint> lostAt;
        TimePoint probedAt {};
        /// A probe to the endpoint, which had not failed before, has not ended yet.
        bool isProbed = false;
        /// The probe has failed; not set if a connection has been established since.
        bool hasFailedProbe = false;
    };

    void recordLost(Endpoint& endpoint, TimePoint now);
    void enter(LinkState state, TimePoint now);

    std::unordered_map<uint64_t, Endpoint> m_endpoints;
    size_t m_peers = 0;
    LinkState m_state = LinkState::Up;
    /// Whether any endpoint may be lost; false for most of the time, when update() has nothing to do.
    bool m_hasLosses = false;
    /// When the links came up after they had been down.
    TimePoint m_upAt {};
    /// How long connections must have been established without a failure before the links count as up.
    Duration m_stableTime {};
    /// When a connection was last established to any endpoint.
    TimePoint m_connectedAt {};
    /// When the first connection was established since the latest failure to establish one.
    std::optional<TimePoint> m_connectedSince;
    TimePoint m_probedAt {};
};

} // namespace lentilbay::edge
