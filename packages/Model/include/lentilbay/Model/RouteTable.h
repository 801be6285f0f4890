// The configuration of a deployment in which requests are routed by host and path: routes, the services
// behind them, and the organisations with their keys and token quotas.
//
// Configuration.h is the counterpart for the product's own callers' interface.
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
enum class Repeatability : uint8_t {
    /// Any number of times.
    Idempotent,
    /// At most once for each attempt of the caller.
    AtMostOnce,
};

struct RouteTarget {
    ServiceId service;
    /// The part of the route's requests that goes here, against the sum of all weights.
    double weight = 1;

    auto operator<=>(const RouteTarget&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    /// Whether the answer is a stream of events.
    bool isStream = false;
    /// Whether a broken stream may go on at another endpoint behind its last event.
    bool isResumable = false;
    bool needsKey = true;
    /// The longest time from the arrival to the end of the answer.
    Duration timeout = std::chrono::seconds(30);
    /// The latency objective: to the end of the answer, or to the first event of a stream.
    Duration objective = std::chrono::seconds(1);
    /// The longest pause between the events of a stream that still counts as in time.
    Duration gapObjective = std::chrono::milliseconds(300);
    /// The most endpoints that may execute one request.
    int maxAttempts = 1;
    /// 0 is the most urgent.
    int rank = 0;
    /// Never empty.
    std::vector<RouteTarget> targets;

    auto operator<=>(const Route&) const = default;
};

/// What the operator says of the engines of one service; absent for plain services.
struct EngineTraits {
    uint32_t slots = 1;
    uint64_t kvTokens = 0;
    /// Tokens in one event of a stream.
    uint32_t tokensPerEvent = 1;

    auto operator<=>(const EngineTraits&) const = default;
};

struct RoutedService {
    ServiceId name;
    /// Connections that one endpoint accepts from all daemons together.
    uint32_t maxConnections = 64;
    std::optional<EngineTraits> engine;

    auto operator<=>(const RoutedService&) const = default;
};

struct TokenQuota {
    double tokensPerSecond = 0;
    double burstTokens = 0;
    /// What a request counts that does not state its tokens.
    double defaultTokens = 1;

    auto operator<=>(const TokenQuota&) const = default;
};

struct RoutedOrganisation {
    OrganisationId name;
    /// Goes before the routes' ranks; 0 is the most urgent.
    int rank = 0;
    /// Nothing: unlimited.
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

/// One version of the configuration; immutable once it is built.
class RouteTable {
public:
    struct Parts {
        uint64_t version = 0;
        std::vector<Route> routes;
        std::vector<RoutedService> services;
        std::vector<RoutedOrganisation> organisations;
        /// From each key to the position of its organisation.
        std::unordered_map<std::string, size_t> keys;
        CallerLimits limits;
    };

    explicit RouteTable(Parts parts);

    uint64_t version() const { return m_parts.version; }
    const CallerLimits& limits() const { return m_parts.limits; }
    const std::vector<Route>& routes() const { return m_parts.routes; }
    const std::vector<RoutedService>& services() const { return m_parts.services; }
    const std::vector<RoutedOrganisation>& organisations() const { return m_parts.organisations; }

    /// The route of the host whose prefix is the longest that begins the path, or nullptr.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    /// The organisation that holds the key, or nullptr.
    const RoutedOrganisation* findOrganisation(const std::string& key) const;
    const RoutedService* findService(const ServiceId& name) const;

private:
    Parts m_parts;
    /// By host, then prefix: the positions of the routes.
    std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>> m_byHost;
};

} // namespace lentilbay
