// Connects the entry controller to the simulated engines, and implements the baseline schedulers.
#include "Schedulers.h"

#include <algorithm>

namespace lentilbay::bench {
namespace {

constexpr Duration grantInterval = std::chrono::milliseconds(100);
constexpr Duration grantLifetime = std::chrono::seconds(3);
/// The simulated duration of a claim.
constexpr Duration claimLatency = std::chrono::milliseconds(5);

} // namespace

EntryScheduler::EntryScheduler(
    const Workload& workload, const Scenario& scenario, EngineFleet& fleet, uint64_t seed)
    : m_scenario(scenario)
    , m_fleet(fleet)
    , m_entry(m_blackboard, { .seed = seed })
{
    m_blackboard.region = workload.configuration.endpoints.front().region;
    m_blackboard.dataCentre = workload.configuration.endpoints.front().dataCentre;
    applyConfiguration(m_blackboard, std::make_shared<Configuration>(workload.configuration));
    for (size_t i = 0; i < scenario.requests.size(); ++i)
        m_requests[scenario.requests[i].arrival.id] = i;
}

void EntryScheduler::grant(TimePoint now)
{
    for (auto& it : m_blackboard.endpoints) {
        const auto slots = it.learnedSlots > 0 ? it.learnedSlots : it.endpoint.slots;
        it.grant = { .slots = slots, .expiresAt = now + grantLifetime };
    }
    for (auto& pool : m_blackboard.pools) {
        int lowest = -1;
        for (const auto position : pool.endpoints) {
            for (int rank = 0; rank < maxTiers; ++rank) {
                if (m_blackboard.endpoints[position].inFlight[rank] > 0)
                    lowest = std::max(lowest, rank);
            }
        }
        pool.occupancy = { .lowestServedRank = lowest, .requestedAt = now };
    }
    m_nextGrantAt = now + grantInterval;
    m_entry.step(now);
}

void EntryScheduler::arrive(size_t request, TimePoint now)
{
    m_entry.arrive(m_scenario.requests[request].arrival, now);
    execute(now);
}

void EntryScheduler::tokens(size_t request, uint32_t n, TimePoint now)
{
    m_entry.tokensArrived(m_scenario.requests[request].arrival.id, n, now);
}

void EntryScheduler::ended(size_t request, uint32_t cachedTokens, TimePoint now)
{
    const auto& id = m_scenario.requests[request].arrival.id;
    m_entry.usageReported(id, cachedTokens, now);
    m_entry.answerEnded(id, AnswerEnd::Whole, now);
    execute(now);
}

void EntryScheduler::step(TimePoint now)
{
    while (!m_claims.empty() && m_claims.front().first <= now) {
        const auto id = m_claims.front().second;
        m_claims.pop_front();
        m_entry.claimed(id, ClaimResult::Held, now);
    }
    if (now >= m_nextGrantAt)
        grant(now);
    if (const auto wake = m_entry.nextWake(); wake && *wake <= now)
        m_entry.step(now);
    execute(now);
    m_entry.takeOutcomes();
}

void EntryScheduler::execute(TimePoint now)
{
    for (auto commands = m_entry.takeCommands(); !commands.empty(); commands = m_entry.takeCommands()) {
        for (const auto& command : commands)
            std::visit([&](const auto& it) { execute(it, now); }, command);
    }
}

void EntryScheduler::execute(const ClaimCommand& command, TimePoint now)
{
    m_claims.emplace_back(now + claimLatency, command.id);
}

void EntryScheduler::execute(const DispatchCommand& command, TimePoint now)
{
    if (m_entry.mayDispatch(command.id, now))
        m_fleet.send(m_requests.at(command.id), m_blackboard.endpointPositions.at(command.endpoint), now);
}

void EntryScheduler::execute(const CancelCommand& command, TimePoint now)
{
    ++m_refusals[command.reason.code];
    m_fleet.cancel(m_requests.at(command.id), command.reason.code, now);
    m_entry.answerEnded(command.id, AnswerEnd::Cancelled, now);
}

void EntryScheduler::execute(const RefuseCommand& command, TimePoint now)
{
    ++m_refusals[command.failure.code];
    m_fleet.refuse(m_requests.at(command.id), command.failure.code, now);
}

BaselineScheduler::BaselineScheduler(const Workload& workload, const Scenario& scenario, EngineFleet& fleet)
    : m_scenario(scenario)
    , m_fleet(fleet)
{
    for (size_t i = 0; i < workload.configuration.endpoints.size(); ++i) {
        for (const auto& it : workload.configuration.endpoints[i].services)
            m_enginesByService[it].push_back(i);
    }
}

void RoundRobin::arrive(size_t request, TimePoint now)
{
    const auto& service = m_scenario.requests[request].arrival.service;
    const auto& engines = m_enginesByService.at(service);
    // Services served by the same engines share one rotation.
    auto& next = m_next[ServiceId(std::to_string(engines.front()))];
    m_fleet.send(request, engines[next++ % engines.size()], now);
    m_deadlines.emplace(m_scenario.requests[request].deadline, request);
}

void RoundRobin::step(TimePoint now)
{
    expire(now, [&](size_t request) { m_fleet.cancel(request, ResultCode::DeadlinePassedRunning, now); });
}

void LeastReportedLoad::arrive(size_t request, TimePoint now)
{
    const auto& engines = m_enginesByService.at(m_scenario.requests[request].arrival.service);
    size_t best = engines.front();
    double least = 1e9;
    for (const auto engine : engines) {
        const auto load = m_fleet.reportedLoad(engine, now);
        const double score = load.running + load.waiting + 0.5 * m_random.fraction();
        if (score < least) {
            least = score;
            best = engine;
        }
    }
    m_fleet.send(request, best, now);
    m_deadlines.emplace(m_scenario.requests[request].deadline, request);
}

void LeastReportedLoad::step(TimePoint now)
{
    expire(now, [&](size_t request) { m_fleet.cancel(request, ResultCode::DeadlinePassedRunning, now); });
}

void StrictPriority::arrive(size_t request, TimePoint now)
{
    m_waiting[m_scenario.requests[request].rank].push_back(request);
    m_deadlines.emplace(m_scenario.requests[request].deadline, request);
    step(now);
}

void StrictPriority::ended(size_t request, uint32_t, TimePoint now)
{
    --m_inFlight[m_fleet.outcomes()[request].engine];
    step(now);
}

void StrictPriority::step(TimePoint now)
{
    expire(now, [&](size_t request) {
        const auto& outcome = m_fleet.outcomes()[request];
        if (outcome.wasSent && outcome.end == SimulatedOutcome::End::Open) {
            m_fleet.cancel(request, ResultCode::DeadlinePassedRunning, now);
            --m_inFlight[outcome.engine];
        } else if (outcome.end == SimulatedOutcome::End::Open) {
            m_fleet.refuse(request, ResultCode::DeadlinePassedWaiting, now);
        }
    });
    for (auto& [rank, queue] : m_waiting) {
        std::deque<size_t> deferred;
        std::set<ServiceId> full;
        for (const auto request : queue) {
            const auto& service = m_scenario.requests[request].arrival.service;
            if (m_fleet.outcomes()[request].end != SimulatedOutcome::End::Open)
                continue;
            if (full.contains(service)) {
                deferred.push_back(request);
                continue;
            }
            const auto& engines = m_enginesByService.at(service);
            const auto best = *std::min_element(engines.begin(), engines.end(),
                [&](size_t a, size_t b) { return m_inFlight[a] < m_inFlight[b]; });
            if (m_inFlight[best] >= m_slots[best]) {
                full.insert(service);
                deferred.push_back(request);
                continue;
            }
            ++m_inFlight[best];
            m_fleet.send(request, best, now);
        }
        queue = std::move(deferred);
    }
}

} // namespace lentilbay::bench
