// Load reports, cache events, faults and orders of a fake engine.
#include "lentilbay/Fakes/EngineModel.h"
#include "lentilbay/Model/PromptPrefix.h"

#include <algorithm>

namespace lentilbay::fakes {

namespace {

constexpr Duration loadRetention = std::chrono::seconds(30);

} // namespace

void EngineModel::setFaults(const EngineFaults& faults, TimePoint now)
{
    advance(now);
    if (!faults.leaving)
        m_leavingSince.reset();
    else if (!m_leavingSince)
        m_leavingSince = now;
    const bool resumes = m_faults.stalled && !faults.stalled;
    m_faults = faults;
    if (faults.stalled)
        m_stepEnds.reset();
    else if (resumes)
        beginStep(now);
}

EngineLoad EngineModel::reportedLoad(TimePoint now) const
{
    const auto asOf = now - m_faults.loadLag;
    const auto later = std::ranges::upper_bound(m_loads, asOf, {}, &EngineLoad::at);
    if (later == m_loads.begin())
        return { .at = asOf };
    auto load = *std::prev(later);
    load.at = asOf;
    return load;
}

std::vector<CacheEvent> EngineModel::events(uint64_t after, TimePoint now) const
{
    std::vector<CacheEvent> found;
    for (const auto& it : m_cache.events()) {
        const bool lost = m_faults.eventGap != 0 && it.sequence % m_faults.eventGap == 0;
        if (it.sequence > after && it.at + m_faults.eventDelay <= now && !lost)
            found.push_back(it);
    }
    return found;
}

void EngineModel::importPrefix(const std::vector<uint64_t>& hashes, TimePoint now)
{
    advance(now);
    m_cache.store(hashes, now);
    shrinkCacheToFit(now);
}

bool EngineModel::order(const EngineOrder& order, TimePoint now)
{
    const bool isStale = m_options.checksFencing && order.fencing < m_newestFencing;
    m_orderRecords.push_back({ .order = order, .at = now, .accepted = !isStale });
    if (isStale)
        return false;
    m_newestFencing = std::max(m_newestFencing, order.fencing);
    if (order.action == EngineOrder::Action::Role) {
        m_role = order.role;
        return true;
    }
    if (order.action == EngineOrder::Action::Unload) {
        if (order.adapter.empty())
            m_models.erase(order.model);
        else if (const auto it = m_models.find(order.model); it != m_models.end())
            it->second.adapters.erase(order.adapter);
        return true;
    }
    auto& model = m_models[order.model];
    model.version = order.version;
    if (!order.adapter.empty())
        model.adapters.insert(order.adapter);
    return true;
}

uint64_t EngineModel::runningTokens() const
{
    uint64_t total = 0;
    for (const auto record : m_running) {
        const auto& job = m_jobs.at(record);
        total += m_records[record].promptTokens + m_records[record].answerTokens;
        // Once the prompt has been prefilled, its full blocks are accounted to the cache.
        if (job.decoding)
            total -= job.prefixHashes.size() * prefixBlockTokens;
    }
    return total;
}

void EngineModel::shrinkCacheToFit(TimePoint now)
{
    const auto running = runningTokens();
    const auto left = running >= m_options.kvTokens ? 0 : m_options.kvTokens - running;
    m_cache.shrinkTo(left / prefixBlockTokens, now);
}

void EngineModel::recordLoad(TimePoint now)
{
    m_loads.push_back({ .running = static_cast<uint32_t>(m_running.size()),
        .waiting = static_cast<uint32_t>(m_waiting.size()),
        .kvTokensUsed = runningTokens() + m_cache.blocks() * prefixBlockTokens,
        .at = now });
    while (m_loads.size() > 1 && m_loads[1].at < now - loadRetention)
        m_loads.pop_front();
}

} // namespace lentilbay::fakes
