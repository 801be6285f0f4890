// Decides how much of a service's load a new software version gets, and whether it is adopted or reverted.
#include "lentilbay/Policy/Rollout.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cmath>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

/// The share of the requests in the phase Canary. With the phase Switching, 0.04 + 0.05 of the requests up to
/// the deadline go to the target version, which leaves a tenth of the usual bound for rates that change.
constexpr double canaryShare = 0.04;
/// The phase Switching lasts at most this fraction of the order's duration.
constexpr double switchingFraction = 0.05;
/// The part of the bound on the exposure up to which the phase Switching may begin.
constexpr double exposureMargin = 0.9;
/// The part of the slack that raises the share where a service has few requests, and that may be used up when
/// the phase Switching ends. With 0.7, orders of 8 to 12 s completed a bad version more often (RolloutTest).
constexpr double usableSlack = 0.8;
/// At most this share of the requests shows what the versions do, as many responses of the former version are
/// needed for comparison.
constexpr double maxJudgedShare = 0.5;
/// Complete is written at the latest this long before the deadline, in which two calls to the store fit.
constexpr Duration writeLead = 800ms;
/// At least this long before the deadline, the phase Switching begins, so that the permits of all daemons are
/// renewed before Complete is written.
constexpr Duration minSwitchingLead = 1400ms;
/// The phase Switching lasts at least this long unless the deadline ends it, so that a version which fails
/// under full load is noticed: two reports of each daemon.
constexpr Duration minSwitching = 1s;
/// The fleet's counts are not known before each daemon has reported: with lost reports about one second.
constexpr Duration firstReportsTime = 1s;
/// A coordinator that does not hear most of the daemons leaves it to another one to complete the order, until
/// this long after the deadline.
constexpr Duration minorityDelay = 2s;
/// Nobody completes an order before it has had the time for one report of each daemon.
constexpr Duration minJudgement = 300ms;
constexpr Duration bucketLength = 500ms;
constexpr Duration recentWindow = 10s;
/// For the rate of requests, so that a rise is noticed soon.
constexpr Duration rateWindow = 2s;

/// An excess is more than chance if it exceeds this many standard deviations. Routes, windows and kinds of
/// responses are tested with each report, some thousand times in an order: with three standard deviations, 12
/// of 40 sound versions were reverted.
constexpr double deviations = 4.5;
/// The same for all routes together when the phase Switching is about to begin, and for bad responses in it.
/// It is the last chance to revert, and a few tests only.
constexpr double lastDeviations = 3.5;
constexpr double minExcessResponses = 6;
/// The same for the last tests. Of two engines that crash at once, up to `loneResponses` each count.
constexpr double lastMinExcessResponses = 5;
/// While so few endpoints have responded, engines that crash at once look like a bad version. Therefore the
/// rest must show an excess as well if the worst part of the time is left out. A crash is reported within two
/// report intervals, and responses that stalled somewhat later.
constexpr size_t fewEndpoints = 6;
/// More engines than these rarely crash at once: what the others show is no crash.
constexpr size_t crashesAtOnce = 2;
constexpr uint64_t minSpreadResponses = 2;
constexpr Duration crashTime = 1500ms;
constexpr double lastingDeviations = 2;
constexpr double minLastingResponses = 3;
/// This many bad responses revert in any case if the former version has less than half of their share.
/// Fewer than the 50 from which on the time to revert counts.
constexpr double maxBadResponses = 40;
/// What is assumed of a former version without responses: a share of 0.05, with little weight.
constexpr double priorResponses = 10;
constexpr double priorFailures = 0.5;
/// Responses of an endpoint from which on it counts for the median.
constexpr uint64_t minMedianResponses = 3;
/// Bad responses of one endpoint that count although other endpoints have none.
constexpr double loneResponses = 2;

/// The endpoints of the phase Canary change at least after, and at most within.
constexpr Duration minRotation = 1s;
constexpr Duration maxRotation = 10s;

/// By how much the target version's share of the next requests may exceed the permitted one while a daemon
/// uses what it could not use before.
constexpr double catchUp = 4;

