// Keeps calls from a service that is away, and lets single calls through to see whether it is back.
#pragma once

#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace lentilbay {

struct CircuitBreakerOptions {
    /// So many failures in a row open the breaker.
    uint32_t failures = 5;
    Duration leastPause = std::chrono::milliseconds(500);
    Duration mostPause = std::chrono::seconds(10);
};

class CircuitBreaker {
public:
    CircuitBreaker(CircuitBreakerOptions options, uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_pause(options.leastPause)
    {
    }

    /// Whether a call may be made now. While the breaker is open, one call in each pause is a probe.
    bool allows(TimePoint now)
    {
        if (!m_isOpen)
            return true;
        if (now < m_nextProbe)
            return false;
        scheduleProbe(now);
        return true;
    }

    /// True where this closed the breaker.
    bool succeeded()
    {
        m_failures = 0;
        m_pause = m_options.leastPause;
        return std::exchange(m_isOpen, false);
    }

    /// True where this opened the breaker.
    bool failed(TimePoint now)
    {
        ++m_failures;
        if (m_isOpen || m_failures < m_options.failures)
            return false;
        m_isOpen = true;
        scheduleProbe(now);
        return true;
    }

    bool isOpen() const { return m_isOpen; }

private:
    /// Spread at random, so that a fleet does not return all at once.
    void scheduleProbe(TimePoint now)
    {
        const auto half = static_cast<uint64_t>(m_pause.count() / 2);
        m_nextProbe = now + Duration(half + m_random.below(half + 1));
        m_pause = std::min(m_options.mostPause, m_pause * 2);
    }

    CircuitBreakerOptions m_options;
    Random m_random;
    Duration m_pause;
    uint32_t m_failures = 0;
    bool m_isOpen = false;
    TimePoint m_nextProbe {};
};

/// Bounds retries to a share of the calls, so that retries never multiply the load of a service in trouble.
class RetryBudget {
public:
    explicit RetryBudget(double perCall = 0.1, double most = 10)
        : m_perCall(perCall)
        , m_most(most)
        , m_tokens(most)
    {
    }

    void called() { m_tokens = std::min(m_most, m_tokens + m_perCall); }

    bool takeRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perCall;
    double m_most;
    double m_tokens;
};

} // namespace lentilbay
