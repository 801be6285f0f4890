// Maintains this daemon's row in the roster and a snapshot of the whole roster. Private to Control.
#pragma once

#include "ConfigurationContext.h"
#include "ConfigurationRows.h"
#include "RosterScan.h"

#include <functional>
#include <optional>

namespace lentilbay {

class RosterClient {
public:
    explicit RosterClient(ConfigurationContext& context);

    /// Called with each consistent snapshot of the roster.
    std::function<void(Roster, TimePoint)> onRoster;

    /// A roster with this sequence exists; an older snapshot is replaced by a new scan.
    void noteSequence(uint64_t sequence) { m_latestSequence = std::max(m_latestSequence, sequence); }
    void step(TimePoint now);
    /// Starts to remove this daemon from the roster.
    void leave() { m_leaving = true; }

    bool isRegistered() const { return m_registered; }
    bool hasLeft() const { return m_hasLeft; }
    uint64_t latestSequence() const { return m_latestSequence; }
    TimePoint due() const { return m_backoff.due(); }

private:
    /// Reads the daemon's row and the roster's sequence, then writes the updated row.
    void writeOwnRow(TimePoint now);
    void writeRows(const std::vector<std::optional<TableRow>>& rows);
    void beginScan();
    void recordFailure(TimePoint now);

    ConfigurationContext& m_context;
    Backoff m_backoff;
    bool m_busy = false;
    bool m_registered = false;
    bool m_leaving = false;
    bool m_hasLeft = false;
    uint64_t m_latestSequence = 0;
    uint64_t m_snapshotSequence = 0;
    bool m_hasSnapshot = false;
    RosterScan m_scan;
};

} // namespace lentilbay
