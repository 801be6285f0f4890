// Combines reports of failing endpoints by data centre and decides which endpoints are excluded.
#include "lentilbay/Policy/EndpointFailureReports.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace lentilbay {
namespace {

/// A failure counts for this long. Several checks by the daemons that probe fall into this time.
constexpr Duration failureLifetime = std::chrono::seconds(2);
/// What was received up to this long after the first failure does not contradict it: hosts notice the end of
/// an endpoint at slightly different times, and reports are dated by their arrival.
constexpr Duration contradictionMargin = std::chrono::milliseconds(100);
/// Two daemons of a data centre exclude an endpoint for it: a single one may have lost its own link.
constexpr uint32_t daemonsToExclude = 2;
constexpr uint32_t dataCentresToExclude = 2;
/// No message of an earlier incarnation of a daemon arrives later than this.
constexpr Duration senderLifetime = std::chrono::seconds(30);
/// An endpoint that is back is found within this time, and reported with the next heartbeats.
constexpr Duration probePeriod = std::chrono::milliseconds(400);
/// Two confirm each other, and one is left if the other is lost.
constexpr size_t probersPerDataCentre = 2;
/// A decision is kept this long; a request is sent every few milliseconds.
constexpr Duration decisionLifetime = std::chrono::milliseconds(20);

int64_t ageOf(TimePoint at, TimePoint now)
{
    return at == TimePoint {} ? -1 : std::max<int64_t>(0, (now - at) / std::chrono::milliseconds(1));
}

/// Never later than the time at which the report was written.
TimePoint timeOf(int64_t age, TimePoint at)
{
    constexpr int64_t longestAge = 60'000;
    return age < 0 || age > longestAge ? TimePoint {} : at - std::chrono::milliseconds(age);
}

} // namespace

bool EndpointFailureReports::isRecent(TimePoint at, TimePoint now)
{
    return at != TimePoint {} && now - at <= failureLifetime;
}

bool EndpointFailureReports::isFailing(const Evidence& evidence, TimePoint heardAt, TimePoint now)
{
    return evidence.daemons > 0 && isRecent(evidence.failedAt, now)
        && heardAt <= evidence.streakFrom + contradictionMargin;
}

void EndpointFailureReports::setDaemons(const Daemon& self, const std::vector<Daemon>& daemons)
{
    m_self = self;
    m_nearby.clear();
    for (const auto& it : daemons) {
        if (it.dataCentre == self.dataCentre)
            m_nearby.push_back(it.name);
    }
}

EndpointFailureReports::Own* EndpointFailureReports::ownOf(uint64_t endpoint, uint64_t startedAtMilliseconds)
{
    auto& out = m_own[endpoint];
    if (startedAtMilliseconds < out.startedAtMilliseconds)
        return nullptr;
    if (out.startedAtMilliseconds != startedAtMilliseconds)
        out = { .startedAtMilliseconds = startedAtMilliseconds };
    m_uses.erase(endpoint);
    return &out;
}

void EndpointFailureReports::recordFailure(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now)
{
    auto* own = ownOf(endpoint, startedAtMilliseconds);
    if (!own)
        return;
    auto& evidence = own->evidence;
    // A daemon that has lost only its own link does not begin anew whenever others contradict it.
    if (evidence.daemons == 0 || !isRecent(evidence.failedAt, now)) {
        evidence.streakFrom = now;
        own->isConfirmed = false;
        m_hasOwnNews = true;
    }
    evidence.daemons = evidence.dataCentres = 1;
    evidence.failedAt = now;
    confirm(endpoint, *own, now);
}

void EndpointFailureReports::recordBadAnswers(
    uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now)
{
    if (auto* own = ownOf(endpoint, startedAtMilliseconds))
        own->evidence.badAnswerAt = now;
}

void EndpointFailureReports::forgetBadAnswers()
{
    for (auto& [endpoint, own] : m_own)
        own.evidence.badAnswerAt = {};
}

void EndpointFailureReports::recordHeard(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now)
{
    if (!isKnown(endpoint))
        return;
    const auto known = m_own.find(endpoint);
    // An endpoint that answers is heard for each of its events.
    if (known != m_own.end() && known->second.startedAtMilliseconds == startedAtMilliseconds
        && known->second.evidence.daemons == 0 && now - known->second.evidence.heardAt < contradictionMargin)
        return;
    auto* own = ownOf(endpoint, startedAtMilliseconds);
    if (!own)
        return;
    auto& evidence = own->evidence;
    m_hasOwnNews = m_hasOwnNews || evidence.daemons > 0;
    evidence.heardAt = now;
    evidence.daemons = evidence.dataCentres = 0;
}

