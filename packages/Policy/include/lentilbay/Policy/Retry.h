// Retry policy: budgets that prevent retry storms, exponential backoff, and circuit breakers for endpoints.
#pragma once

#include "lentilbay/Policy/TokenBucket.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>

namespace lentilbay {

struct RetryBudgetOptions {
    /// Retries added to the budget by each first attempt.
    double perRequest = 0.1;
    /// Retries added to the budget per second, regardless of traffic.
    double perSecond = 1;
    /// Maximum number of accumulated retries.
    double capacity = 20;

    auto operator<=>(const RetryBudgetOptions&) const = default;
};

/// Limits retries to a fraction of the traffic, so that they cannot multiply it during an outage.
class RetryBudget {
public:
    RetryBudget(RetryBudgetOptions options, TimePoint now)
        : m_options(options)
        , m_bucket({ .rate = options.perSecond, .capacity = options.capacity }, now)
    {
    }

    void firstAttempt(TimePoint now) { m_bucket.settle(m_options.perRequest, now); }
    bool takeRetry(TimePoint now) { return m_bucket.take(1, now); }

private:
    RetryBudgetOptions m_options;
    TokenBucket m_bucket;
};

struct BackoffOptions {
    Duration base = std::chrono::milliseconds(5);
    Duration longest = std::chrono::seconds(1);

    auto operator<=>(const BackoffOptions&) const = default;
};

/// The delay before retry number `attempt` (from 1): a random fraction of a bound that doubles with each
/// retry.
///
/// Source: "full jitter", Brooker, "Exponential backoff and jitter", 2015.
Duration backoff(uint32_t attempt, const BackoffOptions& options, Random& random);

struct CircuitBreakerOptions {
    /// Consecutive failures that open the breaker.
    uint32_t failures = 3;
    Duration firstPause = std::chrono::milliseconds(500);
    Duration longestPause = std::chrono::seconds(15);

    auto operator<=>(const CircuitBreakerOptions&) const = default;
};

/// Blocks requests to an unreachable endpoint; after a pause it lets one probe request at a time through.
class CircuitBreaker {
public:
    explicit CircuitBreaker(CircuitBreakerOptions options = {})
        : m_options(options)
    {
    }

    enum class Status : uint8_t { Closed, Open, HalfOpen };

    /// Whether a request may be sent now.
    bool allows(TimePoint now) const;
    /// Records that a request is sent. If the breaker is open, this request is the probe.
    void sent(TimePoint now);
    void succeeded();
    /// If this opens the breaker, the pause is drawn uniformly from the upper half of its bound.
    void failed(TimePoint now, Random& random);
    /// A request that was sent has been withdrawn, without information about the endpoint.
    void abandoned();

    Status status() const { return m_status; }
    /// The time from which a probe is allowed; only meaningful while open.
    TimePoint probeAllowedAt() const { return m_openUntil; }

private:
    CircuitBreakerOptions m_options;
    Status m_status = Status::Closed;
    uint32_t m_failures = 0;
    /// Consecutive times that the breaker has opened.
    uint32_t m_openings = 0;
    TimePoint m_openUntil {};
};

} // namespace lentilbay
