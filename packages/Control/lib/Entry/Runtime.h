// The entry controller's private runtime state: learned estimates, queues and budgets for each endpoint,
// organisation and pool, and their update on a change of the configuration.
#pragma once

#include "RequestTable.h"

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Policy/AnswerEstimates.h"
#include "lentilbay/Policy/EndpointEstimate.h"
#include "lentilbay/Policy/Limits.h"
#include "lentilbay/Policy/PrefixDirectory.h"
#include "lentilbay/Policy/RequestQueue.h"
#include "lentilbay/Policy/Retry.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay {

constexpr size_t noPosition = static_cast<size_t>(-1);

struct EndpointRuntime {
    EndpointId name;
    /// Identifies the endpoint in the prefix directory; never reused.
    uint32_t number = 0;
    /// The index in Blackboard::endpoints, or noPosition while the endpoint is not configured.
    size_t position = noPosition;
    Distance distance = Distance::SameDataCentre;
    GenerationEstimate* generation = nullptr;
    EndpointEstimate estimate;
    /// Cached because many decisions read them; updated by Runtime::refreshSpeeds().
    EndpointSpeed speed;
    uint32_t slots = 1;
    bool isStraggler = false;
    /// When the endpoint is expected to complete the prefill of all requests dispatched to it.
    TimePoint prefillEndsAt {};
    /// When a request at this endpoint last got its first token.
    TimePoint lastFirstTokenAt {};
    CircuitBreaker breaker;
    std::optional<RetryBudget> retries;
    std::vector<PoolRuntime*> pools;
    /// The requests that hold a slot of this endpoint.
    std::vector<OpenRequest*> activeRequests;
};

struct OrganisationRuntime {
    /// Identifies the organisation in the queues.
    uint32_t number = 0;
    double weight = 1;
    OrganisationLimits limits;
    LimitShare share;
    /// Whether the share was set by setLimitShare() and not derived from the members.
    bool hasExplicitShare = false;
    std::optional<OrganisationLimiter> use;
    std::optional<RetryBudget> retries;
};

/// A set of endpoints and the requests that wait for it. Services with equal sets share one pool, so that
/// their requests are ordered in common queues.
struct PoolRuntime {
    /// Requests that are ready for dispatch.
    RequestQueue ready;
    /// Requests that must be claimed before they are ready.
    RequestQueue unclaimed;
    std::vector<EndpointRuntime*> endpoints;
    /// Endpoints that may have a free slot, without duplicates; one without a free slot is removed when it is
    /// encountered.
    std::vector<EndpointRuntime*> available;
    /// Whether an endpoint is in `available`, by its index in Blackboard::endpoints.
    std::vector<bool> isAvailable;
    /// The number of requests that hold a slot of the endpoints and are not being cancelled, by rank.
    std::array<uint32_t, maxTiers> served {};
    uint32_t configuredSlots = 0;
    uint32_t grantedSlots = 0;
    /// The number of claims that were requested and not yet answered.
    uint32_t pendingClaims = 0;
    TimePoint nextPlanAt = TimePoint::min();
    /// The fastest endpoint.
    RouteCandidate fastest;
    /// Whether the speeds of all endpoints are known well enough to refuse a request as infeasible.
    bool isSpeedKnown = false;
    /// An endpoint of median speed.
    RouteCandidate typical;
    /// Mean goodput weight of an answer (0 if late), and mean seconds for which it held a slot.
    Estimate answerWeight { 0, 0.02 };
    Estimate slotSeconds { 1, 0.02 };
};

/// The runtime state of all configured objects, by name.
class Runtime {
public:
    explicit Runtime(Blackboard& blackboard);

    /// Picks up the blackboard's configuration; returns whether it had changed.
    bool refresh(TimePoint now);
    /// Divides the organisations' limits equally among the daemons of the fleet if these have changed.
    void refreshShares(TimePoint now);
    /// Recomputes which endpoints have free slots.
    void refreshAvailable(TimePoint now);
    void markAvailable(EndpointRuntime& endpoint);
    /// Updates cached speeds, slots and stragglers from the current estimates of the pool's endpoints.
    void refreshSpeeds(PoolRuntime& pool);

    const Tier* findTier(const TierId& name) const;
    const Service* findService(const ServiceId& name) const;
    OrganisationRuntime& organisation(const OrganisationId& name, TimePoint now);
    /// The pool of a service, or nullptr if no endpoint offers it.
    PoolRuntime* findPool(const ServiceId& service);
    EndpointState& stateOf(const EndpointRuntime& endpoint)
    {
        return m_blackboard.endpoints[endpoint.position];
    }
    EndpointRuntime* endpointOf(uint32_t number) { return m_endpointNumbers[number]; }
    EndpointRuntime* findEndpoint(const EndpointId& name);
    std::vector<PoolRuntime*>& pools() { return m_livePools; }
    int lowestRank() const { return m_lowestRank; }
    /// Removes pools that no service uses any more, except for those that open requests reference.
    void prunePools(const std::set<const PoolRuntime*>& referenced);

    /// Length of answers: in tokens if the caller set no limit, else as a fraction of the limit.
    AnswerEstimates answerTokens { 256 };
    AnswerEstimates answerFractions { 0.5 };
    AnswerEstimates plainSeconds { 0.2 };
    PrefixDirectory prefixes;
    RouteWeights weights;

private:
    void refreshEndpoints(TimePoint now);
    void refreshPools();
    void applyConfiguration(TimePoint now);
    void divideLimits(TimePoint now);

    Blackboard& m_blackboard;
    std::shared_ptr<const Configuration> m_configuration;
    std::unordered_map<EndpointId, EndpointRuntime> m_endpoints;
    std::deque<EndpointRuntime*> m_endpointNumbers;
    std::unordered_map<std::string, GenerationEstimate> m_generations;
    std::unordered_map<OrganisationId, OrganisationRuntime> m_organisations;
    std::unordered_map<TierId, const Tier*> m_tiers;
    std::unordered_map<ServiceId, const Service*> m_services;
    /// Keyed by the sorted names of the endpoints.
    std::map<std::vector<std::string>, PoolRuntime> m_pools;
    std::unordered_map<ServiceId, PoolRuntime*> m_servicePools;
    std::vector<PoolRuntime*> m_livePools;
    int m_lowestRank = 0;
    /// The daemons that share the limits, ordered by name.
    std::vector<DaemonId> m_daemons;
};

} // namespace lentilbay
