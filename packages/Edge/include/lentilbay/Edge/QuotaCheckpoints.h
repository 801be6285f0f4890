// Keeps in the platform's store what the fleet has admitted of its quotas, and restores it when all daemons
// were restarted at once.
//
// One daemon of each data centre writes the row "use/DATACENTRE" of the table "quotas": often while an
// organisation has used much of its window, rarely while any has used some, and not at all otherwise. A
// daemon that starts reads all rows once before it admits requests by their quotas. If the store does not
// answer it in time, it admits without a history and reads the rows when the store answers. What it hears
// from a peer that counts all use replaces what it has read. See Policy/QuotaCheckpoint.h.
//
// A row is written only if it has the version that the writer knows. A daemon that was suspended, or no
// longer is the writer, therefore learns of a newer row instead of replacing it. Rows that nobody has written
// for long, as those of removed data centres, are deleted by a writer that has read them.
#pragma once

#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Edge/StoreWriter.h"
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

    /// Begins the next call if one is due; called with each round of heartbeats, and at the start.
    /// @param countsAllUse see PeerHeartbeat::countsAllUse
    /// @param isWriter whether this daemon is the one of its data centre that writes
    void update(bool countsAllUse, bool isWriter, TimePoint now);

    /// Whether the quotas account for what was admitted before this process started.
    bool hasHistory() const { return m_countsAllUse || m_isRestored; }
    bool isCalling() const { return m_store.isBusy(); }
    uint64_t calls() const { return m_calls; }
    uint64_t failures() const { return m_failures; }
    /// Writes that were refused because another daemon had written the row.
    uint64_t conflicts() const { return m_conflicts; }
    bool isRestored() const { return m_isRestored; }

private:
    /// Called with the rows of the answer, also of one that has refused a write, or std::nullopt.
    using Done = std::function<void(const std::optional<platform::StoreRows>& rows, bool isRefused)>;

    /// @param isChange whether the call writes or deletes a row
    void send(std::string request, bool isChange, Done done);
    void read();
    void applyRows(const platform::StoreRows& rows);
    void writeIfDue(TimePoint now);
    /// Records the version of the own row, which an answer has shown.
    void recordOwnRow(const platform::StoreRows& rows);
    void deleteAbandonedRow();
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
    StoreWriter m_store;
    std::string m_host;
    std::string m_key;
    bool m_countsAllUse;
    bool m_isRestored = false;
    /// Whether the rows have been read, or need not be.
    bool m_isRead;
    std::optional<StoreClock> m_storeClock;
    TimePoint m_nextReadAt {};
    TimePoint m_lastWrittenAt {};
    /// The version of the own row in the store, 0 if there is none; std::nullopt if it is not known, as after
    /// a write without an answer.
    std::optional<uint64_t> m_ownVersion;
    /// Rows that nobody writes any more.
    std::vector<platform::StoreRow> m_abandoned;
    uint64_t m_calls = 0;
    uint64_t m_failures = 0;
    uint64_t m_conflicts = 0;
};

} // namespace lentilbay::edge
