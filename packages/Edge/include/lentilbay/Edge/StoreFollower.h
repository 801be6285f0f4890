// Follows one table of the platform's store: reads a snapshot, then follows the changes.
//
// TableReplica decides what an answer changes; this class makes the calls.
//
// Polling may be skipped while another daemon's view, received in heartbeats, is known to contain nothing
// newer than this one. The follower never returns to a version older than one that it has seen. In a new era
// of the store it reads a snapshot again, whether it learns of the era from an answer, from a follower of
// another table or from a peer; answers of an earlier era are dropped.
//
// While the store is unreachable, new calls start at short intervals whether or not the previous ones have
// ended, so that the view is current again soon after the store's return, however calls fail. Once an answer
// arrives, the other calls end, and it is read for as long as bytes arrive. After an
// outage, deletions are delayed, because entries that expired while the store was unreachable return when
// their owners write them again.
#pragma once

#include "lentilbay/Edge/TableReplica.h"
#include "lentilbay/Http/ClientConnection.h"
#include "lentilbay/Support/Random.h"

namespace lentilbay::edge {

struct StoreFollowerOptions {
    asio::ip::tcp::endpoint store;
    std::string table;
    /// How long the store may hold a call while it waits for a change.
    Duration wait = std::chrono::seconds(1);
    /// The minimum time between the starts of two calls, which bounds the number of calls for a table that
    /// changes often.
    Duration spacing = std::chrono::milliseconds(200);
    /// The same while this daemon is passive and reads only the changes that peers have seen.
    Duration spacingWhilePassive = std::chrono::milliseconds(200);
    /// The time within which the snapshot of a new era is read, which spreads the reads of many daemons.
    Duration eraReadSpread {};
    TableReplicaOptions replica;
    uint64_t seed = 1;
};

class StoreFollower {
public:
    struct Callbacks {
        std::function<void(const platform::StoreRow&)> changed;
        std::function<void(const std::string& key)> deleted;
        /// The store has lost the row.
        std::function<void(const std::string& key)> lost = {};
        /// The rows delivered so far are complete as of `confirmedAt`.
        std::function<void(TimePoint confirmedAt)> confirmed;
        /// For how long another daemon reads the table for this one, unless something changes; zero if none
        /// does. Called before each call once a snapshot has been read.
        std::function<Duration(TimePoint now)> skipPollingFor = {};
        /// Whether another daemon reads the table, or tries to, and would report changes; this one then
        /// retries less often while the store is unreachable.
        std::function<bool()> hasOtherReader = {};
        /// An answer or a peer has shown that the store is in a later era.
        std::function<void(uint64_t era)> eraChanged = {};
    };

    StoreFollower(asio::io_context& context, StoreFollowerOptions options, Callbacks callbacks);
    ~StoreFollower();

    void start();
    /// Starts the next call now if none is in progress.
    void pollNow();
    /// Reads the changes now, whoever else reads them, and confirms the view as of now or later.
    void readNow(TimePoint now);
    /// Applies the delayed changes that are due.
    void applyDueChanges(TimePoint now);
    bool hasDelayedChanges() const { return m_replica.hasDelayedChanges(); }
    /// How much of the table this daemon has seen, for its heartbeats; the caller adds the age.
    std::optional<StoreVersion> coveredVersion() const { return m_replica.covered(); }
    StoreVersion changedVersion() const { return m_replica.changed(); }
    /// While changes are reported that the store has held a call for: when the call was sent, and the store
    /// had no change.
    std::optional<TimePoint> heldSince() const { return m_heldSince; }
    /// While changes are reported: whether they are those of a snapshot, whose rows may have been written in
    /// an earlier era.
    bool isReportingSnapshot() const { return m_isReportingSnapshot; }
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    /// Records that a peer's view was complete up to version `covered` no earlier than `at`, and contained no
    /// change after version `changed`. If this view contains all of that, it is confirmed as of `at`.
    void peerConfirmed(StoreVersion covered, StoreVersion changed, TimePoint at);
    /// Applies all rows of a peer's view, which was complete no earlier than `at`. Returns whether they are
    /// at least as new as this view.
    bool applyPeerRows(const ReplicaRows& peer, TimePoint at);
    /// The rows as they apply at `now`; see TableReplica::rows().
    std::optional<ReplicaRows> rows(TimePoint now) const { return m_replica.rows(now); }
    /// When the newest view that a peer has reported was complete.
    TimePoint peerContactAt() const { return m_peerContactAt; }
    /// Changes how long the store may hold a call.
    void setWait(Duration wait) { m_options.wait = wait; }
    /// Whether a peer has seen a change that this view lacks.
    bool isBehind() const { return m_isBehind; }
    bool isStoreUnreachable() const { return m_isStoreUnreachable; }
    /// When the store last answered this daemon.
    TimePoint answeredAt() const { return m_answeredAt; }
    /// Reads the table again if the era is later than the known one.
    void enterEra(uint64_t era, TimePoint now);
    /// Whether an answer is arriving.
    bool isReceiving(TimePoint now) const;
    uint64_t calls() const { return m_calls; }
    uint64_t failures() const { return m_failures; }

private:
    /// One call to the store, from connecting to its answer.
    struct Call;

