// Token bucket, sliding window and allowance of a quota shared by daemons.
#include "lentilbay/Policy/SharedQuota.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// Within this time after its start a daemon receives the first report of every peer.
constexpr Duration peerDiscoveryTime = std::chrono::seconds(5);

/// The fraction of the rate used until one window has passed after a restart of the whole fleet, because no
/// daemon knows what was admitted just before.
constexpr double unknownWindowRateFraction = 0.75;

/// The fraction of the quota that is not reserved for silent peers.
double usableFraction(const QuotaParticipants& participants)
{
    const auto known = static_cast<double>(std::max<size_t>(1, participants.known));
    return 1 - static_cast<double>(std::min(participants.silent, participants.known)) / known;
}

/// Caps the accumulated allowance, as a fraction of that of one report interval.
constexpr double maxAllowanceIntervals = 0.5;
/// After this many report intervals all peers know of the last admission, whatever its size.
constexpr int intervalsUntilKnown = 2;

} // namespace

SharedQuota::SharedQuota(
    const QuotaLimits& limits, bool startsFull, const QuotaParticipants& participants, TimePoint now)
    : m_limits(limits)
    , m_bucket({ .capacity = limits.burstTokens }, now)
    , m_allowance(startsFull ? limits.burstTokens : 0)
    , m_allowanceRefilledAt(now)
    , m_startedFull(startsFull)
    , m_startedAt(now)
{
    m_bucket.configure(bucketOptions(participants, now), now);
    if (!startsFull)
        m_bucket.settle(-m_bucket.level(now), now);
}

bool SharedQuota::isWindowKnown(TimePoint now) const
{
    return m_startedFull || m_hasAdopted || now - m_startedAt >= m_limits.window;
}

TokenBucketOptions SharedQuota::bucketOptions(const QuotaParticipants& participants, TimePoint now) const
{
    const double fraction = usableFraction(participants);
    return { .rate
        = m_limits.tokensPerSecond * fraction * (isWindowKnown(now) ? 1 : unknownWindowRateFraction),
        .capacity = m_limits.burstTokens * fraction };
}

bool SharedQuota::admit(
    double tokens, const QuotaLimits& limits, const QuotaParticipants& participants, TimePoint now)
{
    m_limits = limits;
    m_bucket.configure(bucketOptions(participants, now), now);
    const double recent = limits.windowTokens > 0 ? admittedInWindow(now) : 0;
    if (recent > 0 && recent + tokens > limits.windowTokens * usableFraction(participants))
        return false;
    if (!refillAllowance(participants, now) || !m_bucket.take(tokens, now))
        return false;
    m_admittedTotal += tokens;
    m_allowance -= tokens;
    m_lastAdmittedAt = now;
    m_fleetAdmissions.add(tokens, now);
    m_ownAdmissions.add(tokens, now);
    return true;
}

bool SharedQuota::refillAllowance(const QuotaParticipants& participants, TimePoint now)
{
    const double elapsedIntervals
        = toSeconds(now - m_allowanceRefilledAt) / toSeconds(participants.reportInterval);
    m_allowanceRefilledAt = now;
    if (participants.known <= participants.silent + 1)
        return true;
    const double equalShare = 1 / static_cast<double>(participants.known - participants.silent);
    const double fleetTokens = m_fleetAdmissions.within(m_limits.window, now);
    const double ownShare = fleetTokens > 0 ? m_ownAdmissions.within(m_limits.window, now) / fleetTokens : 1;
    const double perInterval
        = std::max(equalShare, std::min(1.0, ownShare)) * std::max(0.0, m_bucket.level(now));
    if (now - m_lastAdmittedAt >= intervalsUntilKnown * participants.reportInterval)
        m_allowance = std::max(m_allowance, 0.0);
    m_allowance = std::min(m_allowance + perInterval * elapsedIntervals, perInterval * maxAllowanceIntervals);
    return m_allowance > 0;
}

void SharedQuota::adopt(double level, double inWindow, TimePoint now)
{
    raiseLevelTo(level, now);
    m_hasAdopted = true;
    // The report has no times of admission, so spread the sum evenly over the window.
    m_fleetAdmissions = {};
    // Half a second per part in the usual window of 8 s.
    constexpr int parts = 16;
    for (int i = parts; i > 0; --i)
        m_fleetAdmissions.add(inWindow / parts, now - m_limits.window * i / parts);
}

void SharedQuota::raiseLevelTo(double level, TimePoint now)
{
    m_allowance = std::max(m_allowance, level);
    m_bucket.settle(std::max(0.0, level - m_bucket.level(now)), now);
}

void SharedQuota::refund(double tokens, TimePoint now)
{
    m_bucket.settle(tokens, now);
    m_fleetAdmissions.add(-tokens, now);
    m_admittedTotal -= tokens;
}

void SharedQuota::applyReport(const std::string& daemon, const QuotaReport& report, TimePoint now)
{
    auto [it, isNew] = m_peers.try_emplace(daemon);
    auto& peer = it->second;
    // The first total of a peer that covers all use includes tokens admitted before this daemon restarted,
    // and the initial level accounts for these. The total of a peer that has itself restarted covers only the
    // time since then, which no level accounts for.
    const bool isAlreadyCounted
        = isNew && report.countsAllUse && !m_startedFull && now - m_startedAt < peerDiscoveryTime;
    const double admittedTotal = report.admittedTotal;
    const double counted
        = isAlreadyCounted ? admittedTotal : (peer.incarnation == report.incarnation ? peer.total : 0);
    peer = { .incarnation = report.incarnation, .total = admittedTotal };
    // Tokens beyond the bucket's capacity were admitted while at least as many flowed in.
    m_bucket.settle(-std::clamp(admittedTotal - counted, 0.0, m_limits.burstTokens), now);
    m_fleetAdmissions.add(admittedTotal - counted, now);
}

} // namespace lentilbay
