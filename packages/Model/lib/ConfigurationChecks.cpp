// Cross-checks between elements of a configuration.
#include "ConfigurationChecks.h"

#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace lentilbay {
namespace {

std::string tierSection(const Tier& tier) { return "tier " + tier.name.text(); }
std::string organisationSection(const Organisation& it) { return "organisation " + it.name.text(); }
std::string serviceSection(const Service& service) { return "service " + service.name.text(); }
std::string endpointSection(const Endpoint& endpoint) { return "endpoint " + endpoint.name.text(); }
std::string modelSection(const ModelPlacement& model) { return "model " + model.name.text(); }

template <class T> std::string namesOf(const std::vector<T>& elements)
{
    std::vector<std::string> names;
    names.reserve(elements.size());
    for (const auto& it : elements)
        names.push_back(it.name.text());
    return fmt::format("{}", fmt::join(names, ", "));
}

/// Checks one configuration. Uses indices so that no check compares all pairs of elements.
class Checker {
public:
    Checker(const Configuration& configuration, DiagnosticReporter& reporter)
        : m_configuration(configuration)
        , m_reporter(reporter)
    {
        for (const auto& service : configuration.services)
            m_servicesByName.emplace(service.name, &service);
    }

    void run()
    {
        checkNotEmpty();
        for (const auto& tier : m_configuration.tiers)
            checkTier(tier);
        checkTierOrder();
        for (const auto& organisation : m_configuration.organisations)
            checkOrganisation(organisation);
        checkUnsheddableCapacity();
        for (const auto& endpoint : m_configuration.endpoints)
            checkEndpoint(endpoint);
        for (const auto& service : m_configuration.services)
            checkService(service);
        for (const auto& model : m_configuration.models)
            checkModel(model);
    }

private:
    void checkNotEmpty()
    {
        const auto require = [this](bool exists, const char* section) {
            if (!exists)
                m_reporter.report(ResultCode::MissingSetting, section, "", "at least one is required");
        };
        require(!m_configuration.tiers.empty(), "tier");
        require(!m_configuration.organisations.empty(), "organisation");
        require(!m_configuration.services.empty(), "service");
    }

    void checkTier(const Tier& tier)
    {
        if (!tier.firstTokenWithin || !tier.answerWithin || *tier.firstTokenWithin <= *tier.answerWithin)
            return;
        m_reporter.report(ResultCode::ContradictoryTiers, tierSection(tier), "first_token_within",
            fmt::format("the first token comes after the whole answer; allowed: at most answer_within = {}",
                printDuration(*tier.answerWithin)));
    }

    /// Requires unique ranks, and that every tier below a sheddable or preemptible one is so, too. The tiers
    /// are sorted by rank.
    void checkTierOrder()
    {
        const auto& tiers = m_configuration.tiers;
        for (size_t i = 1; i < tiers.size(); ++i) {
            const auto& higher = tiers[i - 1];
            const auto& lower = tiers[i];
            if (higher.rank == lower.rank) {
                m_reporter.report(ResultCode::DuplicateValue, tierSection(lower), "rank",
                    fmt::format("tier {} has the rank {} as well", higher.name.text(), lower.rank));
                continue;
            }
            checkMonotonic(higher, lower, &Tier::sheddable, "sheddable");
            checkMonotonic(higher, lower, &Tier::preemptible, "preemptible");
        }
    }

    void checkMonotonic(const Tier& higher, const Tier& lower, bool Tier::*property, const char* key)
    {
        if (!(higher.*property) || lower.*property)
            return;
        m_reporter.report(ResultCode::ContradictoryTiers, tierSection(lower), key,
            fmt::format("tier {} ranks higher and is {}, so this tier must be too; allowed: yes",
                higher.name.text(), key));
    }

    void checkOrganisation(const Organisation& organisation)
    {
        const auto section = organisationSection(organisation);
        std::set<TierId> seen;
        for (const auto& name : organisation.tiers) {
            if (findTier(m_configuration, name) == nullptr) {
                m_reporter.report(ResultCode::UnknownReference, section, "tiers",
                    fmt::format(
                        "no tier is named '{}'; allowed: {}", name.text(), namesOf(m_configuration.tiers)));
            }
            if (!seen.insert(name).second)
                m_reporter.report(ResultCode::DuplicateValue, section, "tiers", "a tier stands twice");
        }
        for (const auto& key : organisation.keys) {
            const auto [it, isNew] = m_organisationsByKeyHash.try_emplace(key.hash, organisation.name.text());
            if (!isNew) {
                m_reporter.report(ResultCode::DuplicateValue, section, "key." + key.label,
                    fmt::format("organisation {} has the same key", it->second));
            }
        }
    }

    /// The concurrency limits of a non-sheddable tier's organisations must not exceed the total slots.
    void checkUnsheddableCapacity()
    {
        int64_t slots = 0;
        for (const auto& endpoint : m_configuration.endpoints)
            slots += endpoint.slots;
        for (const auto& tier : m_configuration.tiers) {
            if (tier.sheddable)
                continue;
            int64_t committed = 0;
            for (const auto& organisation : m_configuration.organisations) {
                const auto& tiers = organisation.tiers;
                if (std::find(tiers.begin(), tiers.end(), tier.name) == tiers.end())
                    continue;
                if (!organisation.limits.concurrency) {
                    m_reporter.report(ResultCode::PromiseWithoutCapacity, organisationSection(organisation),
                        "concurrency",
                        fmt::format(
                            "tier {} is never refused, so its organisations need a limit; allowed: 1 to {}",
                            tier.name.text(), slots));
                }
                committed += organisation.limits.concurrency.value_or(0);
            }
            if (committed > slots) {
                m_reporter.report(ResultCode::PromiseWithoutCapacity, tierSection(tier), "sheddable",
                    fmt::format(
                        "its organisations may have {} requests at once and all endpoints have {} slots",
                        committed, slots));
            }
        }
    }

