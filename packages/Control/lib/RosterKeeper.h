// This daemon's row in the roster, and snapshots of the whole. Private to Control.
#pragma once

#include "ConfigurationContext.h"
#include "ConfigurationRows.h"
#include "RosterScan.h"

#include <functional>
#include <optional>

namespace lentilbay {

class RosterKeeper {
public:
    explicit RosterKeeper(ConfigurationContext& context);

    /// Called with each consistent snapshot.
    std::function<void(Roster, TimePoint)> onRoster;

    /// A roster with this sequence exists; an older snapshot is replaced.
    void hear(uint64_t sequence) { m_heard = std::max(m_heard, sequence); }
    void step(TimePoint now);
    /// Takes this daemon's name off the roster.
    void leave() { m_leaving = true; }

    bool isRegistered() const { return m_registered; }
    bool isOff() const { return m_off; }
    uint64_t heard() const { return m_heard; }
    TimePoint due() const { return m_backoff.due(); }

private:
    /// Reads the row and the sequence, then writes the row as it should be.
    void writeOwnRow(TimePoint now);
    void writeRows(const std::vector<std::optional<TableRow>>& rows);
    void beginScan();
    void failed(TimePoint now);

    ConfigurationContext& m_context;
    Backoff m_backoff;
    bool m_busy = false;
    bool m_registered = false;
    bool m_leaving = false;
    bool m_off = false;
    uint64_t m_heard = 0;
    uint64_t m_read = 0;
    bool m_hasRead = false;
    RosterScan m_scan;
};

} // namespace lentilbay
