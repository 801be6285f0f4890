// The life cycle of each request in the daemon that accepted it, its entry daemon, which alone dispatches it.
//
// arrive -> wait -> [claim] -> dispatch -> relay -> one outcome. The controller makes the decisions; the I/O
// layer reports events to it and executes its commands. It holds no request bodies, sockets or clock.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/Commands.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Policy/Limits.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <memory>
#include <optional>
#include <vector>

namespace lentilbay {

struct EntryOptions {
    uint64_t seed = 1;
    /// Maximum number of requests that wait for one pool.
    uint32_t maxWaiting = 10'000;
    /// Maximum seconds of predicted work that wait in a pool's queues, per configured slot.
    double maxWaitingSeconds = 120;
    /// How long before its latest feasible start a request may preempt requests of lower tiers.
    Duration urgencyLead = std::chrono::milliseconds(150);
    /// The latest start for preemption assumes an answer this many standard deviations longer than the mean.
    double urgencySigmas = 0.5;
    /// A refusal as infeasible assumes an answer this many standard deviations shorter than the mean.
    double refusalSigmas = 0.5;
};

/// Counts since the start of the process, for metrics.
struct EntryCounters {
    uint64_t preempted = 0;
    /// Prompt tokens that were computed for requests that were then cancelled.
    uint64_t prefillTokensLost = 0;
    /// Refusals for lack of capacity while requests of a lower tier were served. Must stay 0 where those
    /// requests can be preempted.
    uint64_t shedWhileLowerServed = 0;
    uint64_t retries = 0;

    auto operator<=>(const EntryCounters&) const = default;
};

class EntryController {
public:
    /// The blackboard must outlive the controller.
    EntryController(Blackboard& blackboard, EntryOptions options);
    ~EntryController();

    /// Handles a request that was read, authenticated and validated.
    void arrive(Arrival arrival, TimePoint now);
    void claimed(const RequestId& id, ClaimResult result, TimePoint now);
    /// Must be called right before the first byte is written to the endpoint. Returns true at most once for
    /// each request, which starts its dispatch; if false, nothing may be written.
    bool mayDispatch(const RequestId& id, TimePoint now);
    /// The connection could not be established; nothing was written.
    void connectFailed(const RequestId& id, TimePoint now);
    /// The endpoint produced tokens or, for a plain service, started its answer.
    void tokensArrived(const RequestId& id, uint32_t tokens, TimePoint now);
    void answerEnded(const RequestId& id, AnswerEnd end, TimePoint now);
    /// The number of cached prompt tokens that the endpoint reported at the end of its answer; must be called
    /// before answerEnded().
    void usageReported(const RequestId& id, uint32_t cachedTokens, TimePoint now);
    /// The caller closed its connection.
    void callerLeft(const RequestId& id, TimePoint now);

    /// Cache events of an endpoint: it has stored or evicted the prefix with this hash.
    void prefixStored(const EndpointId& endpoint, uint64_t prefixHash, TimePoint now);
    void prefixEvicted(const EndpointId& endpoint, uint64_t prefixHash);
    /// Some cache events of the endpoint were lost.
    void cacheEventsMissed(const EndpointId& endpoint, TimePoint now);

    /// Sets the share of the organisation's limits that this daemon may use. Until then, the limits are
    /// divided equally among the daemons.
    void setLimitShare(const OrganisationId& organisation, LimitShare share, TimePoint now);

    /// Makes all decisions that are due; must be called at nextWake() and after a change of the grants, the
    /// pool occupancy or the configuration. The event functions make the decisions that follow from their
    /// event.
    void step(TimePoint now);
    /// When step() must be called next even if no event arrives.
    std::optional<TimePoint> nextWake() const;

    /// Returns and removes the commands since the last call, in order.
    std::vector<Command> takeCommands();
    /// Returns and removes the outcomes since the last call. Each request gets exactly one.
    std::vector<RequestOutcome> takeOutcomes();

    /// The number of requests without an outcome.
    size_t openRequests() const;
    const EntryCounters& counters() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
