// When a daemon that stops has to end what is still open, on an event loop that may be late.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>

namespace lentilbay::edge {

/// How often a daemon that stops checks whether it is done.
constexpr Duration stopCheckPeriod = std::chrono::milliseconds(100);
/// The process ends this long before the grace period is over, whatever is still open. The last requests end
/// earlier, see EdgeState::requestsEndAt().
constexpr Duration exitMargin = std::chrono::milliseconds(300);
/// The last check is not sooner than this part of the grace period before its end, however late the event
/// loop is: endpoints are still at work on requests.
constexpr int shareOfLastCheck = 6;

struct StopSchedule {
    /// From SIGTERM until the process may be killed.
    Duration grace {};
    TimePoint graceEndsAt {};
    /// How late the event loop has to be expected to come to the next check.
    Duration expectedDelay {};

    /// Whether a check at `now` is the last one that is sure to come in time.
    bool isLastCheck(TimePoint now) const
    {
        const Duration longest = grace / shareOfLastCheck;
        return now + std::min(longest, exitMargin + stopCheckPeriod + expectedDelay) >= graceEndsAt;
    }
};

} // namespace lentilbay::edge