/// Bounds of the memory of a gate; far more than a service has.
constexpr size_t maxRoutes = 256;
constexpr size_t maxEndpoints = 1024;

bool isFinal(RolloutPhase phase)
{
    return phase == RolloutPhase::Complete || phase == RolloutPhase::Reverted;
}

void add(ResponseCounts& sum, const ResponseCounts& counts)
{
    sum.responses += counts.responses;
    sum.bad += counts.bad;
    sum.slow += counts.slow;
}

/// Raises a total and returns by how much.
uint64_t raise(uint64_t& total, uint64_t reported)
{
    const auto difference = reported > total ? reported - total : 0;
    total += difference;
    return difference;
}

ResponseCounts raise(ResponseCounts& total, const ResponseCounts& reported)
{
    return { .responses = raise(total.responses, reported.responses),
        .bad = raise(total.bad, reported.bad),
        .slow = raise(total.slow, reported.slow) };
}

/// The part of a likelihood ratio that comes from `count` responses of a kind where `expected` were expected.
double likelihoodPart(double count, double expected)
{
    return count > 0 && expected > 0 ? count * std::log(count / expected) : 0;
}

/// Whether the share of the target version exceeds that of the former one by more than chance. The root of
/// the likelihood ratio is in standard deviations, also where few responses failed.
bool exceeds(
    double failed, uint64_t responses, uint64_t formerFailed, uint64_t formerResponses, double threshold)
{
    if (responses == 0)
        return false;
    const double count = std::max(static_cast<double>(responses), failed);
    const double formerCount = static_cast<double>(formerResponses) + priorResponses;
    const double former = std::min(static_cast<double>(formerFailed) + priorFailures, formerCount);
    if (failed / count <= former / formerCount)
        return false;
    const double pooled = (failed + former) / (count + formerCount);
    const double ratio = likelihoodPart(failed, pooled * count)
        + likelihoodPart(count - failed, (1 - pooled) * count) + likelihoodPart(former, pooled * formerCount)
        + likelihoodPart(formerCount - former, (1 - pooled) * formerCount);
    return 2 * ratio > threshold * threshold;
}

} // namespace

bool isSameOrder(const RolloutOrder& first, const RolloutOrder& second)
{
    return first.id.number == second.id.number && first.service == second.service
        && first.version == second.version && first.duration == second.duration;
}

const char* nameOf(RolloutReason reason)
{
    switch (reason) {
    case RolloutReason::Running:
        return "running";
    case RolloutReason::ExposureTooHigh:
        return "exposure-too-high";
    case RolloutReason::DeadlineNear:
        return "deadline-near";
    case RolloutReason::FormerDrained:
        return "former-drained";
    case RolloutReason::DeadlineReached:
        return "deadline-reached";
    case RolloutReason::BadResponses:
        return "bad-responses";
    case RolloutReason::BadResponsesOnRoute:
        return "bad-responses-on-route";
    case RolloutReason::SlowResponses:
        return "slow-responses";
    case RolloutReason::SlowResponsesOnRoute:
        return "slow-responses-on-route";
    case RolloutReason::BadResponseCount:
        return "bad-response-count";
    case RolloutReason::TooFewReports:
        return "too-few-reports";
    case RolloutReason::Reported:
        return "reported";
    case RolloutReason::Committed:
        return "committed";
    }
    return "unknown";
}

void RolloutJudge::Counts::add(const Counts& other)
{
    requests += other.requests;
    sentToTarget += other.sentToTarget;
    lentilbay::add(former, other.former);
    lentilbay::add(target, other.target);
    for (const auto& [route, counts] : other.routes) {
        auto& sum = routes[route];
        lentilbay::add(sum.former, counts.former);
        lentilbay::add(sum.target, counts.target);
    }
    for (const auto& [endpoint, counts] : other.endpoints)
        lentilbay::add(endpoints[endpoint], counts);
}

