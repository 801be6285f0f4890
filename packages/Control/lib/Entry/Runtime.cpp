// Updates the entry controller's runtime state when the configuration changes.
#include "Runtime.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// Ratio of prompt to answer tokens that is assumed when endpoint speeds are compared.
constexpr double promptTokensPerAnswerToken = 10;

Distance distanceOf(const Blackboard& blackboard, const Endpoint& endpoint)
{
    if (endpoint.region != blackboard.region)
        return Distance::OtherRegion;
    return endpoint.dataCentre == blackboard.dataCentre ? Distance::SameDataCentre : Distance::SameRegion;
}

} // namespace

Runtime::Runtime(Blackboard& blackboard)
    : m_blackboard(blackboard)
{
}

bool Runtime::refresh(TimePoint now)
{
    if (m_configuration == m_blackboard.configuration)
        return false;
    m_configuration = m_blackboard.configuration;
    applyConfiguration(now);
    refreshEndpoints(now);
    refreshPools();
    refreshAvailable(now);
    for (auto* pool : m_livePools)
        refreshSpeeds(*pool);
    return true;
}

void Runtime::applyConfiguration(TimePoint now)
{
    m_tiers.clear();
    m_services.clear();
    m_lowestRank = 0;
    for (const auto& it : m_configuration->tiers) {
        m_tiers.emplace(it.name, &it);
        m_lowestRank = std::max(m_lowestRank, it.rank);
    }
    for (const auto& it : m_configuration->services)
        m_services.emplace(it.name, &it);
    for (const auto& it : m_configuration->organisations) {
        auto& organisationRuntime = organisation(it.name, now);
        organisationRuntime.weight = it.weight;
        organisationRuntime.limits = it.limits;
    }
    divideLimits(now);
}

OrganisationRuntime& Runtime::organisation(const OrganisationId& name, TimePoint now)
{
    auto [it, isNew] = m_organisations.try_emplace(name);
    auto& organisationRuntime = it->second;
    if (isNew) {
        organisationRuntime.number = static_cast<uint32_t>(m_organisations.size() - 1);
        organisationRuntime.use.emplace(organisationRuntime.limits, organisationRuntime.share, now);
        organisationRuntime.retries.emplace(RetryBudgetOptions {}, now);
    }
    return organisationRuntime;
}

void Runtime::refreshEndpoints(TimePoint now)
{
    for (auto& [name, endpoint] : m_endpoints)
        endpoint.position = noPosition;
    for (size_t i = 0; i < m_blackboard.endpoints.size(); ++i) {
        const auto& configured = m_blackboard.endpoints[i].endpoint;
        auto [it, isNew] = m_endpoints.try_emplace(configured.name);
        auto& endpoint = it->second;
        if (isNew) {
            endpoint.name = configured.name;
            endpoint.number = static_cast<uint32_t>(m_endpointNumbers.size());
            endpoint.retries.emplace(RetryBudgetOptions {}, now);
            m_endpointNumbers.push_back(&endpoint);
        }
        endpoint.position = i;
        // An endpoint that was removed and added again still runs its requests.
        auto& inFlight = m_blackboard.endpoints[i].inFlight;
        inFlight = {};
        for (const auto* request : endpoint.activeRequests)
            ++inFlight[request->rank];
        endpoint.distance = distanceOf(m_blackboard, configured);
        endpoint.generation = &m_generations[configured.generation];
    }
}

void Runtime::refreshPools()
{
    m_servicePools.clear();
    m_livePools.clear();
    for (auto& [name, endpoint] : m_endpoints)
        endpoint.pools.clear();
    for (const auto& pool : m_blackboard.pools) {
        if (pool.endpoints.empty())
            continue;
        std::vector<std::string> key;
        for (const auto position : pool.endpoints)
            key.push_back(m_blackboard.endpoints[position].endpoint.name.text());
        std::sort(key.begin(), key.end());
        auto& runtime = m_pools[key];
        m_servicePools[pool.service] = &runtime;
        if (std::find(m_livePools.begin(), m_livePools.end(), &runtime) != m_livePools.end())
            continue;
        m_livePools.push_back(&runtime);
        runtime.endpoints.clear();
        runtime.configuredSlots = 0;
        runtime.served = {};
        for (const auto position : pool.endpoints) {
            const auto& configured = m_blackboard.endpoints[position].endpoint;
            auto& endpoint = m_endpoints.at(configured.name);
            endpoint.pools.push_back(&runtime);
            runtime.endpoints.push_back(&endpoint);
            runtime.configuredSlots += configured.slots;
            for (const auto* it : endpoint.activeRequests)
                runtime.served[it->rank] += it->phase == RequestPhase::Cancelling ? 0 : 1;
        }
    }
}