void EndpointFailureReports::forgetFailuresSince(TimePoint since)
{
    std::erase_if(m_own, [&](const auto& it) {
        return it.second.evidence.failedAt >= since || it.second.evidence.badAnswerAt >= since;
    });
    m_uses.clear();
}

bool EndpointFailureReports::isKnown(uint64_t endpoint) const
{
    return m_own.contains(endpoint) || m_sourcesOf.contains(endpoint);
}

void EndpointFailureReports::uncount(const std::unordered_map<uint64_t, Reported>& reports)
{
    for (const auto& [endpoint, it] : reports) {
        const auto count = m_sourcesOf.find(endpoint);
        if (--count->second == 0)
            m_sourcesOf.erase(count);
    }
}

void EndpointFailureReports::forgetSource(const std::string& daemon)
{
    const auto it = m_sources.find(daemon);
    if (it == m_sources.end())
        return;
    uncount(it->second.reports);
    m_sources.erase(it);
    m_uses.clear();
}

bool EndpointFailureReports::recordSender(
    const std::string& daemon, uint64_t incarnation, std::optional<TimePoint> echoedAt, TimePoint now)
{
    auto& known = m_senders[daemon];
    // A daemon that starts has received nothing from this one at first.
    if (known.incarnation != 0 && incarnation != known.incarnation) {
        if (echoedAt && echoedAt <= known.echoedAt)
            return false;
        forgetSource(daemon);
    }
    known = { .incarnation = incarnation, .echoedAt = std::max(known.echoedAt, echoedAt), .heardAt = now };
    return true;
}

void EndpointFailureReports::apply(
    const Daemon& source, ReportScope scope, const std::vector<EndpointFailureReport>& reports, TimePoint at)
{
    if (reports.empty()) {
        forgetSource(source.name);
        return;
    }
    auto& known = m_sources[source.name];
    const auto former = std::move(known.reports);
    uncount(former);
    known = { .scope = scope, .dataCentre = source.dataCentre, .at = at };
    const auto evidenceOf = [&](const EndpointWitness& it) {
        return Evidence { .daemons = it.daemons,
            .dataCentres = it.dataCentres,
            .failedAt = timeOf(it.failureAge, at),
            .streakFrom = timeOf(it.streakAge, at),
            .heardAt = timeOf(it.heardAge, at),
            .badAnswerAt = timeOf(it.badAnswerAge, at) };
    };
    for (const auto& it : reports) {
        if (known.reports.size() >= maxReports)
            break;
        const auto own = m_own.find(it.endpoint);
        if (own != m_own.end() && it.startedAtMilliseconds < own->second.startedAtMilliseconds)
            continue;
        known.reports[it.endpoint] = { .startedAtMilliseconds = it.startedAtMilliseconds,
            .nearby = evidenceOf(it.nearby),
            .elsewhere = evidenceOf(it.elsewhere) };
        const auto before = former.find(it.endpoint);
        const bool failedBefore = before != former.end() && before->second.nearby.daemons > 0
            && before->second.startedAtMilliseconds == it.startedAtMilliseconds;
        m_hasReportedNews = m_hasReportedNews || (it.nearby.daemons > 0) != failedBefore;
    }
    for (const auto& [endpoint, it] : known.reports)
        ++m_sourcesOf[endpoint];
    m_uses.clear();
    for (auto& [endpoint, own] : m_own) {
        if (own.evidence.daemons > 0)
            confirm(endpoint, own, at);
    }
}

void EndpointFailureReports::confirm(uint64_t endpoint, Own& own, TimePoint now) const
{
    if (own.isConfirmed)
        return;
    const auto view = viewOf(endpoint, own.startedAtMilliseconds, now);
    own.isConfirmed = view.nearby.daemons >= daemonsToExclude || view.elsewhere.dataCentres > 0;
}

bool EndpointFailureReports::takeNews(bool isRelay)
{
    const bool isReported = std::exchange(m_hasReportedNews, false);
    return std::exchange(m_hasOwnNews, false) || (isRelay && isReported);
}