RolloutJudge::Counts RolloutJudge::increase(Counts& counts, const RolloutReport& report)
{
    Counts out;
    out.requests = raise(counts.requests, report.requests);
    out.sentToTarget = raise(counts.sentToTarget, report.sentToTarget);
    for (const auto& it : report.routes) {
        auto& total = counts.routes[it.route];
        const RouteCounts difference { .route = it.route,
            .former = raise(total.former, it.former),
            .target = raise(total.target, it.target) };
        lentilbay::add(out.former, difference.former);
        lentilbay::add(out.target, difference.target);
        if (difference.former != ResponseCounts() || difference.target != ResponseCounts())
            out.routes[it.route] = difference;
    }
    for (const auto& it : report.endpoints) {
        const auto difference = raise(counts.endpoints[it.endpoint], it.counts);
        if (difference != ResponseCounts())
            out.endpoints[it.endpoint] = difference;
    }
    return out;
}

RolloutJudge::RolloutJudge(const RolloutOrder& order, const RolloutLimits& limits, TimePoint begunAt,
    const std::optional<RolloutState>& restored)
    : m_order(order)
    , m_limits(limits)
    , m_begunAt(begunAt)
{
    if (!restored)
        return;
    m_phase = restored->phase;
    m_isCommitted = isFinal(m_phase);
    m_switchedAt = begunAt + restored->elapsedAtWrite;
    m_restored = *restored;
}

bool RolloutJudge::apply(const RolloutReport& report, TimePoint now)
{
    if (report.order != m_order.id)
        return false;
    const auto addition = record(report, now);
    if (!addition)
        return true;
    if (!m_firstReportAt)
        m_firstReportAt = now;
    // The first report of a daemon states totals since the order, so they are not known to be recent.
    if (!addition->isFirst || now - m_begunAt < firstReportsTime) {
        const TimePoint startedAt { now.time_since_epoch() / bucketLength * bucketLength };
        if (m_buckets.empty() || m_buckets.back().startedAt < startedAt)
            m_buckets.push_back({ .startedAt = startedAt, .counts = {} });
        m_buckets.back().counts.add(addition->counts);
        while (m_buckets.front().startedAt + recentWindow < startedAt)
            m_buckets.pop_front();
        m_worstRun.bad = std::max(m_worstRun.bad, worstRun(&ResponseCounts::bad));
        m_worstRun.slow = std::max(m_worstRun.slow, worstRun(&ResponseCounts::slow));
    }
    return true;
}

void RolloutJudge::applyEarlier(const RolloutReport& report, TimePoint receivedAt)
{
    if (report.order == m_order.id)
        record(report, receivedAt);
}

std::optional<RolloutJudge::Addition> RolloutJudge::record(const RolloutReport& report, TimePoint receivedAt)
{
    const auto [it, isFirst] = m_daemons.try_emplace({ report.daemon, report.incarnation });
    auto& daemon = it->second;
    if (!isFirst && report.sequence <= daemon.sequence)
        return std::nullopt;
    daemon.sequence = report.sequence;
    daemon.phase = report.phase;
    daemon.formerInFlight = report.formerInFlight;
    daemon.reportedAt = receivedAt;
    Addition out { .counts = increase(daemon.counts, report), .isFirst = isFirst };
    m_totals.add(out.counts);
    if (!m_isCommitted && isFinal(report.phase)) {
        // Daemons learn of Complete only after the store has acknowledged it, of Reverted at once.
        if (report.phase == RolloutPhase::Complete) {
            commit(RolloutPhase::Complete);
        } else if (m_phase != RolloutPhase::Reverted) {
            m_phase = RolloutPhase::Reverted;
            m_reason = RolloutReason::Reported;
        }
    }
    return out;
}

RolloutJudge::Counts RolloutJudge::recent() const
{
    Counts out;
    for (const auto& it : m_buckets)
        out.add(it.counts);
    return out;
}

