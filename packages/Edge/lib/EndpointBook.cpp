// Learns from sends and picks the endpoint for the next one.
#include "lentilbay/Edge/EndpointBook.h"

#include <algorithm>
#include <cmath>

namespace lentilbay::edge {
namespace {

/// Before anything was observed: engines of this class give a token in some 5 ms, ...
constexpr double priorSecondsPerToken = 0.0045;
/// ... read this many prompt tokens in the time of one answer token, ...
constexpr double promptTokensPerToken = 370;
/// ... and need this many answer tokens' time to begin.
constexpr double firstTokenCost = 10;
constexpr double priorPlainSeconds = 0.05;
/// The weight of the newest observation.
constexpr double paceWeight = 0.1;
constexpr double firstWeight = 0.1;
constexpr double failureWeight = 0.15;
/// An endpoint of which more than this part of the sends fail is suspected, once some were seen.
constexpr double failuresTolerated = 0.3;
constexpr uint64_t failuresSeen = 5;
constexpr Duration shortestSuspension = std::chrono::milliseconds(400);
constexpr Duration longestSuspension = std::chrono::seconds(4);
/// A refusal for want of room is over once a request or two have ended.
constexpr Duration fullPause = std::chrono::milliseconds(60);
/// What a daemon said of its load counts for so long; the daemons speak several times a second.
constexpr Duration peerLoadKept = std::chrono::milliseconds(1500);
/// Bytes between regions are billed: what another region must be faster by, ...
constexpr double remoteRegionSeconds = 0.3;
/// ... and another data centre of this region.
constexpr double remoteDataCentreSeconds = 0.05;
/// A first event after the objective loses most of the answer's worth.
constexpr double lateSeconds = 5;
/// An endpoint with work that shows no progress for so long, and for several times the usual, is avoided.
constexpr Duration silenceTolerated = std::chrono::milliseconds(500);
constexpr int silenceFactor = 3;
/// Answers are often longer than expected: by this factor for an endpoint to count as fast enough.
constexpr double lengthMargin = 1.5;
/// Equal costs are spread, because several daemons decide on the same figures.
constexpr double costSpread = 0.15;

} // namespace

EndpointState::EndpointState(RoutedEndpoint listed)
    : m_listed(std::move(listed))
    , m_secondsPerToken(priorSecondsPerToken, paceWeight)
    , m_firstRatio(1, firstWeight)
    , m_plainSeconds(priorPlainSeconds, paceWeight)
    , m_failures(0, failureWeight)
{
}

void EndpointState::sent(const Work& work, TimePoint now)
{
    if (m_ownInFlight == 0)
        m_lastProgress = now;
    ++m_ownInFlight;
    m_promptTokensAhead += work.promptTokens;
}

void EndpointState::first(const Work& work, Duration elapsed, TimePoint now)
{
    m_promptTokensAhead = std::max(0.0, m_promptTokensAhead - work.promptTokens);
    m_lastProgress = now;
    if (!work.isStream) {
        m_plainSeconds.observe(toSeconds(elapsed));
        return;
    }
    const double expected
        = (firstTokenCost + work.promptTokens / promptTokensPerToken) * m_secondsPerToken.mean();
    constexpr double largestRatio = 20;
    m_firstRatio.observe(std::min(largestRatio, toSeconds(elapsed) / expected));
}

void EndpointState::progressed(double tokens, Duration elapsed, TimePoint now)
{
    m_lastProgress = now;
    if (tokens > 0)
        m_secondsPerToken.observe(toSeconds(elapsed) / tokens);
}

void EndpointState::ended(const Work& work, SendEnd end, bool hadFirst, TimePoint now)
{
    if (m_ownInFlight > 0)
        --m_ownInFlight;
    if (!hadFirst)
        m_promptTokensAhead = std::max(0.0, m_promptTokensAhead - work.promptTokens);
    switch (end) {
    case SendEnd::Good:
        m_failures.observe(0);
        m_failuresInRow = 0;
        m_suspensions = 0;
        break;
    case SendEnd::Bad:
        m_failures.observe(1);
        ++m_failuresInRow;
        if (m_failuresInRow >= failuresToSuspect
            || (m_failures.observations() >= failuresSeen && m_failures.mean() > failuresTolerated)) {
            m_failuresInRow = std::max(m_failuresInRow, failuresToSuspect);
            const auto pause = shortestSuspension * (int64_t { 1 } << std::min(m_suspensions, 10));
            m_suspendedUntil = now + std::min(pause, longestSuspension);
            ++m_suspensions;
        }
        break;
    case SendEnd::Full:
        m_suspendedUntil = std::max(m_suspendedUntil, now + fullPause);
        break;
    case SendEnd::Neutral:
        break;
    }
}

void EndpointState::heardLoad(const std::string& daemon, uint32_t inFlight, TimePoint now)
{
    m_peers[daemon] = { .inFlight = inFlight, .at = now };
}

bool EndpointState::isSilent(TimePoint now) const
{
    if (m_ownInFlight == 0)
        return false;
    const auto usual = expectedFirst({ .isStream = m_promptTokensAhead > 0 });
    return now - m_lastProgress > std::max<Duration>(silenceTolerated, silenceFactor * usual);
}

double EndpointState::load(TimePoint now) const
{
    double sum = m_ownInFlight;
    for (const auto& [daemon, it] : m_peers) {
        if (now - it.at < peerLoadKept)
            sum += it.inFlight;
    }
    return sum;
}

Duration EndpointState::expectedFirst(const Work& work) const
{
    if (!work.isStream)
        return fromSeconds(m_plainSeconds.mean());
    const double tokens = firstTokenCost + (work.promptTokens + m_promptTokensAhead) / promptTokensPerToken;
    return fromSeconds(tokens * m_secondsPerToken.mean() * std::max(0.5, m_firstRatio.mean()));
}

Duration EndpointState::expectedWhole(const Work& work) const
{
    return expectedFirst(work) + fromSeconds(work.answerTokens * m_secondsPerToken.mean());
}

EndpointBook::EndpointBook(ChoiceLimits limits, uint64_t seed)
    : m_limits(std::move(limits))
    , m_random(seed)
{
}

bool EndpointBook::list(const RoutedEndpoint& endpoint)
{
    auto& state = m_endpoints[endpoint.id];
    if (!state) {
        state = std::make_shared<EndpointState>(endpoint);
        return true;
    }
    if (state->listed() == endpoint)
        return false;
    state->relist(endpoint);
    return true;
}

bool EndpointBook::unlist(const EndpointId& id) { return m_endpoints.erase(id) > 0; }

std::shared_ptr<EndpointState> EndpointBook::find(const EndpointId& id) const
{
    auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : it->second;
}

double EndpointBook::costOf(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now)
{
    const auto first = endpoint.expectedFirst(query.work);
    double cost = toSeconds(endpoint.expectedWhole(query.work));
    cost *= 1 + costSpread * m_random.fraction();
    const auto& dataCentre = endpoint.listed().dataCentre;
    if (dataCentre != m_limits.ownDataCentre) {
        const auto own = m_limits.regions.find(m_limits.ownDataCentre);
        const auto other = m_limits.regions.find(dataCentre);
        const bool isSameRegion = own != m_limits.regions.end() && other != m_limits.regions.end()
            && own->second == other->second;
        cost += isSameRegion ? remoteDataCentreSeconds : remoteRegionSeconds;
    }
    if (now + first > query.objectiveAt)
        cost += lateSeconds;
    if (endpoint.isOnProbation())
        cost += lateSeconds;
    return cost;
}

bool EndpointBook::finishes(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now)
{
    const double whole = toSeconds(endpoint.expectedWhole(query.work)) * lengthMargin;
    return query.giveUpAt == TimePoint::max() || now + fromSeconds(whole) < query.giveUpAt;
}

std::shared_ptr<EndpointState> EndpointBook::choose(const ChoiceQuery& query, TimePoint now)
{
    const auto serves = [&](const EndpointState& it) {
        return it.listed().service == query.service && !it.listed().isDraining && !it.isSuspended(now)
            && !it.isSilent(now);
    };
    // A long answer waits for an endpoint that is fast enough, where there is one, instead of being cut off
    // at its deadline by a slow one.
    const bool anyFinishes = std::ranges::any_of(
        m_endpoints, [&](const auto& it) { return serves(*it.second) && finishes(*it.second, query, now); });
    std::shared_ptr<EndpointState> best;
    double bestCost = 0;
    for (const auto& [id, it] : m_endpoints) {
        const auto& listed = it->listed();
        if (!serves(*it) || (anyFinishes && !finishes(*it, query, now)))
            continue;
        if (it->load(now) + 1 > listed.slots || (it->isOnProbation() && it->ownInFlight() > 0))
            continue;
        if (std::ranges::find(query.tried, id) != query.tried.end())
            continue;
        const double cost = costOf(*it, query, now);
        if (!best || cost < bestCost) {
            best = it;
            bestCost = cost;
        }
    }
    return best;
}

bool EndpointBook::hasAny(const ServiceId& service, const std::vector<EndpointId>& tried) const
{
    return std::ranges::any_of(m_endpoints, [&](const auto& it) {
        return it.second->listed().service == service && !it.second->listed().isDraining
            && std::ranges::find(tried, it.first) == tried.end();
    });
}

EndpointBook::Occupancy EndpointBook::occupancy(const ServiceId& service, TimePoint now) const
{
    Occupancy out;
    for (const auto& [id, it] : m_endpoints) {
        const auto& listed = it->listed();
        if (listed.service != service || listed.isDraining || it->isSuspended(now))
            continue;
        out.slots += listed.slots;
        out.load += std::min<double>(listed.slots, it->load(now));
    }
    return out;
}

Duration EndpointBook::meanFirst(const ServiceId& service, const Work& work) const
{
    Duration sum {};
    int n = 0;
    for (const auto& [id, it] : m_endpoints) {
        if (it->listed().service == service) {
            sum += it->expectedFirst(work);
            ++n;
        }
    }
    return n == 0 ? Duration::zero() : sum / n;
}

Duration EndpointBook::meanWhole(const ServiceId& service, const Work& work) const
{
    Duration sum {};
    int n = 0;
    for (const auto& [id, it] : m_endpoints) {
        if (it->listed().service == service) {
            sum += it->expectedWhole(work);
            ++n;
        }
    }
    return n == 0 ? Duration::zero() : sum / n;
}

} // namespace lentilbay::edge
