// Evidence against parts of prompts and whole requests, and the blocks that follow from it.
#include "lentilbay/Edge/CrashAttribution.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <iterator>
#include <tuple>

namespace lentilbay::edge {
namespace {

/// A trigger is blocked after this many crashes without an answer in between.
constexpr size_t crashesToBlock = 3;
/// A crash counts once peers could report their own requests at the endpoint, and which triggers they know to
/// be sound.
constexpr Duration evidenceDelay = std::chrono::milliseconds(700);
/// An endpoint that breaks off a single answer goes on with others; after a crash it answers none of them.
constexpr Duration breakConfirmation = std::chrono::milliseconds(100);
/// The time after which it is known whether the links to the endpoints were lost, or an endpoint was
/// overloaded.
constexpr Duration slowConfirmation = std::chrono::seconds(1);
/// So many endpoints that break off requests within `simultaneous` have not crashed if one of them can be
/// connected to.
constexpr size_t minSimultaneousBreaks = 3;
/// A blocked trigger explains crashes of triggers that are in at least so many times as many requests.
constexpr uint64_t leastFrequencyRatio = 4;
/// A daemon that has counted fewer requests with a part, because it was restarted, cannot tell how frequent
/// it is.
constexpr uint64_t minRequestsToCompare = 16;
/// Crashes this close to each other may have one cause that is not a request, such as a lost host. For a
/// trigger that is known to be sound they count as one.
constexpr Duration simultaneous = std::chrono::milliseconds(250);
/// The time until the first trial of a blocked trigger; each later one takes trialFactor times as long.
constexpr Duration firstTrialDelay = std::chrono::seconds(2);
constexpr int trialFactor = 10;
/// How much later a request may be a trial for each further blocked trigger of it.
constexpr Duration jointTrialDelay = std::chrono::seconds(4);
/// A trial waits until no endpoint has crashed for this long, since sound requests fail as well while some
/// crash.
constexpr Duration calmBeforeTrial = std::chrono::seconds(1);
constexpr Duration maxWaitForCalm = std::chrono::seconds(3);
constexpr Duration maxTrialDelay = std::chrono::hours(1);
/// How long crashes count that did not lead to a block.
constexpr Duration evidenceLifetime = std::chrono::minutes(10);
/// How long peers are told of something new; they receive several heartbeats in this time.
constexpr Duration reportLifetime = std::chrono::seconds(3);
/// Bounds of the tables and of a heartbeat, which hold whatever callers put into their requests.
constexpr size_t maxTriggers = 1024;
constexpr size_t maxBreaks = 256;
constexpr size_t maxCrashesPerTrigger = 32;
constexpr size_t maxSoundTriggers = 1024;
constexpr size_t maxCountedParts = 1024;
constexpr size_t maxReports = 32;
/// Up to this number, all daemons are told everything.
constexpr size_t maxDaemonsToTell = 16;
/// Several daemons may be lost at once.
constexpr size_t ownersOfTrigger = 3;
constexpr size_t maxReportedCrashes = 8;

uint64_t crashId(const EndpointIncarnation& it)
{
    return hashOf(
        { reinterpret_cast<const char*>(&it.startedAtMilliseconds), sizeof it.startedAtMilliseconds },
        it.endpoint);
}

/// Microseconds since then; negative: never.
int64_t ageOf(TimePoint at, TimePoint now) { return at == TimePoint {} ? -1 : (now - at).count(); }

} // namespace

bool CrashAttribution::isKnownSound(uint64_t trigger) const
{
    const auto& sound = isWholeRequest(trigger) ? m_soundRequests : m_soundParts;
    return sound.newer.contains(trigger) || sound.older.contains(trigger);
}

bool CrashAttribution::isBlockedFor(const Trigger& trigger, uint64_t organisation)
{
    return trigger.blockedAt && (trigger.hasSeveralOrganisations || trigger.organisation == organisation);
}

TimePoint CrashAttribution::trialDueAt(const Trigger& trigger)
{
    assert(trigger.blockedAt && "only blocked triggers have trials");
    auto delay = firstTrialDelay;
    for (uint32_t i = 0; i < trigger.trials && delay < maxTrialDelay; ++i)
        delay *= trialFactor;
    return std::max(*trigger.blockedAt, trigger.trialAt) + std::min<Duration>(delay, maxTrialDelay);
}

bool CrashAttribution::isOwner(uint64_t trigger, const std::string& daemon) const
{
    if (m_daemons.size() <= ownersOfTrigger)
        return true;
    const auto [it, isNew] = m_ownerHashes.try_emplace(trigger);
    if (isNew) {
        std::vector<uint64_t> hashes;
        hashes.reserve(m_daemons.size());
        std::ranges::transform(
            m_daemons, std::back_inserter(hashes), [&](const auto& name) { return hashOf(name, trigger); });
        const auto last = hashes.begin() + (ownersOfTrigger - 1);
        std::ranges::nth_element(hashes, last);
        it->second = *last;
    }
    return hashOf(daemon, trigger) <= it->second;
}

bool CrashAttribution::isAddressedTo(const TriggerReport& report, const std::string& daemon) const
{
    if (m_daemons.size() <= maxDaemonsToTell)
        return true;
    if (report.isBlocked)
        return isOwner(report.trigger) || isOwner(report.trigger, daemon);
    const auto it = m_triggers.find(report.trigger);
    return it == m_triggers.end() || it->second.crashes.size() > 1 || isOwner(report.trigger, daemon);
}

size_t CrashAttribution::rankOf(uint64_t trigger, const std::string& daemon) const
{
    const auto weight = hashOf(daemon, trigger);
    return std::ranges::count_if(m_daemons, [&](const auto& it) { return hashOf(it, trigger) < weight; });
}

CrashAttribution::Verdict CrashAttribution::judge(const AttributedRequest& request, TimePoint now) const
{
    if (m_blocked == 0)
        return Verdict::Allowed;
    size_t n = 0;
    TimePoint due {};
    for (const auto id : request.triggers) {
        const auto it = m_triggers.find(id);
        if (it == m_triggers.end() || !isBlockedFor(it->second, request.organisation))
            continue;
        ++n;
        // One more daemon may send the trial after each report delay, in case those before it have no request
        // with this trigger.
        due = std::max(
            due, trialDueAt(it->second) + m_reportDelay * static_cast<int64_t>(rankOf(id, m_self)));
    }
    if (n == 0)
        return Verdict::Allowed;
    // Requests with the fewest blocked triggers go first, since their trials tell the triggers apart.
    if (n > 1)
        due += jointTrialDelay * static_cast<int64_t>(n - 1);
    due = std::max(due, std::min(m_lastCrashAt + calmBeforeTrial, due + maxWaitForCalm));
    return now >= due ? Verdict::Trial : Verdict::Blocked;
}

TimePoint CrashAttribution::nextTrialAt(const AttributedRequest& request, TimePoint now) const
{
    auto out = now;
    for (const auto id : request.triggers) {
        const auto it = m_triggers.find(id);
        if (it != m_triggers.end() && isBlockedFor(it->second, request.organisation))
            out = std::max(out, trialDueAt(it->second));
    }
    return out;
}

void CrashAttribution::recordRequest(const AttributedRequest& request)
{
    for (const auto id : request.triggers) {
        if (isWholeRequest(id)) {
            if (const auto it = m_triggers.find(id); it != m_triggers.end())
                ++it->second.requests;
            continue;
        }
        ++m_requests[id];
        if (m_requests.size() >= maxCountedParts)
            m_requestsBefore = std::exchange(m_requests, {});
    }
}

uint64_t CrashAttribution::requestsWith(uint64_t trigger) const
{
    if (isWholeRequest(trigger)) {
        const auto it = m_triggers.find(trigger);
        return it == m_triggers.end() ? 0 : it->second.requests;
    }
    const auto count = [&](const auto& requests) {
        const auto it = requests.find(trigger);
        return it == requests.end() ? uint64_t { 0 } : it->second;
    };
    return count(m_requests) + count(m_requestsBefore);
}

void CrashAttribution::recordTrial(const AttributedRequest& request, TimePoint now)
{
    for (const auto id : request.triggers) {
        const auto it = m_triggers.find(id);
        if (it == m_triggers.end() || !isBlockedFor(it->second, request.organisation))
            continue;
        ++it->second.trials;
        it->second.trialAt = it->second.changedAt = now;
    }
}

CrashAttribution::Trigger& CrashAttribution::entryOf(uint64_t id, TimePoint now)
{
    if (m_triggers.size() >= maxTriggers && !m_triggers.contains(id)) {
        // The trigger with the least evidence is dropped, the oldest first.
        const auto key = [](const auto& it) {
            return std::make_tuple(
                it.second.blockedAt.has_value(), it.second.crashes.size(), it.second.changedAt);
        };
        const auto least = std::ranges::min_element(m_triggers, {}, key);
        if (least->second.blockedAt)
            --m_blocked;
        m_triggers.erase(least);
    }
    auto [it, isNew] = m_triggers.try_emplace(id);
    if (isNew)
        it->second.changedAt = now;
    return it->second;
}

void CrashAttribution::addOrganisation(Trigger& trigger, uint64_t organisation)
{
    if (trigger.organisation && *trigger.organisation != organisation)
        trigger.hasSeveralOrganisations = true;
    trigger.organisation = trigger.organisation.value_or(organisation);
}

void CrashAttribution::addCrash(Trigger& trigger, Crash crash, bool isRelayed, TimePoint now)
{
    if (trigger.answeredAt && crash.at <= *trigger.answeredAt)
        return;
    trigger.lastCrashAt = std::max(trigger.lastCrashAt, crash.at);
    m_lastCrashAt = std::max(m_lastCrashAt, crash.at);
    const auto it = std::ranges::find(trigger.crashes, crash.endpoint, &Crash::endpoint);
    if (it != trigger.crashes.end()) {
        it->at = std::min(it->at, crash.at);
        it->isOwn = it->isOwn || crash.isOwn;
        return;
    }
    if (trigger.crashes.size() < maxCrashesPerTrigger) {
        if (crash.isOwn || isRelayed)
            trigger.changedAt = now;
        trigger.crashes.push_back(std::move(crash));
    }
}

void CrashAttribution::recordBreak(BrokenRequest request)
{
    if (!request.request.triggers.empty() && m_breaks.size() < maxBreaks)
        m_breaks.push_back(std::move(request));
}

void CrashAttribution::recordAlive(uint64_t endpoint, TimePoint sentAt)
{
    if (m_breaks.empty())
        return;
    std::erase_if(
        m_breaks, [&](const auto& it) { return it.endpoint.endpoint == endpoint && sentAt < it.at; });
}

void CrashAttribution::recordConnected(uint64_t endpoint, TimePoint now)
{
    const auto it = std::ranges::find_if(
        m_breaks, [&](const auto& broken) { return broken.endpoint.endpoint == endpoint; });
    if (it == m_breaks.end())
        return;
    const auto at = it->at;
    const auto isSimultaneous = [&](const auto& broken) {
        return broken.at - at <= simultaneous && at - broken.at <= simultaneous;
    };
    std::unordered_set<uint64_t> endpoints;
    for (const auto& broken : m_breaks) {
        if (isSimultaneous(broken))
            endpoints.insert(broken.endpoint.endpoint);
    }
    const bool wereAllReset = endpoints.size() >= minSimultaneousBreaks;
    std::erase_if(m_breaks, [&](const auto& broken) {
        return broken.at <= now
            && (broken.endpoint.endpoint == endpoint || (wereAllReset && isSimultaneous(broken)));
    });
}

void CrashAttribution::dropBreaksSince(TimePoint since)
{
    std::erase_if(m_breaks, [&](const auto& it) { return it.at >= since; });
}

void CrashAttribution::dropBreaksAt(uint64_t endpoint)
{
    std::erase_if(m_breaks, [&](const auto& it) { return it.endpoint.endpoint == endpoint; });
}

void CrashAttribution::setAnswered(Trigger& trigger, TimePoint at, TimePoint now)
{
    if (trigger.answeredAt && at <= *trigger.answeredAt)
        return;
    trigger.answeredAt = at;
    const auto n = std::erase_if(trigger.crashes, [&](const auto& it) { return it.at <= at; });
    if (n > 0 || trigger.blockedAt)
        trigger.changedAt = now;
}

void CrashAttribution::rememberSound(uint64_t id)
{
    auto& sound = isWholeRequest(id) ? m_soundRequests : m_soundParts;
    sound.newer.insert(id);
    if (sound.newer.size() >= maxSoundTriggers)
        sound.older = std::exchange(sound.newer, {});
}

void CrashAttribution::recordAnswer(const AttributedRequest& request, TimePoint now)
{
    for (const auto id : request.triggers) {
        rememberSound(id);
        if (const auto it = m_triggers.find(id); it != m_triggers.end()) {
            setAnswered(it->second, now, now);
            m_isDirty = true;
        }
    }
}

void CrashAttribution::setDaemons(
    const std::string& self, std::vector<std::string> daemons, Duration reportDelay)
{
    if (m_daemons != daemons || m_ownerHashes.size() > maxTriggers)
        m_ownerHashes.clear();
    m_self = self;
    m_daemons = std::move(daemons);
    m_reportDelay = reportDelay;
}

bool CrashAttribution::isReported(uint64_t id, const Trigger& trigger, TimePoint now) const
{
    if (trigger.blockedAt)
        return true;
    if (now - trigger.changedAt > reportLifetime)
        return false;
    // An owner keeps the single crash that a peer has told it of.
    const bool isKept = m_daemons.size() > maxDaemonsToTell && trigger.crashes.size() == 1
        && !trigger.crashes.front().isOwn && !isKnownSound(id);
    if (isKept)
        return false;
    // One crash says little about a trigger that is known to be sound, and most triggers are present at one.
    return trigger.isShared || trigger.crashes.size() >= (isKnownSound(id) ? 2 : 1);
}

std::vector<TriggerReport> CrashAttribution::reports(TimePoint now)
{
    std::vector<std::pair<const uint64_t, Trigger>*> triggers;
    for (auto& it : m_triggers) {
        if (isReported(it.first, it.second, now))
            triggers.push_back(&it);
    }
    const auto key = [](const auto* it) {
        return std::make_tuple(
            !it->second.blockedAt, -static_cast<int64_t>(it->second.crashes.size()), it->first);
    };
    std::ranges::sort(triggers, {}, key);
    triggers.resize(std::min(triggers.size(), maxReports));
    std::vector<TriggerReport> out;
    out.reserve(triggers.size());
    for (auto* it : triggers) {
        auto& trigger = it->second;
        trigger.isShared = true;
        auto& report = out.emplace_back(TriggerReport { .trigger = it->first,
            .organisation = trigger.organisation.value_or(0),
            .hasSeveralOrganisations = trigger.hasSeveralOrganisations,
            .isBlocked = trigger.blockedAt.has_value(),
            .isKnownSound = isKnownSound(it->first),
            .lastCrashAgeMicroseconds = ageOf(trigger.lastCrashAt, now),
            .answeredAgeMicroseconds = trigger.answeredAt ? ageOf(*trigger.answeredAt, now) : -1,
            .trials = trigger.trials,
            .trialAgeMicroseconds = ageOf(trigger.trialAt, now) });
        if (now - trigger.changedAt > reportLifetime)
            continue;
        const bool relays = m_daemons.size() > maxDaemonsToTell && isOwner(it->first);
        for (const auto& crash : trigger.crashes) {
            if ((crash.isOwn || relays) && report.crashes.size() < maxReportedCrashes)
                report.crashes.push_back(
                    { .endpoint = crash.endpoint, .ageMicroseconds = ageOf(crash.at, now) });
        }
    }
    return out;
}

void CrashAttribution::applyReport(const TriggerReport& report, TimePoint at, TimePoint now)
{
    const auto timeOf = [&](int64_t age) { return at - Duration(age); };
    const bool hasEvidence = report.isBlocked || !report.crashes.empty();
    if (!hasEvidence && !m_triggers.contains(report.trigger))
        return;
    auto& trigger = entryOf(report.trigger, now);
    trigger.isShared = true;
    m_isDirty = true;
    if (report.answeredAgeMicroseconds >= 0)
        setAnswered(trigger, timeOf(report.answeredAgeMicroseconds), now);
    if (report.isKnownSound)
        rememberSound(report.trigger);
    // A daemon that was restarted does not know which triggers are sound.
    else if (hasEvidence && isKnownSound(report.trigger))
        trigger.changedAt = now;
    if (hasEvidence)
        addOrganisation(trigger, report.organisation);
    trigger.hasSeveralOrganisations = trigger.hasSeveralOrganisations || report.hasSeveralOrganisations;
    const bool isRelayed = m_daemons.size() > maxDaemonsToTell && isOwner(report.trigger);
    for (const auto& it : report.crashes)
        addCrash(trigger, { .endpoint = it.endpoint, .at = timeOf(it.ageMicroseconds) }, isRelayed, now);
    if (!report.isBlocked)
        return;
    if (!trigger.blockedAt && report.lastCrashAgeMicroseconds >= 0)
        adoptBlock(report, trigger, timeOf(report.lastCrashAgeMicroseconds), now);
    if (trigger.blockedAt && report.trials > trigger.trials) {
        trigger.trials = report.trials;
        trigger.trialAt = std::max(trigger.trialAt, timeOf(report.trialAgeMicroseconds));
    }
}

void CrashAttribution::adoptBlock(
    const TriggerReport& report, Trigger& trigger, TimePoint lastCrashAt, TimePoint now)
{
    // A daemon that knows the trigger to be sound, or another one to be to blame, judges recent crashes by
    // itself; its next answer frees the trigger at the others. A count of crashes does not show that: this
    // daemon may know fewer of them.
    const bool isExplained = !isWholeRequest(report.trigger)
        && std::ranges::any_of(m_triggers,
            [&](const auto& it) { return it.second.blockedAt && explains(it.first, report.trigger); });
    if (isExplained || (isKnownSound(report.trigger) && !report.crashes.empty()))
        return;
    if (trigger.answeredAt && lastCrashAt <= *trigger.answeredAt)
        return;
    trigger.lastCrashAt = std::max(trigger.lastCrashAt, lastCrashAt);
    block(report.trigger, trigger, now);
}

void CrashAttribution::restore(uint64_t id, const BlockedTrigger& blocked, TimePoint now)
{
    auto& trigger = entryOf(id, now);
    addOrganisation(trigger, blocked.organisation);
    trigger.hasSeveralOrganisations = trigger.hasSeveralOrganisations || blocked.hasSeveralOrganisations;
    trigger.trials = std::max(trigger.trials, blocked.trials);
    if (trigger.blockedAt || trigger.answeredAt)
        return;
    trigger.lastCrashAt = now;
    block(id, trigger, now);
}

void CrashAttribution::release(uint64_t id, TimePoint now)
{
    if (const auto it = m_triggers.find(id); it != m_triggers.end()) {
        setAnswered(it->second, now, now);
        m_isDirty = true;
    }
}

void CrashAttribution::promoteBreaks(Duration confirmation, TimePoint now)
{
    std::erase_if(m_breaks, [&](const auto& it) {
        if (now - it.at < (it.mayBeOverloaded ? std::max(confirmation, slowConfirmation) : confirmation))
            return false;
        if (!std::ranges::all_of(it.request.triggers, [&](const auto id) { return isKnownSound(id); }))
            ++m_suspiciousCrashes;
        for (const auto id : it.request.triggers) {
            auto& trigger = entryOf(id, now);
            addOrganisation(trigger, it.request.organisation);
            addCrash(trigger,
                { .endpoint = crashId(it.endpoint), .at = it.at, .isOwn = true, .name = it.name }, false,
                now);
        }
        m_isDirty = true;
        return true;
    });
}

void CrashAttribution::dropOld(TimePoint now)
{
    for (auto it = m_triggers.begin(); it != m_triggers.end();) {
        auto& trigger = it->second;
        if (!trigger.blockedAt)
            std::erase_if(
                trigger.crashes, [&](const auto& crash) { return now - crash.at > evidenceLifetime; });
        // An answer is remembered for longer than a peer may report the crashes before it.
        const bool isOld = trigger.crashes.empty() && now - trigger.changedAt > 2 * reportLifetime;
        it = !trigger.blockedAt && isOld ? m_triggers.erase(it) : std::next(it);
    }
}

bool CrashAttribution::explains(uint64_t culprit, uint64_t id) const
{
    if (culprit == id)
        return false;
    if (isKnownSound(id))
        return true;
    if (!isWholeRequest(culprit)) {
        const auto n = requestsWith(id);
        return n >= minRequestsToCompare && requestsWith(culprit) * leastFrequencyRatio <= n;
    }
    // A request with a part that crashes endpoints comes again as well, so it does not clear its parts.
    if (!isWholeRequest(id))
        return false;
    const auto crashesOf = [&](uint64_t trigger) {
        const auto it = m_triggers.find(trigger);
        return it == m_triggers.end() ? 0 : it->second.crashes.size();
    };
    return crashesOf(culprit) > crashesOf(id);
}

size_t CrashAttribution::unexplainedCrashes(uint64_t id, const Trigger& trigger, TimePoint now)
{
    std::vector<TimePoint> times;
    for (const auto& it : trigger.crashes) {
        if (now - it.at < evidenceDelay) {
            m_isDirty = true;
            continue;
        }
        const bool isExplained = std::ranges::any_of(m_culprits, [&](const auto& culprit) {
            return culprit.second->blockedAt && explains(culprit.first, id)
                && std::ranges::find(culprit.second->crashes, it.endpoint, &Crash::endpoint)
                != culprit.second->crashes.end();
        });
        if (!isExplained)
            times.push_back(it.at);
    }
    if (!isKnownSound(id))
        return times.size();
    std::ranges::sort(times);
    size_t n = 0;
    std::optional<TimePoint> begin;
    for (const auto it : times) {
        if (begin && it - *begin < simultaneous)
            continue;
        begin = it;
        ++n;
    }
    return n;
}

std::vector<std::string> CrashAttribution::crashedEndpoints(const Trigger& trigger)
{
    std::vector<std::string> out;
    for (const auto& it : trigger.crashes)
        out.push_back(it.name.empty() ? fmt::format("{:016x}", it.endpoint) : it.name);
    return out;
}

void CrashAttribution::block(uint64_t id, Trigger& trigger, TimePoint now)
{
    trigger.blockedAt = trigger.changedAt = now;
    ++m_blocked;
    m_changes.push_back(
        { .trigger = id, .kind = TriggerChange::Kind::Blocked, .endpoints = crashedEndpoints(trigger) });
}

void CrashAttribution::blockCulprits(TimePoint now)
{
    m_culprits.clear();
    std::vector<std::pair<uint64_t, Trigger*>> candidates;
    for (auto& [id, trigger] : m_triggers) {
        if (trigger.blockedAt)
            m_culprits.emplace_back(id, &trigger);
        else if (trigger.crashes.size() + 1 >= crashesToBlock)
            candidates.emplace_back(id, &trigger);
    }
    // Whole requests and then parts of few requests are blocked first. If another trigger is to blame,
    // requests without the blocked trigger show it, while blocking a trigger of many requests takes the
    // service from all of them. Of the whole requests, one that crashes endpoints was at more crashes than
    // its victims.
    std::ranges::sort(candidates, {}, [&](const auto& it) {
        const bool isWhole = isWholeRequest(it.first);
        const auto order = isWhole ? -static_cast<int64_t>(it.second->crashes.size())
                                   : static_cast<int64_t>(requestsWith(it.first));
        return std::make_tuple(isKnownSound(it.first), !isWhole, order, it.first);
    });
    for (const auto& [id, trigger] : candidates) {
        const auto n = unexplainedCrashes(id, *trigger, now);
        if (n + 1 >= crashesToBlock && !std::exchange(trigger->isSuspected, true))
            m_changes.push_back({ .trigger = id,
                .kind = TriggerChange::Kind::Suspected,
                .endpoints = crashedEndpoints(*trigger) });
        if (n < crashesToBlock)
            continue;
        block(id, *trigger, now);
        m_culprits.emplace_back(id, trigger);
    }
    // While few requests have been counted, a trigger of many may have been blocked as well.
    for (const auto& [id, trigger] : m_culprits) {
        if (mayBeCleared(id, *trigger) && unexplainedCrashes(id, *trigger, now) == 0 && !m_isDirty)
            unblock(id, *trigger, now);
    }
}

bool CrashAttribution::mayBeCleared(uint64_t id, const Trigger& trigger) const
{
    // Of a trigger that was blocked before a restart, or by a peer, only later crashes are known here.
    if (trigger.crashes.size() < crashesToBlock)
        return false;
    return !isWholeRequest(id) || isKnownSound(id);
}

void CrashAttribution::unblock(uint64_t id, Trigger& trigger, TimePoint now)
{
    trigger.blockedAt.reset();
    trigger.isSuspected = false;
    trigger.trials = 0;
    trigger.trialAt = {};
    trigger.changedAt = now;
    --m_blocked;
    m_changes.push_back({ .trigger = id, .kind = TriggerChange::Kind::Freed });
}

std::vector<TriggerChange> CrashAttribution::update(TimePoint now, bool areLinksSuspicious)
{
    promoteBreaks(areLinksSuspicious ? slowConfirmation : breakConfirmation, now);
    if (m_isDirty || m_blocked > 0) {
        for (auto& [id, trigger] : m_triggers) {
            if (!trigger.blockedAt || !trigger.answeredAt || trigger.lastCrashAt > *trigger.answeredAt)
                continue;
            unblock(id, trigger, now);
        }
        m_isDirty = false;
        blockCulprits(now);
    }
    dropOld(now);
    return std::exchange(m_changes, {});
}

std::map<uint64_t, BlockedTrigger> CrashAttribution::ownedBlockedTriggers() const
{
    std::map<uint64_t, BlockedTrigger> out;
    if (m_blocked == 0)
        return out;
    for (const auto& [id, trigger] : m_triggers) {
        if (trigger.blockedAt && rankOf(id, m_self) == 0)
            out.emplace(id,
                BlockedTrigger { .organisation = trigger.organisation.value_or(0),
                    .hasSeveralOrganisations = trigger.hasSeveralOrganisations,
                    .trials = trigger.trials });
    }
    return out;
}

} // namespace lentilbay::edge