double RolloutJudge::spreadFactor(const Counts& counts, Kind kind) const
{
    std::vector<double> shares;
    uint64_t sum = 0;
    size_t affected = 0;
    for (const auto& [endpoint, it] : counts.endpoints) {
        sum += it.*kind;
        affected += it.*kind > 0 ? 1 : 0;
        if (it.responses >= minMedianResponses)
            shares.push_back(static_cast<double>(it.*kind) / static_cast<double>(it.responses));
    }
    if (m_targetEndpoints == 1)
        return 1;
    if (affected < 2)
        return 0;
    double median = 0;
    if (!shares.empty()) {
        const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
        std::ranges::nth_element(shares, middle);
        median = *middle;
    }
    double counted = 0;
    for (const auto& [endpoint, it] : counts.endpoints) {
        const double usual = 2 * median * static_cast<double>(it.responses) + loneResponses;
        counted += std::min(static_cast<double>(it.*kind), usual);
    }
    return counted / static_cast<double>(sum);
}

RolloutJudge::Excess RolloutJudge::excessOf(
    const Counts& counts, Kind kind, double thresholdOnAll, double minResponses) const
{
    const double factor = spreadFactor(counts, kind);
    if (factor <= 0)
        return Excess::None;
    const auto test = [&](const ResponseCounts& target, const ResponseCounts& former,
                          const ResponseCounts& formerTotal, double threshold) {
        const double failed = factor * static_cast<double>(target.*kind);
        // Where the former version has had few responses in this time, its total counts as well: it
        // gets no more new requests in the phase Switching.
        return failed >= minResponses
            && exceeds(failed, target.responses, former.*kind, former.responses, threshold)
            && (former.responses >= target.responses
                || exceeds(failed, target.responses, formerTotal.*kind, formerTotal.responses, threshold));
    };
    if (test(counts.target, counts.former, m_totals.former, thresholdOnAll))
        return Excess::OnAll;
    for (const auto& [route, it] : counts.routes) {
        const auto total = m_totals.routes.find(route);
        if (test(it.target, it.former, total != m_totals.routes.end() ? total->second.former : it.former,
                deviations))
            return Excess::OnRoute;
    }
    return Excess::None;
}

uint64_t RolloutJudge::worstRun(Kind kind) const
{
    uint64_t worst = 0;
    for (auto first = m_buckets.begin(); first != m_buckets.end(); ++first) {
        uint64_t sum = 0;
        for (auto it = first; it != m_buckets.end() && it->startedAt < first->startedAt + crashTime; ++it)
            sum += it->counts.target.*kind;
        worst = std::max(worst, sum);
    }
    return worst;
}

bool RolloutJudge::isSpread(const Counts& counts, Kind kind) const
{
    std::vector<ResponseCounts> endpoints;
    for (const auto& [endpoint, it] : counts.endpoints)
        endpoints.push_back(it);
    std::ranges::sort(endpoints, [&](const auto& a, const auto& b) { return a.*kind > b.*kind; });
    ResponseCounts rest;
    for (size_t i = crashesAtOnce; i < endpoints.size(); ++i)
        lentilbay::add(rest, endpoints[i]);
    return rest.*kind >= minSpreadResponses
        && exceeds(static_cast<double>(rest.*kind), rest.responses, m_totals.former.*kind,
            m_totals.former.responses, lastingDeviations);
}

bool RolloutJudge::isLasting(const Counts& counts, Kind kind, uint64_t worst) const
{
    const auto judged = std::ranges::count_if(
        counts.endpoints, [](const auto& it) { return it.second.responses >= minMedianResponses; });
    // A short bound on the time to revert leaves no time to wait.
    const bool mayWait = m_limits.revert >= crashTime + rolloutPermitLife + 2 * bucketLength;
    if (!mayWait || static_cast<size_t>(judged) >= fewEndpoints)
        return true;
    if (isSpread(counts, kind))
        return true;
    const auto rest = counts.target.*kind - std::min(worst, counts.target.*kind);
    return static_cast<double>(rest) >= minLastingResponses
        && exceeds(static_cast<double>(rest), counts.target.responses, m_totals.former.*kind,
            m_totals.former.responses, lastingDeviations);
}

