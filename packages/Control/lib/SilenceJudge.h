// Counts daemons of this region out that do not acknowledge, so that a dead host holds no change up. Private
// to Control.
//
// It judges by the table alone, from what stood there long enough. docs/design/Acceptance.md shows why a
// daemon that is counted out takes no work under an older version, whether it is dead, paused or cut off.
#pragma once

#include "ConfigurationContext.h"
#include "FloorRecorder.h"

#include <deque>

namespace lentilbay {

class SilenceJudge {
public:
    SilenceJudge(ConfigurationContext& context, FloorRecorder& recorder);

    /// To be called by the daemon that does this for its region, once a poll period.
    void step(const Roster& roster, uint64_t newestVersion, TimePoint now);

private:
    /// What stood in the table at a time (or later).
    struct Observation {
        TimePoint at;
        uint64_t newestVersion = 0;
        Acknowledgements acknowledgements;
    };

    void judge(const Roster& roster);
    /// The latest observation made at or before that time, or nullptr.
    const Observation* observationAt(TimePoint time) const;

    ConfigurationContext& m_context;
    FloorRecorder& m_recorder;
    bool m_busy = false;
    /// In the order of their times, as far back as a judgement needs.
    std::deque<Observation> m_observations;
};

} // namespace lentilbay
