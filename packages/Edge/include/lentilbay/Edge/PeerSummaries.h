// Which daemons of a large fleet send heartbeats to each other, and the summaries that replace most of them.
//
// If each daemon sent its heartbeat to each other one, their number would grow with the square of the fleet.
// Above `smallFleetSize` daemons, each data centre has two aggregators, chosen by all daemons from those that
// they hear: the hosts with the largest capacity, in the order of rendezvous hashing. A daemon sends its
// heartbeat to the aggregators of its data centre. These send sums over their data centre to the aggregators
// of the others, and sums over the fleet to the daemons of their own. What a daemon sends and receives
// therefore does not depend on the size of the fleet, and an aggregator's part grows with its data centre.
//
// - Loads are states: a newer sum replaces the one before. A receiver subtracts what it has itself
//   contributed, by the sequence of its heartbeat that the sum includes.
// - Quota use is a running total in the aggregator's own count. A receiver counts by one source at a time and
//   knows for the others by how much their counts differ, so it can go on with another one: nothing is
//   counted twice, and what was admitted meanwhile is not lost.
// - Both aggregators send to each daemon, one of them often and the other rarely. If one is lost, the other
//   takes over after a few missing heartbeats.
//
// A daemon that has never been heard, runs an older build, or is silent although it should be known, is sent
// heartbeats directly; see routeTo().
#pragma once

#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Model/Topology.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilbay::edge {

struct PeerSummariesOptions {
    std::string daemon;
    Topology topology;
    /// See PeerHeartbeat::capacity.
    uint32_t capacity = 0;
    /// Nothing can have been admitted before this process started.
    bool isFirstStart = false;
    TimePoint startedAt {};
};

class PeerSummaries {
public:
    explicit PeerSummaries(PeerSummariesOptions options);

    enum class Content : uint8_t {
        /// What this daemon itself has in flight and has admitted.
        Own,
        /// The sums over this data centre.
        DataCentre,
        /// The sums over the fleet.
        Fleet,
    };
    struct Route {
        Content content = Content::Own;
        Duration period {};

        auto operator<=>(const Route&) const = default;
    };

    /// Chooses the aggregators. Returns the sources whose loads no longer apply, because this daemon has
    /// become an aggregator or is one no more.
    std::vector<std::string> update(const PeerTable& peers, bool isStopping);
    /// Whether the fleet is large enough for summaries.
    bool isActive() const { return m_isActive; }
    bool isAggregator() const { return m_isAggregator; }
    uint32_t capacity() const { return m_options.capacity; }
    /// Whether an aggregator of this data centre other than this daemon is alive.
    bool hasOtherAggregator() const;
    /// Whether this daemon is the best aggregator of its data centre that is alive.
    bool isFirstAggregator() const;
    /// What a peer is sent regularly; nothing if it learns of this daemon from an aggregator.
    std::optional<Route> routeTo(const std::string& daemon, const PeerTable::Peer& peer) const;

    /// Remembers what this daemon states in the heartbeats with this sequence.
    void recordOwn(const PeerHeartbeat& own);
    /// Records a heartbeat in which a daemon states its own loads and use.
    /// @param wasKnown whether this daemon had heard of the sender's process before
    void recordPeer(const PeerHeartbeat& heartbeat, bool wasKnown, TimePoint now);
    /// Records what was admitted according to a heartbeat in which a daemon states its own use.
    void recordUse(const PeerHeartbeat& heartbeat, uint64_t organisation, double tokens);
    /// Whether the loads and the use that a daemon states of itself are part of a sum that this daemon
    /// receives.
    bool isSummarised(const PeerHeartbeat& heartbeat, TimePoint now) const;

    struct Update {
        /// The name under which the loads replace earlier ones.
        std::string source;
        std::vector<PeerLoad> loads;
        /// What was admitted since the last update, by hashOf() the organisation's name. May be negative.
        std::vector<std::pair<uint64_t, double>> use;
        /// Until now, the daemons in the sum were counted by their own heartbeats.
        bool isFirst = false;
    };
    /// Applies the summary of a heartbeat. Returns nothing if it is of no use for this daemon.
    std::optional<Update> applySummary(const PeerHeartbeat& heartbeat, TimePoint now);
    /// The age of the sums that this daemon receives, by source.
    std::map<std::string, Duration> ages(TimePoint now) const;

    PeerHeartbeat::Summary dataCentreSummary(TimePoint now) const;
    PeerHeartbeat::Summary fleetSummary(TimePoint now) const;
    /// The sequence of a daemon's heartbeat that is included in the sums of this one.
    uint64_t includedSequence(const std::string& daemon, TimePoint now) const;
    /// The daemons that the receivers of that content are told of; the fleet in several parts, one after the
    /// other.
    std::vector<PeerHeartbeat::DataCentreMembers> members(
        const PeerTable& peers, Content content, uint64_t part) const;

    /// The aggregators of a data centre, best first.
    std::vector<std::string> aggregatorsOf(const std::string& dataCentre) const;

private:
    using Totals = std::unordered_map<uint64_t, double>;

    struct Contribution {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        TimePoint heardAt {};
        std::vector<PeerLoad> loads;
        Totals totals;
    };

    /// A sum that this daemon receives from one of several aggregators.
    struct Group {
        /// The aggregator that is counted by.
        std::string authority;
        TimePoint heardAt {};
        Duration period {};
        /// What has been counted; in the fleet's sum, also what was counted in other ways.
        Totals counted;
        struct Source {
            uint64_t incarnation = 0;
            uint64_t count = 0;
            TimePoint knownSince {};
            TimePoint heardAt {};
            /// What to add to the source's total to get this daemon's count.
            Totals offsets;

            bool isSettled(TimePoint now) const;
        };
        std::map<std::string, Source> sources;
        std::vector<PeerLoad> loads;

        bool isFresh(TimePoint now) const;
        bool hasSettledSource(TimePoint now) const;
        /// The sender of a summary.
        Source& sourceOf(const PeerHeartbeat& heartbeat, TimePoint now);
        /// Counts the totals of a source and returns what is new.
        std::vector<std::pair<uint64_t, double>> apply(
            Source& source, const Totals& totals, bool isAuthority, TimePoint now);
    };

    /// The name of the sum that a heartbeat's summary updates.
    std::string groupOf(const PeerHeartbeat& heartbeat) const;
    bool isPrimaryFor(const std::string& daemon) const;
    const std::string& ownDataCentre() const { return m_options.topology.ownDataCentre.text(); }

    PeerSummariesOptions m_options;
    bool m_isActive = false;
    bool m_isAggregator = false;
    struct Aggregator {
        std::string daemon;
        bool isAlive = false;
    };
    std::map<std::string, std::vector<Aggregator>> m_aggregators;
    /// What the daemons of this data centre state; kept by an aggregator.
    std::map<std::string, Contribution> m_contributions;
    /// What they have admitted in total, by this daemon's count.
    Totals m_dataCentreTotals;
    /// See PeerHeartbeat::Summary.
    uint64_t m_count = 0;
    /// What this daemon stated last, the oldest first.
    std::deque<PeerHeartbeat> m_own;
    std::map<std::string, Group> m_groups;
};

} // namespace lentilbay::edge
