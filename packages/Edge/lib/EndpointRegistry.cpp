// Chooses the endpoint for a request.
#include "lentilbay/Edge/EndpointRegistry.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lentilbay::edge {
namespace {

/// Reported loads are used for this long; heartbeats are sent several times a second.
constexpr Duration peerLoadLifetime = std::chrono::milliseconds(1500);
/// An endpoint in another region must be faster by this much to be chosen, because traffic between regions is
/// billed.
constexpr double remoteRegionPenaltySeconds = 0.3;
/// An endpoint in another data centre of this region must be faster by this much to be chosen.
constexpr double remoteDataCentrePenaltySeconds = 0.05;
/// A first event after the objective loses most of the value of the answer.
constexpr double latePenaltySeconds = 5;
/// How long a success shows that the service works although all of its endpoints seem to fail, or to be
/// stalled. A loss of all links looks like a stall, and requests that are sent then are lost.
constexpr Duration excuseOfFailures = std::chrono::seconds(2);
constexpr Duration excuseOfStalls = std::chrono::milliseconds(500);
/// Answers are often longer than expected: an endpoint counts as fast enough only if it could complete an
/// answer longer by this factor.
constexpr double lengthMargin = 1.5;
/// The fast endpoints alone can carry about this fraction of the total load.
constexpr double contendedLoadFraction = 0.7;
/// The cost of a request that should avoid fast endpoints is this value minus the expected time, so that
/// slower endpoints are preferred.
constexpr double invertedCostBaseSeconds = 10;
/// The time in which all daemons learn that one of them is back or lost.
constexpr Duration shareGrowthDelay = std::chrono::milliseconds(1500);
/// Randomises similar costs, because several daemons decide on the same data.
constexpr double costJitter = 0.15;
/// With fewer slots, most daemons would be assigned none near them, and requests would go to other regions.
constexpr size_t minSlotsPerDaemon = 2;
/// After this time, the loads that the daemons of a large fleet report include what they have sent.
constexpr Duration loadReportTime = std::chrono::milliseconds(800);

} // namespace

EndpointRegistry::EndpointRegistry(Topology topology, uint64_t seed)
    : m_topology(std::move(topology))
    , m_random(seed)
{
}

bool EndpointRegistry::list(const RoutedEndpoint& endpoint)
{
    auto& state = m_endpoints[endpoint.id];
    if (state && state->entry() == endpoint)
        return false;
    if (state) {
        removeFromIndexes(*state);
        state->updateEntry(endpoint);
    } else {
        state = std::make_shared<EndpointState>(endpoint);
    }
    state->m_locality = m_topology.localityOf(endpoint.dataCentre);
    state->m_shareRevision = 0;
    m_signals.endpointListed(state->incarnation());
    if (m_brittleServices.contains(endpoint.service))
        state->m_slotShare = std::min(
            state->m_slotShare.value_or(endpoint.slots), m_signals.slotShare(state->hash(), endpoint.slots));
    addToIndexes(state);
    return true;
}

bool EndpointRegistry::wouldReturn(const RoutedEndpoint& endpoint) const
{
    if (endpoint.isDraining)
        return false;
    const auto state = find(endpoint.id);
    if (!state)
        return true;
    const auto& known = state->entry();
    return endpoint.startedAtMilliseconds < known.startedAtMilliseconds
        || (isLeaving(*state) && endpoint.startedAtMilliseconds == known.startedAtMilliseconds);
}

bool EndpointRegistry::unlist(const EndpointId& id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return false;
    m_signals.keepLastSend(it->second->hash(), it->second->m_lastSendAt);
    m_promptCache.removeEndpoint(it->second->hash());
    removeFromIndexes(*it->second);
    m_endpoints.erase(it);
    updateDividedServices();
    return true;
}

std::shared_ptr<EndpointState> EndpointRegistry::findByHash(uint64_t hash) const
{
    const auto it = m_byHash.find(hash);
    return it == m_byHash.end() ? nullptr : it->second;
}

void EndpointRegistry::forgetFailuresSince(TimePoint since)
{
    for (const auto& [id, it] : m_endpoints) {
        if (it->m_failedAt < since)
            continue;
        it->forgetFailures();
    }
}

