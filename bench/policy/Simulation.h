// Runs one scheduler against simulated engines in virtual time.
#pragma once

#include "Workload.h"

#include "lentilbay/Fakes/EngineModel.h"
#include "lentilbay/Invariants/Records.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay::bench {

/// The step of virtual time.
constexpr Duration tick = std::chrono::milliseconds(5);
/// How long the simulation continues after the last deadline while work is still running.
constexpr Duration drainTime = std::chrono::minutes(10);

/// The state of one request; final unless `end` is Open.
struct SimulatedOutcome {
    enum class End : uint8_t { Open, Complete, Refused, Cancelled };

    End end = End::Open;
    TimePoint endedAt {};
    ResultCode code = ResultCode::Ok;
    Executed ran = Executed::No;
    bool wasSent = false;
    size_t engine = 0;
};

/// The engines of a run, and the outcomes of its requests.
class EngineFleet {
public:
    EngineFleet(const Workload& workload, const Scenario& scenario);

    /// Sends a request to an engine. Precondition: it was not sent before.
    void send(size_t request, size_t engine, TimePoint now);
    /// Cancels a request; does nothing if it is not running.
    void cancel(size_t request, ResultCode code, TimePoint now);
    /// Refuses a request. Precondition: it was not sent and has not ended.
    void refuse(size_t request, ResultCode code, TimePoint now);

    EngineLoad reportedLoad(size_t engine, TimePoint now) const
    {
        return m_engines[engine].reportedLoad(now);
    }

    /// Advances the engines to `now`, and calls onTokens(request, n) for produced tokens and
    /// onEnd(request, cachedTokens) for each completed answer.
    template <class OnTokens, class OnEnd> void advance(TimePoint now, OnTokens onTokens, OnEnd onEnd);

    const std::vector<SimulatedOutcome>& outcomes() const { return m_outcomes; }
    const std::vector<EngineModel>& engines() const { return m_engines; }
    size_t running() const { return m_requests.size(); }
    size_t engineCount() const { return m_engines.size(); }

private:
    struct Stream {
        size_t engine = 0;
        uint64_t number = 0;
        auto operator<=>(const Stream&) const = default;
    };
    struct StreamHash {
        size_t operator()(const Stream& it) const { return it.number * 64 + it.engine; }
    };

    void applySlowdowns(TimePoint now);

    const Scenario& m_scenario;
    std::vector<EngineModel> m_engines;
    std::vector<SimulatedOutcome> m_outcomes;
    /// The running requests by stream, and the inverse mapping.
    std::unordered_map<Stream, size_t, StreamHash> m_requests;
    std::unordered_map<size_t, Stream> m_streams;
};

template <class OnTokens, class OnEnd>
void EngineFleet::advance(TimePoint now, OnTokens onTokens, OnEnd onEnd)
{
    applySlowdowns(now);
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
        m_engines[engine].advance(now);
        for (const auto& output : m_engines[engine].takeOutputs()) {
            const auto it = m_requests.find({ engine, output.stream });
            if (it == m_requests.end())
                continue;
            const auto request = it->second;
            if (output.kind == EngineOutput::Kind::Token) {
                onTokens(request, 1U);
                continue;
            }
            m_requests.erase(it);
            m_streams.erase(request);
            if (output.kind != EngineOutput::Kind::End)
                continue;
            m_outcomes[request].end = SimulatedOutcome::End::Complete;
            m_outcomes[request].endedAt = now;
            onEnd(request, m_engines[engine].records()[output.record].prefillCached);
        }
    }
}

/// Decides when and to which engine each request is sent. Models are constructed as
/// `S(workload, scenario, fleet, seed)`.
template <class T>
concept Scheduler = requires(T scheduler, size_t request, uint32_t n, TimePoint now)
{
    scheduler.arrive(request, now);
    scheduler.tokens(request, n, now);
    scheduler.ended(request, n, now);
    scheduler.step(now);
};

/// Runs until all requests have arrived, none is running and the last deadline has passed, or until
/// `drainTime` after the last deadline.
template <Scheduler S> void simulate(S& scheduler, EngineFleet& fleet, const Scenario& scenario)
{
    TimePoint end {};
    for (const auto& it : scenario.requests)
        end = std::max(end, it.deadline);
    size_t next = 0;
    for (TimePoint now {}; now <= end + drainTime; now += tick) {
        fleet.advance(
            now, [&](size_t request, uint32_t n) { scheduler.tokens(request, n, now); },
            [&](size_t request, uint32_t cached) { scheduler.ended(request, cached, now); });
        for (; next < scenario.requests.size() && scenario.requests[next].at <= now; ++next)
            scheduler.arrive(next, now);
        scheduler.step(now);
        if (next == scenario.requests.size() && fleet.running() == 0 && now > end)
            break;
    }
}

/// The metrics of one run.
struct Score {
    /// Requests that arrived and answers in time, indexed by the tier's rank.
    std::vector<double> arrived;
    std::vector<double> inTime;
    /// Requests that arrived and answers in time, keyed by "TIER/SERVICE".
    std::map<std::string, std::pair<double, double>> classes;
    /// The sum of the weights of the answers in time.
    double weightedGoodput = 0;
    /// Prefilled tokens of all dispatched requests.
    double prefill = 0;
    /// Prefilled tokens of requests that did not complete.
    double wastedPrefill = 0;
    /// Engine-seconds of prefill and decoding on model engines.
    double engineSeconds = 0;
    /// Complete answers after the deadline.
    double late = 0;

    double wastedPrefillFraction() const { return prefill == 0 ? 0 : wastedPrefill / prefill; }
};

Score scoreOf(const Workload& workload, const Scenario& scenario, const EngineFleet& fleet);

/// Returns the records of the run on the side of callers and of engines, as the invariant checker takes them.
RunRecords recordsOf(const Workload& workload, const Scenario& scenario, const EngineFleet& fleet);

} // namespace lentilbay::bench