RolloutJudge::Counts RolloutJudge::totalsAt(TimePoint now) const
{
    auto out = m_totals;
    // After a restart of the coordinator alone, the daemons' reports include what the state counts.
    if (!m_firstReportAt || now - *m_firstReportAt < firstReportsTime
        || 2 * m_totals.requests >= m_restored.requests)
        return out;
    out.requests += m_restored.requests;
    out.sentToTarget += m_restored.sentToTarget;
    lentilbay::add(out.target,
        { .responses = m_restored.responses,
            .bad = m_restored.badResponses,
            .slow = m_restored.slowResponses });
    lentilbay::add(out.former,
        { .responses = m_restored.formerResponses,
            .bad = m_restored.formerBadResponses,
            .slow = m_restored.formerSlowResponses });
    return out;
}

std::optional<RolloutReason> RolloutJudge::reasonToRevert(TimePoint now) const
{
    const auto totals = totalsAt(now);
    const auto last = recent();
    const bool isSwitchNear = m_phase == RolloutPhase::Canary && now >= deadline() - switchingLead();
    const double thresholdForSlow = isSwitchNear ? lastDeviations : deviations;
    const bool isLast = isSwitchNear || m_phase == RolloutPhase::Switching;
    const double thresholdForBad = isLast ? lastDeviations : deviations;
    for (const auto* counts : { &last, &totals }) {
        const auto worstOf
            = [&](Kind kind, uint64_t worstEver) { return counts == &last ? worstRun(kind) : worstEver; };
        const auto bad = excessOf(*counts, &ResponseCounts::bad, thresholdForBad,
            isLast ? lastMinExcessResponses : minExcessResponses);
        if (bad != Excess::None
            && isLasting(*counts, &ResponseCounts::bad, worstOf(&ResponseCounts::bad, m_worstRun.bad)))
            return bad == Excess::OnAll ? RolloutReason::BadResponses : RolloutReason::BadResponsesOnRoute;
        const auto slow = excessOf(*counts, &ResponseCounts::slow, thresholdForSlow,
            isSwitchNear ? lastMinExcessResponses : minExcessResponses);
        if (slow != Excess::None
            && isLasting(*counts, &ResponseCounts::slow, worstOf(&ResponseCounts::slow, m_worstRun.slow)))
            return slow == Excess::OnAll ? RolloutReason::SlowResponses : RolloutReason::SlowResponsesOnRoute;
    }
    const double bad = spreadFactor(totals, &ResponseCounts::bad) * static_cast<double>(totals.target.bad);
    if (bad >= maxBadResponses && isLasting(totals, &ResponseCounts::bad, m_worstRun.bad)
        && 2 * static_cast<double>(totals.former.bad) * static_cast<double>(totals.target.responses)
            < bad * static_cast<double>(totals.former.responses))
        return RolloutReason::BadResponseCount;
    return std::nullopt;
}

double RolloutJudge::requestRate(TimePoint now) const
{
    if (!m_firstReportAt)
        return 0;
    const auto rateOver = [&](Duration window) {
        uint64_t requests = 0;
        for (const auto& it : m_buckets)
            requests += it.startedAt + bucketLength + window > now ? it.counts.requests : 0;
        return static_cast<double>(requests)
            / toSeconds(std::clamp<Duration>(now - *m_firstReportAt, firstReportsTime, window));
    };
    const double rate = std::max(rateOver(rateWindow), rateOver(recentWindow));
    if (now - *m_firstReportAt >= rateWindow)
        return rate;
    // This coordinator has just taken over and knows little more than the totals since the order.
    return std::max(rate, static_cast<double>(m_totals.requests) / std::max(toSeconds(now - m_begunAt), 1.0));
}

Duration RolloutJudge::switchingLead() const
{
    return std::max(fromSeconds(switchingFraction * toSeconds(m_order.duration)), minSwitchingLead);
}

double RolloutJudge::baseShare() const
{
    const double switching
        = std::min(1.0, toSeconds(switchingLead()) / std::max(toSeconds(m_order.duration), 1e-6));
    const double left = exposureMargin * m_limits.share - switching;
    // Orders that last under 20 s spend more of their time in the phase Switching, and some of the slack.
    const double most = canaryShare * m_limits.share / RolloutLimits().share;
    return std::clamp(left / std::max(1 - switching, 1e-6), most / 4, most);
}