// A fleet that starts lists thousands of endpoints one by one, so one more must not cost as much as all.
void EndpointRegistry::addToIndexes(const std::shared_ptr<EndpointState>& endpoint)
{
    ++m_revision;
    const auto& entry = endpoint->entry();
    auto& endpoints = m_byService[entry.service];
    const auto position
        = std::ranges::upper_bound(endpoints, entry.id, {}, [](const auto& it) { return it->entry().id; });
    endpoints.insert(position, endpoint);
    m_byHash[endpoint->hash()] = endpoint;
    m_slotsByService[entry.service] += entry.slots;
    updateDividedServices();
}

void EndpointRegistry::removeFromIndexes(const EndpointState& endpoint)
{
    ++m_revision;
    const auto& entry = endpoint.entry();
    auto& endpoints = m_byService[entry.service];
    std::erase_if(endpoints, [&](const auto& it) { return it.get() == &endpoint; });
    m_byHash.erase(endpoint.hash());
    m_slotsByService[entry.service] -= entry.slots;
    if (endpoints.empty()) {
        m_byService.erase(entry.service);
        m_slotsByService.erase(entry.service);
    }
}

void EndpointRegistry::updateDividedServices()
{
    std::set<ServiceId> divided;
    for (const auto& [service, slots] : m_slotsByService) {
        if (m_assignment.isActive() && slots >= minSlotsPerDaemon * m_assignment.daemons())
            divided.insert(service);
    }
    if (m_dividedServices == divided)
        return;
    m_dividedServices = std::move(divided);
    ++m_divisionRevision;
}

const EndpointRegistry::Endpoints& EndpointRegistry::endpointsOf(const ServiceId& service) const
{
    static const Endpoints none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

void EndpointRegistry::subtractLoads(PeerLoads& peer)
{
    for (const auto& [endpoint, inFlight] : peer.loads)
        endpoint->m_peerInFlight -= inFlight;
    peer.loads.clear();
}

void EndpointRegistry::updatePeerLoads(
    const std::string& daemon, const std::vector<PeerLoad>& loads, TimePoint now)
{
    auto& peer = m_peers[daemon];
    subtractLoads(peer);
    peer.at = now;
    for (const auto& it : loads) {
        const auto endpoint = m_byHash.find(it.endpoint);
        if (endpoint == m_byHash.end())
            continue;
        endpoint->second->m_peerInFlight += it.inFlight;
        peer.loads.emplace_back(endpoint->second, it.inFlight);
    }
}

void EndpointRegistry::dropStaleLoads(TimePoint now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.at < peerLoadLifetime) {
            ++it;
            continue;
        }
        subtractLoads(it->second);
        it = m_peers.erase(it);
    }
}

std::shared_ptr<EndpointState> EndpointRegistry::find(const EndpointId& id) const
{
    auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : it->second;
}

bool EndpointRegistry::isExcluded(const EndpointState& endpoint, const Excuses& excuses, TimePoint now) const
{
    return (excuses.failures ? endpoint.isUnusable(now) : endpoint.isSuspended(now))
        || (!excuses.reports && useOf(endpoint, now) == EndpointUse::Excluded);
}

bool EndpointRegistry::hasRoom(EndpointState& endpoint, bool isLimitedToOne, TimePoint now) const
{
    if (isLimitedToOne && endpoint.ownInFlight() > 0)
        return false;
    if (endpoint.m_slotShare)
        return endpoint.ownInFlight() < *endpoint.m_slotShare;
    if (const auto& share = shareOf(endpoint))
        return m_assignment.mayTake(
            *share, now >= endpoint.m_loadKnownFrom, endpoint.ownInFlight(), endpoint.load(), now);
    const double headroom = endpoint.m_locality == Locality::OwnDataCentre ? 0
        : endpoint.m_locality == Locality::OwnRegion                       ? m_headroom.sameRegion
                                                                           : m_headroom.otherRegion;
    return endpoint.load() + 1 + headroom <= endpoint.entry().slots;
}

bool EndpointRegistry::hasRoom(const ServiceId& service, TimePoint now) const
{
    return std::ranges::any_of(
        endpointsOf(service), [&](const auto& it) { return hasRoom(*it, false, now); });
}