void EndpointFailureReports::dropOld(TimePoint now)
{
    constexpr Duration lifetime = 2 * failureLifetime;
    std::erase_if(m_own, [&](const auto& it) {
        const auto& evidence = it.second.evidence;
        return now >= it.second.nextProbeAt
            && now - std::max({ evidence.failedAt, evidence.heardAt, evidence.badAnswerAt }) > lifetime;
    });
    std::erase_if(m_sources, [&](const auto& it) {
        const bool isOld = now - it.second.at > failureLifetime;
        if (isOld)
            uncount(it.second.reports);
        return isOld;
    });
    std::erase_if(m_senders, [&](const auto& it) { return now - it.second.heardAt > senderLifetime; });
    m_uses.clear();
}

EndpointFailureReports::Evidence EndpointFailureReports::combined(
    const std::vector<Evidence>& single, const std::vector<Evidence>& sums, TimePoint now)
{
    Evidence out;
    for (const auto* list : { &single, &sums }) {
        for (const auto& it : *list) {
            out.heardAt = std::max(out.heardAt, it.heardAt);
            out.badAnswerAt = std::max(out.badAnswerAt, it.badAnswerAt);
        }
    }
    const auto take = [&](const Evidence& it) {
        out.failedAt = std::max(out.failedAt, it.failedAt);
        out.streakFrom = std::max(out.streakFrom, it.streakFrom);
    };
    for (const auto& it : single) {
        if (!isFailing(it, out.heardAt, now))
            continue;
        take(it);
        ++out.daemons;
    }
    for (const auto& it : sums) {
        if (!isFailing(it, out.heardAt, now))
            continue;
        take(it);
        out.daemons = std::max(out.daemons, it.daemons);
        out.dataCentres = std::max(out.dataCentres, it.dataCentres);
    }
    out.dataCentres = std::max<uint32_t>(out.dataCentres, out.daemons > 0 ? 1 : 0);
    return out;
}

EndpointFailureReports::View EndpointFailureReports::viewOf(
    uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now) const
{
    struct Lists {
        std::vector<Evidence> single;
        std::vector<Evidence> sums;
    };
    std::map<std::string_view, Lists> dataCentres;
    std::vector<Evidence> elsewhere;
    if (const auto own = m_own.find(endpoint);
        own != m_own.end() && own->second.startedAtMilliseconds == startedAtMilliseconds)
        dataCentres[m_self.dataCentre].single.push_back(own->second.evidence);
    for (const auto& [name, source] : m_sources) {
        const auto it = source.reports.find(endpoint);
        if (it == source.reports.end() || it->second.startedAtMilliseconds != startedAtMilliseconds
            || !isRecent(source.at, now))
            continue;
        auto& lists = dataCentres[source.dataCentre];
        (source.scope == ReportScope::Daemon ? lists.single : lists.sums).push_back(it->second.nearby);
        if (source.scope == ReportScope::Fleet)
            elsewhere.push_back(it->second.elsewhere);
    }
    View out;
    if (const auto own = dataCentres.find(m_self.dataCentre); own != dataCentres.end())
        out.nearby = combined(own->second.single, own->second.sums, now);
    const auto sums = elsewhere.size();
    for (const auto& [name, lists] : dataCentres) {
        if (name != m_self.dataCentre)
            elsewhere.push_back(combined(lists.single, lists.sums, now));
    }
    out.elsewhere = combined({}, elsewhere, now);
    const auto failing = std::count_if(elsewhere.begin() + static_cast<std::ptrdiff_t>(sums), elsewhere.end(),
        [&](const auto& it) { return isFailing(it, out.elsewhere.heardAt, now); });
    out.elsewhere.dataCentres = std::max(out.elsewhere.dataCentres, static_cast<uint32_t>(failing));
    return out;
}

EndpointUse EndpointFailureReports::use(
    uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now) const
{
    if (!isKnown(endpoint))
        return EndpointUse::Usable;
    auto& out = m_uses[endpoint];
    if (out.startedAtMilliseconds == startedAtMilliseconds && out.at != TimePoint {} && now >= out.at
        && now - out.at < decisionLifetime)
        return out.use;
    const auto view = viewOf(endpoint, startedAtMilliseconds, now);
    const bool failsNearby = isFailing(view.nearby, view.nearby.heardAt, now);
    const bool failsElsewhere = isFailing(view.elsewhere, view.heardAt(), now);
    const uint32_t dataCentres = (failsElsewhere ? view.elsewhere.dataCentres : 0)
        + (isFailing(view.nearby, view.heardAt(), now) ? 1 : 0);
    auto use = EndpointUse::Usable;
    if ((failsNearby && view.nearby.daemons >= daemonsToExclude) || dataCentres >= dataCentresToExclude)
        use = EndpointUse::Excluded;
    else if (failsNearby || failsElsewhere || isRecent(view.nearby.badAnswerAt, now)
        || isRecent(view.elsewhere.badAnswerAt, now))
        use = EndpointUse::ProbeOnly;
    out = { .startedAtMilliseconds = startedAtMilliseconds, .at = now, .use = use };
    return use;
}

