// Circuit breaker and retry budget for calls to the table and object services.
#pragma once

#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace lentilbay {

struct StoreCircuitBreakerOptions {
    /// Number of consecutive failures that opens the breaker.
    uint32_t failureThreshold = 5;
    /// Upper bound of the delay before the first probe. It doubles with each probe, up to maxProbeDelay; the
    /// delay is randomized between half of the bound and the bound.
    Duration initialProbeDelay = std::chrono::milliseconds(500);
    Duration maxProbeDelay = std::chrono::seconds(10);
};

/// Blocks calls to an unavailable service, and lets single probe calls through to detect its recovery.
class StoreCircuitBreaker {
public:
    StoreCircuitBreaker(StoreCircuitBreakerOptions options, uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_probeDelay(options.initialProbeDelay)
    {
    }

    /// Returns whether a call may be made now. While the breaker is open, one call per probe delay is let
    /// through.
    bool allows(TimePoint now)
    {
        if (!m_isOpen)
            return true;
        if (now < m_nextProbe)
            return false;
        scheduleProbe(now);
        return true;
    }

    /// Returns whether this closed the breaker.
    bool recordSuccess()
    {
        m_consecutiveFailures = 0;
        m_probeDelay = m_options.initialProbeDelay;
        return std::exchange(m_isOpen, false);
    }

    /// Returns whether this opened the breaker.
    bool recordFailure(TimePoint now)
    {
        ++m_consecutiveFailures;
        if (m_isOpen || m_consecutiveFailures < m_options.failureThreshold)
            return false;
        m_isOpen = true;
        scheduleProbe(now);
        return true;
    }

    bool isOpen() const { return m_isOpen; }

private:
    /// Adds jitter, so that the daemons of a fleet do not probe a recovering service at the same time.
    void scheduleProbe(TimePoint now)
    {
        const auto half = static_cast<uint64_t>(m_probeDelay.count() / 2);
        m_nextProbe = now + Duration(half + m_random.below(half + 1));
        m_probeDelay = std::min(m_options.maxProbeDelay, m_probeDelay * 2);
    }

    StoreCircuitBreakerOptions m_options;
    Random m_random;
    Duration m_probeDelay;
    uint32_t m_consecutiveFailures = 0;
    bool m_isOpen = false;
    TimePoint m_nextProbe {};
};

/// Limits retries to a fraction of the calls, so that retries do not multiply the load of a failing service.
class StoreRetryBudget {
public:
    explicit StoreRetryBudget(double tokensPerCall = 0.1, double maxTokens = 10)
        : m_tokensPerCall(tokensPerCall)
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    {
    }

    void recordCall() { m_tokens = std::min(m_maxTokens, m_tokens + m_tokensPerCall); }

    bool takeRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokensPerCall;
    double m_maxTokens;
    double m_tokens;
};

} // namespace lentilbay
