// Daemons that claim keys at one table, in virtual time, with every fault that the table and hosts have.
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

/// The table: calls arrive and are answered after delays; an answer may be lost after the effect.
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

class ClaimWorld final {
public:
    enum class Told : uint8_t { Nothing, Answer, RefusedNotRun, RefusedUnknown, RefusedOther };
    struct Sent {
        int daemon = 0;
        std::string key;
        uint64_t bodyHash = 0;
        bool dispatched = false;
        bool ended = false;
        Told told = Told::Nothing;
        ResultCode code = ResultCode::Ok;
    };

    ClaimWorld(int daemons, uint64_t seed, ClaimOptions options = {});
    ~ClaimWorld();

    RequestId send(
        int daemon, const std::string& key, uint64_t bodyHash = 1, const std::string& organisation = "o");
    void run(Duration duration);
    /// Ends the process and starts another under the same name.
    void crash(int daemon);
    void pause(int daemon);
    void resume(int daemon);
    /// The deadline of the oldest request that waits for its claim or its dispatch passes.
    void passDeadline(int daemon);

    const Sent& sent(const RequestId& id) const { return m_sent.at(id); }
    ClaimCounters counters(int daemon) const;
    int executionsOf(const std::string& key) const
    {
        const auto it = m_executions.find(key);
        return it == m_executions.end() ? 0 : it->second;
    }
    int mostExecutions() const;
    /// Faults that were seen at once, such as a refusal as not run of a key that has run.
    const std::vector<std::string>& breaches() const { return m_breaches; }

    ClaimTable table;
    bool outage = false;
    /// So many next calls are lost before, or their answers after, the effect.
    int loseRequests = 0;
    int loseAnswers = 0;
    /// Of the way to the table and back, each.
    Duration tableDelay = std::chrono::milliseconds(5);
    bool peersReachable = true;
    /// From Held to the first byte, and from there to the whole answer.
    Duration dispatchDelay = std::chrono::milliseconds(10);
    Duration runTime = std::chrono::milliseconds(100);
    /// Whether requests that hold their claim are dispatched by themselves.
    bool dispatches = true;
    TimePoint now { std::chrono::seconds(1000) };
    WallTimePoint wallNow { std::chrono::seconds(1'000'000) };

private:
    struct Node;
    struct Later {
        TimePoint at;
        uint64_t order;
        std::function<void()> action;
        bool operator>(const Later& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    Node& node(int daemon) { return *m_nodes.at(static_cast<size_t>(daemon)); }
    void after(Duration delay, std::function<void()> action);
    /// As after(), but waits while the daemon is paused and is dropped where its process has ended.
    void afterAt(int daemon, uint64_t incarnation, Duration delay, std::function<void(Node&)> action);
    void start(int daemon, uint64_t incarnation);
    void stepNode(int daemon);
    void callTable(int daemon, const StoreCommand& command);
    void sendPeer(int daemon, const OutgoingMessage& message);
    void decide(int daemon, const ClaimDecision& decision);
    void refused(const ClaimRefused& refusal);
    void dispatch(Node& node, const RequestId& id);
    void end(Node& node, const RequestId& id, ResultCode code, Ran ran);

    ClaimOptions m_options;
    Random m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<RequestId, Sent> m_sent;
    std::map<std::string, int> m_executions;
    std::vector<std::string> m_breaches;
    std::priority_queue<Later, std::vector<Later>, std::greater<>> m_later;
    uint64_t m_order = 0;
    uint64_t m_lastId = 0;
};

} // namespace lentilbay
