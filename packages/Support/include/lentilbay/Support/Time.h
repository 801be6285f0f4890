// Types of instants and durations, which functions that make decisions take as arguments.
//
// The types have no now() on purpose. Daemons obtain the time from SteadyClock.h and tests from a counter,
// which makes decisions reproducible.
#pragma once

#include <chrono>
#include <cstdint>

namespace lentilbay {

using Duration = std::chrono::microseconds;

/// The clock tag of monotonic instants, which are meaningful within one process only.
struct MonotonicTime {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicTime::time_point;

/// The clock tag of wall-clock instants (UTC, since the epoch), for records and for output that people read.
struct WallTime {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<WallTime>;
    static constexpr bool is_steady = false;
};

using WallTimePoint = WallTime::time_point;

constexpr double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace lentilbay
