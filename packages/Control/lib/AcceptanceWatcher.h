// Finds out from the table how far the newest version has got, while somebody wants to know. Private to
// Control.
#pragma once

#include "ConfigurationContext.h"
#include "RosterScan.h"

namespace lentilbay {

class AcceptanceWatcher {
public:
    explicit AcceptanceWatcher(ConfigurationContext& context);

    void watch(TimePoint until) { m_until = std::max(m_until, until); }
    void step(const ConfigurationHead& newest, TimePoint now);
    bool isWatching(TimePoint now) const { return now < m_until; }
    const AcceptanceProgress& progress() const { return m_progress; }

private:
    void readFloors(const Roster& roster, uint64_t newest);
    void judge(const Roster& roster, uint64_t newest, const Acknowledgements& acknowledgements);

    ConfigurationContext& m_context;
    RosterScan m_scan;
    TimePoint m_until {};
    TimePoint m_due {};
    bool m_busy = false;
    AcceptanceProgress m_progress;
};

} // namespace lentilbay
