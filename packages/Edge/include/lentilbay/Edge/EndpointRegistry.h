// The endpoints that one daemon knows, and the choice among them.
//
// Load is the number of this daemon's own requests, which is exact, plus the latest loads from the other
// daemons' heartbeats. The engines' own reports are older than both and are not read.
#pragma once

#include "lentilbay/Edge/EndpointSignalTable.h"
#include "lentilbay/Edge/EndpointState.h"
#include "lentilbay/Edge/ServiceLatency.h"
#include "lentilbay/Edge/VersionRule.h"
#include "lentilbay/Model/Topology.h"
#include "lentilbay/Policy/EndpointFailureReports.h"
#include "lentilbay/Policy/PromptCacheEstimate.h"
#include "lentilbay/Policy/SlotAssignment.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilbay::edge {

/// Free slots required beyond the one to be taken, at endpoints whose load reports arrive with delay.
struct Headroom {
    double sameRegion = 0;
    double otherRegion = 0;
};

/// Requirements for choosing an endpoint.
struct ChoiceQuery {
    ServiceId service;
    Work work;
    /// The latency objective: the first event should arrive by this time.
    TimePoint objectiveAt {};
    /// The complete answer must have arrived by this time.
    TimePoint expiresAt = TimePoint::max();
    /// The longest acceptable pause between events, for this stream and those it shares the endpoint with;
    /// zero: no limit.
    Duration gapObjective {};
    double tokensPerEvent = 1;
    /// Whether the request may keep waiting for an endpoint that meets its objectives instead of taking any.
    bool mayWait = false;
    /// Whether to leave fast endpoints to other requests if a slower one meets the objectives.
    bool avoidsFastEndpoints = false;
    /// Whether to leave to other requests the slots that are not assigned to this daemon, if slots are
    /// divided.
    bool yieldsLentSlots = false;
    /// The software versions that may answer the request.
    VersionRule versions = {};
    /// The prefixes of the prompt that endpoints may have cached; nullptr if none are known.
    std::shared_ptr<const std::vector<PromptPrefix>> prompt = nullptr;
    /// Endpoints that the request was already sent to.
    std::vector<EndpointId> tried;
};

/// The number of requests that another daemon has in flight at an endpoint.
struct PeerLoad {
    /// hashOf() of the endpoint's id.
    uint64_t endpoint = 0;
    uint16_t inFlight = 0;

    auto operator<=>(const PeerLoad&) const = default;
};

class EndpointRegistry {
public:
    EndpointRegistry(Topology topology, uint64_t seed);

    /// Adds an endpoint or updates its entry. Returns whether anything changed.
    bool list(const RoutedEndpoint& endpoint);
    /// Whether an entry lists as ready an incarnation of the endpoint that is known to be leaving, or an
    /// endpoint that is not listed or has been started again since.
    bool wouldReturn(const RoutedEndpoint& endpoint) const;
    /// Removes an endpoint. Returns whether it was listed. Sends in progress may still end.
    bool unlist(const EndpointId& id);
    /// Returns the state, also of an endpoint that was removed while sends to it are in progress; nullptr for
    /// others.
    std::shared_ptr<EndpointState> find(const EndpointId& id) const;
    const std::map<EndpointId, std::shared_ptr<EndpointState>>& all() const { return m_endpoints; }
    /// Returns nullptr if no endpoint with this hash of its id is listed.
    std::shared_ptr<EndpointState> findByHash(uint64_t hash) const;
    /// Changes whenever an entry does.
    uint64_t revision() const { return m_revision; }
    /// Ends suspensions because of failures since then, which did not come from the endpoints.
    void forgetFailuresSince(TimePoint since);

    /// Endpoints that fail, as all daemons report them.
    EndpointFailureReports& failureReports() { return m_failureReports; }
    EndpointUse useOf(const EndpointState& endpoint, TimePoint now) const
    {
        return m_failureReports.use(endpoint.hash(), endpoint.entry().startedAtMilliseconds, now);
    }

    /// Replaces the loads that a daemon reported before.
    void updatePeerLoads(const std::string& daemon, const std::vector<PeerLoad>& loads, TimePoint now);
    /// Drops loads that were reported too long ago.
    void dropStaleLoads(TimePoint now);

