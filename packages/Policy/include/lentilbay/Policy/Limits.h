// The limits of an organisation as one daemon applies them: its share of what holds for the fleet.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Policy/TokenBucket.h"
#include "lentilbay/Support/ResultCode.h"

#include <optional>
#include <span>
#include <string_view>

namespace lentilbay {

/// The part of an organisation's limits that this daemon may use.
struct LimitShare {
    /// 0 to 1. Over all daemons the shares of one organisation never add up to more than 1.
    double fraction = 1;
    /// Requests at once; nothing means the fraction of the limit, rounded down.
    std::optional<int64_t> concurrency;

    auto operator<=>(const LimitShare&) const = default;
};

/// The share of one of the daemons when all have equal shares. Requests at once that are left over go to
/// daemons by rendezvous hashing, so that the daemons' parts add up to the limit.
/// @param daemons the names of all daemons, `self` among them
LimitShare equalShare(
    const Organisation& organisation, std::span<const std::string_view> daemons, size_t self);

/// Which limit refused a request, and when it may come again.
struct LimitRefusal {
    ResultCode code = ResultCode::RequestRateLimit;
    Duration retryAfter {};

    auto operator<=>(const LimitRefusal&) const = default;
};

/// What an organisation used of its limits here.
class OrganisationUse {
public:
    OrganisationUse(const OrganisationLimits& limits, LimitShare share, TimePoint now);

    void configure(const OrganisationLimits& limits, LimitShare share, TimePoint now);

    /// Counts a request in, or says which limit it breaks; then nothing is counted.
    std::optional<LimitRefusal> admit(double expectedTokens, TimePoint now);
    /// The request ended; the tokens are settled against what was expected.
    void finished(double expectedTokens, double usedTokens, TimePoint now);

    int64_t concurrent() const { return m_concurrent; }
    /// Requests a second that were let in or refused for want of rate, as a demand for a share.
    double demand() const { return m_demand; }
    void resetDemand() { m_demand = 0; }

private:
    bool roundedConcurrencyAllows() const;

    OrganisationLimits m_limits;
    LimitShare m_share;
    std::optional<TokenBucket> m_requests;
    std::optional<TokenBucket> m_tokens;
    int64_t m_concurrent = 0;
    double m_demand = 0;
};

} // namespace lentilbay