const std::optional<SlotAssignment::Share>& EndpointRegistry::shareOf(EndpointState& endpoint) const
{
    const auto revision = m_assignment.revision() + m_divisionRevision;
    if (endpoint.m_shareRevision != revision) {
        endpoint.m_shareRevision = revision;
        endpoint.m_assignedShare.reset();
        const auto& entry = endpoint.entry();
        if (areSlotsDivided(entry.service))
            endpoint.m_assignedShare = m_assignment.shareOf(
                { .hash = endpoint.hash(), .dataCentre = entry.dataCentre, .slots = entry.slots });
    }
    return endpoint.m_assignedShare;
}

bool EndpointRegistry::hasAssignedSlot(EndpointState& endpoint) const
{
    const auto& share = shareOf(endpoint);
    return !share || endpoint.ownInFlight() < share->assigned;
}

void EndpointRegistry::recordReadmitted(const EndpointId& id, TimePoint now)
{
    if (const auto endpoint = find(id))
        endpoint->m_loadKnownFrom = now + loadReportTime;
}

size_t EndpointRegistry::assignedSlots() const
{
    size_t out = 0;
    for (const auto& [id, it] : m_endpoints) {
        if (const auto& share = shareOf(*it))
            out += share->assigned;
    }
    return out;
}

EndpointRegistry::Excuses EndpointRegistry::excusesFor(
    const ServiceId& service, const VersionRule& versions, TimePoint now) const
{
    TimePoint succeededAt {};
    for (const auto& it : endpointsOf(service)) {
        if (isLeaving(*it) || !versions.allows(it->versionHash(), it->hash()))
            continue;
        if (!isExcluded(*it, {}, now) && !it->isStalled(now))
            return {};
        succeededAt = std::max(succeededAt, it->succeededAt());
    }
    // Requests need no excluded endpoint if the rule names others otherwise.
    const bool hasSucceeded = !versions.otherwise && succeededAt != TimePoint {};
    return { .failures = hasSucceeded && now - succeededAt < excuseOfFailures,
        .stalls = hasSucceeded && now - succeededAt < excuseOfStalls,
        .reports = !versions.otherwise };
}

bool EndpointRegistry::isAllowedBySignals(const EndpointState& endpoint, TimePoint now) const
{
    return m_signals.empty() || m_signals.maySend(endpoint.hash(), endpoint.m_lastSendAt, now);
}

bool EndpointRegistry::recordSignals(const EndpointState& endpoint, const SignalAnswer& answer, TimePoint now)
{
    if (m_signals.empty() && answer.signals == EndpointSignals {})
        return false;
    const bool isCurrent = answer.endpoint.startedAtMilliseconds == endpoint.entry().startedAtMilliseconds;
    const bool changes = isCurrent && m_signals.recordAnswer(answer, now);
    if (changes)
        divideSlots(now);
    return changes;
}

void EndpointRegistry::divideSlots(TimePoint now)
{
    std::set<ServiceId> services;
    for (const auto& [id, it] : m_endpoints) {
        if (m_signals.isBrittle(it->hash()))
            services.insert(it->entry().service);
    }
    if (services.empty() && m_brittleServices.empty())
        return;
    m_brittleServices = std::move(services);
    for (const auto& [id, it] : m_endpoints) {
        if (!m_brittleServices.contains(it->entry().service)) {
            it->m_slotShare.reset();
            continue;
        }
        const auto share = m_signals.slotShare(it->hash(), it->entry().slots);
        const auto known = it->m_slotShare.value_or(share);
        if (share <= known)
            it->m_shareGrowsSince.reset();
        else if (!it->m_shareGrowsSince)
            it->m_shareGrowsSince = now;
        // Another daemon may not know yet that its share has become smaller.
        const bool grows = it->m_shareGrowsSince && now - *it->m_shareGrowsSince >= shareGrowthDelay;
        it->m_slotShare = grows ? share : std::min(share, known);
    }
}

bool EndpointRegistry::hasSlotShare(const ServiceId& service) const
{
    return std::ranges::any_of(
        endpointsOf(service), [](const auto& it) { return it->m_slotShare.value_or(1) > 0; });
}

std::vector<EndpointId> EndpointRegistry::applySignalReports(
    const std::vector<SignalReport>& reports, TimePoint at, TimePoint now)
{
    std::vector<EndpointId> out;
    for (const auto& it : reports) {
        const auto endpoint = m_byHash.find(it.endpoint);
        if (endpoint == m_byHash.end())
            continue;
        if (m_signals.applyReport(it, endpoint->second->incarnation(), at, now))
            out.push_back(endpoint->second->entry().id);
    }
    if (!out.empty())
        divideSlots(now);
    return out;
}