    /// Records what an endpoint states in the head of its answer. Returns whether that is new.
    bool recordSignals(const EndpointState& endpoint, const SignalAnswer& answer, TimePoint now);
    /// Applies what a peer knew at `at` or later, and returns the endpoints for which that is new.
    std::vector<EndpointId> applySignalReports(
        const std::vector<SignalReport>& reports, TimePoint at, TimePoint now);
    std::vector<SignalReport> signalReports(TimePoint now) const { return m_signals.reports(now); }
    /// Tells the table of statements which daemons are alive; to be called regularly while it has entries.
    void updateSignals(const std::string& self, std::vector<SendingDaemon> daemons, TimePoint now);
    /// Whether rejections make endpoints of the service fail, so that their slots are divided among the
    /// daemons.
    bool isBrittle(const ServiceId& service) const { return m_brittleServices.contains(service); }
    /// Whether this daemon may send to endpoints of the service, as far as their slots are divided.
    bool hasSlotShare(const ServiceId& service) const;
    /// Whether the endpoint has recently rejected requests, which make it fail.
    bool isOverloaded(const EndpointState& endpoint, TimePoint now) const
    {
        return !m_signals.empty() && m_signals.isOverloaded(endpoint.hash(), now);
    }
    bool hasSignals() const { return !m_signals.empty(); }
    EndpointSignals signalsOf(const EndpointState& endpoint) const
    {
        return m_signals.signalsOf(endpoint.hash());
    }

