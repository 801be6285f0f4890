// One daemon's process in virtual time.
#pragma once

#include "lentilbay/VirtualFleet/VirtualFleet.h"

namespace lentilbay {

struct VirtualFleet::Daemon {
    DaemonId id;
    VirtualPlace place;
    std::string address;
    /// Counts up with each start, so that events of an earlier process are not given to a later one.
    uint64_t incarnation = 0;
    bool isUp = false;
    bool isPaused = false;
    Blackboard blackboard;
    std::unique_ptr<ControlPlane> plane;
    /// What happened while the process stood still.
    std::vector<std::function<void()>> pending;
    /// Something was reported to the plane since its last step.
    bool isDirty = false;
    TimePoint steppedAt {};
    TimePoint looksForLoadsAt {};
    /// When each owned endpoint is asked for its load next.
    std::map<EndpointId, TimePoint> askLoadAt;
    /// When a leaving daemon may stop at the earliest.
    std::optional<TimePoint> leavesAt;
};

} // namespace lentilbay
