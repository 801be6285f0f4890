// Token quotas shared among daemons.
#include "lentilbay/Policy/SharedQuota.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// Peers are heard for the first time within this time of a start.
constexpr Duration learningTime = std::chrono::seconds(5);

/// Part of the rate that is used until a window has passed since the whole fleet was restarted: nobody knows
/// what was admitted just before.
constexpr double uncertainPart = 0.75;

/// What may be used without hearing from those that are silent.
double partOf(const QuotaSharers& sharers)
{
    const auto known = static_cast<double>(std::max<size_t>(1, sharers.known));
    return 1 - static_cast<double>(std::min(sharers.silent, sharers.known)) / known;
}

/// A daemon that has spent nothing may admit at once what it could in this part of the time between reports.
constexpr double advancePart = 0.5;
/// After so many reports all others know of its last request, however large that was.
constexpr int reportsToBeKnown = 2;

} // namespace

SharedQuota::SharedQuota(
    const QuotaLimits& limits, bool startsFull, const QuotaSharers& sharers, TimePoint now)
    : m_limits(limits)
    , m_bucket({ .capacity = limits.burstTokens }, now)
    , m_advance(startsFull ? limits.burstTokens : 0)
    , m_advancedAt(now)
    , m_startedFull(startsFull)
    , m_startedAt(now)
{
    m_bucket.configure(bucketOptions(sharers, now), now);
    if (!startsFull)
        m_bucket.settle(-m_bucket.level(now), now);
}

bool SharedQuota::knowsWindow(TimePoint now) const
{
    return m_startedFull || m_hasAdopted || now - m_startedAt >= m_limits.window;
}

TokenBucketOptions SharedQuota::bucketOptions(const QuotaSharers& sharers, TimePoint now) const
{
    const double part = partOf(sharers);
    return { .rate = m_limits.tokensPerSecond * part * (knowsWindow(now) ? 1 : uncertainPart),
        .capacity = m_limits.burstTokens * part };
}

bool SharedQuota::admit(double tokens, const QuotaLimits& limits, const QuotaSharers& sharers, TimePoint now)
{
    m_limits = limits;
    m_bucket.configure(bucketOptions(sharers, now), now);
    const double recent = limits.windowTokens > 0 ? inWindow(now) : 0;
    if (recent > 0 && recent + tokens > limits.windowTokens * partOf(sharers))
        return false;
    if (!mayAdvance(sharers, now) || !m_bucket.take(tokens, now))
        return false;
    m_total += tokens;
    m_advance -= tokens;
    m_admittedAt = now;
    m_recent.add(tokens, now);
    m_own.add(tokens, now);
    return true;
}

bool SharedQuota::mayAdvance(const QuotaSharers& sharers, TimePoint now)
{
    const double elapsed = toSeconds(now - m_advancedAt) / toSeconds(sharers.heardEvery);
    m_advancedAt = now;
    if (sharers.known <= sharers.silent + 1)
        return true;
    const double equal = 1 / static_cast<double>(sharers.known - sharers.silent);
    const double all = m_recent.within(m_limits.window, now);
    const double own = all > 0 ? m_own.within(m_limits.window, now) / all : 1;
    const double most = std::max(equal, std::min(1.0, own)) * std::max(0.0, m_bucket.level(now));
    if (now - m_admittedAt >= reportsToBeKnown * sharers.heardEvery)
        m_advance = std::max(m_advance, 0.0);
    m_advance = std::min(m_advance + most * elapsed, most * advancePart);
    return m_advance > 0;
}

void SharedQuota::adopt(double level, double inWindow, TimePoint now)
{
    beginWith(level, now);
    m_hasAdopted = true;
    // When it was admitted isn't told: as good as evenly.
    m_recent = {};
    // Half a second each in the usual window.
    constexpr int parts = 16;
    for (int i = parts; i > 0; --i)
        m_recent.add(inWindow / parts, now - m_limits.window * i / parts);
}

void SharedQuota::beginWith(double level, TimePoint now)
{
    m_advance = std::max(m_advance, level);
    m_bucket.settle(std::max(0.0, level - m_bucket.level(now)), now);
}

void SharedQuota::giveBack(double tokens, TimePoint now)
{
    m_bucket.settle(tokens, now);
    m_recent.add(-tokens, now);
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
    m_bucket.settle(-std::clamp(admittedTotal - before, 0.0, m_limits.burstTokens), now);
    m_recent.add(admittedTotal - before, now);
}

} // namespace lentilbay
