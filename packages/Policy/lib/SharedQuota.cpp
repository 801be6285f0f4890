// Token quotas shared among daemons.
#include "lentilbay/Policy/SharedQuota.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// Peers are heard for the first time within this time of a start.
constexpr Duration learningTime = std::chrono::seconds(5);

/// What may be used without hearing from those that are silent.
TokenBucketOptions optionsOf(const QuotaLimits& limits, const QuotaSharers& sharers)
{
    const auto known = static_cast<double>(std::max<size_t>(1, sharers.known));
    const double part = 1 - static_cast<double>(std::min(sharers.silent, sharers.known)) / known;
    return { .rate = limits.tokensPerSecond * part, .capacity = limits.burstTokens * part };
}

} // namespace

SharedQuota::SharedQuota(
    const QuotaLimits& limits, bool startsFull, const QuotaSharers& sharers, TimePoint now)
    : m_bucket(optionsOf(limits, sharers), now)
    , m_startedFull(startsFull)
    , m_startedAt(now)
    , m_capacity(limits.burstTokens)
{
    if (!startsFull)
        m_bucket.settle(-m_bucket.level(now), now);
}

bool SharedQuota::admit(double tokens, const QuotaLimits& limits, const QuotaSharers& sharers, TimePoint now)
{
    m_capacity = limits.burstTokens;
    m_bucket.configure(optionsOf(limits, sharers), now);
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

void SharedQuota::heard(const std::string& daemon, const QuotaReport& report, TimePoint now)
{
    auto [it, isNew] = m_peers.try_emplace(daemon);
    auto& peer = it->second;
    // What a peer admitted before this daemon was restarted is in the level that it began with. A peer that
    // was itself restarted tells of what came since, which is in no level.
    const bool isPast = isNew && report.countsAllUse && !m_startedFull && now - m_startedAt < learningTime;
    const double admittedTotal = report.admittedTotal;
    const double before = isPast ? admittedTotal : (peer.incarnation == report.incarnation ? peer.total : 0);
    peer = { .incarnation = report.incarnation, .total = admittedTotal };
    // More than a whole bucket can only have been admitted over a time in which as much came in.
    m_bucket.settle(-std::clamp(admittedTotal - before, 0.0, m_capacity), now);
}

} // namespace lentilbay
