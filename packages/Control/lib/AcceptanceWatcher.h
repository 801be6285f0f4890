// Tracks how many daemons have acknowledged the newest version, for as long as watch() asked for. Private to
// Control.
#pragma once

#include "ConfigurationContext.h"
#include "RosterScan.h"

namespace lentilbay {

class AcceptanceWatcher {
public:
    explicit AcceptanceWatcher(ConfigurationContext& context);

    void watch(TimePoint until) { m_watchUntil = std::max(m_watchUntil, until); }
    void step(const ConfigurationHead& newest, TimePoint now);
    bool isWatching(TimePoint now) const { return now < m_watchUntil; }
    const AcceptanceProgress& progress() const { return m_progress; }

private:
    void readFloors(const Roster& roster, uint64_t newest);
    void updateProgress(const Roster& roster, uint64_t newest, const Acknowledgements& acknowledgements);

    ConfigurationContext& m_context;
    RosterScan m_scan;
    TimePoint m_watchUntil {};
    TimePoint m_nextRead {};
    bool m_busy = false;
    AcceptanceProgress m_progress;
};

} // namespace lentilbay