void Runtime::refreshShares(TimePoint now)
{
    std::vector<DaemonId> daemons;
    for (const auto& [id, member] : m_blackboard.members) {
        if (member.status != MemberStatus::Dead || id == m_blackboard.self)
            daemons.push_back(id);
    }
    if (daemons == m_daemons)
        return;
    m_daemons = std::move(daemons);
    divideLimits(now);
}

void Runtime::divideLimits(TimePoint now)
{
    const auto self = std::find(m_daemons.begin(), m_daemons.end(), m_blackboard.self);
    std::vector<std::string_view> names;
    names.reserve(m_daemons.size());
    for (const auto& it : m_daemons)
        names.emplace_back(it.text());
    for (const auto& it : m_configuration->organisations) {
        auto& organisationRuntime = organisation(it.name, now);
        if (!organisationRuntime.hasExplicitShare) {
            organisationRuntime.share = self == m_daemons.end()
                ? LimitShare {}
                : equalShare(it, names, static_cast<size_t>(self - m_daemons.begin()));
        }
        organisationRuntime.use->configure(organisationRuntime.limits, organisationRuntime.share, now);
    }
}

void Runtime::refreshAvailable(TimePoint now)
{
    for (auto* pool : m_livePools) {
        pool->available.clear();
        pool->isAvailable.assign(m_blackboard.endpoints.size(), false);
        pool->grantedSlots = 0;
        for (auto* endpoint : pool->endpoints) {
            const auto& state = stateOf(*endpoint);
            if (!state.leaving && now < state.grant.expiresAt)
                pool->grantedSlots += state.grant.slots;
            if (state.freeSlots(now) == 0)
                continue;
            pool->available.push_back(endpoint);
            pool->isAvailable[endpoint->position] = true;
        }
    }
}

void Runtime::refreshSpeeds(PoolRuntime& pool)
{
    // If more than half of the endpoints are slow, the pool is overloaded and none of them is a straggler.
    size_t stragglers = 0;
    for (const auto* endpoint : pool.endpoints)
        stragglers += endpoint->estimate.isStraggler() ? 1 : 0;
    const bool isPoolSlow = stragglers * 2 > pool.endpoints.size();
    std::vector<EndpointSpeed> speeds;
    pool.isSpeedKnown = true;
    for (auto* endpoint : pool.endpoints) {
        auto& state = stateOf(*endpoint);
        pool.isSpeedKnown = pool.isSpeedKnown && endpoint->generation->isKnown();
        endpoint->speed = endpoint->estimate.speed(*endpoint->generation);
        endpoint->slots = endpoint->estimate.slots(state.endpoint.slots);
        state.learnedSlots = endpoint->slots;
        endpoint->isStraggler = endpoint->estimate.isStraggler() && !isPoolSlow;
        if (!endpoint->isStraggler && !state.leaving)
            speeds.push_back(endpoint->speed);
    }
    if (speeds.empty())
        return;
    const auto isFaster = [](const EndpointSpeed& a, const EndpointSpeed& b) {
        return a.secondsPerPromptToken * promptTokensPerAnswerToken + a.secondsPerAnswerToken
            < b.secondsPerPromptToken * promptTokensPerAnswerToken + b.secondsPerAnswerToken;
    };
    auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end(), isFaster);
    pool.typical.speed = *middle;
    pool.fastest.speed = *std::min_element(speeds.begin(), speeds.end(), isFaster);
}

void Runtime::markAvailable(EndpointRuntime& endpoint)
{
    if (endpoint.position == noPosition)
        return;
    for (auto* pool : endpoint.pools) {
        if (pool->isAvailable[endpoint.position])
            continue;
        pool->isAvailable[endpoint.position] = true;
        pool->available.push_back(&endpoint);
    }
}

void Runtime::prunePools(const std::set<const PoolRuntime*>& referenced)
{
    std::erase_if(m_pools, [&](const auto& it) {
        const auto* pool = &it.second;
        const bool isLive = std::find(m_livePools.begin(), m_livePools.end(), pool) != m_livePools.end();
        return !isLive && !referenced.contains(pool);
    });
}

const Tier* Runtime::findTier(const TierId& name) const
{
    auto it = m_tiers.find(name);
    return it == m_tiers.end() ? nullptr : it->second;
}

const Service* Runtime::findService(const ServiceId& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

PoolRuntime* Runtime::findPool(const ServiceId& service)
{
    auto it = m_servicePools.find(service);
    return it == m_servicePools.end() ? nullptr : it->second;
}

EndpointRuntime* Runtime::findEndpoint(const EndpointId& name)
{
    auto it = m_endpoints.find(name);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

} // namespace lentilbay
