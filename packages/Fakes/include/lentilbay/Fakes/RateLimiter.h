// The token bucket with which the fake platform services limit the rate of calls.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <optional>

namespace lentilbay::fakes {

class RateLimiter {
public:
    /// Refills perSecond units per second up to burst units. A rate of 0 disables the limit.
    RateLimiter(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_available(burst)
    {
    }

    /// Takes the units and returns nullopt, or returns how long the caller must wait. More units than the
    /// burst are granted when the bucket is full, which leaves a negative balance.
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
    /// At most m_burst; negative after more than the burst was taken at once.
    double m_available;
    std::optional<TimePoint> m_filledAt;
};

} // namespace lentilbay::fakes
