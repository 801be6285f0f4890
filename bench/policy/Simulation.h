// Runs one scheduler over fake engines in virtual time.
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

/// The virtual time between two looks at engines and scheduler.
constexpr Duration tick = std::chrono::milliseconds(5);
/// How long after the last deadline work may still run.
constexpr Duration drainTime = std::chrono::minutes(10);

/// How one request ended.
struct Fate {
    enum class End : uint8_t { Open, Whole, Refused, Cut };

    End end = End::Open;
    TimePoint endedAt {};
    ResultCode code = ResultCode::Ok;
    Ran ran = Ran::No;
    bool wasSent = false;
    size_t engine = 0;
};

/// The engines of a run, and what became of the requests.
class EngineFleet {
public:
    EngineFleet(const Workload& workload, const Scenario& scenario);

    /// Sends a request to an engine; each at most once.
    void send(size_t request, size_t engine, TimePoint now);
    /// Stops a request that runs.
    void cancel(size_t request, ResultCode code, TimePoint now);
    /// A request that was not sent is refused.
    void refuse(size_t request, ResultCode code, TimePoint now);

    EngineLoad reportedLoad(size_t engine, TimePoint now) const
    {
        return m_engines[engine].reportedLoad(now);
    }

    /// Advances the engines and calls onTokens(request, n) and onEnd(request, cachedTokens) for what came
    /// out.
    template <class OnTokens, class OnEnd> void advance(TimePoint now, OnTokens onTokens, OnEnd onEnd);

    const std::vector<Fate>& fates() const { return m_fates; }
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

    void straggle(TimePoint now);

    const Scenario& m_scenario;
    std::vector<EngineModel> m_engines;
    std::vector<Fate> m_fates;
    /// The requests that run, by their streams.
    std::unordered_map<Stream, size_t, StreamHash> m_requests;
    std::unordered_map<size_t, Stream> m_streams;
};

template <class OnTokens, class OnEnd>
void EngineFleet::advance(TimePoint now, OnTokens onTokens, OnEnd onEnd)
{
    straggle(now);
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
            m_fates[request].end = Fate::End::Whole;
            m_fates[request].endedAt = now;
            onEnd(request, m_engines[engine].records()[output.record].prefillCached);
        }
    }
}

/// A scheduler decides where requests go; `Scheduler(workload, scenario, fleet, seed)` makes one.
template <class T>
concept Scheduler = requires(T scheduler, size_t request, uint32_t n, TimePoint now)
{
    scheduler.arrive(request, now);
    scheduler.tokens(request, n, now);
    scheduler.ended(request, n, now);
    scheduler.step(now);
};

/// Runs until every request has ended.
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

/// What a run gave.
struct Score {
    /// By rank: requests that arrived and answers in time.
    std::vector<double> arrived;
    std::vector<double> inTime;
    /// By tier and service: requests that arrived, and answers in time.
    std::map<std::string, std::pair<double, double>> classes;
    double weighted = 0;
    double prefill = 0;
    /// Prefill of work that was cut off.
    double wastedPrefill = 0;
    /// Engine-seconds of work that the model engines did.
    double engineSeconds = 0;
    /// Answers that came whole but late.
    double late = 0;

    double wastedPart() const { return prefill == 0 ? 0 : wastedPrefill / prefill; }
};

Score scoreOf(const Workload& workload, const Scenario& scenario, const EngineFleet& fleet);

/// The run as callers and engines saw it, for the invariant checker.
RunRecords recordsOf(const Workload& workload, const Scenario& scenario, const EngineFleet& fleet);

} // namespace lentilbay::bench
