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
// - While a sum is overdue, its receivers estimate by the rate of the second before what they are not told.
//   The next sum of the same aggregator corrects the estimate in the window. If all aggregators of a data
//   centre were lost at once, nobody knows what was admitted until the first sum of the next one, and the
//   estimate remains.
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

    /// Tokens by hashOf() the organisation's name.
    using Use = std::vector<std::pair<uint64_t, double>>;

    /// Chooses the aggregators. Returns the sources whose loads no longer apply, because this daemon has
    /// become an aggregator or is one no more.
    std::vector<std::string> update(const PeerTable& peers, bool isStopping, TimePoint now);
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
    void recordOwn(const PeerHeartbeat& own, TimePoint now);
    /// Records a heartbeat in which a daemon states its own loads and use.
    /// @param wasKnown whether this daemon had heard of the sender's process before
    void recordPeer(const PeerHeartbeat& heartbeat, bool wasKnown, TimePoint now);
    /// Records what was admitted according to a heartbeat in which a daemon states its own use.
    void recordUse(const PeerHeartbeat& heartbeat, uint64_t organisation, double tokens, TimePoint now);
    /// Returns, once, what the other daemons are estimated to have admitted while this daemon received no sum
    /// of theirs, if it was not returned by applySummary().
    Use takeEstimatedUse() { return std::exchange(m_estimatedUse, {}); }
    /// Whether the loads and the use that a daemon states of itself are part of a sum that this daemon
    /// receives.
    bool isSummarised(const PeerHeartbeat& heartbeat, TimePoint now) const;

    struct Update {
        /// The name under which the loads replace earlier ones.
        std::string source;
        std::vector<PeerLoad> loads;
        /// What was admitted since the last update. May be negative.
        Use use;
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

    /// Tokens per second, averaged over about a second.
    struct RecentRate {
        double perSecond = 0;
        TimePoint updatedAt {};

        void add(double tokens, TimePoint now);
        double at(TimePoint now) const;
    };

    using Rates = std::unordered_map<uint64_t, RecentRate>;

    /// A sum that this daemon receives from one of several aggregators.
    struct Group {
        /// The aggregator that is counted by.
        std::string authority;
        TimePoint heardAt {};
        Duration period {};
        /// What has been counted; in the fleet's sum, also what was counted in other ways.
        Totals counted;
        /// The rate at which that has grown in the last second.
        Rates rates;
        /// The rate at which this daemon itself admitted when it received the last sum.
        Rates ownRates;
        /// Until when the use that no sum has stated is estimated.
        TimePoint estimatedUntil {};
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
        Use apply(
            Source& source, const Totals& totals, bool isAuthority, const Rates& ownRates, TimePoint now);
        void count(uint64_t organisation, double tokens, TimePoint now);
        /// Counts what is estimated to have been admitted since the last sum or the last estimate, and until
        /// `until`.
        /// @param ownRates at which this daemon itself admits now
        Use estimateUntil(TimePoint until, const Rates& ownRates, TimePoint now);
        /// By what factor an own rate has grown since the last sum.
        double growth(const Rates& before, const Rates& after, uint64_t organisation, TimePoint now) const;
        /// Whether a sum is missing.
        bool isOverdue(TimePoint now) const;
        /// Begins to count by a source that was not compared with the former one.
        Use beginAfterGap(Source& source, const Totals& totals, const Rates& ownRates, TimePoint now);
    };

    /// Estimates what overdue sums would state.
    void estimateOverdue(TimePoint now);
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
    /// The rate at which this daemon itself admits.
    Rates m_ownRates;
    std::map<std::string, Group> m_groups;
    Use m_estimatedUse;
};

} // namespace lentilbay::edge
