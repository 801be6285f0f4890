// What a request of a service is expected to take.
#pragma once

#include "lentilbay/Edge/EndpointState.h"

namespace lentilbay::edge {

/// Average processing times at the endpoints of one service.
struct ServiceLatency {
    double nonStreamSeconds = 0;
    double firstEventSeconds = 0;
    double secondsPerPromptToken = 0;
    double secondsPerAnswerToken = 0;
    /// Whether most slots are taken.
    bool isContended = false;

    /// The time to the first event from the send on.
    Duration timeToFirstEvent(const Work& work) const;
    /// The time that the work occupies a slot.
    Duration totalTime(const Work& work) const;
};

} // namespace lentilbay::edge