double RolloutJudge::canaryShareAt(TimePoint now) const
{
    const double rate = requestRate(now);
    const auto left = std::max<Duration>(deadline() - now, {});
    const double switching = rate * toSeconds(std::min(left, switchingLead()));
    const double coming = rate * toSeconds(left) - switching;
    const auto totals = totalsAt(now);
    const double requests = static_cast<double>(totals.requests) + coming;
    // A service with few requests gets more of them judged, at the expense of the slack and of the time for
    // the switch.
    const double slack = usableSlack * m_limits.slackRequests;
    const double share = std::min(maxJudgedShare, baseShare() + slack / std::max(requests + switching, 1.0));
    // A daemon that was restarted counts from zero. What its predecessor has not used is left for the others.
    double own = 0;
    double sent = 0;
    for (const auto& [id, it] : m_daemons) {
        if (now - it.reportedAt > rolloutPermitLife)
            continue;
        own += static_cast<double>(it.counts.requests);
        sent += static_cast<double>(it.counts.sentToTarget);
    }
    const double sentByOthers = std::max(0.0, static_cast<double>(totals.sentToTarget) - sent);
    return std::clamp((share * requests - sentByOthers) / std::max(own + coming, 1.0), 0.0, maxJudgedShare);
}

bool RolloutJudge::exceedsExposure(TimePoint now) const
{
    const double remaining = requestRate(now) * toSeconds(std::max<Duration>(deadline() - now, {}));
    const auto totals = totalsAt(now);
    const auto requests = static_cast<double>(totals.requests);
    const auto sent = static_cast<double>(totals.sentToTarget);
    return sent + remaining
        > exposureMargin * m_limits.share * (requests + remaining) + usableSlack * m_limits.slackRequests;
}

bool RolloutJudge::isFormerDrained(TimePoint now) const
{
    bool isAnyRecent = false;
    for (const auto& [id, it] : m_daemons) {
        if (now - it.reportedAt > rolloutPermitLife)
            continue;
        isAnyRecent = true;
        if (it.phase != RolloutPhase::Switching || it.formerInFlight > 0)
            return false;
    }
    return isAnyRecent;
}

bool RolloutJudge::hearsMost(TimePoint now) const
{
    size_t known = 0;
    size_t heard = 0;
    const std::string* previous = nullptr;
    bool isHeard = false;
    for (const auto& [id, it] : m_daemons) {
        if (!previous || *previous != id.first) {
            ++known;
            isHeard = false;
            previous = &id.first;
        }
        if (!isHeard && now - it.reportedAt <= rolloutPermitLife) {
            ++heard;
            isHeard = true;
        }
    }
    return 2 * heard >= known;
}

RolloutDecision RolloutJudge::decide(TimePoint now)
{
    if (m_isCommitted)
        return { .phase = m_phase, .reason = RolloutReason::Committed };
    if (m_phase != RolloutPhase::Reverted) {
        if (const auto reason = reasonToRevert(now)) {
            m_phase = RolloutPhase::Reverted;
            m_reason = *reason;
        }
    }
    if (m_phase == RolloutPhase::Reverted)
        return { .phase = m_phase, .reason = m_reason };
    const bool isJudged = m_firstReportAt && now - *m_firstReportAt >= minJudgement;
    if (!isJudged || now < deadline() - switchingLead())
        return { .phase = m_phase, .reason = RolloutReason::Running };
    const bool mustEnd = now >= deadline() - writeLead;
    if (m_phase == RolloutPhase::Canary) {
        if (!mustEnd && exceedsExposure(now))
            return { .phase = m_phase, .reason = RolloutReason::ExposureTooHigh };
        m_phase = RolloutPhase::Switching;
        m_switchedAt = now;
    }
    if (now < deadline() + minorityDelay && !hearsMost(now))
        return { .phase = m_phase, .reason = RolloutReason::TooFewReports };
    if (mustEnd)
        return { .phase = RolloutPhase::Complete, .reason = RolloutReason::DeadlineReached };
    if (now - m_switchedAt >= minSwitching && isFormerDrained(now))
        return { .phase = RolloutPhase::Complete, .reason = RolloutReason::FormerDrained };
    return { .phase = m_phase, .reason = RolloutReason::DeadlineNear };
}

