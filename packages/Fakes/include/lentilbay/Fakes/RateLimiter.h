// A token bucket over an argument's time: what the fake platform services limit their callers with.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <optional>

namespace lentilbay::fakes {

class RateLimiter {
public:
    /// Units a second, and as many units at most saved up. A rate of 0 limits nothing.
    RateLimiter(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_available(burst)
    {
    }

    /// Takes the units, or returns how long the caller must wait for them. What is more than the burst is let
    /// through when the bucket is full, and leaves a debt.
    std::optional<Duration> take(double units, TimePoint now)
    {
        if (m_perSecond <= 0)
            return std::nullopt;
        if (m_filledAt)
            m_available = std::min(m_burst, m_available + m_perSecond * toSeconds(now - *m_filledAt));
        m_filledAt = now;
        const auto needed = std::min(units, m_burst);
        if (m_available < needed)
            return fromSeconds((needed - m_available) / m_perSecond) + Duration(1);
        m_available -= units;
        return std::nullopt;
    }

private:
    double m_perSecond;
    double m_burst;
    /// At most m_burst; below 0 after more than the burst was taken at once.
    double m_available;
    std::optional<TimePoint> m_filledAt;
};

} // namespace lentilbay::fakes
