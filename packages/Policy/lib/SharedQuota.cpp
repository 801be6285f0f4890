// Token quotas shared among daemons.
#include "lentilbay/Policy/SharedQuota.h"

#include <algorithm>

namespace lentilbay {
namespace {

TokenBucketOptions optionsOf(const QuotaLimits& limits, double part)
{
    return { .rate = limits.tokensPerSecond * part, .capacity = limits.burstTokens * part };
}

} // namespace

SharedQuota::SharedQuota(const QuotaLimits& limits, bool startsFull, TimePoint now)
    : m_bucket(optionsOf(limits, 1), now)
{
    if (!startsFull)
        m_bucket.settle(-m_bucket.level(now), now);
}

bool SharedQuota::admit(double tokens, const QuotaLimits& limits, const QuotaSharers& sharers, TimePoint now)
{
    const auto known = static_cast<double>(std::max<size_t>(1, sharers.known));
    const double heard = known - static_cast<double>(std::min(sharers.silent, sharers.known));
    m_bucket.configure(optionsOf(limits, heard / known), now);
    if (!m_bucket.take(tokens, now))
        return false;
    m_total += tokens;
    return true;
}

void SharedQuota::giveBack(double tokens, TimePoint now)
{
    m_bucket.settle(tokens, now);
    m_total -= tokens;
}

void SharedQuota::heard(const std::string& daemon, uint64_t incarnation, double admittedTotal, TimePoint now)
{
    auto [it, isNew] = m_peers.try_emplace(daemon, PeerTotal { .incarnation = incarnation, .total = 0 });
    auto& peer = it->second;
    if (peer.incarnation != incarnation)
        peer = { .incarnation = incarnation, .total = 0 };
    m_bucket.settle(peer.total - admittedTotal, now);
    peer.total = admittedTotal;
}

} // namespace lentilbay
