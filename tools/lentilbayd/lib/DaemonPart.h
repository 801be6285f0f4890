// Interface between the daemon and its parts.
#pragma once

#include "lentilbay/Support/Time.h"

#include <optional>

namespace lentilbay {

/// A component with its own I/O. It reads and writes the blackboard in step() and calls Daemon::wake() after
/// I/O events.
class DaemonPart {
public:
    DaemonPart() = default;
    DaemonPart(const DaemonPart&) = delete;
    DaemonPart& operator=(const DaemonPart&) = delete;
    virtual ~DaemonPart() = default;

    /// Called after each batch of events and at nextWake().
    virtual void step(TimePoint now) = 0;
    virtual std::optional<TimePoint> nextWake() const { return std::nullopt; }
    /// Returns true if the part has no work that a draining daemon must still finish.
    virtual bool isIdle() const { return true; }
};

} // namespace lentilbay
