// Time as an argument: the types of instants and durations that deciding functions take.
//
// The types have no clock behind them on purpose. Daemons fill them from SteadyClock.h, tests from a counter,
// and so a test replays a decision to the letter.
#pragma once

#include <chrono>
#include <cstdint>

namespace lentilbay {

using Duration = std::chrono::microseconds;

/// The tag of monotonic instants inside one process; they mean nothing in another.
struct MonotonicTime {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicTime>;
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicTime::time_point;

/// The tag of wall-clock instants (UTC, from the epoch); only records and answers to people hold them.
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
