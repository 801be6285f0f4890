// Enforces one daemon's share of an organisation's fleet-wide limits.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Policy/TokenBucket.h"
#include "lentilbay/Support/ResultCode.h"

#include <optional>
#include <span>
#include <string_view>

namespace lentilbay {

/// The share of an organisation's limits that one daemon may use.
struct LimitShare {
    /// 0 to 1. The fractions of all daemons add up to at most 1 per organisation.
    double fraction = 1;
    /// Concurrent requests; if unset, the limit times `fraction`, rounded down.
    std::optional<int64_t> concurrency;

    auto operator<=>(const LimitShare&) const = default;
};

/// One daemon's share when all daemons have equal shares. The remainder of dividing the concurrency limit is
/// assigned by rendezvous hashing, so that the shares add up to the limit.
/// @param daemons the names of all daemons, `self` among them
LimitShare equalShare(
    const Organisation& organisation, std::span<const std::string_view> daemons, size_t self);

/// The limit that rejected a request, and the time after which a retry may succeed.
struct LimitRefusal {
    ResultCode code = ResultCode::RequestRateLimit;
    Duration retryAfter {};

    auto operator<=>(const LimitRefusal&) const = default;
};

/// Admits an organisation's requests on this daemon and tracks its usage of the limits.
class OrganisationLimiter {
public:
    OrganisationLimiter(const OrganisationLimits& limits, LimitShare share, TimePoint now);

    void configure(const OrganisationLimits& limits, LimitShare share, TimePoint now);

    /// Admits a request and counts it, or returns the limit that it exceeds and counts nothing.
    std::optional<LimitRefusal> admit(double expectedTokens, TimePoint now);
    /// Releases the request's slot and corrects the token usage by the difference to the expected tokens.
    void finished(double expectedTokens, double usedTokens, TimePoint now);

    int64_t concurrent() const { return m_concurrent; }
    /// Requests, admitted or rejected, since the last resetDemand(); used to distribute shares by demand.
    double demand() const { return m_demand; }
    void resetDemand() { m_demand = 0; }

private:
    bool isBelowConcurrencyLimit() const;

    OrganisationLimits m_limits;
    LimitShare m_share;
    std::optional<TokenBucket> m_requests;
    std::optional<TokenBucket> m_tokens;
    int64_t m_concurrent = 0;
    double m_demand = 0;
};

} // namespace lentilbay
