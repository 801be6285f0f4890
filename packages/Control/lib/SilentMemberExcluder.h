// Excludes daemons of this region that do not acknowledge a version, so that a failed host does not block a
// change. Private to Control.
//
// The decision uses the table alone, and only acknowledgements that have been there for long enough.
// docs/design/Acceptance.md shows why an excluded daemon starts no work under an older version, whether it is
// dead, paused or partitioned.
#pragma once

#include "AcknowledgementWriter.h"
#include "ConfigurationContext.h"

#include <deque>

namespace lentilbay {

class SilentMemberExcluder {
public:
    SilentMemberExcluder(ConfigurationContext& context, AcknowledgementWriter& acknowledgementWriter);

    /// Call this once per poll period on the region's coordinator only.
    void step(const Roster& roster, uint64_t newestVersion, TimePoint now);

private:
    /// The content of the table at a time or later.
    struct Observation {
        TimePoint at;
        uint64_t newestVersion = 0;
        Acknowledgements acknowledgements;
    };

    void excludeSilent(const Roster& roster);
    /// The latest observation made at or before this time, or nullptr.
    const Observation* observationAt(TimePoint time) const;

    ConfigurationContext& m_context;
    AcknowledgementWriter& m_acknowledgementWriter;
    bool m_busy = false;
    /// In time order, as far back as the exclusion decision needs.
    std::deque<Observation> m_observations;
};

} // namespace lentilbay