    void startCall();
    /// Ends the call after that time, unless its answer is arriving then.
    void armTimeout(const std::shared_ptr<Call>& call, Duration wait);
    /// Records that bytes of the answer have arrived.
    void recordReceived(const std::shared_ptr<Call>& call, TimePoint now);
    void send(const std::shared_ptr<Call>& call);
    void handleAnswer(const std::shared_ptr<Call>& call);
    /// Whether the answer is of the current era and continues what has been read; enters a later era.
    bool isCurrent(const std::shared_ptr<Call>& call, TimePoint now);
    void report(const std::vector<RowChange>& changes);
    void handleFailure(const std::shared_ptr<Call>& call, const std::string& reason);
    /// Drops all calls in progress and keeps the connection of the answered one.
    void endCalls(const std::shared_ptr<Call>& answered);
    /// How long the store may hold the next call. If there is something to read, the answer is due
    /// immediately, and a connection that has died is noticed sooner.
    Duration longPollWait() const;
    /// Schedules the next call; replaces the one that was scheduled before.
    void scheduleCall(Duration wait);
    Duration retryDelay(TimePoint now);
    /// Whether a peer has reached the store since this daemon found it unreachable.
    bool isReachedByPeer(TimePoint now) const;
    /// Records that a daemon has read the store with a call that was sent at `at` or later.
    void recordContact(TimePoint at, TimePoint now);
    void confirm(TimePoint at);

    asio::io_context& m_context;
    StoreFollowerOptions m_options;
    Callbacks m_callbacks;
    Random m_random;
    asio::steady_timer m_timer;
    /// The connection of the last answered call, for the next one.
    std::shared_ptr<http::ClientConnection> m_idleConnection;
    /// One at most while the store is reachable. The first answer ends the others.
    std::vector<std::shared_ptr<Call>> m_openCalls;
    TableReplica m_replica;
    /// A peer has seen a change that this view lacks.
    bool m_isBehind = false;
    /// The next call is made for readNow().
    bool m_mustRead = false;
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_heldSince;
    bool m_isReportingSnapshot = false;
    /// Until then the store may lack changes of the former era that peers have seen and this daemon has not.
    TimePoint m_incompleteUntil {};
    bool m_isStoreUnreachable = false;
    TimePoint m_unreachableSince {};
    TimePoint m_answeredAt {};
    /// The time of the newest view that a peer has reported.
    TimePoint m_peerContactAt {};
    int m_failuresInRow = 0;
    /// When the store was last known to answer this daemon or a peer.
    TimePoint m_contactAt {};
    /// The latest time in which no daemon is known to have read the store, if it was long enough for entries
    /// to expire.
    struct Outage {
        Duration length {};
        TimePoint endedAt {};
    };
    Outage m_outage;
    TimePoint m_callStarted {};
    uint64_t m_calls = 0;
    uint64_t m_failures = 0;
};

} // namespace lentilbay::edge
