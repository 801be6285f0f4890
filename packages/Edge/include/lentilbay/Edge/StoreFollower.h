// Follows one table of the platform's store: reads it whole, then follows what changes.
//
// It may rest while another daemon's view, told by peers, is known to hold nothing newer than its own.
// It never goes back behind a version that it has seen. After an outage, deletions are held back for a while,
// since entries that lapsed while the store was away return when their owners write again.
#pragma once

#include "lentilbay/Http/ClientConnection.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/platform/StoreCalls.h"

#include <map>

namespace lentilbay::edge {

struct StoreFollowerOptions {
    asio::ip::tcp::endpoint store;
    std::string table;
    /// How long the store may keep a call waiting for a change.
    Duration wait = std::chrono::seconds(1);
    /// The least time between the starts of two calls: a table that changes often costs no more calls.
    Duration spacing = std::chrono::milliseconds(200);
    /// The same while this daemon rests and only reads what peers have seen.
    Duration spacingWhileResting = std::chrono::milliseconds(200);
    /// How long a deletion is held back that is seen shortly after an outage.
    Duration deletionDelay {};
    uint64_t seed = 1;
};

class StoreFollower {
public:
    struct Callbacks {
        std::function<void(const platform::StoreRow&)> changed;
        std::function<void(const std::string& key)> deleted;
        /// What was read is now complete up to the moment of the argument.
        std::function<void(TimePoint confirmedAt)> confirmed;
        /// Whether this daemon leaves the reading to others; asked before each call once the table is known.
        std::function<bool(TimePoint now)> mayRest = {};
        /// Whether another daemon reads, or tries to, and would tell; this one then tries less often while
        /// the store is away.
        std::function<bool()> isHelper = {};
    };

    StoreFollower(asio::io_context& context, StoreFollowerOptions options, Callbacks callbacks);
    ~StoreFollower();

    void start();
    /// Held back deletions whose time has come take effect.
    void step(TimePoint now);
    /// What this daemon knows of the table; the age is left to the caller.
    uint64_t coveredVersion() const { return m_version.value_or(0); }
    uint64_t changedVersion() const { return m_changedVersion; }
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    /// A peer's view was complete up to a version at a time (no earlier than `at`), and held no change after
    /// `changed`. Where this one holds all that, it is as new.
    void peerConfirmed(uint64_t covered, uint64_t changed, TimePoint at);
    uint64_t calls() const { return m_calls; }
    uint64_t failures() const { return m_failures; }

private:
    void call();
    void send();
    void answered(int status, const std::string& body, TimePoint sentAt);
    void apply(const platform::StoreRows& rows, TimePoint now);
    void applySnapshot(TimePoint now);
    void remove(const std::string& key, TimePoint now);
    void failed(const std::string& reason);
    void again(Duration wait);
    void confirm(TimePoint at);

    asio::io_context& m_context;
    StoreFollowerOptions m_options;
    Callbacks m_callbacks;
    Random m_random;
    asio::steady_timer m_timer;
    asio::steady_timer m_timeout;
    std::shared_ptr<http::ClientConnection> m_connection;
    /// Answers to calls before this one are void.
    uint64_t m_callNumber = 0;
    /// Nothing: the table must be read whole.
    std::optional<uint64_t> m_version;
    /// While the table is read whole: the rows so far, and the version of the first page.
    std::map<std::string, platform::StoreRow> m_snapshot;
    std::optional<uint64_t> m_snapshotVersion;
    std::string m_snapshotFrom;
    /// The version of each row in force.
    std::map<std::string, uint64_t> m_known;
    uint64_t m_changedVersion = 0;
    /// A peer's view holds a change that this one lacks.
    bool m_isBehind = false;
    std::optional<TimePoint> m_confirmedAt;
    std::map<std::string, TimePoint> m_deletions;
    bool m_isAway = false;
    int m_failuresInRow = 0;
    TimePoint m_regainedAt {};
    TimePoint m_callStarted {};
    uint64_t m_calls = 0;
    uint64_t m_failures = 0;
};

} // namespace lentilbay::edge
