// Retry policy: budgets that prevent retry storms, exponential backoff, and circuit breakers for endpoints.
#pragma once

#include "lentilbay/Policy/TokenBucket.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>

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
    /// Failures without a complete answer in between that open the breaker.
    uint32_t failures = 3;
    Duration firstPause = std::chrono::milliseconds(500);
    Duration longestPause = std::chrono::seconds(15);

    auto operator<=>(const CircuitBreakerOptions&) const = default;
};

/// Blocks requests to an endpoint that is unreachable or breaks its answers; after a pause it lets one probe
/// request at a time through.
///
/// Only outcomes count: a connection that stands or a first token is not yet an answer. An outcome counts
/// only if its request was sent after the breaker last opened, so that answers that break together open it
/// once.
class CircuitBreaker {
public:
    /// Identifies a request that was sent, in the order of sending.
    using Attempt = uint64_t;

    explicit CircuitBreaker(CircuitBreakerOptions options = {})
        : m_options(options)
    {
    }

    enum class Status : uint8_t { Closed, Open, HalfOpen };

    /// Whether a request may be sent now.
    bool allows(TimePoint now) const;
    /// Records that a request is sent. Unless the breaker is closed, this request is the probe.
    Attempt sent(TimePoint now);
    /// The endpoint has begun to answer. The next probe need not wait for the end of the answer.
    void progressed(Attempt attempt) { releaseProbe(attempt); }
    /// The endpoint has answered completely.
    void succeeded(Attempt attempt);
    /// If this opens the breaker, the pause is drawn uniformly from the upper half of its bound.
    void failed(Attempt attempt, TimePoint now, Random& random);
    /// The request has been withdrawn, without information about the endpoint.
    void abandoned(Attempt attempt) { releaseProbe(attempt); }

    Status status() const { return m_status; }
    /// The time from which a probe is allowed; only meaningful while open.
    TimePoint probeAllowedAt() const { return m_openUntil; }

private:
    void releaseProbe(Attempt attempt);
    Duration pauseBound() const;

    CircuitBreakerOptions m_options;
    Status m_status = Status::Closed;
    uint32_t m_failures = 0;
    /// Times that the breaker has opened since the last complete answer.
    uint32_t m_openings = 0;
    TimePoint m_openUntil {};
    Attempt m_lastSent = 0;
    /// The last attempt that was sent before the breaker last opened.
    Attempt m_lastBeforeOpening = 0;
    /// The probe that is waited for; empty if the next one may be sent.
    std::optional<Attempt> m_probe;
    /// When the next probe is allowed even without a sign of m_probe.
    TimePoint m_probeUntil {};
};

} // namespace lentilbay
