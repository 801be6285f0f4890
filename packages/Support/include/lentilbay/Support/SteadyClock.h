// The only functions that read the host's clocks. I/O code calls them; functions that make decisions
// take the time as an argument.
#pragma once

#include "lentilbay/Support/Time.h"

#include <ctime>

namespace lentilbay {

inline TimePoint steadyNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint { std::chrono::duration_cast<Duration>(now) };
}

/// Monotonic and, unlike steadyNow(), advancing while the host is suspended. Use it for time limits that
/// another process relies on, such as leases.
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
