// Token bucket, sliding window and allowance of a quota shared by daemons.
#include "lentilbay/Policy/SharedQuota.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <numeric>
#include <utility>

namespace lentilbay {
namespace {

/// Within this time after its start a daemon receives the first report of every peer.
constexpr Duration peerDiscoveryTime = std::chrono::seconds(5);

/// The fraction of the quota that is not reserved for silent peers.
double usableFraction(const QuotaParticipants& participants)
{
    const auto known = static_cast<double>(std::max<size_t>(1, participants.known));
    return 1 - static_cast<double>(std::min(participants.silent, participants.known)) / known;
}

/// Caps the accumulated allowance, as a fraction of that of one report interval.
constexpr double maxAllowanceIntervals = 0.7;
/// After this many report intervals all peers know of the last admission, whatever its size.
constexpr int intervalsUntilKnown = 2;
/// A report is on average half an interval old.
constexpr double meanReportAge = 0.5;
/// By how much demand varies between two reports without a surge.
constexpr double usualVariation = 2;
/// A daemon that receives few requests of an organisation often receives as many as this at once.
constexpr double usualClump = 3;
/// The part of the window that may be kept for requests of the highest rank, half of that for those of the
/// next one and so on, and for how long their recent demand is covered by it. If some of them have been
/// refused, as much as was refused is kept, up to a larger part.
constexpr double maxReservedFraction = 0.04;
constexpr double maxReservedAfterRefusals = 0.1;
constexpr Duration reservedDemand = std::chrono::seconds(1);

/// The part of overshoot and slack that is given to the organisation; the rest covers late reports.
constexpr double usedExcess = 0.5;
/// The part of the rest that a restarted fleet without history may use.
constexpr double restartTolerance = 0.9;
/// The part of this tolerance that resumed streams may have before the bucket holds it. It is given in the
/// rest of the time for which the tolerance is meant, so that nothing is added to it.
constexpr double advancedFraction = 0.5;
/// The part of the tolerance that counts as used after a restore: reports are late again then, while all
/// callers return at once.
constexpr double restoredReserve = 0.5;
/// The use of the last part of a checkpoint counts once more after a restore, up to this many times the
/// tolerance: in a surge, reports that are 1 s old let the predecessors exceed their bucket by as much. At
/// half of the quota, that use is less than the tolerance.
constexpr double maxRestoredLate = 3;
/// A peer that states less than this part of what a checkpoint contains was partitioned when it was admitted.
constexpr double minAdoptedFraction = 0.75;
/// A process that was killed is not started again, and has not read the configuration, sooner than this.
constexpr Duration minDowntime = std::chrono::milliseconds(500);
/// The bucket holds the promised burst and what is promised in this time, so that uneven traffic passes.
constexpr Duration unevenness = std::chrono::milliseconds(1000);

} // namespace

QuotaLimits limitsFor(const QuotaPromise& promise)
{
    const double promised = promise.windowTokens();
    const double bound = promise.maxWindowTokens();
    const double used = promised + (bound - promised) * usedExcess;
    const double rate = toSeconds(promise.window) > 0 ? used / toSeconds(promise.window) : 0;
    return { .tokensPerSecond = rate,
        .burstTokens = promise.burstTokens + promise.tokensPerSecond * toSeconds(unevenness),
        .window = promise.window,
        .windowTokens = used,
        .toleranceTokens = (bound - used) * restartTolerance };
}

SharedQuota::SharedQuota(
    const QuotaLimits& limits, bool startsFull, const QuotaParticipants& participants, TimePoint now)
    : m_limits(limits)
    , m_bucket({ .capacity = limits.burstTokens }, now)
    , m_fleetBucket({ .capacity = limits.burstTokens }, now)
    , m_allowance(startsFull ? limits.burstTokens : 0)
    , m_allowanceRefilledAt(now)
    , m_startedFull(startsFull)
    , m_isDivided(!startsFull)
    , m_knowsFleetLevel(startsFull)
    , m_startedAt(now)
{
    refresh(participants, now);
    if (startsFull)
        return;
    m_bucket.settle(-m_bucket.level(now), now);
    m_fleetBucket.settle(-m_fleetBucket.level(now), now);
}

void SharedQuota::refresh(const QuotaParticipants& participants, TimePoint now)
{
    const auto options = bucketOptions(now);
    m_fleetBucket.configure(options, now);
    m_usableFraction = usableFraction(participants);
    m_bucket.configure(
        { .rate = options.rate * m_usableFraction, .capacity = options.capacity * m_usableFraction }, now);
    if (participants.silent > 0) {
        m_isDivided = true;
        m_lastSilentAt = now;
        return;
    }
    // A peer may be heard before its use is.
    if (!m_isDivided || now - m_lastSilentAt < intervalsUntilKnown * participants.reportInterval)
        return;
    m_isDivided = false;
    auto& outdated = m_knowsFleetLevel ? m_bucket : m_fleetBucket;
    const double level = m_knowsFleetLevel ? m_fleetBucket.level(now) : m_bucket.level(now);
    outdated.settle(level - outdated.level(now), now);
    m_knowsFleetLevel = true;
}

double SharedQuota::unknownBurst() const { return m_restoredUntil ? 0 : burstBeforeRestart(); }

double SharedQuota::burstBeforeRestart() const
{
    if (m_startedFull || m_hasAdopted || m_limits.windowTokens <= 0)
        return 0;
    return std::max(0.0, m_limits.burstTokens - m_limits.tokensPerSecond * toSeconds(minDowntime));
}

bool SharedQuota::hasJustRestarted(TimePoint now) const
{
    return toSeconds(now - m_startedAt) * m_limits.tokensPerSecond < burstBeforeRestart();
}

bool SharedQuota::hasUnknownBurst(TimePoint now) const
{
    return toSeconds(now - m_startedAt) * m_limits.tokensPerSecond < unknownBurst();
}

TokenBucketOptions SharedQuota::bucketOptions(TimePoint now) const
{
    // Before the restart, a window held at most the burst and what the bucket was refilled with in it. Until
    // the burst has left the window, only the tolerance is there for what is admitted now.
    const double rateFraction
        = hasUnknownBurst(now) ? std::min(1.0, m_limits.toleranceTokens / unknownBurst()) : 1;
    return { .rate = m_limits.tokensPerSecond * rateFraction, .capacity = m_limits.burstTokens };
}

void SharedQuota::settle(double tokens, TimePoint now)
{
    m_bucket.settle(tokens, now);
    m_fleetBucket.settle(tokens, now);
}

double SharedQuota::reservedForSilent(const QuotaParticipants& participants, TimePoint now) const
{
    assert(participants.silentSince.size() <= participants.silent && "each time belongs to a silent peer");
    const auto share = [&](double common) {
        return std::max(0.0, m_limits.windowTokens - common) / static_cast<double>(participants.known);
    };
    const double knownToAll
        = m_restoredUntil ? m_fleetAdmissions.withinUntil(*m_restoredUntil, m_limits.window, now) : 0;
    double out
        = static_cast<double>(participants.silent - participants.silentSince.size()) * share(knownToAll);
    // Reports that crossed the last one of the peer are taken to have reached it.
    for (const auto since : participants.silentSince)
        out += share(
            m_fleetAdmissions.withinUntil(since + participants.reportInterval, m_limits.window, now));
    return out;
}

double SharedQuota::windowLeft(const QuotaParticipants& participants, TimePoint now) const
{
    if (m_limits.windowTokens <= 0)
        return std::numeric_limits<double>::infinity();
    return m_limits.windowTokens - m_fleetAdmissions.withinUntil(now, m_limits.window, now)
        - reservedForSilent(participants, now);
}

bool SharedQuota::admit(
    double tokens, const QuotaLimits& limits, const QuotaParticipants& participants, TimePoint now, int rank)
{
    m_limits = limits;
    refresh(participants, now);
    auto& ownRank = m_ownRanks[rank];
    // After a restart much is refused, which says nothing about the ranks.
    const bool countsRefusal = !hasJustRestarted(now) || rank == resumingRank;
    if (countsRefusal)
        ownRank.demanded.add(tokens, now);
    const double inWindow = windowLeft(participants, now);
    const double left = std::min(m_bucket.level(now), inWindow);
    const bool hasAllowance
        = refillAllowance(left, participants, now) || isAmple(tokens, left, participants, now);
    // A request larger than the window can be admitted only if nothing else is in it.
    const bool fitsAlone
        = admittedInWindow(now) <= 0 && tokens <= limits.windowTokens + limits.toleranceTokens;
    if (tokens > inWindow && !fitsAlone)
        return false;
    const double capacity = limits.burstTokens * m_usableFraction;
    const bool isCovered = hasAllowance && left >= std::min(tokens, capacity) + reserveAbove(rank, now)
        && m_bucket.take(tokens, now);
    if (!isCovered) {
        if (rank != resumingRank || !mayAdvance(tokens, participants, now))
            return false;
        m_advanced += tokens;
        m_bucket.settle(-tokens, now);
    }
    m_fleetBucket.settle(-tokens, now);
    m_admittedTotal += tokens;
    m_allowance -= tokens;
    m_lastAdmittedAt = now;
    m_fleetAdmissions.add(tokens, now);
    m_countedAdmissions.add(tokens, now);
    m_ownAdmissions.add(tokens, now);
    ownRank.admitted.add(tokens, now);
    if (!countsRefusal)
        ownRank.demanded.add(tokens, now);
    return true;
}

bool SharedQuota::mayAdvance(double tokens, const QuotaParticipants& participants, TimePoint now) const
{
    const double refilledForUnknown = toSeconds(now - m_startedAt) * m_limits.tokensPerSecond;
    if (refilledForUnknown >= burstBeforeRestart() * (1 - advancedFraction))
        return false;
    const auto daemons = static_cast<double>(std::max<size_t>(1, participants.known));
    return m_advanced + tokens <= m_limits.toleranceTokens * advancedFraction / daemons;
}

double SharedQuota::ownShare(const QuotaParticipants& participants, TimePoint now)
{
    if (participants.known <= participants.silent + 1)
        return 1;
    const double equalShare = 1 / static_cast<double>(participants.known - participants.silent);
    const double fleetTokens = m_fleetAdmissions.within(m_limits.window, now);
    const double recent = fleetTokens > 0 ? m_ownAdmissions.within(m_limits.window, now) / fleetTokens : 1;
    return std::max(equalShare, std::min(1.0, recent));
}

double SharedQuota::ownTokensPerSecond(const QuotaParticipants& participants, TimePoint now)
{
    return bucketOptions(now).rate * m_usableFraction * ownShare(participants, now);
}

bool SharedQuota::refillAllowance(double left, const QuotaParticipants& participants, TimePoint now)
{
    const double elapsedIntervals
        = toSeconds(now - m_allowanceRefilledAt) / toSeconds(participants.reportInterval);
    m_allowanceRefilledAt = now;
    if (participants.known <= participants.silent + 1)
        return true;
    const double perInterval = ownShare(participants, now) * std::max(0.0, left);
    if (now - m_lastAdmittedAt >= intervalsUntilKnown * participants.reportInterval)
        m_allowance = std::max(m_allowance, 0.0);
    m_allowance = std::min(m_allowance + perInterval * elapsedIntervals, perInterval * maxAllowanceIntervals);
    return m_allowance > 0;
}

bool SharedQuota::isAmple(double tokens, double left, const QuotaParticipants& participants, TimePoint now)
{
    if (m_limits.windowTokens <= 0)
        return false;
    const double interval = toSeconds(participants.reportInterval);
    const double perInterval = interval / toSeconds(m_limits.window);
    const double unseen = admittedInWindow(now) * perInterval * meanReportAge;
    if (left < tokens + unseen * usualVariation)
        return false;
    const double usual = m_ownAdmissions.within(m_limits.window, now) * perInterval;
    return m_ownAdmissions.within(participants.reportInterval, now)
        <= usual * usualVariation + tokens * usualClump;
}

double SharedQuota::fleetDemandFactor(TimePoint now)
{
    const double own = m_ownAdmissions.within(m_limits.window, now);
    return own > 0 ? std::max(1.0, m_countedAdmissions.within(m_limits.window, now) / own) : 1;
}

double SharedQuota::reserveAbove(int rank, TimePoint now)
{
    const double fleetFactor = fleetDemandFactor(now);
    const double windowsReserved = toSeconds(reservedDemand) / toSeconds(m_limits.window);
    double reserve = 0;
    double refused = 0;
    double maxReserved = m_limits.windowTokens * maxReservedFraction;
    for (auto it = m_ownRanks.begin(); it != m_ownRanks.end() && it->first < rank; ++it) {
        const double demanded = it->second.demanded.within(m_limits.window, now) * fleetFactor;
        refused += demanded - it->second.admitted.within(m_limits.window, now) * fleetFactor;
        reserve += std::min(demanded * windowsReserved, maxReserved);
        maxReserved /= 2;
    }
    return std::max(reserve, std::min(refused, m_limits.windowTokens * maxReservedAfterRefusals));
}

Duration SharedQuota::timeUntilAllowance(double left, const QuotaParticipants& participants, TimePoint now)
{
    if (m_allowance > 0 || participants.known <= participants.silent + 1)
        return Duration::zero();
    const double perInterval = ownShare(participants, now) * left;
    // When the peers know of the last admission, the allowance starts again at zero.
    const auto untilKnown = m_lastAdmittedAt + intervalsUntilKnown * participants.reportInterval - now;
    if (perInterval <= 0)
        return std::max(untilKnown, Duration::zero());
    // One token is enough.
    const auto refilled
        = fromSeconds(toSeconds(participants.reportInterval) * (1 - m_allowance) / perInterval);
    return std::max(std::min(untilKnown, refilled), Duration::zero());
}

Duration SharedQuota::timeUntil(double tokens, const QuotaParticipants& participants, TimePoint now, int rank)
{
    const double reserve = reserveAbove(rank, now);
    const double needed = std::min(tokens, m_limits.burstTokens * m_usableFraction) + reserve;
    const auto refilled = m_bucket.timeUntil(needed, now);
    if (m_limits.windowTokens <= 0)
        return refilled;
    const double neededInWindow = std::max(tokens, needed);
    // As use leaves the window, more room appears than is to be reserved in addition, so the time can be
    // bisected.
    using std::chrono::milliseconds;
    Duration tooEarly = milliseconds(-1);
    Duration out = m_limits.window;
    while (out - tooEarly > milliseconds(1)) {
        const auto wait = tooEarly + (out - tooEarly) / 2;
        (windowLeft(participants, now + wait) < neededInWindow ? tooEarly : out) = wait;
    }
    const double left
        = std::max(neededInWindow, std::min(m_bucket.level(now), windowLeft(participants, now)));
    return std::max(
        { refilled, std::max(out, Duration::zero()), timeUntilAllowance(left, participants, now) });
}

SharedQuota::WindowParts SharedQuota::windowParts(TimePoint now) const
{
    WindowParts out;
    double counted = 0;
    const auto n = std::ssize(out);
    for (std::ptrdiff_t i = 0; i < n; ++i) {
        const auto end = now - m_limits.window * (n - 1 - i) / n;
        const double sum = m_fleetAdmissions.withinUntil(end, m_limits.window, now);
        out[i] = sum - std::exchange(counted, sum);
    }
    return out;
}

bool SharedQuota::adopt(double level, const WindowParts& parts, TimePoint now)
{
    const double stated = std::accumulate(parts.begin(), parts.end(), 0.0);
    if (m_restoredUntil && stated < (admittedInWindow(now) - m_restoredUnseen) * minAdoptedFraction)
        return false;
    raiseLevelTo(level * m_usableFraction, now);
    m_fleetBucket.settle(std::max(0.0, level - m_fleetBucket.level(now)), now);
    m_knowsFleetLevel = m_hasAdopted = true;
    m_fleetAdmissions = {};
    // Each part counts as if it had been admitted at its end.
    const auto n = std::ssize(parts);
    for (std::ptrdiff_t i = 0; i < n; ++i)
        m_fleetAdmissions.add(parts[i], now - m_limits.window * (n - 1 - i) / n);
    return true;
}

void SharedQuota::restore(
    double level, const WindowParts& parts, TimePoint checkpointAt, TimePoint restartedAt, TimePoint now)
{
    const auto endedAt = std::max(checkpointAt, restartedAt - minDowntime);
    const double admittedSince = admittedInWindow(now);
    const auto n = std::ssize(parts);
    double inWindow = 0;
    for (std::ptrdiff_t i = 0; i < n; ++i) {
        const auto countedAt = checkpointAt - m_limits.window * (n - 1 - i) / n;
        m_fleetAdmissions.addAt(parts[i], countedAt);
        inWindow += endedAt - countedAt <= m_limits.window ? parts[i] : 0;
    }
    const double refilled = m_limits.tokensPerSecond * toSeconds(endedAt - checkpointAt);
    // While reports were late, the predecessors may have exceeded bucket and window by their recent use.
    const double late = std::min(parts.back(), m_limits.toleranceTokens * maxRestoredLate)
        + m_limits.toleranceTokens * restoredReserve;
    const double fromBucket = std::min(level, m_limits.burstTokens) + refilled;
    const double unseen = std::max(0.0, std::min(fromBucket, m_limits.windowTokens - inWindow) + late);
    m_fleetAdmissions.addAt(unseen, endedAt);
    m_restoredUnseen = unseen;
    m_restoredUntil = endedAt + minDowntime;
    // The bucket of the predecessors may have been empty at their end, and was refilled before the restart.
    const double initial = std::clamp(
        m_limits.tokensPerSecond * toSeconds(minDowntime) - admittedSince, 0.0, m_limits.burstTokens);
    const auto reset = [&](TokenBucket& bucket, double to) {
        const double present = bucket.level(now);
        if (present > 0 || to > 0)
            bucket.settle(to - present, now);
    };
    reset(m_bucket, initial * m_usableFraction);
    reset(m_fleetBucket, initial);
    m_allowance = std::max(m_allowance, initial * m_usableFraction);
}

void SharedQuota::raiseLevelTo(double level, TimePoint now)
{
    m_allowance = std::max(m_allowance, level);
    m_bucket.settle(std::max(0.0, level - m_bucket.level(now)), now);
}

void SharedQuota::refund(double tokens, TimePoint now)
{
    settle(tokens, now);
    m_fleetAdmissions.add(-tokens, now);
    m_countedAdmissions.add(-tokens, now);
    m_admittedTotal -= tokens;
}

double SharedQuota::applyReport(const std::string& daemon, const QuotaReport& report, TimePoint now)
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
    applyUse(admittedTotal - counted, now);
    return admittedTotal - counted;
}

void SharedQuota::applyUse(double tokens, TimePoint now)
{
    // Tokens beyond the bucket's capacity were admitted while at least as many flowed in.
    settle(-std::clamp(tokens, 0.0, m_limits.burstTokens), now);
    m_fleetAdmissions.add(tokens, now);
    m_countedAdmissions.add(tokens, now);
}

} // namespace lentilbay
