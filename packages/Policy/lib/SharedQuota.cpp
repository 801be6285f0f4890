// Token quotas shared among daemons.
#include "lentilbay/Policy/SharedQuota.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// Peers are heard for the first time within this time of a start.
constexpr Duration learningTime = std::chrono::seconds(5);

TokenBucketOptions optionsOf(const QuotaLimits& limits, double part)
{
    return { .rate = limits.tokensPerSecond * part, .capacity = limits.burstTokens * part };
}

} // namespace

SharedQuota::SharedQuota(const QuotaLimits& limits, bool startsFull, TimePoint now)
    : m_bucket(optionsOf(limits, 1), now)
    , m_startedFull(startsFull)
    , m_startedAt(now)
    , m_capacity(limits.burstTokens)
{
    if (!startsFull)
        m_bucket.settle(-m_bucket.level(now), now);
}

bool SharedQuota::admit(double tokens, const QuotaLimits& limits, const QuotaSharers& sharers, TimePoint now)
{
    const auto known = static_cast<double>(std::max<size_t>(1, sharers.known));
    const double heard = known - static_cast<double>(std::min(sharers.silent, sharers.known));
    m_capacity = limits.burstTokens;
    m_bucket.configure(optionsOf(limits, heard / known), now);
    if (!m_bucket.take(tokens, now))
        return false;
    m_total += tokens;
    return true;
}

void SharedQuota::adoptLevel(double level, TimePoint now)
{
    m_bucket.settle(std::max(0.0, level - m_bucket.level(now)), now);
}

void SharedQuota::giveBack(double tokens, TimePoint now)
{
    m_bucket.settle(tokens, now);
    m_total -= tokens;
}

void SharedQuota::heard(const std::string& daemon, uint64_t incarnation, double admittedTotal, TimePoint now)
{
    auto [it, isNew] = m_peers.try_emplace(daemon);
    auto& peer = it->second;
    // What a peer admitted before this daemon was restarted is in the level that it began with.
    const bool isPast = isNew && !m_startedFull && now - m_startedAt < learningTime;
    const double before = isPast ? admittedTotal : (peer.incarnation == incarnation ? peer.total : 0);
    peer = { .incarnation = incarnation, .total = admittedTotal };
    // More than a whole bucket can only have been admitted over a time in which as much came in.
    m_bucket.settle(-std::clamp(admittedTotal - before, 0.0, m_capacity), now);
}

} // namespace lentilbay
