// Starts and rejects waiting requests as DeadlineQueue decides.
#include "lentilbay/Edge/WaitingQueue.h"

#include "lentilbay/Support/Log.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// A request that has less than this time left is rejected.
constexpr Duration minUsefulTime = std::chrono::milliseconds(50);
/// For this fraction of its objective a request waits for an endpoint that meets its objectives: on a busy
/// service a slot becomes free every few milliseconds, and the rest of the objective is needed to process the
/// prompt.
constexpr double maxWaitFraction = 0.2;

/// Contention that ended more recently than this is not logged again.
constexpr Duration contentionLogGap = std::chrono::seconds(10);

} // namespace

void WaitingQueue::push(WaitingRequest request)
{
    remove(request.number);
    auto& service = m_services[request.query.service];
    service.prompts.observe(request.query.work.promptTokens);
    service.queue.push({ .number = request.number,
        .rank = request.rank,
        .hasBegun = request.hasBegun,
        .isRequeued = request.isRequeued,
        .arrivedAt = request.arrivedAt,
        .objectiveAt = request.query.objectiveAt,
        .expiresAt = request.expiresAt });
    const auto number = request.number;
    m_requests.insert_or_assign(number, std::move(request));
}

void WaitingQueue::remove(uint64_t number)
{
    const auto it = m_requests.find(number);
    if (it == m_requests.end())
        return;
    m_services[it->second.query.service].queue.remove(number);
    m_requests.erase(it);
}

size_t WaitingQueue::sizeOf(const ServiceId& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second.queue.size();
}

WaitingQueue::Decisions WaitingQueue::decide(TimePoint now)
{
    Decisions out;
    for (auto& [id, service] : m_services) {
        if (!service.queue.empty())
            decideFor(id, service, now, out);
    }
    return out;
}

void WaitingQueue::decideFor(const ServiceId& id, Service& service, TimePoint now, Decisions& out)
{
    const auto latency = m_endpointRegistry.latencyOf(id, now);
    rejectWithoutTime(id, service, now, out);
    service.queue.update([&](DeadlineRequest& it) {
        auto& query = m_requests.at(it.number).query;
        query.mayWait
            = now - it.arrivedAt < fromSeconds(toSeconds(it.objectiveAt - it.arrivedAt) * maxWaitFraction);
        query.avoidsFastEndpoints
            = query.work.isStream && latency.isContended && query.work.promptTokens < service.prompts.mean();
        it.timeToFirstEvent = latency.timeToFirstEvent(query.work);
        it.work = toSeconds(latency.totalTime(query.work));
    });
    const auto slotsNow
        = [&] { return std::max(1.0, m_endpointRegistry.occupancy(id, now).slots * m_options.slotShare); };
    bool hasRoom = m_endpointRegistry.hasRoom(id, now);
    const auto tryStart = [&](const DeadlineRequest& it) {
        const bool isStarted = hasRoom && start(it, now, out);
        if (isStarted)
            hasRoom = m_endpointRegistry.hasRoom(id, now);
        return isStarted;
    };
    service.queue.start(slotsNow(), tryStart, now);
    for (const auto& it : service.queue.refuse(slotsNow(), m_options.order, now)) {
        m_requests.erase(it.number);
        out.rejected.push_back({ .number = it.number, .cause = it.cause, .retryAfter = it.retryAfter });
    }
    if (!service.queue.isContended(now))
        return;
    if (!service.contendedAt || now - *service.contendedAt >= contentionLogGap)
        logEvent(Event::QueueContended,
            { { "service", id.text() }, { "waiting", static_cast<int64_t>(service.queue.size()) },
                { "slots", slotsNow() } });
    service.contendedAt = now;
}

void WaitingQueue::rejectWithoutTime(const ServiceId& id, Service& service, TimePoint now, Decisions& out)
{
    std::vector<uint64_t> numbers;
    service.queue.update([&](const DeadlineRequest& it) {
        // Its caller can resume a stream that has begun, and learns that it must when this one ends it.
        const auto& query = m_requests.at(it.number).query;
        const bool isOver = it.hasBegun && !m_endpointRegistry.hasCandidate(id, query.tried, query.versions);
        if (isOver || now + minUsefulTime >= it.expiresAt)
            numbers.push_back(it.number);
    });
    for (const auto number : numbers) {
        remove(number);
        out.rejected.push_back({ .number = number });
    }
}

bool WaitingQueue::start(const DeadlineRequest& request, TimePoint now, Decisions& out)
{
    auto& query = m_requests.at(request.number).query;
    query.yieldsLentSlots = request.isYielding;
    auto endpoint = m_endpointRegistry.choose(query, now);
    if (!endpoint)
        return false;
    auto& work = query.work;
    work.cachedTokens = m_endpointRegistry.cachedTokens(*endpoint, query, now);
    endpoint->recordSend(work, now);
    out.started.push_back(
        { .number = request.number, .endpoint = std::move(endpoint), .cachedTokens = work.cachedTokens });
    m_requests.erase(request.number);
    return true;
}

} // namespace lentilbay::edge
