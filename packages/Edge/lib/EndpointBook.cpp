// Learns from sends and picks the endpoint for the next one.
#include "lentilbay/Edge/EndpointBook.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <array>
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
/// The pause doubles from a few answers' time to what a restart takes.
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
/// First events are not believed to come sooner than this part of the model's time.
constexpr double leastFirstRatio = 0.5;
/// Answers are often longer than expected: by this factor for an endpoint to count as fast enough.
constexpr double lengthMargin = 1.5;
/// The fast endpoints alone carry about this part of the load of all.
constexpr double contendedPart = 0.7;
/// Where fast endpoints are left to others, the order of costs is turned round: from this time on all are
/// equally slow.
constexpr double slowestSeconds = 10;
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
    // One stall must not count for many answers.
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

bool EndpointState::isSilent(TimePoint now) const
{
    if (m_ownInFlight == 0)
        return false;
    const auto usual = expectedFirst({ .isStream = m_promptTokensAhead > 0 });
    return now - m_lastProgress > std::max<Duration>(silenceTolerated, silenceFactor * usual);
}

Duration EndpointState::expectedFirst(const Work& work) const
{
    return expectedFirst(work, m_promptTokensAhead);
}

Duration EndpointState::expectedFirst(const Work& work, double ahead) const
{
    if (!work.isStream)
        return fromSeconds(m_plainSeconds.mean());
    const double tokens = firstTokenCost * promptTokensPerToken + work.promptTokens + ahead;
    return fromSeconds(tokens * secondsPerPromptToken());
}

Duration EndpointState::expectedPause(const Work& work, double ahead, double tokensPerEvent) const
{
    if (!work.isStream)
        return {};
    return fromSeconds(
        (work.promptTokens + ahead) * secondsPerPromptToken() + tokensPerEvent * m_secondsPerToken.mean());
}

double EndpointState::secondsPerPromptToken() const
{
    return m_secondsPerToken.mean() * std::max(leastFirstRatio, m_firstRatio.mean()) / promptTokensPerToken;
}

Duration EndpointState::expectedWhole(const Work& work) const
{
    return expectedFirst(work) + fromSeconds(work.answerTokens * m_secondsPerToken.mean());
}

EndpointBook::EndpointBook(Places places, uint64_t seed)
    : m_places(std::move(places))
    , m_random(seed)
{
}

bool EndpointBook::list(const RoutedEndpoint& endpoint)
{
    auto& state = m_endpoints[endpoint.id];
    if (state && state->listed() == endpoint)
        return false;
    if (state)
        state->relist(endpoint);
    else
        state = std::make_shared<EndpointState>(endpoint);
    index();
    return true;
}

bool EndpointBook::unlist(const EndpointId& id)
{
    if (m_endpoints.erase(id) == 0)
        return false;
    index();
    return true;
}

void EndpointBook::index()
{
    m_byService.clear();
    m_byHash.clear();
    for (const auto& [id, it] : m_endpoints) {
        m_byService[it->listed().service].push_back(it);
        m_byHash.emplace(hashOf(id.text()), it);
    }
}

const EndpointBook::Endpoints& EndpointBook::of(const ServiceId& service) const
{
    static const Endpoints none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

void EndpointBook::takeBack(PeerLoads& peer)
{
    for (const auto& [endpoint, inFlight] : peer.loads)
        endpoint->m_peerInFlight -= inFlight;
    peer.loads.clear();
}

void EndpointBook::heardLoads(const std::string& daemon, const std::vector<PeerLoad>& loads, TimePoint now)
{
    auto& peer = m_peers[daemon];
    takeBack(peer);
    peer.at = now;
    for (const auto& it : loads) {
        const auto endpoint = m_byHash.find(it.endpoint);
        if (endpoint == m_byHash.end())
            continue;
        endpoint->second->m_peerInFlight += it.inFlight;
        peer.loads.emplace_back(endpoint->second, it.inFlight);
    }
}

void EndpointBook::forgetStaleLoads(TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.at < peerLoadKept) {
            ++it;
            continue;
        }
        takeBack(it->second);
        it = m_peers.erase(it);
    }
}

std::shared_ptr<EndpointState> EndpointBook::find(const EndpointId& id) const
{
    auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : it->second;
}

bool EndpointBook::hasRoom(const EndpointState& endpoint) const
{
    if (endpoint.isOnProbation() && endpoint.ownInFlight() > 0)
        return false;
    const auto place = placeOf(endpoint);
    const double headroom = place == Place::OwnDataCentre ? 0
        : place == Place::OwnRegion                       ? m_headroom.sameRegion
                                                          : m_headroom.otherRegion;
    return endpoint.load() + 1 + headroom <= endpoint.listed().slots;
}

