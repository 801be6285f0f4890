// The only place that reads the machine's clocks; used by input and output, never by a decision.
#pragma once

#include "lentilbay/Support/Time.h"

namespace lentilbay {

inline TimePoint steadyNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint { std::chrono::duration_cast<Duration>(now) };
}

inline WallTimePoint wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return WallTimePoint { std::chrono::duration_cast<Duration>(now) };
}

} // namespace lentilbay
