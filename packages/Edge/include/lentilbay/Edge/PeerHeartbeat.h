// Heartbeats that the daemons exchange over UDP several times a second: their load at each endpoint, and the
// tokens that they have admitted under each quota. A lost datagram loses no information because each carries
// totals.
#pragma once

#include "lentilbay/Edge/CrashAttribution.h"
#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Edge/PeerWire.h"
#include "lentilbay/Policy/EndpointFailureReports.h"
#include "lentilbay/Policy/SharedQuota.h"
#include "lentilbay/Support/Result.h"
#include "lentilbay/Support/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay::edge {

/// How much of one store table the sender of a heartbeat has seen. The versions are of the same era.
struct TableView {
    /// The number of the store version up to which the view is complete.
    uint64_t coveredVersion = 0;
    /// The number of the version of the newest change in the view.
    uint64_t changedVersion = 0;
    /// Time since the view was known to be complete, as of when the heartbeat was written; negative: never.
    int64_t ageMicroseconds = -1;

    auto operator<=>(const TableView&) const = default;
};

struct StoreViews {
    /// The latest era of the store that the sender knows; see StoreVersion.
    uint64_t era = 0;
    TableView configuration;
    TableView endpoints;

    auto operator<=>(const StoreViews&) const = default;
};

struct PeerHeartbeat {
    std::string daemon;
    /// Chosen at random by each process.
    uint64_t incarnation = 0;
    /// Increases with each heartbeat; older datagrams are dropped.
    uint64_t sequence = 0;
    std::string dataCentre;
    /// Time until the next heartbeat to this peer.
    uint32_t periodMilliseconds = 0;
    /// The daemon is shutting down and takes no more requests.
    bool isLeaving = false;
    /// The send time, by the receiver's clock, of the newest heartbeat from the receiver that the sender had
    /// processed when it wrote this one; 0 for none. The contents were true no earlier than then.
    int64_t echoedMicroseconds = 0;
    /// The incarnation of the receiver that sent the echoed heartbeat: the clock of another incarnation may
    /// have restarted.
    uint64_t echoedIncarnation = 0;
    /// The send time by the sender's own clock, to be echoed by the receiver.
    int64_t sentMicroseconds = 0;
    /// The version of the configuration that is in force at the sender; 0 if none is.
    uint64_t configurationVersion = 0;
    /// Present only between daemons of the same data centre, which read the store for each other.
    std::optional<StoreViews> views;
    std::vector<PeerLoad> loads;
    struct QuotaUse {
        /// hashOf() of the organisation's name.
        uint64_t organisation = 0;
        double admittedTotal = 0;

        auto operator<=>(const QuotaUse&) const = default;
    };
    std::vector<QuotaUse> quotas;
    struct QuotaLevel {
        /// The token level of the sender's bucket.
        float level = 0;
        /// Tokens that the sender has counted in the last window.
        float inWindow = 0;
        /// The same in equal parts of the window, the oldest first; all zero if an older build sends it.
        std::array<float, SharedQuota::windowPartCount> inParts {};

        auto operator<=>(const QuotaLevel&) const = default;
    };
    /// In the order of `quotas`. Sent only to a receiver that was restarted and needs them.
    std::vector<QuotaLevel> levels;
    /// What endpoints state about themselves; empty for most of the time.
    std::vector<SignalReport> signals;
    /// Parts of prompts that crash endpoints or may do so; empty for most of the time.
    std::vector<TriggerReport> triggers;
    /// The sender reaches no endpoint; see LinkMonitor.
    bool isPartitioned = false;
    /// The sender may lack departures of endpoints that must be known, because it has lost the store.
    bool isOutdated = false;
    /// The sender's quotas account for all use that still matters to them.
    bool countsAllUse = false;
    /// What the sender's build understands.
    WireRevision revision = newestWireRevision;
    /// How much the sender's host can do, in thousandths of a core; 0 if it does not state it.
    uint32_t capacity = 0;
    /// What several daemons have in flight and have admitted, the sender among them: those of its data
    /// centre, or, for a receiver in the same one, those of the whole fleet.
    struct Summary {
        /// Changes when the sender begins to count the use of quotas anew.
        uint64_t count = 0;
        std::vector<PeerLoad> loads;
        std::vector<QuotaUse> quotas;

        auto operator<=>(const Summary&) const = default;
    };
    Summary summary;
    /// Whether there is a summary. If so, `loads` is empty, and `quotas` serves only to read `levels`.
    bool hasSummary = false;
    /// The sequence of the receiver's heartbeat that the summary includes; 0 if it includes none.
    uint64_t includedSequence = 0;
    /// What the sender knows of a daemon from its heartbeats or from another aggregator.
    struct Member {
        std::string daemon;
        std::string host;
        uint16_t port = 0;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        /// See PeerHeartbeat.
        int64_t sentMicroseconds = 0;
        uint64_t configurationVersion = 0;
        uint32_t capacity = 0;
        bool isLeaving = false;
        bool isPartitioned = false;
        bool isOutdated = false;
        bool countsAllUse = false;
        WireRevision revision = newestWireRevision;

