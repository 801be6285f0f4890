// Retries before a dispatch: budgets that stop retry storms, backoff, and circuit breakers for endpoints.
#pragma once

#include "lentilbay/Policy/TokenBucket.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>

namespace lentilbay {

struct RetryBudgetOptions {
    /// Retries earned by each first attempt.
    double perRequest = 0.1;
    /// Retries earned each second without any traffic.
    double perSecond = 1;
    /// The most that can be saved up.
    double capacity = 20;

    auto operator<=>(const RetryBudgetOptions&) const = default;
};

/// Retries are a part of the traffic, so that they cannot multiply it when everything fails.
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

/// The wait before retry number `attempt` (from 1): a random part of a bound that doubles each time.
///
/// Source: "full jitter", Brooker, "Exponential backoff and jitter", 2015.
Duration backoff(uint32_t attempt, const BackoffOptions& options, Random& random);

struct CircuitBreakerOptions {
    /// Failures in a row that open it.
    uint32_t failures = 3;
    Duration firstPause = std::chrono::milliseconds(500);
    Duration longestPause = std::chrono::seconds(15);

    auto operator<=>(const CircuitBreakerOptions&) const = default;
};

/// Keeps requests from an endpoint that cannot be reached; after a pause one request at a time tries it.
class CircuitBreaker {
public:
    explicit CircuitBreaker(CircuitBreakerOptions options = {})
        : m_options(options)
    {
    }

    enum class Status : uint8_t { Closed, Open, HalfOpen };

    /// Whether a request may be sent now.
    bool allows(TimePoint now) const;
    /// A request is sent; where it was open, this is the probe.
    void sent(TimePoint now);
    void succeeded();
    /// The pause that follows is drawn between half of its bound and the bound.
    void failed(TimePoint now, Random& random);
    /// A request that was sent was taken back and says nothing of the endpoint.
    void abandoned();

    Status status() const { return m_status; }
    /// When it lets the next probe through; only meaningful while open.
    TimePoint opensAt() const { return m_until; }

private:
    CircuitBreakerOptions m_options;
    Status m_status = Status::Closed;
    uint32_t m_failures = 0;
    uint32_t m_pauses = 0;
    TimePoint m_until {};
};

} // namespace lentilbay
