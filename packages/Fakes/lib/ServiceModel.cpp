// Executes calls in order of arrival with bounded concurrency.
#include "lentilbay/Fakes/ServiceModel.h"

#include <algorithm>
#include <utility>

namespace lentilbay::fakes {

namespace {

constexpr Duration loadRetention = std::chrono::seconds(30);

} // namespace

std::optional<size_t> ServiceModel::submit(const ServiceCall& call, TimePoint now)
{
    advance(now);
    m_records.push_back({ .id = call.id, .key = call.key, .digest = call.digest, .arrivedAt = now });
    const auto record = m_records.size() - 1;
    if (m_faults.refuse) {
        m_records[record].refused = true;
        m_records[record].endedAt = now;
        return std::nullopt;
    }
    m_waiting.push_back(record);
    beginCalls(now);
    return record;
}

void ServiceModel::advance(TimePoint now)
{
    while (!m_stalledSince) {
        const auto wake = nextWake();
        if (!wake || *wake > now)
            return;
        const auto it = std::ranges::min_element(m_running, {}, &Running::ends);
        const auto record = it->record;
        m_running.erase(it);
        endCall(record, *wake);
        beginCalls(*wake);
    }
}

std::optional<TimePoint> ServiceModel::nextWake() const
{
    if (m_running.empty() || m_stalledSince)
        return std::nullopt;
    return std::ranges::min_element(m_running, {}, &Running::ends)->ends;
}

std::vector<ServiceOutput> ServiceModel::takeOutputs() { return std::exchange(m_outputs, {}); }

void ServiceModel::setFaults(const ServiceFaults& faults, TimePoint now)
{
    advance(now);
    if (!faults.leaving)
        m_leavingSince.reset();
    else if (!m_leavingSince)
        m_leavingSince = now;
    if (faults.stalled && !m_stalledSince)
        m_stalledSince = now;
    if (!faults.stalled && m_stalledSince) {
        for (auto& it : m_running)
            it.ends += now - *m_stalledSince;
        m_stalledSince.reset();
    }
    m_faults = faults;
}

void ServiceModel::beginCalls(TimePoint now)
{
    while (!m_waiting.empty() && m_running.size() < m_options.maxRunning) {
        const auto record = m_waiting.front();
        m_waiting.pop_front();
        const auto length = fromSeconds(toSeconds(m_options.callTime) * m_faults.slowFactor);
        m_running.push_back({ .record = record, .ends = now + length });
        auto& entry = m_records[record];
        entry.executed = true;
        if (!entry.key.empty())
            ++m_executionsByKey[entry.key];
        ++m_executionsById[entry.id.text()];
    }
    recordLoad(now);
}

void ServiceModel::endCall(size_t record, TimePoint now)
{
    m_records[record].endedAt = now;
    m_records[record].answerDropped = m_faults.dropAnswers;
    m_outputs.push_back({ .record = record, .broken = m_faults.dropAnswers });
}

void ServiceModel::recordLoad(TimePoint now)
{
    m_loads.push_back({ .running = static_cast<uint32_t>(m_running.size()),
        .waiting = static_cast<uint32_t>(m_waiting.size()),
        .at = now });
    while (m_loads.size() > 1 && m_loads[1].at < now - loadRetention)
        m_loads.pop_front();
}

ServiceLoad ServiceModel::reportedLoad(TimePoint now) const
{
    const auto asOf = now - m_faults.loadLag;
    const auto later = std::ranges::upper_bound(m_loads, asOf, {}, &ServiceLoad::at);
    if (later == m_loads.begin())
        return { .at = asOf };
    auto load = *std::prev(later);
    load.at = asOf;
    return load;
}

} // namespace lentilbay::fakes
