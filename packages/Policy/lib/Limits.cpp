// Rate and concurrency limits of organisations.
#include "lentilbay/Policy/Limits.h"

#include "lentilbay/Support/Hash.h"

#include <cassert>
#include <cmath>
#include <utility>

namespace lentilbay {
namespace {

/// The burst allowance: a bucket holds the tokens of this many seconds.
constexpr double burstSeconds = 1;

TokenBucketOptions bucketOptions(double limit, LimitShare share)
{
    const double rate = limit * share.fraction;
    return { .rate = rate, .capacity = rate * burstSeconds };
}

void configureBucket(
    std::optional<TokenBucket>& bucket, std::optional<double> limit, LimitShare share, TimePoint now)
{
    if (!limit) {
        bucket.reset();
    } else if (bucket) {
        bucket->configure(bucketOptions(*limit, share), now);
    } else {
        bucket.emplace(bucketOptions(*limit, share), now);
    }
}

} // namespace

LimitShare equalShare(
    const Organisation& organisation, std::span<const std::string_view> daemons, size_t self)
{
    assert(self < daemons.size() && "self must be an index into daemons");
    LimitShare out { .fraction = 1 / static_cast<double>(daemons.size()) };
    if (!organisation.limits.concurrency)
        return out;
    const auto n = static_cast<int64_t>(daemons.size());
    const auto limit = *organisation.limits.concurrency;
    const auto weightOf = [&](size_t i) { return rendezvousWeight(organisation.name.text(), daemons[i]); };
    int64_t higherRanked = 0;
    for (size_t i = 0; i < daemons.size(); ++i)
        higherRanked
            += std::make_pair(weightOf(i), daemons[i]) > std::make_pair(weightOf(self), daemons[self]) ? 1
                                                                                                       : 0;
    out.concurrency = limit / n + (higherRanked < limit % n ? 1 : 0);
    return out;
}

OrganisationLimiter::OrganisationLimiter(const OrganisationLimits& limits, LimitShare share, TimePoint now)
{
    configure(limits, share, now);
}

void OrganisationLimiter::configure(const OrganisationLimits& limits, LimitShare share, TimePoint now)
{
    m_limits = limits;
    m_share = share;
    configureBucket(m_requests, limits.requestsPerSecond, share, now);
    configureBucket(m_tokens, limits.tokensPerSecond, share, now);
}

bool OrganisationLimiter::isBelowConcurrencyLimit() const
{
    if (!m_limits.concurrency)
        return true;
    if (m_share.concurrency)
        return m_concurrent < *m_share.concurrency;
    const double allowed = static_cast<double>(*m_limits.concurrency) * m_share.fraction;
    return m_concurrent < static_cast<int64_t>(std::floor(allowed + 1e-9));
}

std::optional<LimitRefusal> OrganisationLimiter::admit(double expectedTokens, TimePoint now)
{
    m_demand += 1;
    if (!isBelowConcurrencyLimit())
        return LimitRefusal { .code = ResultCode::ConcurrencyLimit, .retryAfter = std::chrono::seconds(1) };
    if (m_requests && m_requests->timeUntil(1, now) > Duration::zero())
        return LimitRefusal { .code = ResultCode::RequestRateLimit,
            .retryAfter = m_requests->timeUntil(1, now) };
    if (m_tokens && !m_tokens->take(expectedTokens, now)) {
        return LimitRefusal { .code = ResultCode::TokenRateLimit,
            .retryAfter = m_tokens->timeUntil(expectedTokens, now) };
    }
    if (m_requests && !m_requests->take(1, now)) {
        if (m_tokens)
            m_tokens->settle(expectedTokens, now);
        return LimitRefusal { .code = ResultCode::RequestRateLimit,
            .retryAfter = m_requests->timeUntil(1, now) };
    }
    ++m_concurrent;
    return std::nullopt;
}

void OrganisationLimiter::finished(double expectedTokens, double usedTokens, TimePoint now)
{
    --m_concurrent;
    if (m_tokens)
        m_tokens->settle(expectedTokens - usedTokens, now);
}

} // namespace lentilbay
