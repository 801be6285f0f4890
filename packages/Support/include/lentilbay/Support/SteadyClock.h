// The only place that reads the machine's clocks; used by input and output, never by a decision.
#pragma once

#include "lentilbay/Support/Time.h"

#include <ctime>

namespace lentilbay {

inline TimePoint steadyNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint { std::chrono::duration_cast<Duration>(now) };
}

/// Monotonic, and goes on while the host is suspended: for all that another party's safety hangs on.
inline TimePoint bootNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint { std::chrono::seconds(now.tv_sec)
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec)) };
}

inline WallTimePoint wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return WallTimePoint { std::chrono::duration_cast<Duration>(now) };
}

} // namespace lentilbay
