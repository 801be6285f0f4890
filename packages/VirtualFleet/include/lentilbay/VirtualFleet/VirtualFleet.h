// Simulates a fleet of daemons in virtual time: real control planes over fake links and endpoints.
//
// The simulation replaces the gateway and follows its rules: a dispatch begins only when the control plane
// allows it, each caller gets exactly one outcome, and a dead process answers nobody. Everything that happens
// is recorded, and the invariants are checked against these records.
#pragma once

#include "lentilbay/Control/ControlPlane.h"
#include "lentilbay/Invariants/Records.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/VirtualFleet/VirtualEndpoint.h"
#include "lentilbay/VirtualFleet/VirtualNetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace lentilbay {

struct VirtualLocality {
    std::string region;
    std::string dataCentre;
};

struct VirtualFleetOptions {
    uint64_t seed = 1;
    /// Where each daemon runs; the fleet has one daemon per entry.
    std::vector<VirtualLocality> localities;
    std::shared_ptr<const Configuration> configuration;
    LinkFaults links;
    /// One-way delay between a daemon and an endpoint.
    Duration endpointDelay = std::chrono::milliseconds(1);
};

/// A request as a caller sends it.
struct VirtualRequest {
    OrganisationId organisation;
    TierId tier;
    ServiceId service;
    std::optional<Duration> deadline;
    uint32_t promptTokens = 0;
    uint32_t answerTokens = 1;
    std::string idempotencyKey;
    std::vector<uint64_t> prefixHashes;
};

class VirtualFleet {
public:
    explicit VirtualFleet(VirtualFleetOptions options);
    VirtualFleet(const VirtualFleet&) = delete;
    VirtualFleet& operator=(const VirtualFleet&) = delete;
    ~VirtualFleet();

    TimePoint now() const { return m_now; }
    size_t daemons() const { return m_daemons.size(); }
    size_t endpoints() const { return m_endpoints.size(); }

    /// Advances the clock by the duration and processes all events on the way.
    void run(Duration duration);
    /// Runs until no caller is waiting or the timeout has passed. Returns whether no caller is waiting.
    bool runUntilAnswered(Duration timeout);

    /// Sends a request to a daemon. Does nothing if the daemon is down.
    void call(size_t daemon, const VirtualRequest& request);

    void kill(size_t daemon);
    /// Starts a dead daemon again under the same name.
    void restart(size_t daemon);
    void pause(size_t daemon);
    void resume(size_t daemon);
    /// Starts a planned stop: the daemon exits once all its work is done.
    void drain(size_t daemon);
    void cut(size_t a, size_t b);
    void heal(size_t a, size_t b);
    void setLinkFaults(const LinkFaults& faults) { m_network.setFaults(faults); }

    void killEndpoint(size_t endpoint);
    void restartEndpoint(size_t endpoint);
    void setEndpointLeaving(size_t endpoint);
    void slowEndpoint(size_t endpoint, double factor);

    bool isUp(size_t daemon) const;
    /// The daemon must be up.
    ControlPlane& plane(size_t daemon);
    Blackboard& blackboard(size_t daemon);
    size_t openCallers() const { return m_open.size(); }
    /// The records so far. Callers that are still waiting have no record yet.
    RunRecords records() const;

private:
    struct Daemon;
    /// A caller that is waiting for its answer.
    struct OpenCaller {
        size_t daemon = 0;
        VirtualDispatch dispatch;
        CallerRecord record;
        /// The endpoint's index; nullopt before the dispatch.
        std::optional<size_t> endpoint;
    };
    struct Event {
        TimePoint at;
        uint64_t order = 0;
        std::function<void()> callback;
    };
    struct Later {
        bool operator()(const Event& a, const Event& b) const
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    void schedule(Duration delay, std::function<void()> callback);
    /// Like schedule(), but drops the callback if the daemon's current process has ended by then, and defers
    /// it while the process is paused.
    void scheduleOnDaemon(size_t daemon, Duration delay, std::function<void()> callback);
    void startProcess(size_t daemon);
    void endCaller(const RequestId& id, CallerEnd end, ResultCode code, Executed ran, bool whole);
    void stepDaemon(size_t daemon);
    void executeCommands(size_t daemon);
    void execute(size_t daemon, const ClaimCommand& command);
    void execute(size_t daemon, const DispatchCommand& command);
    void execute(size_t daemon, const CancelCommand& command);
    void execute(size_t daemon, const RefuseCommand& command);
    void dispatch(size_t daemon, const RequestId& id, size_t endpoint);
    void deliverOutputs(const std::vector<VirtualOutput>& outputs);
    void pollLoads(size_t daemon);
    void pollLoad(size_t daemon, const EndpointId& id);
    void exitIfDrained(size_t daemon);
    void sendMessages(size_t daemon);
    void deliverMessages();
    std::optional<TimePoint> nextEvent() const;
    size_t recipientOf(const OutgoingMessage& message) const;
    FaultRecord& recordFault(FaultRecord::Kind kind, const std::string& subject);
    void endFault(FaultRecord::Kind kind, const std::string& subject);

    VirtualFleetOptions m_options;
    Random m_random;
    TimePoint m_now { std::chrono::seconds(1'000) };
    VirtualNetwork m_network;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<VirtualEndpoint>> m_endpoints;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    uint64_t m_lastOrder = 0;
    uint64_t m_lastRequest = 0;
    std::map<RequestId, OpenCaller> m_open;
    /// The request that holds the claim of each idempotency key. Stands in for a table that never fails.
    std::map<std::string, RequestId> m_claims;
    RunRecords m_records;
};

} // namespace lentilbay
