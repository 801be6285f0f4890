// A fake application endpoint: calls of a fixed duration, whose executions are counted by key and by request.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay::fakes {

struct ServiceOptions {
    Duration callTime = std::chrono::milliseconds(5);
    /// The maximum number of running calls; further ones queue in order of arrival.
    uint32_t maxRunning = 16;
};

struct ServiceFaults {
    /// Multiplies the duration of each call that starts.
    double slowFactor = 1;
    /// While true, no call makes progress.
    bool stalled = false;
    /// Calls are executed, but the connection breaks in place of the answer.
    bool dropAnswers = false;
    /// New calls are refused without executing them.
    bool refuse = false;
    bool leaving = false;
    /// The age of load reports.
    Duration loadLag = std::chrono::milliseconds(200);

    auto operator<=>(const ServiceFaults&) const = default;
};

struct ServiceCall {
    RequestId id;
    /// The idempotency key; empty if the caller sent none.
    std::string key;
    /// Identifies the call's content.
    uint64_t digest = 0;
};

/// One record for each call that reached the endpoint.
struct ServiceRecord {
    RequestId id;
    std::string key;
    uint64_t digest = 0;
    TimePoint arrivedAt {};
    std::optional<TimePoint> endedAt;
    /// Whether execution started, so that the call may have had its effect.
    bool executed = false;
    bool refused = false;
    bool answerDropped = false;

    auto operator<=>(const ServiceRecord&) const = default;
};

/// The end of a call: an answer or a broken connection.
struct ServiceOutput {
    /// The position of the call's record in ServiceModel::records().
    size_t record = 0;
    bool broken = false;
};

struct ServiceLoad {
    uint32_t running = 0;
    uint32_t waiting = 0;
    TimePoint at {};

    auto operator<=>(const ServiceLoad&) const = default;
};

class ServiceModel {
public:
    explicit ServiceModel(ServiceOptions options = {})
        : m_options(options)
    {
    }

    /// Queues a call and returns the position of its record, or nullopt if it is refused.
    std::optional<size_t> submit(const ServiceCall& call, TimePoint now);
    /// Completes the calls that end by now.
    void advance(TimePoint now);
    std::optional<TimePoint> nextWake() const;
    std::vector<ServiceOutput> takeOutputs();

    void setFaults(const ServiceFaults& faults, TimePoint now);
    const ServiceFaults& faults() const { return m_faults; }
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }
    /// The load as it was loadLag ago.
    ServiceLoad reportedLoad(TimePoint now) const;

    const std::vector<ServiceRecord>& records() const { return m_records; }
    /// The number of executions started for each idempotency key.
    const std::map<std::string, uint32_t>& executionsByKey() const { return m_executionsByKey; }
    /// The number of executions started for each request id.
    const std::map<std::string, uint32_t>& executionsById() const { return m_executionsById; }

private:
    struct Running {
        size_t record = 0;
        TimePoint ends {};
    };

    void beginCalls(TimePoint now);
    void endCall(size_t record, TimePoint now);
    void recordLoad(TimePoint now);

    ServiceOptions m_options;
    ServiceFaults m_faults;
    std::optional<TimePoint> m_leavingSince;
    std::optional<TimePoint> m_stalledSince;
    std::vector<ServiceRecord> m_records;
    std::deque<size_t> m_waiting;
    std::vector<Running> m_running;
    std::vector<ServiceOutput> m_outputs;
    std::deque<ServiceLoad> m_loads;
    std::map<std::string, uint32_t> m_executionsByKey;
    std::map<std::string, uint32_t> m_executionsById;
};

} // namespace lentilbay::fakes
