// The configuration as immutable values: what the operators promised, to whom, and with which endpoints.
//
// A Configuration is one version of the whole document. Daemons share it by pointer and replace it whole.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

/// The most tiers a configuration may have; ranks are 0 to maxTiers - 1.
constexpr int maxTiers = 8;

/// A class of service and the promises attached to it.
struct Tier {
    TierId name;
    /// 0 is served first. No two tiers share a rank.
    int rank = 0;
    /// Whether work of the tier may be refused for want of capacity.
    bool sheddable = true;
    /// Whether running work of the tier may be cancelled for a higher tier.
    bool preemptible = true;
    /// The promised time from arrival to the first token.
    std::optional<Duration> firstTokenWithin;
    /// The promised time from arrival to the whole answer, unless the caller sets a shorter one.
    std::optional<Duration> answerWithin;
    /// What one answer in time is worth against other tiers.
    double goodputWeight = 1;

    auto operator<=>(const Tier&) const = default;
};

/// Limits that hold for the fleet as a whole; nothing means unlimited.
struct OrganisationLimits {
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    std::optional<int64_t> concurrency;

    auto operator<=>(const OrganisationLimits&) const = default;
};

/// A bearer key at rest. Several are valid at once, so that keys can be rotated.
struct OrganisationKey {
    /// What operators call the key, for example "2026-12".
    std::string label;
    /// "<salt>$<hash>".
    std::string hash;

    auto operator<=>(const OrganisationKey&) const = default;
};

struct Organisation {
    OrganisationId name;
    /// In the order of their labels.
    std::vector<OrganisationKey> keys;
    /// The tiers it may use; the first is the one of a request that names none. Never empty.
    std::vector<TierId> tiers;
    OrganisationLimits limits;
    /// Its share of a tier's capacity against other organisations.
    double weight = 1;

    auto operator<=>(const Organisation&) const = default;
};

enum class ServiceKind : uint8_t {
    /// An OpenAI-compatible model, named by the body's "model".
    Model,
    /// Any HTTP service, named by the path /services/<name>/.
    Plain,
};

enum class IdempotencyKeyRule : uint8_t { Required, Optional };

struct Service {
    ServiceId name;
    ServiceKind kind = ServiceKind::Model;
    /// A non-idempotent request runs at most once and is never preempted.
    bool idempotent = true;
    /// Only read where the service is non-idempotent.
    IdempotencyKeyRule key = IdempotencyKeyRule::Required;
    /// The time from arrival to the whole answer where neither caller nor tier sets one.
    std::optional<Duration> deadline;
    /// Further endpoints that are tried when a connection fails before the first byte; nothing leaves it to
    /// the retry budget. Never above 0 where the service is non-idempotent.
    std::optional<int64_t> retries;

    auto operator<=>(const Service&) const = default;
};

/// A model engine or an application endpoint.
struct Endpoint {
    EndpointId name;
    /// An IP number.
    std::string host;
    uint16_t port = 0;
    RegionId region;
    DataCentreId dataCentre;
    /// The services that it offers. A model endpoint offers services of kind Model only.
    std::vector<ServiceId> services;
    /// The hardware generation; engines of one generation share first estimates.
    std::string generation;
    /// Requests that it may hold at once before it slows.
    uint32_t slots = 1;
    /// Tokens that its KV cache holds; 0 for a plain service.
    uint64_t kvTokens = 0;
    /// Whether it refuses an order that carries an old fencing number.
    bool checksFencing = false;

    auto operator<=>(const Endpoint&) const = default;
};

/// How many replicas of a model should run in a region.
struct RegionReplicas {
    RegionId region;
    int64_t replicas = 0;

    auto operator<=>(const RegionReplicas&) const = default;
};

/// Which versions and adapters of a model should be loaded, and where.
struct ModelPlacement {
    /// Also the name of the service of kind Model that it serves, and of the weights in the weight store.
    ModelId name;
    /// The first is the one in use; others are loaded ahead of a change. Never empty.
    std::vector<std::string> versions;
    /// In the order of their names.
    std::vector<std::string> adapters;
    /// In the order of the regions' names.
    std::vector<RegionReplicas> replicas;

    auto operator<=>(const ModelPlacement&) const = default;
};

/// What an answer in time is worth against prompt processing lost.
struct Objective {
    double goodput = 1;
    double wastedPrefill = 1;

    auto operator<=>(const Objective&) const = default;
};

struct Configuration {
    /// Counts up by one with each accepted change; 0 is the empty configuration that serves nothing.
    uint64_t version = 0;
    Objective objective;
    /// In the order of their ranks.
    std::vector<Tier> tiers;
    /// These are in the order of their names.
    std::vector<Organisation> organisations;
    std::vector<Service> services;
    std::vector<Endpoint> endpoints;
    std::vector<ModelPlacement> models;

    auto operator<=>(const Configuration&) const = default;
};

// The element with this name, or nullptr.
const Tier* findTier(const Configuration& configuration, const TierId& name);
const Organisation* findOrganisation(const Configuration& configuration, const OrganisationId& name);
const Service* findService(const Configuration& configuration, const ServiceId& name);
const Endpoint* findEndpoint(const Configuration& configuration, const EndpointId& name);

} // namespace lentilbay
