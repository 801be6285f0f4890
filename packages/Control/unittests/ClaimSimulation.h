// Simulates daemons that claim keys at one table in virtual time, with faults of the table, the daemons and
// the network between them.
#pragma once

#include "lentilbay/Control/ClaimController.h"
#include "lentilbay/Support/Random.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace lentilbay {

/// The table that all daemons share. ClaimSimulation adds delays and loses requests and replies.
struct ClaimTable {
    struct Row {
        std::string value;
        uint64_t version = 0;
    };

    StoreReply apply(const StoreCommand& command);
    std::optional<TableRow> read(const std::string& key) const;

    std::map<std::string, Row> rows;
    std::map<std::string, uint64_t> lastVersions;
    uint64_t rowsWritten = 0;
};

class ClaimSimulation final {
public:
    enum class Outcome : uint8_t { None, Answered, RefusedNotRun, RefusedUnknown, RefusedOther };
    struct Sent {
        int daemon = 0;
        std::string key;
        uint64_t bodyHash = 0;
        bool dispatched = false;
        bool ended = false;
        Outcome outcome = Outcome::None;
        ResultCode code = ResultCode::Ok;
    };

    ClaimSimulation(int daemons, uint64_t seed, ClaimOptions options = {});
    ~ClaimSimulation();

    RequestId send(
        int daemon, const std::string& key, uint64_t bodyHash = 1, const std::string& organisation = "o");
    void run(Duration duration);
    /// Replaces the process by a new one with the same name and a higher incarnation.
    void crash(int daemon);
    void pause(int daemon);
    void resume(int daemon);
    /// Expires the deadline of the oldest request that waits for its claim or dispatch.
    void expireDeadline(int daemon);

    const Sent& sent(const RequestId& id) const { return m_sent.at(id); }
    ClaimCounters counters(int daemon) const;
    int executionsOf(const std::string& key) const
    {
        const auto it = m_executions.find(key);
        return it == m_executions.end() ? 0 : it->second;
    }
    int maxExecutions() const;
    /// Violations found while running, such as a refusal as not run although the key has run.
    const std::vector<std::string>& violations() const { return m_violations; }

    ClaimTable table;
    bool outage = false;
    /// The number of next calls that are lost before they take effect, or whose replies are lost.
    int loseRequests = 0;
    int loseReplies = 0;
    /// One-way delay to and from the table.
    Duration tableDelay = std::chrono::milliseconds(5);
    bool peersReachable = true;
    /// From ClaimHeld to the dispatch, and from there to the complete answer.
    Duration dispatchDelay = std::chrono::milliseconds(10);
    Duration runTime = std::chrono::milliseconds(100);
    /// Whether requests are dispatched automatically once they hold their claim.
    bool autoDispatch = true;
    TimePoint now { std::chrono::seconds(1000) };
    WallTimePoint wallNow { std::chrono::seconds(1'000'000) };

private:
    struct Node;
    struct ScheduledEvent {
        TimePoint at;
        uint64_t order;
        std::function<void()> action;
        bool operator>(const ScheduledEvent& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    Node& node(int daemon) { return *m_nodes.at(static_cast<size_t>(daemon)); }
    void schedule(Duration delay, std::function<void()> action);
    /// Like schedule(), but waits while the daemon is paused and is dropped if its process has ended.
    void scheduleAt(int daemon, uint64_t incarnation, Duration delay, std::function<void(Node&)> action);
    void start(int daemon, uint64_t incarnation);
    void stepNode(int daemon);
    void submitToTable(int daemon, const StoreCommand& command);
    void sendPeer(int daemon, const OutgoingMessage& message);
    void applyDecision(int daemon, const ClaimDecision& decision);
    void applyRefusal(const ClaimRefused& refusal);
    void dispatch(Node& node, const RequestId& id);
    void end(Node& node, const RequestId& id, ResultCode code, Executed ran);

    ClaimOptions m_options;
    Random m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<RequestId, Sent> m_sent;
    std::map<std::string, int> m_executions;
    std::vector<std::string> m_violations;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> m_events;
    uint64_t m_order = 0;
    uint64_t m_lastId = 0;
};

} // namespace lentilbay
