// Keeps in the platform's store what the fleet has admitted of its quotas, and restores it when all daemons
// were restarted at once.
//
// One daemon of each data centre writes the row "use/DATACENTRE" of the table "quotas": often while an
// organisation has used much of its window, rarely while any has used some, and not at all otherwise. A
// daemon that starts reads all rows once before it admits requests by their quotas. If the store does not
// answer it in time, it admits without a history and reads the rows when the store answers. What it hears
// from a peer that counts all use replaces what it has read. See Policy/QuotaCheckpoint.h.
#pragma once

#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Http/ClientConnection.h"
#include "lentilbay/Policy/QuotaCheckpoint.h"

namespace lentilbay::edge {

/// The value of a row.
std::string encodeQuotaCheckpoint(const QuotaCheckpoint& checkpoint);
/// Returns std::nullopt if the value cannot be read.
std::optional<QuotaCheckpoint> decodeQuotaCheckpoint(std::string_view text);

class QuotaCheckpoints {
public:
    /// @param startedAt when this process started
    QuotaCheckpoints(EdgeState& state, uint64_t incarnation, TimePoint startedAt);
    ~QuotaCheckpoints();
    QuotaCheckpoints(const QuotaCheckpoints&) = delete;
    QuotaCheckpoints& operator=(const QuotaCheckpoints&) = delete;
    QuotaCheckpoints(QuotaCheckpoints&&) = delete;
    QuotaCheckpoints& operator=(QuotaCheckpoints&&) = delete;

    /// Begins the next call if one is due; called with each round of heartbeats, and at the start.
    /// @param countsAllUse see PeerHeartbeat::countsAllUse
    /// @param isWriter whether this daemon is the one of its data centre that writes
    void update(bool countsAllUse, bool isWriter, TimePoint now);

    /// Whether the quotas account for what was admitted before this process started.
    bool hasHistory() const { return m_countsAllUse || m_isRestored; }
    bool isCalling() const { return m_call != nullptr; }
    uint64_t calls() const { return m_calls; }
    uint64_t failures() const { return m_failures; }
    bool isRestored() const { return m_isRestored; }

private:
    /// Called with the body of a successful response, or std::nullopt.
    using Done = std::function<void(std::optional<std::string> body)>;

    void send(std::string request, Done done);
    void finish(std::optional<std::string> body);
    void read();
    void applyRows(const std::string& body);
    void writeIfDue(TimePoint now);
    /// Admits requests from now on, whether or not something was restored.
    void endWaiting() { m_state.awaitsQuotaHistory = false; }
    std::optional<Duration> storeTime(TimePoint now) const;
    /// What is known of the quotas, and the greatest fraction of its window that an organisation has used.
    std::pair<QuotaCheckpoint, double> checkpoint(Duration takenAt, TimePoint now);

    struct StoreClock {
        Duration time {};
        TimePoint at {};
    };

    EdgeState& m_state;
    uint64_t m_incarnation;
    TimePoint m_startedAt;
    asio::ip::tcp::endpoint m_store;
    std::string m_host;
    bool m_countsAllUse;
    bool m_isRestored = false;
    /// Whether the rows have been read, or need not be.
    bool m_isRead;
    std::optional<StoreClock> m_storeClock;
    TimePoint m_nextReadAt {};
    TimePoint m_lastWrittenAt {};
    std::shared_ptr<http::ClientConnection> m_call;
    Done m_done;
    /// Expires with this object; handlers of a connection may run after it was destroyed.
    std::shared_ptr<const bool> m_lifetime = std::make_shared<const bool>(true);
    asio::steady_timer m_timer;
    uint64_t m_calls = 0;
    uint64_t m_failures = 0;
};

} // namespace lentilbay::edge
