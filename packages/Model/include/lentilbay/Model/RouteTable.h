// The configuration of a deployment that routes requests by host and path: routes, their services, and the
// organisations with their keys and token quotas.
//
// Configuration.h is the counterpart for lentilbay's own HTTP API.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lentilbay {

/// How often a request may be executed.
enum class ExecutionSemantics : uint8_t {
    /// Any number of times.
    Idempotent,
    /// At most once per attempt of the caller.
    AtMostOnce,
};

struct RouteTarget {
    ServiceId service;
    /// Determines the fraction of the route's requests for this target, relative to the sum of all weights.
    double weight = 1;

    auto operator<=>(const RouteTarget&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    /// The path prefix; begins and ends with a slash.
    std::string prefix;
    ExecutionSemantics executionSemantics = ExecutionSemantics::AtMostOnce;
    /// Whether the answer is an event stream.
    bool isStream = false;
    /// Whether a broken stream may be resumed after its last event on another endpoint.
    bool isResumable = false;
    bool needsKey = true;
    /// The maximum time from arrival to the end of the answer.
    Duration timeout = std::chrono::seconds(30);
    /// The latency objective from arrival to the end of the answer or, for a stream, to the first event.
    Duration objective = std::chrono::seconds(1);
    /// The latency objective for the gap between two events of a stream.
    Duration gapObjective = std::chrono::milliseconds(300);
    /// Maximum number of endpoints that may execute one request.
    int maxAttempts = 1;
    /// Priority; 0 is the highest.
    int rank = 0;
    /// Never empty.
    std::vector<RouteTarget> targets;

    auto operator<=>(const Route&) const = default;
};

/// Properties of a model service's engines, as configured by the operator.
struct EngineTraits {
    uint32_t slots = 1;
    uint64_t kvTokens = 0;
    /// Tokens per event of a stream.
    uint32_t tokensPerEvent = 1;

    auto operator<=>(const EngineTraits&) const = default;
};

struct RoutedService {
    ServiceId name;
    /// Maximum number of connections to one endpoint from all daemons together.
    uint32_t maxConnections = 64;
    /// Unset for plain services.
    std::optional<EngineTraits> engine;

    auto operator<=>(const RoutedService&) const = default;
};

struct TokenQuota {
    double tokensPerSecond = 0;
    double burstTokens = 0;
    /// The tokens charged for a request that does not state its use.
    double defaultTokens = 1;

    auto operator<=>(const TokenQuota&) const = default;
};

struct RoutedOrganisation {
    OrganisationId name;
    /// Priority, compared before the ranks of the routes; 0 is the highest.
    int rank = 0;
    /// Unset means unlimited.
    std::optional<TokenQuota> quota;

    auto operator<=>(const RoutedOrganisation&) const = default;
};

struct CallerLimits {
    uint64_t headerBytes = 16'384;
    uint64_t bodyBytes = 4'194'304;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits&) const = default;
};

/// An immutable version of the configuration.
class RouteTable {
public:
    struct Parts {
        uint64_t version = 0;
        std::vector<Route> routes;
        std::vector<RoutedService> services;
        std::vector<RoutedOrganisation> organisations;
        /// The index of the organisation by key.
        std::unordered_map<std::string, size_t> keys;
        CallerLimits limits;
    };

    explicit RouteTable(Parts parts);

    uint64_t version() const { return m_parts.version; }
    const CallerLimits& limits() const { return m_parts.limits; }
    const std::vector<Route>& routes() const { return m_parts.routes; }
    const std::vector<RoutedService>& services() const { return m_parts.services; }
    const std::vector<RoutedOrganisation>& organisations() const { return m_parts.organisations; }

    /// The route of the host with the longest prefix that matches the path, or nullptr.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// The organisation with the key, or nullptr.
    const RoutedOrganisation* findOrganisation(const std::string& key) const;
    const RoutedService* findService(const ServiceId& name) const;
    /// The number of keys of each organisation.
    std::vector<size_t> keyCounts() const;
    /// Calls a function with each key and its organisation, in no particular order.
    template <class F> void forEachKey(F&& function) const
    {
        for (const auto& [key, i] : m_parts.keys)
            function(key, m_parts.organisations[i]);
    }

private:
    Parts m_parts;
    /// Indices of the routes, by host and prefix.
    std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>> m_routesByHost;
};

} // namespace lentilbay
