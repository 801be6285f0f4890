// Derives the deployment from the kinds of request that the load tool can send.
#include "Deployment.h"

#include "lentilbay/Support/Secret.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace lentilbay::scenario {

namespace {

constexpr auto salt = "00";
/// The key that authenticates datagrams between daemons; the value does not matter on loopback.
constexpr auto clusterKey = "1:5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";

std::vector<load::RequestKind> allKinds()
{
    auto kinds = load::requestKindsOf("daejeon");
    const auto others = load::requestKindsOf("cooperative");
    kinds.insert(kinds.end(), others.begin(), others.end());
    return kinds;
}

std::vector<Tier> tiersOf(const std::vector<load::RequestKind>& kinds)
{
    std::map<int, std::string> names;
    for (const auto& it : kinds)
        names[it.rank] = it.tier;
    std::vector<Tier> tiers;
    tiers.reserve(names.size());
    for (const auto& [rank, name] : names)
        tiers.push_back({ .name = TierId(name), .rank = rank });
    return tiers;
}

std::vector<Organisation> organisationsOf(const std::vector<load::RequestKind>& kinds)
{
    std::map<std::string, std::set<std::string>> tiers;
    for (const auto& kind : kinds) {
        for (const auto& it : kind.organisations)
            tiers[it].insert(kind.tier);
    }
    std::vector<Organisation> organisations;
    for (const auto& [name, used] : tiers) {
        Organisation organisation { .name = OrganisationId(name),
            .keys = { { .label = "scenario", .hash = hashKey(keyPrefix + name, salt) } } };
        for (const auto& it : used)
            organisation.tiers.emplace_back(it);
        organisations.push_back(std::move(organisation));
    }
    return organisations;
}

std::vector<Service> servicesOf(const Scenario& scenario, const std::vector<load::RequestKind>& kinds)
{
    std::map<std::string, bool> offered;
    for (const auto& endpoint : scenario.endpoints) {
        for (const auto& it : endpoint.services)
            offered[it] = endpoint.engine;
    }
    std::vector<Service> services;
    for (const auto& [name, isModel] : offered) {
        const auto kind = std::ranges::find(kinds, name, &load::RequestKind::service);
        services.push_back({ .name = ServiceId(name),
            .kind = isModel ? ServiceKind::Model : ServiceKind::Plain,
            .idempotent = kind == kinds.end() || !kind->nonIdempotent });
    }
    return services;
}

Endpoint endpointOf(const EndpointSpec& spec, uint16_t port)
{
    Endpoint endpoint { .name = EndpointId(spec.name),
        .host = "127.0.0.1",
        .port = port,
        .region = RegionId(spec.region),
        .dataCentre = DataCentreId(spec.dataCentre),
        .generation = spec.engine ? "g1" : "",
        .slots = spec.slots,
        .kvTokens = spec.engine ? spec.kvTokens : 0 };
    for (const auto& it : spec.services)
        endpoint.services.emplace_back(it);
    std::ranges::sort(endpoint.services);
    return endpoint;
}

std::string printed(const ConfigurationSource& source)
{
    if (source.platformPort == 0)
        return fmt::format("[configuration]\nfile = {}\n", source.file);
    return fmt::format(
        "[platform]\ntable = http://127.0.0.1:{0}\nobjects = http://127.0.0.1:{0}\n", source.platformPort);
}

/// Adds a model that the first engine offers beside its own. Does nothing if there is no engine.
void addMarker(Configuration& configuration, const std::string& marker)
{
    const auto engine
        = std::ranges::find_if(configuration.endpoints, [](const Endpoint& it) { return it.kvTokens > 0; });
    if (engine == configuration.endpoints.end())
        return;
    const ServiceId service(marker);
    configuration.services.push_back({ .name = service });
    std::ranges::sort(configuration.services, {}, &Service::name);
    engine->services.push_back(service);
    std::ranges::sort(engine->services);
}

} // namespace

Configuration configurationOf(
    const Scenario& scenario, const std::map<std::string, uint16_t>& endpointPorts, const std::string& marker)
{
    const auto kinds = allKinds();
    Configuration configuration { .version = 1,
        .tiers = tiersOf(kinds),
        .organisations = organisationsOf(kinds),
        .services = servicesOf(scenario, kinds) };
    for (const auto& it : scenario.endpoints)
        configuration.endpoints.push_back(endpointOf(it, endpointPorts.at(it.name)));
    std::ranges::sort(configuration.endpoints, {}, &Endpoint::name);
    if (!marker.empty())
        addMarker(configuration, marker);
    return configuration;
}

std::string settingsOf(const DaemonSpec& daemon, const DaemonPorts& ports, const std::vector<uint16_t>& seeds,
    const ConfigurationSource& source)
{
    std::string seedList;
    for (const auto it : seeds)
        seedList += fmt::format("{}127.0.0.1:{}", seedList.empty() ? "" : ", ", it);
    return fmt::format("[daemon]\nname = {}\nregion = {}\ndata_centre = {}\nleaving_notice = 200ms\n"
                       "[callers]\nport = {}\n[admin]\nport = {}\ntoken_hash = {}\n"
                       "[peers]\naddress = 127.0.0.1:{}\nseeds = {}\nkeys = {}\n"
                       "[log]\nformat = json\n{}",
        daemon.name, daemon.region, daemon.dataCentre, ports.callers, ports.admin, hashKey(adminToken, salt),
        ports.peers, seedList, clusterKey, printed(source));
}

} // namespace lentilbay::scenario
