// The life of each request in the daemon that accepted it, which is its only dispatcher.
//
// arrive -> wait -> [claim] -> dispatch -> relay -> one outcome. The controller decides; input and output
// report events to it and carry out its commands. It holds no body, no socket and no clock.
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
    /// Requests that may wait at once for one set of endpoints.
    uint32_t maxWaiting = 10'000;
    /// Seconds of work that may wait for each slot.
    double maxWaitingSeconds = 120;
    /// How long before its last chance a request may displace work of a lower tier.
    Duration urgencyLead = std::chrono::milliseconds(150);
    /// The last chance supposes an answer longer than the mean by this many standard deviations, ...
    double urgencySigmas = 0.5;
    /// ... and a refusal one that is shorter by this many.
    double refusalSigmas = 0.5;
};

/// What happened since the start, for metrics.
struct EntryCounters {
    uint64_t preempted = 0;
    /// Prompt tokens computed for work that was cancelled.
    uint64_t prefillTokensLost = 0;
    /// Refusals for want of capacity while work of a lower tier was served, which must not happen where that
    /// work may be preempted.
    uint64_t shedWhileLowerServed = 0;
    uint64_t retries = 0;

    auto operator<=>(const EntryCounters&) const = default;
};

class EntryController {
public:
    /// The blackboard must outlive the controller.
    EntryController(Blackboard& blackboard, EntryOptions options);
    ~EntryController();

    /// A request was read, authenticated and found well-formed.
    void arrive(Arrival arrival, TimePoint now);
    void claimed(const RequestId& id, ClaimResult result, TimePoint now);
    /// Asked right before the first byte is written to the endpoint; true begins the dispatch, and is given
    /// at most once for each request. False means that nothing may be written.
    bool mayDispatch(const RequestId& id, TimePoint now);
    /// No connection came about; nothing was written.
    void connectFailed(const RequestId& id, TimePoint now);
    /// The endpoint produced tokens (for a plain service: the answer began).
    void tokensArrived(const RequestId& id, uint32_t tokens, TimePoint now);
    void answerEnded(const RequestId& id, AnswerEnd end, TimePoint now);
    /// What the endpoint said of the prompt at the end of its answer; comes before answerEnded().
    void usageReported(const RequestId& id, uint32_t cachedTokens, TimePoint now);
    /// The caller closed its connection.
    void callerLeft(const RequestId& id, TimePoint now);

    /// A cache event of an endpoint: it holds the prefix whose hash this is, or no longer.
    void prefixStored(const EndpointId& endpoint, uint64_t prefixHash, TimePoint now);
    void prefixEvicted(const EndpointId& endpoint, uint64_t prefixHash);
    /// Some cache events of the endpoint did not arrive.
    void cacheEventsMissed(const EndpointId& endpoint, TimePoint now);

    /// The part of the organisation's limits that this daemon may use; the whole until it is said.
    void setLimitShare(const OrganisationId& organisation, LimitShare share, TimePoint now);

    /// Decides what can be decided now; call it after grants, verdicts and configurations changed and at
    /// nextWake(). The other calls decide at once what follows from them.
    void step(TimePoint now);
    /// When step() has something to do even without an event.
    std::optional<TimePoint> nextWake() const;

    /// The commands since the last call, in order.
    std::vector<Command> takeCommands();
    /// The outcomes since the last call; each request gets exactly one.
    std::vector<RequestOutcome> takeOutcomes();

    /// Requests that wait or run.
    size_t openRequests() const;
    const EntryCounters& counters() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