void RolloutJudge::commit(RolloutPhase phase)
{
    if (!isFinal(phase))
        return;
    m_phase = phase;
    m_isCommitted = true;
}

RolloutPermit RolloutJudge::permit(TimePoint now) const
{
    RolloutPermit out { .order = m_order.id, .phase = m_phase, .share = baseShare(), .rotation = 0 };
    if (m_firstReportAt && now - *m_firstReportAt >= firstReportsTime) {
        out.share = canaryShareAt(now);
    }
    // All endpoints are used within the order if it lasts long enough.
    const auto interval = std::clamp(
        fromSeconds(toSeconds(m_order.duration) * canaryShare), Duration(minRotation), Duration(maxRotation));
    out.rotation = static_cast<uint32_t>(std::max<Duration>(now - m_begunAt, {}) / interval);
    return out;
}

RolloutState RolloutJudge::state(TimePoint now) const
{
    const auto totals = totalsAt(now);
    return { .order = m_order.id,
        .phase = m_phase,
        .elapsedAtWrite = now - m_begunAt,
        .requests = totals.requests,
        .sentToTarget = totals.sentToTarget,
        .responses = totals.target.responses,
        .badResponses = totals.target.bad,
        .slowResponses = totals.target.slow,
        .formerResponses = totals.former.responses,
        .formerBadResponses = totals.former.bad,
        .formerSlowResponses = totals.former.slow };
}

RolloutGate::RolloutGate(std::string daemon, uint64_t incarnation)
    : m_daemon(std::move(daemon))
    , m_incarnation(incarnation)
    , m_random(hashOf(m_daemon, incarnation))
{
}

void RolloutGate::setOrder(const RolloutOrder& order, uint32_t formerInFlight)
{
    const bool isSame = m_order && isSameOrder(*m_order, order);
    m_order = order;
    if (isSame)
        return;
    m_permit = {};
    m_permitSentAt.reset();
    m_final.reset();
    m_offset = m_random.fraction();
    m_requests = m_chosenTarget = m_sentToTarget = 0;
    m_formerInFlight = formerInFlight;
    m_routes.clear();
    m_endpoints.clear();
}

void RolloutGate::clearOrder() { m_order.reset(); }

void RolloutGate::applyPermit(const RolloutPermit& permit, TimePoint sentAt, TimePoint now)
{
    if (!m_order || permit.order != m_order->id || sentAt > now)
        return;
    if (isFinal(permit.phase)) {
        applyStatus(permit.order, permit.phase);
        return;
    }
    if (m_permitSentAt && sentAt < *m_permitSentAt)
        return;
    m_permit = permit;
    m_permitSentAt = sentAt;
}

void RolloutGate::applyStatus(const RolloutOrderId& order, RolloutPhase phase)
{
    // A coordinator that decides to revert may find that another one has completed the order in the store.
    if (m_order && order == m_order->id && isFinal(phase) && m_final != RolloutPhase::Complete)
        m_final = phase;
}

bool RolloutGate::hasPermit(TimePoint now) const
{
    return m_order && m_permitSentAt && now - *m_permitSentAt < rolloutPermitLife;
}

RolloutPhase RolloutGate::phase(TimePoint now) const
{
    if (m_final)
        return *m_final;
    return hasPermit(now) ? m_permit.phase : RolloutPhase::Canary;
}

VersionGroup RolloutGate::choose(TimePoint now)
{
    if (!m_order)
        return VersionGroup::Former;
    ++m_requests;
    const auto current = phase(now);
    if (current == RolloutPhase::Reverted || !mayUse(VersionGroup::Target, now))
        return VersionGroup::Former;
    if (current == RolloutPhase::Canary) {
        const auto allowed = m_permit.share * static_cast<double>(m_requests) + m_offset;
        const auto used = static_cast<double>(std::max(m_chosenTarget, m_sentToTarget));
        // What a daemon could not use, for instance while it had no permit, is not used at once. Chance
        // decides so that the requests of a route which arrive at regular intervals are not always left out.
        if (used + 1 > allowed || !m_random.chance(std::min(1.0, catchUp * m_permit.share)))
            return VersionGroup::Former;
    }
    ++m_chosenTarget;
    return VersionGroup::Target;
}

