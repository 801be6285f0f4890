// What daemons of different builds write for each other, and how it may change.
//
// Hosts are upgraded one after the other, an upgrade may stop halfway or be reverted, and all builds in the
// fleet work together meanwhile. A build reads everything that the builds listed here write, and writes to
// each peer what that peer's build reads.
//
// - Heartbeats (PeerHeartbeat.cpp): a body whose layout no longer changes, then tagged sections. The content
// of a section keeps its layout as well; what is to be added to it goes into another section.
// - Stream messages (StreamDirectory.cpp): the same, without sections so far.
// - Reports and permits of rollouts (RolloutMessages.cpp): each kind keeps its layout. Daemons whose build
// lacks them are sent none, coordinate nothing and ignore the orders.
// - Forwarded requests (PeerForwarding.cpp): HTTP header fields, of which unknown ones are ignored. The body
// of a refusal is the result code, which the sender of an unverified request reads.
// - The configuration read from a peer (ConfigurationCatchUp.cpp): the platform's own text. The peer's view
// of the store is a header field of the answer (ConfigurationViews.cpp); builds that lack it answer without.
// - The list of endpoints read from a peer (EndpointCatchUp.cpp): a line of numbers, then rows in the
// platform's own text.
//   Builds that lack it answer 404, and another peer is asked.
// - Rows of the store's table "shared" (EdgeSharedRows.cpp): rows of unknown kinds are ignored, the value of
// a
//   kind keeps its form.
// - Rows of the store's table "streams" (StreamOriginStore.cpp): a value that cannot be read is no origin.
// - Rows of the store's table "quotas" (QuotaCheckpoints.cpp): a value starts with the number of its format,
//   and one of another format is ignored.
// - Rows of the store's table "rollouts" (RolloutMessages.cpp): a value that cannot be read is replaced.
//
// A new field of a heartbeat goes into a new section: daemons skip sections whose tag they do not know, and
// older builds ignore what follows the body. Its default must be safe for a sender that cannot state it. The
// unit tests keep a recorded datagram of each revision and fail if a layout changes without a new one.
#pragma once

#include <cstdint>

namespace lentilbay::edge {

/// What a build reads and writes; later revisions include the earlier ones.
enum class WireRevision : uint8_t {
    /// The oldest that is supported.
    Base = 0,
    /// Heartbeats state the version of the configuration in force.
    ConfigurationVersion = 1,
    /// Heartbeats state limits on rejections; daemons forward requests for each other.
    RejectionLimits = 2,
    /// Heartbeats have sections.
    Sections = 3,
    /// In a large fleet, aggregators summarise the heartbeats of their data centre.
    Summaries = 4,
    /// Heartbeats to restarted daemons state when the use of quotas was counted.
    WindowParts = 5,
    /// Heartbeats report endpoints that fail.
    EndpointReports = 6,
    /// Daemons state their view of the store with their configuration, and verify the keys of requests for
    /// peers that cannot.
    ConfigurationViews = 7,
    /// Daemons report to the coordinator of a rollout and act by its permits.
    Rollouts = 8,
};

constexpr WireRevision newestWireRevision = WireRevision::Rollouts;

/// Whether a daemon sends summaries and understands those of others.
constexpr bool usesSummaries(WireRevision revision) { return revision >= WireRevision::Summaries; }

/// Whether a daemon coordinates rollouts and answers reports on them.
constexpr bool coordinatesRollouts(WireRevision revision) { return revision >= WireRevision::Rollouts; }

/// Whether a daemon serves requests that a peer forwards.
constexpr bool servesForwardedRequests(WireRevision revision)
{
    return revision >= WireRevision::RejectionLimits;
}

/// Whether a daemon states its view of the store with its configuration.
constexpr bool statesConfigurationView(WireRevision revision)
{
    return revision >= WireRevision::ConfigurationViews;
}

/// Whether a daemon verifies the key of a request that a peer forwards, and counts its quota. Older builds do
/// not count it.
constexpr bool verifiesForwardedKeys(WireRevision revision)
{
    return revision >= WireRevision::ConfigurationViews;
}

} // namespace lentilbay::edge
