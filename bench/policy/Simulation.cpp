// The simulated engines of a run, and the metrics and records derived from it.
#include "Simulation.h"

#include <algorithm>
#include <cassert>

namespace lentilbay::bench {

EngineFleet::EngineFleet(const Workload& workload, const Scenario& scenario)
    : m_scenario(scenario)
    , m_outcomes(scenario.requests.size())
{
    for (const auto& it : workload.engines)
        m_engines.emplace_back(it);
}

void EngineFleet::applySlowdowns(TimePoint now)
{
    for (size_t engine = 0; engine < m_engines.size(); ++engine) {
        double factor = 1;
        for (const auto& it : m_scenario.slowdowns) {
            if (it.engine == engine && it.from <= now && now < it.until)
                factor = std::max(factor, it.factor);
        }
        if (m_engines[engine].faults().slowFactor == factor)
            continue;
        auto faults = m_engines[engine].faults();
        faults.slowFactor = factor;
        m_engines[engine].setFaults(faults, now);
    }
}

void EngineFleet::send(size_t request, size_t engine, TimePoint now)
{
    const auto& it = m_scenario.requests[request];
    auto& outcome = m_outcomes[request];
    assert(!outcome.wasSent && "a request is sent at most once");
    outcome.wasSent = true;
    outcome.engine = engine;
    const auto stream = m_engines[engine].submit({ .id = it.arrival.id,
                                                     .model = it.arrival.service.text(),
                                                     .promptTokens = it.arrival.promptTokens,
                                                     .prefixHashes = it.arrival.prefixHashes,
                                                     .answerTokens = it.answerTokens },
        now);
    assert(stream && "the engines of this benchmark accept every request");
    m_requests[{ engine, *stream }] = request;
    m_streams[request] = { engine, *stream };
}

void EngineFleet::cancel(size_t request, ResultCode code, TimePoint now)
{
    auto it = m_streams.find(request);
    if (it == m_streams.end())
        return;
    auto& outcome = m_outcomes[request];
    m_engines[outcome.engine].cancel(m_scenario.requests[request].arrival.id, now);
    m_requests.erase(it->second);
    m_streams.erase(it);
    outcome.end = SimulatedOutcome::End::Cancelled;
    outcome.endedAt = now;
    outcome.code = code;
    outcome.ran = Executed::Partly;
}

void EngineFleet::refuse(size_t request, ResultCode code, TimePoint now)
{
    auto& outcome = m_outcomes[request];
    assert(outcome.end == SimulatedOutcome::End::Open && !outcome.wasSent
        && "only a request that was not sent is refused");
    outcome.end = SimulatedOutcome::End::Refused;
    outcome.endedAt = now;
    outcome.code = code;
}

Score scoreOf(const Workload& workload, const Scenario& scenario, const EngineFleet& fleet)
{
    Score out;
    out.arrived.resize(workload.configuration.tiers.size());
    out.inTime.resize(workload.configuration.tiers.size());
    for (size_t i = 0; i < scenario.requests.size(); ++i) {
        const auto& request = scenario.requests[i];
        const auto& outcome = fleet.outcomes()[i];
        out.arrived[request.rank] += 1;
        auto& kind = out.classes[request.arrival.tier.text() + "/" + request.arrival.service.text()];
        kind.first += 1;
        const bool isComplete = outcome.end == SimulatedOutcome::End::Complete;
        if (isComplete && outcome.endedAt <= request.deadline) {
            out.inTime[request.rank] += 1;
            kind.second += 1;
            out.weightedGoodput += request.weight;
        } else if (isComplete) {
            out.late += 1;
        }
    }
    for (const auto& engine : fleet.engines()) {
        for (const auto& record : engine.records()) {
            out.prefill += record.prefillComputed;
            const auto& options = engine.options();
            if (record.promptTokens > 0) {
                out.engineSeconds += record.prefillComputed / options.prefillTokensPerSecond
                    + record.tokensProduced * toSeconds(options.decodeStep) / options.knee;
            }
            if (record.end != EngineEnd::Whole)
                out.wastedPrefill += record.prefillComputed;
        }
    }
    return out;
}

RunRecords recordsOf(const Workload& workload, const Scenario& scenario, const EngineFleet& fleet)
{
    RunRecords out;
    for (size_t i = 0; i < scenario.requests.size(); ++i) {
        const auto& request = scenario.requests[i];
        const auto& outcome = fleet.outcomes()[i];
        const bool isComplete = outcome.end == SimulatedOutcome::End::Complete;
        out.callers.push_back({ .id = request.arrival.id,
            .contentDigest = i + 1,
            .daemon = DaemonId("bench"),
            .organisation = request.arrival.organisation,
            .tier = request.arrival.tier,
            .rank = request.rank,
            .service = request.arrival.service,
            .nonIdempotent = request.isPlain,
            .idempotencyKey = request.arrival.idempotencyKey,
            .promptTokens = request.arrival.promptTokens,
            .sharedPrefixTokens = request.sharedTokens,
            .answerTokens = request.answerTokens,
            .deadline = request.arrival.deadline,
            .sentAt = request.at,
            .endedAt = outcome.endedAt,
            .end = isComplete ? CallerEnd::Answered : CallerEnd::Refused,
            .code = outcome.code,
            .ran = outcome.ran,
            .whole = isComplete,
            .own = isComplete });
    }
    std::unordered_map<RequestId, size_t> positions;
    for (size_t i = 0; i < scenario.requests.size(); ++i)
        positions[scenario.requests[i].arrival.id] = i;
    for (size_t engine = 0; engine < fleet.engineCount(); ++engine) {
        const auto& endpoint = workload.configuration.endpoints[engine];
        const auto& options = workload.engines[engine];
        const bool isPlain = endpoint.kvTokens == 0;
        out.endpoints.push_back({ .id = endpoint.name,
            .services = endpoint.services,
            .prefillTokensPerSecond = isPlain ? 0 : options.prefillTokensPerSecond,
            .decodeStep = isPlain ? Duration {} : options.decodeStep,
            .callTime = isPlain ? options.decodeStep * 10 : Duration {} });
        for (const auto& record : fleet.engines()[engine].records()) {
            const auto request = positions.at(record.id);
            out.dispatches.push_back({ .id = record.id,
                .contentDigest = request + 1,
                .endpoint = endpoint.name,
                .service = ServiceId(record.model),
                .idempotencyKey = scenario.requests[request].arrival.idempotencyKey,
                .arrivedAt = record.arrivedAt,
                .endedAt = record.endedAt,
                .prefillComputed = record.prefillComputed,
                .prefillCached = record.prefillCached });
        }
    }
    return out;
}

} // namespace lentilbay::bench