    void checkEndpoint(const Endpoint& endpoint)
    {
        const auto section = endpointSection(endpoint);
        const auto address = fmt::format("{}:{}", endpoint.host, endpoint.port);
        const auto [byAddress, isNewAddress]
            = m_endpointsByAddress.try_emplace(address, endpoint.name.text());
        if (!isNewAddress) {
            m_reporter.report(ResultCode::DuplicateValue, section, "address",
                fmt::format("endpoint {} has the same address", byAddress->second));
        }
        const auto [byCentre, isNewCentre]
            = m_regionsByDataCentre.try_emplace(endpoint.dataCentre, endpoint.region);
        if (!isNewCentre && byCentre->second != endpoint.region) {
            m_reporter.report(ResultCode::DuplicateValue, section, "data_centre",
                fmt::format("the data centre stands in region {} already", byCentre->second.text()));
        }
        checkEndpointServices(endpoint, section);
    }

    void checkEndpointServices(const Endpoint& endpoint, const std::string& section)
    {
        std::set<ServiceKind> kinds;
        for (const auto& name : endpoint.services) {
            auto it = m_servicesByName.find(name);
            if (it == m_servicesByName.end()) {
                m_reporter.report(ResultCode::UnknownReference, section, "services",
                    fmt::format("no service is named '{}'; allowed: {}", name.text(),
                        namesOf(m_configuration.services)));
                continue;
            }
            kinds.insert(it->second->kind);
            ++m_endpointCounts[name][endpoint.region];
        }
        if (kinds.size() > 1) {
            m_reporter.report(ResultCode::MixedEndpoint, section, "services",
                "one endpoint offers services of both kinds; allowed: model services or plain ones");
        }
        if (kinds == std::set { ServiceKind::Model } && endpoint.kvTokens == 0) {
            m_reporter.report(ResultCode::MixedEndpoint, section, "kv_tokens",
                "a model endpoint needs the size of its KV cache; allowed: 1 or more");
        }
        if (kinds == std::set { ServiceKind::Plain } && endpoint.kvTokens != 0) {
            m_reporter.report(ResultCode::MixedEndpoint, section, "kv_tokens",
                "an endpoint of plain services has no KV cache; allowed: 0");
        }
    }

    void checkService(const Service& service)
    {
        if (!service.idempotent && service.retries.value_or(0) > 0) {
            m_reporter.report(ResultCode::UnsafeRetry, serviceSection(service), "retries",
                "the service is non-idempotent; allowed: 0");
        }
        if (!m_endpointCounts.contains(service.name)) {
            m_reporter.report(ResultCode::PromiseWithoutCapacity, serviceSection(service), "",
                "no endpoint offers the service");
        }
    }

    void checkModel(const ModelPlacement& model)
    {
        const auto section = modelSection(model);
        const ServiceId service(model.name.text());
        auto it = m_servicesByName.find(service);
        if (it == m_servicesByName.end() || it->second->kind != ServiceKind::Model) {
            m_reporter.report(
                ResultCode::UnknownReference, section, "", "no service of kind model has this name");
            return;
        }
        for (const auto& placement : model.replicas) {
            const auto offered = m_endpointCounts[service][placement.region];
            if (placement.replicas <= offered)
                continue;
            m_reporter.report(ResultCode::PromiseWithoutCapacity, section,
                "replicas." + placement.region.text(),
                fmt::format(
                    "{} replicas are wanted; allowed: 0 to {}, the endpoints that offer the service there",
                    placement.replicas, offered));
        }
    }

    const Configuration& m_configuration;
    DiagnosticReporter& m_reporter;
    std::unordered_map<ServiceId, const Service*> m_servicesByName;
    std::map<std::string, std::string> m_organisationsByKeyHash;
    std::map<std::string, std::string> m_endpointsByAddress;
    std::map<DataCentreId, RegionId> m_regionsByDataCentre;
    /// The number of endpoints that offer a service, by region.
    std::map<ServiceId, std::map<RegionId, int64_t>> m_endpointCounts;
};

} // namespace

DiagnosticReporter::DiagnosticReporter(const IniDocument& document, Diagnostics& diagnostics)
    : m_document(document)
    , m_diagnostics(diagnostics)
{
}

void DiagnosticReporter::indexLines()
{
    for (const auto& section : m_document.sections)
        m_lines.try_emplace(section.name, section.line);
    for (const auto& entry : m_document.entries)
        m_lines.try_emplace(entry.section + "\n" + entry.key, entry.line);
}

void DiagnosticReporter::report(
    ResultCode code, const std::string& section, const std::string& key, std::string message)
{
    if (m_lines.empty())
        indexLines();
    auto it = m_lines.find(section + "\n" + key);
    if (it == m_lines.end())
        it = m_lines.find(section);
    const int line = it == m_lines.end() ? 0 : it->second;
    m_diagnostics.push_back(
        { code, m_document.file, line, key.empty() ? section : section + "." + key, std::move(message) });
}

void checkConfiguration(const Configuration& configuration, DiagnosticReporter& reporter)
{
    Checker(configuration, reporter).run();
}

} // namespace lentilbay
