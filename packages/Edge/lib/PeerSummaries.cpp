// The choice of aggregators, the routes of heartbeats, and sums over data centres and the fleet.
#include "lentilbay/Edge/PeerSummaries.h"

#include "EdgeTimes.h"
#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <tuple>

namespace lentilbay::edge {
namespace {

/// Aggregators of a data centre: the loss of one of them leaves a sum that is already known.
constexpr size_t aggregatorsPerDataCentre = 2;
/// Between aggregators of different data centres.
constexpr Duration dataCentrePeriod = std::chrono::milliseconds(400);
/// From the aggregator that is not the one which sends to a daemon often.
constexpr Duration standbyPeriod = std::chrono::seconds(1);
/// To daemons that have not been heard.
constexpr Duration probePeriod = std::chrono::seconds(1);
/// The fleet's members are described in so many parts, one with each heartbeat.
constexpr uint64_t memberParts = 3;
/// Members of other data centres are reported through two aggregators.
constexpr Duration remoteMemberPeriod = std::chrono::seconds(1);
/// A sum is out of date after this many missing heartbeats in a row.
constexpr double staleAfterPeriods = 3.5;
/// What a daemon has in flight counts for this long after its last heartbeat.
constexpr Duration contributionLifetime = std::chrono::milliseconds(1500);
/// Heartbeats of this daemon that a sum may refer to.
constexpr size_t maxOwnHeartbeats = 16;
/// Within this time after its start, a daemon hears of what others admitted before.
constexpr Duration discoveryTime = std::chrono::seconds(5);

/// After this time, all daemons of its data centre send to a new aggregator. Before, its totals lack use.
constexpr Duration settlingTime = std::chrono::seconds(5);

/// The time over which the rate of use is averaged: a surge must show in it before its daemons may be lost.
constexpr Duration rateAveraging = std::chrono::seconds(1);
/// A new aggregator receives the first sums of all other data centres, and heartbeats of all daemons of its
/// own, within this time; a daemon receives the first complete sum of a new aggregator within the period of
/// data centres.
constexpr Duration firstSumsTime = std::chrono::seconds(1);
/// A gap in the sums is estimated up to this length. A longer one is a partition, in which shares are
/// reserved.
constexpr Duration maxEstimatedGap = std::chrono::seconds(5);
/// A sum is overdue, and use is estimated, after this many periods: one lost heartbeat is no reason.
constexpr double overdueAfterPeriods = 2.5;

/// A surge that begins just before the sums end shows only in this daemon's own rate. The others' is taken to
/// have grown as much, up to this factor. Callers of daemons that were killed let the own rate grow as well,
/// so that with a factor of 5 an organisation at half of its quota lost up to 9.5% of its demand after a
/// restart.
constexpr double maxGrowth = 2.5;
/// The factor applies for this long after the last sum; then there are new aggregators.
constexpr Duration growthTime = std::chrono::seconds(2);

constexpr const char* fleetGroup = "fleet";

template <class Totals> std::vector<PeerHeartbeat::QuotaUse> useOf(const Totals& totals)
{
    std::vector<PeerHeartbeat::QuotaUse> out;
    out.reserve(totals.size());
    for (const auto& [organisation, total] : totals)
        out.push_back({ .organisation = organisation, .admittedTotal = total });
    std::ranges::sort(out);
    return out;
}

/// Adds loads by endpoint.
class LoadSum {
public:
    void add(const std::vector<PeerLoad>& loads)
    {
        for (const auto& it : loads)
            m_loads[it.endpoint] += it.inFlight;
    }
    void subtract(const std::vector<PeerLoad>& loads)
    {
        for (const auto& it : loads)
            m_loads[it.endpoint] -= it.inFlight;
    }
    std::vector<PeerLoad> loads() const
    {
        std::vector<PeerLoad> out;
        out.reserve(m_loads.size());
        for (const auto& [endpoint, n] : m_loads) {
            if (n > 0)
                out.push_back({ .endpoint = endpoint,
                    .inFlight
                    = static_cast<uint16_t>(std::min<int64_t>(n, std::numeric_limits<uint16_t>::max())) });
        }
        std::ranges::sort(out);
        return out;
    }

private:
    std::unordered_map<uint64_t, int64_t> m_loads;
};

} // namespace

bool PeerSummaries::Group::isFresh(TimePoint now) const
{
    return !authority.empty() && now - heardAt <= fromSeconds(toSeconds(period) * staleAfterPeriods);
}

PeerSummaries::PeerSummaries(PeerSummariesOptions options)
    : m_options(std::move(options))
{
}

void PeerSummaries::RecentRate::add(double tokens, TimePoint now)
{
    perSecond = at(now) + std::max(0.0, tokens) / toSeconds(rateAveraging);
    updatedAt = now;
}

double PeerSummaries::RecentRate::at(TimePoint now) const
{
    return perSecond * std::exp(-toSeconds(now - updatedAt) / toSeconds(rateAveraging));
}

void PeerSummaries::Group::count(uint64_t organisation, double tokens, TimePoint now)
{
    counted[organisation] += tokens;
    rates[organisation].add(tokens, now);
}

double PeerSummaries::Group::growth(
    const Rates& before, const Rates& after, uint64_t organisation, TimePoint now) const
{
    const auto from = before.find(organisation);
    const auto to = after.find(organisation);
    if (from == before.end() || to == after.end())
        return 1;
    const double former = from->second.at(std::max(heardAt, from->second.updatedAt));
    return former > 0 ? std::clamp(to->second.at(now) / former, 1.0, maxGrowth) : 1;
}

bool PeerSummaries::Group::isOverdue(TimePoint now) const
{
    return heardAt != TimePoint() && now - heardAt > fromSeconds(toSeconds(period) * overdueAfterPeriods);
}

PeerSummaries::Use PeerSummaries::Group::estimateUntil(
    TimePoint until, const Rates& currentOwnRates, TimePoint now)
{
    Use out;
    const auto from = std::max(estimatedUntil, heardAt);
    const auto seconds = toSeconds(std::min(until, heardAt + maxEstimatedGap) - from);
    if (seconds <= 0)
        return out;
    estimatedUntil = until;
    const bool mayGrow = from < heardAt + growthTime;
    for (const auto& [organisation, rate] : rates) {
        const double tokens = rate.at(std::max(heardAt, rate.updatedAt)) * seconds
            * (mayGrow ? growth(ownRates, currentOwnRates, organisation, now) : 1);
        if (tokens < 1)
            continue;
        counted[organisation] += tokens;
        out.emplace_back(organisation, tokens);
    }
    return out;
}

PeerSummaries::Use PeerSummaries::Group::beginAfterGap(
    Source& source, const Totals& totals, const Rates& currentOwnRates, TimePoint now)
{
    auto out = estimateUntil(now + dataCentrePeriod, currentOwnRates, now);
    for (const auto& [organisation, total] : totals)
        source.offsets[organisation] = counted[organisation] - total;
    return out;
}

std::vector<std::string> PeerSummaries::update(const PeerTable& peers, bool isStopping, TimePoint now)
{
    const bool wasActive = std::exchange(m_isActive, peers.knownDaemons() > smallFleetSize);
    const bool wasAggregator = std::exchange(m_isAggregator, false);
    // Alive daemons come first, then the capacity decides.
    using Rank = std::tuple<bool, int64_t, uint64_t, std::string>;
    std::map<std::string, std::vector<Rank>> candidates;
    const auto rankOf = [](const std::string& daemon, uint32_t capacity, bool isSilent) {
        return Rank { isSilent, -static_cast<int64_t>(capacity), hashOf(daemon), daemon };
    };
    if (m_isActive) {
        if (!isStopping)
            candidates[ownDataCentre()].push_back(rankOf(m_options.daemon, m_options.capacity, false));
        for (const auto& [name, peer] : peers.peers()) {
            if (peer.incarnation != 0 && !peer.isLeaving && usesSummaries(peer.revision))
                candidates[peer.dataCentre].push_back(rankOf(name, peer.capacity, peer.isSilent));
        }
    }
    m_aggregators.clear();
    for (auto& [dataCentre, ranks] : candidates) {
        std::ranges::sort(ranks);
        ranks.resize(std::min(ranks.size(), aggregatorsPerDataCentre));
        auto& aggregators = m_aggregators[dataCentre];
        for (const auto& it : ranks) {
            m_isAggregator = m_isAggregator || std::get<std::string>(it) == m_options.daemon;
            aggregators.push_back({ .daemon = std::get<std::string>(it), .isAlive = !std::get<bool>(it) });
        }
    }
    if (wasActive == m_isActive && wasAggregator == m_isAggregator) {
        estimateOverdue(now);
        return {};
    }
    // Under the other role, everything is counted in another way.
    if (auto& fleet = m_groups[fleetGroup]; wasActive && m_isActive) {
        // While another aggregator goes on, its sums show soon what this daemon lacks.
        if (m_isAggregator && fleet.heardAt != TimePoint() && !fleet.isFresh(now))
            m_estimatedUse = fleet.estimateUntil(now + firstSumsTime, m_ownRates, now);
        fleet.heardAt = now;
        fleet.ownRates = m_ownRates;
    }
    m_contributions.clear();
    m_dataCentreTotals.clear();
    ++m_count;
    std::vector<std::string> out;
    for (auto& [name, group] : m_groups) {
        out.push_back(name);
        group.authority.clear();
    }
    // The count of the fleet's use goes on whichever way it is known.
    std::erase_if(m_groups, [](const auto& it) { return it.first != fleetGroup; });
    return out;
}

void PeerSummaries::estimateOverdue(TimePoint now)
{
    for (auto& [name, group] : m_groups) {
        // An aggregator adds up the fleet by itself.
        if ((m_isAggregator && name == fleetGroup) || !group.isOverdue(now))
            continue;
        std::ranges::copy(group.estimateUntil(now, m_ownRates, now), std::back_inserter(m_estimatedUse));
    }
}

std::vector<std::string> PeerSummaries::aggregatorsOf(const std::string& dataCentre) const
{
    std::vector<std::string> out;
    if (const auto it = m_aggregators.find(dataCentre); it != m_aggregators.end())
        std::ranges::transform(it->second, std::back_inserter(out), &Aggregator::daemon);
    return out;
}

bool PeerSummaries::isFirstAggregator() const
{
    const auto it = m_aggregators.find(ownDataCentre());
    if (it == m_aggregators.end())
        return false;
    const auto first = std::ranges::find_if(it->second, &Aggregator::isAlive);
    return first != it->second.end() && first->daemon == m_options.daemon;
}

bool PeerSummaries::hasOtherAggregator() const
{
    const auto it = m_aggregators.find(ownDataCentre());
    return it != m_aggregators.end() && std::ranges::any_of(it->second, [&](const auto& aggregator) {
        return aggregator.isAlive && aggregator.daemon != m_options.daemon;
    });
}

bool PeerSummaries::isPrimaryFor(const std::string& daemon) const
{
    const auto it = m_aggregators.find(ownDataCentre());
    if (it == m_aggregators.end())
        return false;
    const auto own = rendezvousWeight(daemon, m_options.daemon);
    return std::ranges::none_of(it->second, [&](const auto& aggregator) {
        return aggregator.isAlive && rendezvousWeight(daemon, aggregator.daemon) > own;
    });
}

std::optional<PeerSummaries::Route> PeerSummaries::routeTo(
    const std::string& daemon, const PeerTable::Peer& peer) const
{
    if (!m_isActive)
        return Route { .period = heartbeatPeriod };
    const bool isHeard = peer.incarnation != 0;
    const auto dataCentre = DataCentreId(peer.dataCentre);
    if (isHeard && !usesSummaries(peer.revision))
        return Route { .period = directHeartbeatPeriod(m_options.topology.localityOf(dataCentre)) };
    if (!isHeard)
        return Route { .period = probePeriod };
    const auto it = m_aggregators.find(peer.dataCentre);
    const bool isAggregator = it != m_aggregators.end()
        && std::ranges::find(it->second, daemon, &Aggregator::daemon) != it->second.end();
    if (dataCentre != m_options.topology.ownDataCentre) {
        if (m_isAggregator && isAggregator)
            return Route { .content = Content::DataCentre, .period = dataCentrePeriod };
        return std::nullopt;
    }
    if (isAggregator)
        return Route { .period = heartbeatPeriod };
    if (!m_isAggregator)
        return std::nullopt;
    if (peer.isSilent)
        return Route { .period = probePeriod };
    return Route { .content = Content::Fleet,
        .period = isPrimaryFor(daemon) ? heartbeatPeriod : standbyPeriod };
}

void PeerSummaries::recordOwn(const PeerHeartbeat& own, TimePoint now)
{
    for (const auto& it : own.quotas) {
        const auto* last = m_own.empty() ? nullptr : &m_own.back().quotas;
        const auto former = last
            ? std::ranges::find(*last, it.organisation, &PeerHeartbeat::QuotaUse::organisation)
            : own.quotas.end();
        if (last && former != last->end())
            m_ownRates[it.organisation].add(it.admittedTotal - former->admittedTotal, now);
    }
    m_own.push_back({ .incarnation = own.incarnation,
        .sequence = own.sequence,
        .loads = own.loads,
        .quotas = own.quotas });
    if (m_own.size() > maxOwnHeartbeats)
        m_own.pop_front();
}

void PeerSummaries::recordPeer(const PeerHeartbeat& heartbeat, bool wasKnown, TimePoint now)
{
    if (!m_isAggregator || heartbeat.hasSummary || heartbeat.dataCentre != ownDataCentre()
        || !usesSummaries(heartbeat.revision))
        return;
    auto [it, isNew] = m_contributions.try_emplace(heartbeat.daemon);
    auto& known = it->second;
    // What a daemon had admitted before this one was an aggregator is no part of this daemon's count.
    const bool hasJustStarted = !m_options.isFirstStart && now - m_options.startedAt < discoveryTime;
    const bool isBaseline = isNew && (wasKnown || (heartbeat.countsAllUse && hasJustStarted));
    if (known.incarnation != heartbeat.incarnation)
        known.totals.clear();
    known.incarnation = heartbeat.incarnation;
    known.sequence = heartbeat.sequence;
    known.heardAt = now;
    known.loads = heartbeat.loads;
    for (const auto& use : heartbeat.quotas) {
        auto& total = known.totals[use.organisation];
        if (!isBaseline)
            m_dataCentreTotals[use.organisation] += use.admittedTotal - total;
        total = use.admittedTotal;
    }
}

void PeerSummaries::recordUse(
    const PeerHeartbeat& heartbeat, uint64_t organisation, double tokens, TimePoint now)
{
    // The use of older builds is in no sum.
    if (m_isActive && usesSummaries(heartbeat.revision))
        m_groups[fleetGroup].count(organisation, tokens, now);
}

bool PeerSummaries::isSummarised(const PeerHeartbeat& heartbeat, TimePoint now) const
{
    if (!m_isActive || !usesSummaries(heartbeat.revision))
        return false;
    if (m_isAggregator && heartbeat.dataCentre == ownDataCentre())
        return false;
    const auto it = m_groups.find(m_isAggregator ? heartbeat.dataCentre : fleetGroup);
    return it != m_groups.end() && it->second.isFresh(now);
}

std::string PeerSummaries::groupOf(const PeerHeartbeat& heartbeat) const
{
    return heartbeat.dataCentre == ownDataCentre() ? fleetGroup : heartbeat.dataCentre;
}

PeerSummaries::Group::Source& PeerSummaries::Group::sourceOf(const PeerHeartbeat& heartbeat, TimePoint now)
{
    auto& out = sources[heartbeat.daemon];
    const auto count = heartbeat.summary.count;
    if (out.incarnation != heartbeat.incarnation || out.count != count)
        out = { .incarnation = heartbeat.incarnation, .count = count, .knownSince = now };
    return out;
}

bool PeerSummaries::Group::hasSettledSource(TimePoint now) const
{
    return std::ranges::any_of(sources, [&](const auto& it) {
        return it.second.isSettled(now) && now - it.second.heardAt <= standbyPeriod * 2;
    });
}

bool PeerSummaries::Group::Source::isSettled(TimePoint now) const { return now - knownSince >= settlingTime; }

PeerSummaries::Use PeerSummaries::Group::apply(
    Source& source, const Totals& totals, bool isAuthority, const Rates& currentOwnRates, TimePoint now)
{
    const bool isNew = source.offsets.empty();
    Use out;
    // A source that was not compared with the former one begins to count now.
    if (isNew && isAuthority && heardAt != TimePoint() && !totals.empty())
        return beginAfterGap(source, totals, currentOwnRates, now);
    for (const auto& [organisation, total] : totals) {
        auto& all = counted[organisation];
        // The authority has counted an organisation that it names for the first time from zero on.
        const auto [offset, isFirst]
            = source.offsets.try_emplace(organisation, !isNew && isAuthority ? all : all - total);
        if (!isAuthority) {
            if (!source.isSettled(now))
                offset->second = all - total;
            continue;
        }
        const double delta = total + offset->second - all;
        count(organisation, delta, now);
        if (delta != 0)
            out.emplace_back(organisation, delta);
    }
    return out;
}

std::optional<PeerSummaries::Update> PeerSummaries::applySummary(
    const PeerHeartbeat& heartbeat, TimePoint now)
{
    const bool isOwnDataCentre = heartbeat.dataCentre == ownDataCentre();
    // An aggregator sums up its own data centre by itself, and only it needs the sums of others.
    if (!m_isActive || !heartbeat.hasSummary || isOwnDataCentre == m_isAggregator)
        return std::nullopt;
    Totals totals;
    for (const auto& it : heartbeat.summary.quotas)
        totals[it.organisation] = it.admittedTotal;
    LoadSum loads;
    loads.add(heartbeat.summary.loads);
    if (isOwnDataCentre && heartbeat.includedSequence != 0) {
        const auto own = std::ranges::find(m_own, heartbeat.includedSequence, &PeerHeartbeat::sequence);
        if (own == m_own.end() || own->incarnation != heartbeat.echoedIncarnation)
            return std::nullopt;
        loads.subtract(own->loads);
        for (const auto& it : own->quotas)
            totals[it.organisation] -= it.admittedTotal;
    }
    auto& group = m_groups[groupOf(heartbeat)];
    const bool wasFresh = group.isFresh(now);
    const auto period = Duration(std::chrono::milliseconds(heartbeat.periodMilliseconds));
    auto& source = group.sourceOf(heartbeat, now);
    source.heardAt = now;
    const bool mayReplace = source.isSettled(now) || !group.hasSettledSource(now);
    if (mayReplace && (!wasFresh || period < group.period))
        group.authority = heartbeat.daemon;
    const bool isAuthority = group.authority == heartbeat.daemon;
    // Without this daemon's own part, the totals cannot be compared with later ones.
    const bool isComparable = !isOwnDataCentre || heartbeat.includedSequence != 0;
    auto use = isComparable ? group.apply(source, totals, isAuthority, m_ownRates, now) : Use {};
    if (!isAuthority)
        return std::nullopt;
    if (m_isAggregator) {
        for (const auto& [organisation, tokens] : use)
            recordUse(heartbeat, organisation, tokens, now);
    }
    group.heardAt = now;
    group.ownRates = m_ownRates;
    group.period = period;
    group.loads = loads.loads();
    return Update {
        .source = groupOf(heartbeat), .loads = group.loads, .use = std::move(use), .isFirst = !wasFresh
    };
}

std::map<std::string, Duration> PeerSummaries::ages(TimePoint now) const
{
    std::map<std::string, Duration> out;
    for (const auto& [name, group] : m_groups) {
        if (!group.authority.empty())
            out[name] = now - group.heardAt;
    }
    return out;
}

PeerHeartbeat::Summary PeerSummaries::dataCentreSummary(TimePoint now) const
{
    LoadSum loads;
    auto totals = m_dataCentreTotals;
    if (!m_own.empty()) {
        loads.add(m_own.back().loads);
        for (const auto& it : m_own.back().quotas)
            totals[it.organisation] += it.admittedTotal;
    }
    for (const auto& [daemon, it] : m_contributions) {
        if (now - it.heardAt < contributionLifetime)
            loads.add(it.loads);
    }
    return { .count = m_count, .loads = loads.loads(), .quotas = useOf(totals) };
}

PeerHeartbeat::Summary PeerSummaries::fleetSummary(TimePoint now) const
{
    const auto own = dataCentreSummary(now);
    LoadSum loads;
    loads.add(own.loads);
    Totals totals;
    for (const auto& it : own.quotas)
        totals[it.organisation] = it.admittedTotal;
    for (const auto& [name, group] : m_groups) {
        if (name == fleetGroup)
            continue;
        if (group.isFresh(now))
            loads.add(group.loads);
        for (const auto& [organisation, counted] : group.counted)
            totals[organisation] += counted;
    }
    return { .count = m_count, .loads = loads.loads(), .quotas = useOf(totals) };
}

uint64_t PeerSummaries::includedSequence(const std::string& daemon, TimePoint now) const
{
    const auto it = m_contributions.find(daemon);
    return it != m_contributions.end() && now - it->second.heardAt < contributionLifetime
        ? it->second.sequence
        : 0;
}

std::vector<PeerHeartbeat::DataCentreMembers> PeerSummaries::members(
    const PeerTable& peers, Content content, uint64_t part) const
{
    std::map<std::string, std::vector<PeerHeartbeat::Member>> found;
    for (const auto& [name, peer] : peers.peers()) {
        const bool isOwnDataCentre = peer.dataCentre == ownDataCentre();
        if (peer.isSilent || peer.incarnation == 0 || !usesSummaries(peer.revision))
            continue;
        if (content == Content::DataCentre ? !isOwnDataCentre
                                           : hashOf(name) % memberParts != part % memberParts)
            continue;
        found[peer.dataCentre].push_back({ .daemon = name,
            .host = peer.host,
            .port = peer.port,
            .incarnation = peer.incarnation,
            .sequence = peer.sequence,
            .sentMicroseconds = peer.sentMicroseconds,
            .configurationVersion = peer.configurationVersion,
            .capacity = peer.capacity,
            .isLeaving = peer.isLeaving,
            .isPartitioned = peer.isPartitioned,
            .isOutdated = peer.isOutdated,
            .countsAllUse = peer.countsAllUse,
            .revision = peer.revision });
    }
    std::vector<PeerHeartbeat::DataCentreMembers> out;
    for (auto& [dataCentre, daemons] : found) {
        const auto period = content == Content::Fleet && dataCentre == ownDataCentre()
            ? heartbeatPeriod * static_cast<int64_t>(memberParts)
            : remoteMemberPeriod;
        out.push_back({ .dataCentre = dataCentre,
            .periodMilliseconds = static_cast<uint32_t>(period / std::chrono::milliseconds(1)),
            .daemons = std::move(daemons) });
    }
    return out;
}

} // namespace lentilbay::edge