    /// Divides the slots among the daemons of a large fleet; the headroom then does not apply.
    void assignSlots(const std::string& self, std::vector<SlotAssignment::Daemon> daemons)
    {
        m_assignment.setDaemons(m_topology, self, std::move(daemons));
        updateDividedServices();
    }
    bool areSlotsDivided() const { return m_assignment.isActive(); }
    /// Whether the slots of this service are divided: there must be several for each daemon.
    bool areSlotsDivided(const ServiceId& service) const { return m_dividedServices.contains(service); }
    /// Records that an endpoint is used again that several daemons could not reach.
    void recordReadmitted(const EndpointId& id, TimePoint now);
    /// The slots that are assigned to this daemon; 0 if they are not divided.
    size_t assignedSlots() const;
    void setHeadroom(Headroom headroom) { m_headroom = headroom; }
    /// Returns the endpoint to send the work to now, or nullptr if none has room.
    std::shared_ptr<EndpointState> choose(ChoiceQuery query, TimePoint now)
    {
        return choose(query, query.versions, now);
    }
    /// Whether choose() can return an endpoint for any request.
    bool hasRoom(const ServiceId& service, TimePoint now) const;
    PromptCacheEstimate& promptCache() { return m_promptCache; }
    /// Records a send for which EndpointState::recordSend() has been called, to an endpoint whose cache has
    /// room for `memory` tokens.
    void recordPromptSend(const EndpointState& endpoint, const Work& work, double memory);
    /// The tokens of the prompt that the endpoint is expected to have in its cache.
    double cachedTokens(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now) const;
    /// Records that an endpoint wants no requests from this daemon until then. Afterwards it gets one at a
    /// time until one succeeds.
    void pause(EndpointState& endpoint, const EndpointIncarnation& incarnation, TimePoint until);
    /// Whether the endpoint is listed, not leaving and not paused. To be asked again right before a send, as
    /// choose() may have returned the endpoint some time before.
    bool acceptsRequests(const EndpointState& endpoint, TimePoint now) const;
    /// Whether the service has an endpoint that is not leaving, not in `tried` and allowed by the rule.
    bool hasCandidate(const ServiceId& service, const std::vector<EndpointId>& tried = {},
        const VersionRule& versions = {}) const;
    /// Sets the software versions that serve most requests of each service. Occupancy and latency are those
    /// of their endpoints; services that are not named have no such rule.
    void setUsualVersions(std::map<ServiceId, VersionRule> versions)
    {
        m_usualVersions = std::move(versions);
    }
    using Endpoints = std::vector<std::shared_ptr<EndpointState>>;
    const Endpoints& endpointsOf(const ServiceId& service) const;
    /// Whether the endpoint is leaving, according to its entry or to its own answers.
    bool isLeaving(const EndpointState& endpoint) const
    {
        return endpoint.entry().isDraining || (!m_signals.empty() && m_signals.isLeaving(endpoint.hash()));
    }
    /// The slots of the service's endpoints that accept work, and the requests in flight there.
    struct Occupancy {
        double slots = 0;
        double load = 0;
    };
    Occupancy occupancy(const ServiceId& service, TimePoint now) const;
    ServiceLatency latencyOf(const ServiceId& service, TimePoint now) const;

private:
    /// Sets the cached tokens of the query's work to those of each endpoint in turn.
    std::shared_ptr<EndpointState> choose(ChoiceQuery& query, const VersionRule& versions, TimePoint now);
    /// Whether an endpoint with a free slot would complete the answer before the request expires.
    static bool finishesInTime(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now);
    /// Whether the first event would arrive in time without delaying the streams running on the endpoint
    /// beyond their gap objective, if `pendingTokens` prompt tokens are processed first.
    static bool meetsLatencyObjectives(
        const EndpointState& endpoint, const ChoiceQuery& query, double pendingTokens, TimePoint now);
    double costOf(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now);
    /// This daemon's share of the endpoint's slots; nothing if those of its service are not divided.
    const std::optional<SlotAssignment::Share>& shareOf(EndpointState& endpoint) const;
    /// Whether this daemon has fewer requests in flight there than slots, if they are divided.
    bool hasAssignedSlot(EndpointState& endpoint) const;
    bool hasRoom(EndpointState& endpoint, bool isLimitedToOne, TimePoint now) const;
    /// Whether failures and stalls exclude no endpoint, because they would exclude all of them although
    /// requests succeed: some requests fail at any endpoint, and the others need one.
    struct Excuses {
        bool failures = false;
        bool stalls = false;
        /// Whether all endpoints are excluded, so that the other daemons' reports exclude none.
        bool reports = false;
    };
    bool isExcluded(const EndpointState& endpoint, const Excuses& excuses, TimePoint now) const;
    Excuses excusesFor(const ServiceId& service, const VersionRule& versions, TimePoint now) const;
    const VersionRule& usualVersions(const ServiceId& service) const;
    /// Whether what the endpoint states about itself allows a send now.
    bool isAllowedBySignals(const EndpointState& endpoint, TimePoint now) const;
    /// Divides the slots of the endpoints that rejections make fail.
    void divideSlots(TimePoint now);
    void addToIndexes(const std::shared_ptr<EndpointState>& endpoint);
    /// Must be called before the endpoint's entry changes.
    void removeFromIndexes(const EndpointState& endpoint);
    void updateDividedServices();

    struct PeerLoads {
        TimePoint at {};
        /// Refers to the states, not the ids: an endpoint that is removed and added again starts without
        /// these.
        std::vector<std::pair<std::shared_ptr<EndpointState>, uint32_t>> loads;
    };
    static void subtractLoads(PeerLoads& peer);

    Topology m_topology;
    Headroom m_headroom;
    SlotAssignment m_assignment;
    Random m_random;
    std::map<EndpointId, std::shared_ptr<EndpointState>> m_endpoints;
    /// Indexes by service, in the order of the ids, and by hashOf() of the id.
    std::map<ServiceId, Endpoints> m_byService;
    std::unordered_map<uint64_t, std::shared_ptr<EndpointState>> m_byHash;
    uint64_t m_revision = 0;
    std::map<ServiceId, size_t> m_slotsByService;
    std::set<ServiceId> m_dividedServices;
    /// Increases with each change of m_dividedServices.
    uint64_t m_divisionRevision = 1;
    std::map<std::string, PeerLoads> m_peers;
    EndpointSignalTable m_signals;
    EndpointFailureReports m_failureReports;
    PromptCacheEstimate m_promptCache;
    std::set<ServiceId> m_brittleServices;
    std::map<ServiceId, VersionRule> m_usualVersions;
};

} // namespace lentilbay::edge