        auto operator<=>(const Member&) const = default;
    };
    struct DataCentreMembers {
        std::string dataCentre;
        /// The time until the sender describes each of these daemons again.
        uint32_t periodMilliseconds = 0;
        std::vector<Member> daemons;

        auto operator<=>(const DataCentreMembers&) const = default;
    };
    /// Daemons that the sender hears or knows to be heard; not necessarily all.
    std::vector<DataCentreMembers> members;
    /// Endpoints that fail; empty for most of the time. Of the daemons in the summary, if there is one.
    std::vector<EndpointFailureReport> failures;

    /// Whether a restarted daemon with this incarnation adopts the use of quotas that the sender states. A
    /// sender that does not know of the restart yet leaves the levels out, and in a summary also the uses,
    /// which would read as no use at all.
    bool statesUseTo(uint64_t receiverIncarnation) const
    {
        return countsAllUse && echoedIncarnation == receiverIncarnation && levels.size() == quotas.size();
    }

    auto operator<=>(const PeerHeartbeat&) const = default;
};

/// @param receiver what the receiver's build understands; fields that it cannot read are left out
/// @param sharedSections the result of encodeSharedSections(), for a receiver that understands it; the
///     heartbeat's own summary and members are then not encoded
std::string encodePeerHeartbeat(const PeerHeartbeat& heartbeat, WireRevision receiver = newestWireRevision,
    std::string_view sharedSections = {});
/// Encodes the fields that are the same for many receivers, to be passed to encodePeerHeartbeat().
std::string encodeSharedSections(
    const PeerHeartbeat::Summary& summary, const std::vector<PeerHeartbeat::DataCentreMembers>& members);
/// Never throws. Reads heartbeats of any revision; fields that the sender's build lacks keep their defaults.
Result<PeerHeartbeat> decodePeerHeartbeat(std::string_view datagram);

/// The known daemons and when each was last heard.
class PeerTable {
public:
    explicit PeerTable(std::string self)
        : m_self(std::move(self))
    {
    }

    struct Peer {
        std::string host;
        uint16_t port = 0;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        TimePoint lastHeardAt {};
        std::string dataCentre;
        /// The interval at which it sends heartbeats.
        Duration period {};
        /// The send time in its newest heartbeat, by its own clock.
        int64_t sentMicroseconds = 0;
        /// The send time of the newest heartbeat from this daemon that the peer had processed when it sent
        /// its own, or when the peer was first heard; not set while the peer is only known from others.
        std::optional<TimePoint> echoedAt;
        bool isSilent = true;
        bool isLeaving = false;
        bool isPartitioned = false;
        bool isOutdated = false;
        bool countsAllUse = true;
        /// Until the first heartbeat, the peer is assumed to run the same build.
        WireRevision revision = newestWireRevision;
        uint64_t configurationVersion = 0;
        uint32_t capacity = 0;
    };

    /// Adds a daemon that the platform's store lists.
    void addListed(const std::string& daemon, const std::string& host, uint16_t port, TimePoint now);
    /// Records a heartbeat that came from this address. Returns false for an old or repeated one.
    bool recordHeartbeat(
        const PeerHeartbeat& heartbeat, const std::string& host, uint16_t port, TimePoint now);
    /// Records that a peer had processed a heartbeat which this daemon sent at that time.
    void recordEcho(const std::string& daemon, TimePoint sentAt);
    /// Records what an aggregator knows of a daemon. Returns false if it is not newer than what is known.
    bool recordMember(
        const PeerHeartbeat::Member& member, const std::string& dataCentre, Duration period, TimePoint now);
    /// Returns the daemons that have become silent since the last call, and removes those that have been
    /// silent for long.
    std::vector<std::string> detectSilent(TimePoint now);

    const std::map<std::string, Peer>& peers() const { return m_peers; }
    /// The number of daemons, including this one.
    size_t knownDaemons() const { return m_peers.size() + 1; }
    /// The other daemons that may send to endpoints. A daemon that has not been heard for a moment counts:
    /// this one may have stood still itself, or heartbeats may be lost in one direction only.
    std::vector<SendingDaemon> sendingDaemons(TimePoint now) const;
    /// The number of silent daemons, without those that announced their shutdown and so admit nothing more.
    size_t silentDaemons() const;
    /// The daemons that may share a quota. Here a peer is silent also if it does not hear this one.
    QuotaParticipants quotaParticipants(TimePoint now) const;
    /// The number of other daemons that reach no endpoint.
    size_t partitionedDaemons() const;
    /// The number of peers that have been heard, by what their builds understand.
    std::map<WireRevision, size_t> daemonsByRevision() const;

private:
    std::string m_self;
    std::map<std::string, Peer> m_peers;
};

} // namespace lentilbay::edge