double EndpointBook::costOf(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now)
{
    const auto first = endpoint.expectedFirst(query.work);
    double cost = toSeconds(endpoint.expectedWhole(query.work));
    cost *= 1 + costSpread * m_random.fraction();
    if (query.yieldsFast)
        cost = slowestSeconds - cost;
    const auto place = placeOf(endpoint);
    if (place != Place::OwnDataCentre)
        cost += place == Place::OwnRegion ? remoteDataCentreSeconds : remoteRegionSeconds;
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

bool EndpointBook::beginsWell(
    const EndpointState& endpoint, const ChoiceQuery& query, double ahead, TimePoint now)
{
    if (now + endpoint.expectedFirst(query.work, ahead) > query.objectiveAt)
        return false;
    return query.gapObjective == Duration::zero()
        || endpoint.expectedPause(query.work, ahead, query.tokensPerEvent) <= query.gapObjective;
}

std::shared_ptr<EndpointState> EndpointBook::choose(const ChoiceQuery& query, TimePoint now)
{
    // From the best to the worst that an endpoint can do for the request.
    enum Grade : uint8_t { InTime, Finishes, Any };
    struct Best {
        std::shared_ptr<EndpointState> endpoint;
        double cost = 0;
    };
    std::array<Best, 3> best;
    // What the best endpoint could do if it were free.
    Grade possible = Any;
    for (const auto& it : of(query.service)) {
        if (it->listed().isDraining || it->isSuspended(now) || it->isSilent(now))
            continue;
        const auto gradeWith = [&, isFast = finishes(*it, query, now)](double ahead) {
            return !isFast ? Any : beginsWell(*it, query, ahead, now) ? InTime : Finishes;
        };
        possible = std::min(possible, gradeWith(0));
        if (!hasRoom(*it))
            continue;
        if (std::ranges::find(query.tried, it->listed().id) != query.tried.end())
            continue;
        auto& slot = best[gradeWith(it->promptTokensAhead())];
        const double cost = costOf(*it, query, now);
        if (!slot.endpoint || cost < slot.cost)
            slot = { .endpoint = it, .cost = cost };
    }
    if (best[InTime].endpoint || (query.isPatient && possible == InTime))
        return best[InTime].endpoint;
    // A long answer waits for an endpoint that is fast enough, where there is one, instead of being cut off
    // at its deadline by a slow one.
    return possible == Any ? best[Any].endpoint : best[Finishes].endpoint;
}

bool EndpointBook::hasAny(const ServiceId& service, const std::vector<EndpointId>& tried) const
{
    return std::ranges::any_of(of(service), [&](const auto& it) {
        return !it->listed().isDraining && std::ranges::find(tried, it->listed().id) == tried.end();
    });
}

EndpointBook::Occupancy EndpointBook::occupancy(const ServiceId& service, TimePoint now) const
{
    Occupancy out;
    for (const auto& it : of(service)) {
        const auto& listed = it->listed();
        if (listed.isDraining || it->isSuspended(now))
            continue;
        out.slots += listed.slots;
        out.load += std::min<double>(listed.slots, it->load());
    }
    return out;
}

ServicePace EndpointBook::paceOf(const ServiceId& service, TimePoint now) const
{
    const auto& endpoints = of(service);
    ServicePace out;
    const auto n = static_cast<double>(endpoints.size());
    for (const auto& it : endpoints) {
        const double token = it->m_secondsPerToken.mean() / n;
        const double prompt = it->secondsPerPromptToken() / n;
        out.plainSeconds += it->m_plainSeconds.mean() / n;
        out.firstSeconds += prompt * (firstTokenCost * promptTokensPerToken + it->m_promptTokensAhead);
        out.secondsPerPromptToken += prompt;
        out.secondsPerAnswerToken += token;
    }
    const auto taken = occupancy(service, now);
    out.isContended = taken.load > contendedPart * taken.slots;
    return out;
}

Duration ServicePace::first(const Work& work) const
{
    if (!work.isStream)
        return fromSeconds(plainSeconds);
    return fromSeconds(firstSeconds + work.promptTokens * secondsPerPromptToken);
}

Duration ServicePace::whole(const Work& work) const
{
    return first(work) + fromSeconds(work.answerTokens * secondsPerAnswerToken);
}

} // namespace lentilbay::edge