bool EndpointFailureReports::hasRecovered(
    uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint failedAt) const
{
    const auto own = m_own.find(endpoint);
    return own != m_own.end() && own->second.startedAtMilliseconds == startedAtMilliseconds
        && own->second.isConfirmed
        && viewOf(endpoint, startedAtMilliseconds, failedAt).nearby.heardAt > failedAt + contradictionMargin;
}

std::unordered_map<uint64_t, uint64_t> EndpointFailureReports::known() const
{
    std::unordered_map<uint64_t, uint64_t> out;
    const auto add = [&](uint64_t endpoint, uint64_t startedAtMilliseconds) {
        auto& known = out[endpoint];
        known = std::max(known, startedAtMilliseconds);
    };
    for (const auto& [endpoint, it] : m_own)
        add(endpoint, it.startedAtMilliseconds);
    for (const auto& [name, source] : m_sources) {
        for (const auto& [endpoint, it] : source.reports)
            add(endpoint, it.startedAtMilliseconds);
    }
    return out;
}

size_t EndpointFailureReports::rankFor(uint64_t endpoint) const
{
    const auto keyOf = [&](const std::string& name) { return std::make_tuple(hashOf(name, endpoint), name); };
    return static_cast<size_t>(std::ranges::count_if(
        m_nearby, [&, own = keyOf(m_self.name)](const auto& it) { return keyOf(it) < own; }));
}

std::vector<uint64_t> EndpointFailureReports::nextProbes(TimePoint now)
{
    std::vector<uint64_t> out;
    for (const auto& [endpoint, startedAtMilliseconds] : known()) {
        if (rankFor(endpoint) >= probersPerDataCentre)
            continue;
        const auto view = viewOf(endpoint, startedAtMilliseconds, now);
        if (!isFailing(view.nearby, view.nearby.heardAt, now)
            && !isFailing(view.elsewhere, view.heardAt(), now))
            continue;
        auto* own = ownOf(endpoint, startedAtMilliseconds);
        if (!own || now < own->nextProbeAt)
            continue;
        own->nextProbeAt = now + probePeriod;
        out.push_back(endpoint);
    }
    return out;
}

std::vector<EndpointFailureReport> EndpointFailureReports::reports(ReportScope scope, TimePoint now) const
{
    std::vector<std::pair<TimePoint, EndpointFailureReport>> found;
    const auto witnessOf = [&](const Evidence& it) {
        return EndpointWitness { .daemons = it.daemons,
            .dataCentres = it.dataCentres,
            .failureAge = it.daemons > 0 ? ageOf(it.failedAt, now) : -1,
            .streakAge = it.daemons > 0 ? ageOf(it.streakFrom, now) : -1,
            .heardAge = isRecent(it.heardAt, now) ? ageOf(it.heardAt, now) : -1,
            .badAnswerAge = isRecent(it.badAnswerAt, now) ? ageOf(it.badAnswerAt, now) : -1 };
    };
    for (const auto& [endpoint, startedAtMilliseconds] : known()) {
        View view;
        if (scope != ReportScope::Daemon)
            view = viewOf(endpoint, startedAtMilliseconds, now);
        else if (const auto own = m_own.find(endpoint);
                 own != m_own.end() && own->second.startedAtMilliseconds == startedAtMilliseconds)
            view.nearby = own->second.evidence;
        if (scope != ReportScope::Fleet)
            view.elsewhere = {};
        TimePoint newest {};
        for (auto* it : { &view.nearby, &view.elsewhere }) {
            if (!isRecent(it->failedAt, now))
                it->daemons = it->dataCentres = 0;
            newest = std::max({ newest, it->failedAt, it->heardAt, it->badAnswerAt });
        }
        if (isRecent(newest, now))
            found.emplace_back(newest,
                EndpointFailureReport { .endpoint = endpoint,
                    .startedAtMilliseconds = startedAtMilliseconds,
                    .nearby = witnessOf(view.nearby),
                    .elsewhere = witnessOf(view.elsewhere) });
    }
    std::ranges::sort(found, std::greater<>());
    found.resize(std::min(found.size(), maxReports));
    std::vector<EndpointFailureReport> out;
    out.reserve(found.size());
    for (const auto& [at, it] : found)
        out.push_back(it);
    return out;
}

} // namespace lentilbay
