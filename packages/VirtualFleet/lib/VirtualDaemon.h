// The state of one daemon's process in virtual time.
#pragma once

#include "lentilbay/VirtualFleet/VirtualFleet.h"

namespace lentilbay {

struct VirtualFleet::Daemon {
    DaemonId id;
    VirtualLocality locality;
    std::string address;
    /// Incremented at each start, so that events scheduled for an earlier process don't reach a later one.
    uint64_t incarnation = 0;
    bool isUp = false;
    bool isPaused = false;
    Blackboard blackboard;
    std::unique_ptr<ControlPlane> plane;
    /// Callbacks that became due while the process was paused.
    std::vector<std::function<void()>> pending;
    /// Whether the control plane has received input since its last step.
    bool isDirty = false;
    TimePoint steppedAt {};
    /// When the owned endpoints are next checked for load polls that are due.
    TimePoint nextLoadScanAt {};
    /// When each owned endpoint is next polled for its load.
    std::map<EndpointId, TimePoint> nextLoadPollAt;
    /// The earliest time at which a draining daemon may exit; nullopt if it is not draining.
    std::optional<TimePoint> earliestExitAt;
};

} // namespace lentilbay