void EndpointRegistry::updateSignals(
    const std::string& self, std::vector<SendingDaemon> daemons, TimePoint now)
{
    m_signals.setDaemons(self, std::move(daemons), now);
    m_signals.dropOld(now);
    divideSlots(now);
}

double EndpointRegistry::costOf(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now)
{
    const auto first = endpoint.expectedTimeToFirstEvent(query.work);
    const double total = toSeconds(endpoint.expectedTotalTime(query.work));
    // Subtracted last, so that it is neither randomised nor inverted.
    const double saved = query.work.isStream
        ? (query.work.promptTokens - query.work.tokensToProcess()) * endpoint.secondsPerPromptToken()
        : 0;
    double cost = (total + saved) * (1 + costJitter * m_random.fraction());
    if (query.avoidsFastEndpoints)
        cost = invertedCostBaseSeconds - cost;
    cost -= saved;
    const auto locality = endpoint.m_locality;
    if (locality != Locality::OwnDataCentre)
        cost += locality == Locality::OwnRegion ? remoteDataCentrePenaltySeconds : remoteRegionPenaltySeconds;
    if (now + first > query.objectiveAt)
        cost += latePenaltySeconds;
    if (endpoint.isOnProbation())
        cost += latePenaltySeconds;
    return cost;
}

bool EndpointRegistry::finishesInTime(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now)
{
    const double whole = toSeconds(endpoint.expectedTotalTime(query.work)) * lengthMargin;
    return query.expiresAt == TimePoint::max() || now + fromSeconds(whole) < query.expiresAt;
}

bool EndpointRegistry::meetsLatencyObjectives(
    const EndpointState& endpoint, const ChoiceQuery& query, double pendingTokens, TimePoint now)
{
    if (now + endpoint.expectedTimeToFirstEvent(query.work, pendingTokens) > query.objectiveAt)
        return false;
    return query.gapObjective == Duration::zero()
        || endpoint.expectedStreamPause(query.work, pendingTokens, query.tokensPerEvent)
        <= query.gapObjective;
}

std::shared_ptr<EndpointState> EndpointRegistry::choose(
    ChoiceQuery& query, const VersionRule& versions, TimePoint now)
{
    // How well an endpoint can serve the request, best first.
    enum Grade : uint8_t { InTime, Finishes, Any };
    struct Best {
        std::shared_ptr<EndpointState> endpoint;
        double cost = 0;
    };
    std::array<Best, 3> best;
    // The best grade that any endpoint would reach if it were idle.
    Grade possible = Any;
    const auto excuses = excusesFor(query.service, versions, now);
    const auto cached = query.prompt ? m_promptCache.find(*query.prompt, now) : std::vector<CachedPrefix> {};
    for (const auto& it : endpointsOf(query.service)) {
        if (!versions.allows(it->versionHash(), it->hash()))
            continue;
        if (isLeaving(*it) || isExcluded(*it, excuses, now) || (!excuses.stalls && it->isStalled(now))
            || !isAllowedBySignals(*it, now))
            continue;
        // No request waits for an endpoint that meets its objectives only by its cache.
        query.work.cachedTokens = 0;
        const auto gradeWith = [&, isFast = finishesInTime(*it, query, now)](double pendingTokens) {
            return !isFast ? Any : meetsLatencyObjectives(*it, query, pendingTokens, now) ? InTime : Finishes;
        };
        possible = std::min(possible, gradeWith(0));
        const bool isLimitedToOne
            = !excuses.failures && (it->isOnProbation() || useOf(*it, now) == EndpointUse::ProbeOnly);
        if (!hasRoom(*it, isLimitedToOne, now) || (query.yieldsLentSlots && !hasAssignedSlot(*it)))
            continue;
        if (std::ranges::find(query.tried, it->entry().id) != query.tried.end())
            continue;
        query.work.cachedTokens = cachedTokensAt(cached, it->cacheOwner());
        auto& slot = best[gradeWith(it->pendingPromptTokens())];
        const double cost = costOf(*it, query, now);
        if (!slot.endpoint || cost < slot.cost)
            slot = { .endpoint = it, .cost = cost };
    }
    // A long answer waits for an endpoint that is fast enough, if there is one, instead of being cut off at
    // its deadline by a slow one.
    const bool takesInTime = best[InTime].endpoint || (query.mayWait && possible == InTime);
    const auto& out = takesInTime ? best[InTime] : possible == Any ? best[Any] : best[Finishes];
    return out.endpoint || !versions.otherwise ? out.endpoint : choose(query, *versions.otherwise, now);
}

