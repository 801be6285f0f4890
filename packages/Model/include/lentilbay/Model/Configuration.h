// The configuration as immutable values: tiers, organisations, services, endpoints and model placements.
//
// A Configuration is one version of the whole document. Readers share it by pointer; an update replaces it.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

/// Maximum number of tiers in a configuration; ranks are 0 to maxTiers - 1.
constexpr int maxTiers = 8;

/// A class of service with its latency objectives.
struct Tier {
    TierId name;
    /// 0 is served first. No two tiers share a rank.
    int rank = 0;
    /// Whether requests of the tier may be rejected for lack of capacity.
    bool sheddable = true;
    /// Whether running requests of the tier may be cancelled in favour of a higher tier.
    bool preemptible = true;
    /// The latency objective from arrival to the first token.
    std::optional<Duration> firstTokenWithin;
    /// The latency objective from arrival to the end of the answer, unless the caller sets a shorter one.
    std::optional<Duration> answerWithin;
    /// The weight of one answer in time relative to other tiers.
    double goodputWeight = 1;

    auto operator<=>(const Tier&) const = default;
};

/// Fleet-wide limits; unset means unlimited.
struct OrganisationLimits {
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    std::optional<int64_t> concurrency;

    auto operator<=>(const OrganisationLimits&) const = default;
};

/// A stored bearer key. Several may be valid at once, which allows key rotation.
struct OrganisationKey {
    /// The operators' name of the key, for example "2026-12".
    std::string label;
    /// "<salt>$<hash>".
    std::string hash;

    auto operator<=>(const OrganisationKey&) const = default;
};

struct Organisation {
    OrganisationId name;
    /// Sorted by label.
    std::vector<OrganisationKey> keys;
    /// The allowed tiers; the first is the default of a request that names none. Never empty.
    std::vector<TierId> tiers;
    OrganisationLimits limits;
    /// Fair-share weight within a tier relative to other organisations.
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
    /// Only used if the service is non-idempotent.
    IdempotencyKeyRule key = IdempotencyKeyRule::Required;
    /// The time from arrival to the end of the answer if neither the caller nor the tier sets one.
    std::optional<Duration> deadline;
    /// The number of further endpoints to try if a connection fails before the first byte; unset means
    /// limited by the retry budget only. Must not exceed 0 if the service is non-idempotent.
    std::optional<int64_t> retries;

    auto operator<=>(const Service&) const = default;
};

/// A model engine or an application endpoint.
struct Endpoint {
    EndpointId name;
    /// An IP address.
    std::string host;
    uint16_t port = 0;
    RegionId region;
    DataCentreId dataCentre;
    /// The services offered, sorted. A model endpoint offers services of kind Model only.
    std::vector<ServiceId> services;
    /// The hardware generation; engines of one generation share initial speed estimates.
    std::string generation;
    /// Concurrent requests up to which throughput grows.
    uint32_t slots = 1;
    /// Capacity of the KV cache in tokens; 0 for a plain service.
    uint64_t kvTokens = 0;
    /// Whether the endpoint rejects requests that carry an outdated fencing token.
    bool checksFencing = false;

    auto operator<=>(const Endpoint&) const = default;
};

/// The desired number of replicas of a model in a region.
struct RegionReplicas {
    RegionId region;
    int64_t replicas = 0;

    auto operator<=>(const RegionReplicas&) const = default;
};

/// The versions and adapters of a model to load, and the replicas per region.
struct ModelPlacement {
    /// Also the name of the service of kind Model that serves it, and of its weights in the weight store.
    ModelId name;
    /// The first is in use; the others are preloaded for an upgrade. Never empty.
    std::vector<std::string> versions;
    /// Sorted by name.
    std::vector<std::string> adapters;
    /// Sorted by region.
    std::vector<RegionReplicas> replicas;

    auto operator<=>(const ModelPlacement&) const = default;
};

/// Weights of the two terms of the scheduling objective: answers in time, and prefill lost to cancellations.
struct Objective {
    double goodput = 1;
    double wastedPrefill = 1;

    auto operator<=>(const Objective&) const = default;
};

struct Configuration {
    /// Incremented with each accepted change; 0 is the empty configuration that serves nothing.
    uint64_t version = 0;
    Objective objective;
    /// Sorted by rank.
    std::vector<Tier> tiers;
    // The following are sorted by name.
    std::vector<Organisation> organisations;
    std::vector<Service> services;
    std::vector<Endpoint> endpoints;
    std::vector<ModelPlacement> models;

    auto operator<=>(const Configuration&) const = default;
};

// Return the element with this name, or nullptr.
const Tier* findTier(const Configuration& configuration, const TierId& name);
const Organisation* findOrganisation(const Configuration& configuration, const OrganisationId& name);
const Service* findService(const Configuration& configuration, const ServiceId& name);
const Endpoint* findEndpoint(const Configuration& configuration, const EndpointId& name);

} // namespace lentilbay
