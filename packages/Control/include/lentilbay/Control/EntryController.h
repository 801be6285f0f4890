// The life of each request in the daemon that accepted it, which is its only dispatcher.
//
// arrive -> wait -> [claim] -> dispatch -> relay -> one outcome. The controller decides; input and output
// report events to it and carry out its commands. It holds no body, no socket and no clock.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/Commands.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <memory>
#include <optional>
#include <vector>

namespace lentilbay {

struct EntryOptions {
    uint64_t seed = 1;
    /// Requests that may wait at once in this daemon.
    uint32_t maxWaiting = 10'000;
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
    /// The caller closed its connection.
    void callerLeft(const RequestId& id, TimePoint now);

    /// Decides what can be decided now; call it after events and at nextWake().
    void step(TimePoint now);
    /// When step() has something to do even without an event.
    std::optional<TimePoint> nextWake() const;

    /// The commands since the last call, in order.
    std::vector<Command> takeCommands();
    /// The outcomes since the last call; each request gets exactly one.
    std::vector<RequestOutcome> takeOutcomes();

    /// Requests that wait or run.
    size_t openRequests() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
