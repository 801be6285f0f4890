// What the entry controller keeps beside the blackboard: learned estimates, queues and budgets, for each
// endpoint, organisation and set of endpoints; and how they follow the configuration.
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
    /// Stands for it in the prefix directory; never given to another.
    uint32_t number = 0;
    /// Its position in Blackboard::endpoints, or noPosition while the configuration does not hold it.
    size_t position = noPosition;
    Distance distance = Distance::SameDataCentre;
    GenerationEstimate* generation = nullptr;
    EndpointEstimate estimate;
    /// Kept for a moment, because many decisions read them: see Runtime::refreshSpeeds().
    EndpointSpeed speed;
    uint32_t slots = 1;
    bool isStraggler = false;
    /// When it is expected to have read all prompts that were sent to it.
    TimePoint prefillEndsAt {};
    /// When the last of its requests got its first token.
    TimePoint lastFirstTokenAt {};
    CircuitBreaker breaker;
    std::optional<RetryBudget> retries;
    /// The pools that it belongs to.
    std::vector<PoolRuntime*> pools;
    /// The requests that hold a slot here.
    std::vector<OpenRequest*> held;
};

struct OrganisationRuntime {
    /// Stands for it in the queues.
    uint32_t number = 0;
    double weight = 1;
    OrganisationLimits limits;
    LimitShare share;
    /// Whether the share was given from outside, and not worked out from the members.
    bool isShareGiven = false;
    std::optional<OrganisationUse> use;
    std::optional<RetryBudget> retries;
};

/// A set of endpoints and the requests for it. Services with equal sets share one, so that their requests are
/// ordered among each other.
struct PoolRuntime {
    /// Ready to be dispatched.
    RequestQueue ready;
    /// Must be claimed before they are ready.
    RequestQueue unclaimed;
    std::vector<EndpointRuntime*> endpoints;
    /// Endpoints that may have a free slot; each once, see isOpen. One that has none is dropped when met.
    std::vector<EndpointRuntime*> open;
    /// By position of the endpoint in the blackboard.
    std::vector<bool> isOpen;
    /// Requests that hold a slot on the endpoints and are not being cancelled, by rank.
    std::array<uint32_t, maxTiers> served {};
    uint32_t configuredSlots = 0;
    uint32_t grantedSlots = 0;
    /// Claims asked for and not yet used for a dispatch.
    uint32_t claims = 0;
    TimePoint planAgainAt = TimePoint::min();
    /// The fastest of its endpoints, and one in the middle.
    RouteCandidate fastest;
    /// Whether enough was observed of every endpoint's speed to call a deadline hopeless.
    bool isSpeedKnown = false;
    RouteCandidate typical;
    /// The weight of an answer in time, and the seconds that it held a slot.
    Estimate answerWeight { 0, 0.02 };
    Estimate slotSeconds { 1, 0.02 };
};

/// Everything by its name, in step with the configuration in force.
class Runtime {
public:
    explicit Runtime(Blackboard& blackboard);

    /// Follows the blackboard's configuration; true where it had changed.
    bool refresh(TimePoint now);
    /// Divides the organisations' limits equally among the daemons of the fleet, where these have changed.
    void refreshShares(TimePoint now);
    /// Looks which endpoints have free slots.
    void refreshOpen(TimePoint now);
    void markOpen(EndpointRuntime& endpoint);
    /// Takes over what was learned of the pool's endpoints since the last call.
    void refreshSpeeds(PoolRuntime& pool);

    const Tier* findTier(const TierId& name) const;
    const Service* findService(const ServiceId& name) const;
    OrganisationRuntime& organisation(const OrganisationId& name, TimePoint now);
    /// The pool of a service, or nullptr where nothing offers it.
    PoolRuntime* findPool(const ServiceId& service);
    EndpointState& stateOf(const EndpointRuntime& endpoint)
    {
        return m_blackboard.endpoints[endpoint.position];
    }
    EndpointRuntime* endpointOf(uint32_t number) { return m_endpointNumbers[number]; }
    EndpointRuntime* findEndpoint(const EndpointId& name);
    std::vector<PoolRuntime*>& pools() { return m_livePools; }
    int lowestRank() const { return m_lowestRank; }
    /// Forgets sets of endpoints that no service has any more, but for those that are still referred to.
    void prunePools(const std::set<const PoolRuntime*>& referred);

    /// Tokens of answers whose caller set no bound, and the part of the bound where one was set.
    AnswerEstimates answerTokens { 256 };
    AnswerEstimates answerParts { 0.5 };
    AnswerEstimates plainSeconds { 0.2 };
    PrefixDirectory prefixes;
    RouteWeights weights;

private:
    void refreshEndpoints(TimePoint now);
    void refreshPools();
    void refreshNames(TimePoint now);
    void divideLimits(TimePoint now);

    Blackboard& m_blackboard;
    std::shared_ptr<const Configuration> m_configuration;
    std::unordered_map<EndpointId, EndpointRuntime> m_endpoints;
    std::deque<EndpointRuntime*> m_endpointNumbers;
    std::unordered_map<std::string, GenerationEstimate> m_generations;
    std::unordered_map<OrganisationId, OrganisationRuntime> m_organisations;
    std::unordered_map<TierId, const Tier*> m_tiers;
    std::unordered_map<ServiceId, const Service*> m_services;
    /// By the sorted names of their endpoints.
    std::map<std::vector<std::string>, PoolRuntime> m_pools;
    std::unordered_map<ServiceId, PoolRuntime*> m_servicePools;
    std::vector<PoolRuntime*> m_livePools;
    int m_lowestRank = 0;
    /// The daemons among whom limits are divided, in the order of their names.
    std::vector<DaemonId> m_daemons;
};

} // namespace lentilbay
