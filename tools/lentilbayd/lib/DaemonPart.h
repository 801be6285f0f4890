// What a controller with its input and output looks like to the daemon.
#pragma once

#include "lentilbay/Support/Time.h"

#include <optional>

namespace lentilbay {

/// A part of the daemon: it reads and writes the blackboard in step(), and calls Daemon::wake() after events.
class DaemonPart {
public:
    DaemonPart() = default;
    DaemonPart(const DaemonPart&) = delete;
    DaemonPart& operator=(const DaemonPart&) = delete;
    virtual ~DaemonPart() = default;

    /// Called after each batch of events and at nextWake().
    virtual void step(TimePoint now) = 0;
    virtual std::optional<TimePoint> nextWake() const { return std::nullopt; }
    /// Whether the part has nothing left to finish once the daemon is leaving.
    virtual bool isQuiet() const { return true; }
};

} // namespace lentilbay
