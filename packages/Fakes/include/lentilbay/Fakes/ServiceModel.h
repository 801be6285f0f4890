// A fake application endpoint: calls that take a while, counted by key and by request.
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
    /// Calls that run at once; others wait in the order of their arrival.
    uint32_t maxRunning = 16;
};

struct ServiceFaults {
    /// Multiplies the time of each call that begins.
    double slowFactor = 1;
    /// No call ends while this holds.
    bool stalled = false;
    /// Calls run but their answers never arrive: the connection breaks in their place.
    bool dropAnswers = false;
    /// New calls are refused and not run.
    bool refuse = false;
    bool leaving = false;
    Duration loadLag = std::chrono::milliseconds(200);

    auto operator<=>(const ServiceFaults&) const = default;
};

struct ServiceCall {
    RequestId id;
    /// Empty where the caller sent none.
    std::string key;
    /// Names the call's content.
    uint64_t digest = 0;
};

/// One record for each call that reached the endpoint.
struct ServiceRecord {
    RequestId id;
    std::string key;
    uint64_t digest = 0;
    TimePoint arrivedAt {};
    std::optional<TimePoint> endedAt;
    /// Whether it began to run, and so may have had its effect.
    bool executed = false;
    bool refused = false;
    bool answerDropped = false;

    auto operator<=>(const ServiceRecord&) const = default;
};

/// The end of a call: an answer, or a connection to break.
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

    /// Takes a call and returns the position of its record, or nothing where it is refused.
    std::optional<size_t> submit(const ServiceCall& call, TimePoint now);
    /// Ends the calls that end by now.
    void advance(TimePoint now);
    std::optional<TimePoint> nextWake() const;
    std::vector<ServiceOutput> takeOutputs();

    void setFaults(const ServiceFaults& faults, TimePoint now);
    const ServiceFaults& faults() const { return m_faults; }
    std::optional<TimePoint> leavingSince() const { return m_leavingSince; }
    /// The load as it was loadLag ago.
    ServiceLoad reportedLoad(TimePoint now) const;

    const std::vector<ServiceRecord>& records() const { return m_records; }
    /// How often calls with each key began to run.
    const std::map<std::string, uint32_t>& executionsByKey() const { return m_executionsByKey; }
    /// How often calls with each request id began to run.
    const std::map<std::string, uint32_t>& executionsById() const { return m_executionsById; }

private:
    struct Running {
        size_t record = 0;
        TimePoint ends {};
    };

    void beginCalls(TimePoint now);
    void end(size_t record, TimePoint now);
    void noteLoad(TimePoint now);

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
