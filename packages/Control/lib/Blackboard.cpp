// Updates endpoints and pools to match the configuration in effect.
#include "lentilbay/Control/Blackboard.h"

#include <utility>

namespace lentilbay {

EndpointState* Blackboard::findEndpointState(const EndpointId& id)
{
    auto it = endpointPositions.find(id);
    return it == endpointPositions.end() ? nullptr : &endpoints[it->second];
}

PoolState* Blackboard::findPool(const ServiceId& service)
{
    auto it = poolPositions.find(service);
    return it == poolPositions.end() ? nullptr : &pools[it->second];
}

uint64_t Blackboard::incarnationOf(const DaemonId& id) const
{
    auto it = members.find(id);
    return it == members.end() ? 0 : it->second.incarnation;
}

void applyConfiguration(Blackboard& blackboard, std::shared_ptr<const Configuration> configuration)
{
    std::vector<EndpointState> endpoints;
    std::unordered_map<EndpointId, size_t> endpointPositions;
    for (const auto& endpoint : configuration->endpoints) {
        EndpointState state;
        if (auto* before = blackboard.findEndpointState(endpoint.name))
            state = std::move(*before);
        state.endpoint = endpoint;
        endpointPositions.emplace(endpoint.name, endpoints.size());
        endpoints.push_back(std::move(state));
    }
    std::vector<PoolState> pools;
    std::unordered_map<ServiceId, size_t> poolPositions;
    for (const auto& service : configuration->services) {
        PoolState state;
        if (auto* before = blackboard.findPool(service.name))
            state = std::move(*before);
        state.service = service.name;
        state.endpoints.clear();
        poolPositions.emplace(service.name, pools.size());
        pools.push_back(std::move(state));
    }
    for (size_t i = 0; i < endpoints.size(); ++i) {
        for (const auto& service : endpoints[i].endpoint.services) {
            if (auto it = poolPositions.find(service); it != poolPositions.end())
                pools[it->second].endpoints.push_back(i);
        }
    }
    blackboard.endpoints = std::move(endpoints);
    blackboard.endpointPositions = std::move(endpointPositions);
    blackboard.pools = std::move(pools);
    blackboard.poolPositions = std::move(poolPositions);
    blackboard.configuration = std::move(configuration);
}

} // namespace lentilbay