double EndpointRegistry::cachedTokens(
    const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now) const
{
    if (!query.prompt)
        return 0;
    const auto cached = cachedTokensAt(m_promptCache.find(*query.prompt, now), endpoint.cacheOwner());
    return std::min(query.work.promptTokens, cached);
}

void EndpointRegistry::recordPromptSend(const EndpointState& endpoint, const Work& work, double memory)
{
    // The other daemons are assumed to send in proportion to their requests in flight. Counting only this
    // daemon's tokens, 76 in 100 expected tokens were found by 8 daemons with 400,000 tokens of memory, and
    // 54 with 60,000; so, 93 and 86 (PromptCacheFleetTest).
    const double senders = endpoint.load() / std::max(1U, endpoint.ownInFlight());
    m_promptCache.recordSend(
        endpoint.cacheOwner(), std::max(1.0, senders) * (work.tokensToProcess() + work.answerTokens), memory);
}

bool EndpointRegistry::acceptsRequests(const EndpointState& endpoint, TimePoint now) const
{
    return find(endpoint.entry().id).get() == &endpoint && !isLeaving(endpoint)
        && !m_signals.isPaused(endpoint.hash(), now);
}

void EndpointRegistry::pause(EndpointState& endpoint, const EndpointIncarnation& incarnation, TimePoint until)
{
    if (incarnation.startedAtMilliseconds != endpoint.entry().startedAtMilliseconds)
        return;
    m_signals.recordPause(incarnation, until);
    endpoint.m_failureEvidence = std::max(endpoint.m_failureEvidence, EndpointState::evidenceToSuspend);
}

bool EndpointRegistry::hasCandidate(
    const ServiceId& service, const std::vector<EndpointId>& tried, const VersionRule& versions) const
{
    return std::ranges::any_of(endpointsOf(service), [&](const auto& it) {
        return !isLeaving(*it) && versions.allowsAny(it->versionHash(), it->hash())
            && std::ranges::find(tried, it->entry().id) == tried.end();
    });
}

const VersionRule& EndpointRegistry::usualVersions(const ServiceId& service) const
{
    static const VersionRule any;
    const auto it = m_usualVersions.find(service);
    return it == m_usualVersions.end() ? any : it->second;
}

EndpointRegistry::Occupancy EndpointRegistry::occupancy(const ServiceId& service, TimePoint now) const
{
    Occupancy out;
    const auto& versions = usualVersions(service);
    const auto excuses = excusesFor(service, versions, now);
    for (const auto& it : endpointsOf(service)) {
        const auto& entry = it->entry();
        if (isLeaving(*it) || !versions.allows(it->versionHash(), it->hash())
            || isExcluded(*it, excuses, now))
            continue;
        const double load = std::min<double>(entry.slots, it->load());
        out.slots += isAllowedBySignals(*it, now) ? entry.slots : load;
        out.load += load;
    }
    return out;
}

ServiceLatency EndpointRegistry::latencyOf(const ServiceId& service, TimePoint now) const
{
    const auto& versions = usualVersions(service);
    const auto& endpoints = endpointsOf(service);
    const auto isCounted = [&](const auto& it) { return versions.allows(it->versionHash(), it->hash()); };
    ServiceLatency out;
    const auto n = static_cast<double>(std::ranges::count_if(endpoints, isCounted));
    for (const auto& it : endpoints) {
        if (!isCounted(it))
            continue;
        const double answerTokenSeconds = it->m_secondsPerToken.mean() / n;
        const double promptTokenSeconds = it->secondsPerPromptToken() / n;
        out.nonStreamSeconds += it->m_nonStreamSeconds.mean() / n;
        out.firstEventSeconds
            += promptTokenSeconds * (EndpointState::startupPromptTokens() + it->m_pendingPromptTokens);
        out.secondsPerPromptToken += promptTokenSeconds;
        out.secondsPerAnswerToken += answerTokenSeconds;
    }
    const auto taken = occupancy(service, now);
    out.isContended = taken.load > contendedLoadFraction * taken.slots;
    return out;
}

} // namespace lentilbay::edge