VersionGroup RolloutGate::chooseAgain(VersionGroup chosen, TimePoint now)
{
    if (!m_order)
        return chosen;
    const auto current = phase(now);
    const bool mustSwitch = current == RolloutPhase::Switching || current == RolloutPhase::Complete;
    if (chosen == VersionGroup::Former && mustSwitch) {
        ++m_chosenTarget;
        return VersionGroup::Target;
    }
    if (chosen == VersionGroup::Target && !mayUse(VersionGroup::Target, now)) {
        returnChoice();
        return VersionGroup::Former;
    }
    return chosen;
}

bool RolloutGate::mayUse(VersionGroup group, TimePoint now) const
{
    if (!m_order)
        return true;
    if (m_final)
        return (m_final == RolloutPhase::Complete) == (group == VersionGroup::Target);
    return group == VersionGroup::Former || hasPermit(now);
}

std::vector<uint64_t> RolloutGate::usableTargets(
    std::span<const uint64_t> endpoints, std::span<const uint64_t> excluded, TimePoint now) const
{
    if (!mayUse(VersionGroup::Target, now))
        return {};
    if (!m_order || phase(now) != RolloutPhase::Canary || endpoints.empty())
        return { endpoints.begin(), endpoints.end() };
    std::vector<std::pair<uint64_t, uint64_t>> weights;
    weights.reserve(endpoints.size());
    for (const auto it : endpoints)
        weights.emplace_back(hashOf(std::to_string(it), m_order->id.number), it);
    std::ranges::sort(weights);
    // Two at least, as a version is judged by two endpoints.
    const auto count = std::min(endpoints.size(),
        std::max<size_t>(
            2, static_cast<size_t>(std::ceil(m_permit.share * static_cast<double>(endpoints.size())))));
    std::vector<uint64_t> out;
    out.reserve(count);
    for (size_t i = 0; i < weights.size() && out.size() < count; ++i) {
        const auto endpoint = weights[(m_permit.rotation * count + i) % weights.size()].second;
        if (std::ranges::find(excluded, endpoint) == excluded.end())
            out.push_back(endpoint);
    }
    return out;
}

void RolloutGate::recordSend(VersionGroup group, TimePoint /*now*/)
{
    if (!m_order)
        return;
    if (group == VersionGroup::Former)
        ++m_formerInFlight;
    else
        ++m_sentToTarget;
}

void RolloutGate::recordResponse(
    uint64_t route, uint64_t endpoint, VersionGroup group, bool isBad, bool isSlow, TimePoint /*now*/)
{
    if (!m_order)
        return;
    const ResponseCounts response { .responses = 1, .bad = isBad ? 1U : 0U, .slow = isSlow ? 1U : 0U };
    if (m_routes.size() < maxRoutes || m_routes.contains(route)) {
        auto& counts = m_routes[route];
        counts.route = route;
        add(group == VersionGroup::Former ? counts.former : counts.target, response);
    }
    if (group == VersionGroup::Target
        && (m_endpoints.size() < maxEndpoints || m_endpoints.contains(endpoint)))
        add(m_endpoints[endpoint], response);
}

void RolloutGate::recordFormerEnded() { m_formerInFlight -= m_formerInFlight > 0 ? 1 : 0; }

RolloutReport RolloutGate::report(TimePoint now)
{
    RolloutReport out { .daemon = m_daemon,
        .incarnation = m_incarnation,
        .sequence = ++m_sequence,
        .order = m_order ? m_order->id : RolloutOrderId(),
        .phase = phase(now),
        .requests = m_requests,
        .sentToTarget = m_sentToTarget,
        .formerInFlight = m_formerInFlight,
        .routes = {},
        .endpoints = {} };
    for (const auto& [route, counts] : m_routes)
        out.routes.push_back(counts);
    for (const auto& [endpoint, counts] : m_endpoints)
        out.endpoints.push_back({ .endpoint = endpoint, .counts = counts });
    return out;
}

} // namespace lentilbay
