// The baseline of the benchmark; changed only with the interfaces it uses.
#include "FormerWaitingQueue.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace lentilbay::edge {
namespace {

/// A request that has less than this time left is rejected.
constexpr Duration minUsefulTime = std::chrono::milliseconds(50);
/// First events are often late by about this much; a request this close to its objective yields to those that
/// can still meet theirs.
constexpr Duration lateMargin = std::chrono::milliseconds(100);
/// For this fraction of its objective a request waits for an endpoint that meets its objectives: on a busy
/// service a slot becomes free every few milliseconds, and the rest of the objective is needed to process the
/// prompt.
constexpr double maxWaitFraction = 0.2;
/// The weight of the newest prompt in the mean: a few hundred requests are a second or more of a daemon's
/// traffic.
constexpr double promptWeight = 0.01;

/// The service rate is measured over this time, once requests have waited for at least the shorter one;
/// before, it is that of the slots.
constexpr Duration measuredTime = std::chrono::seconds(2);
constexpr Duration minMeasuredTime = std::chrono::milliseconds(500);
/// The least that is taken for the service rate, as a fraction of the slots: endpoints that were silent for a
/// while serve again.
constexpr double minRateFraction = 0.1;
/// A caller that retries sooner would find the same queue.
constexpr double minRetrySeconds = 0.05;

} // namespace

void FormerWaitingQueue::push(WaitingRequest request)
{
    m_prompts.try_emplace(request.query.service, 0, promptWeight)
        .first->second.observe(request.query.work.promptTokens);
    const auto& service = request.query.service;
    if (std::ranges::none_of(m_requests, [&](const auto& it) { return it.query.service == service; }))
        m_services[service].waitingSince.reset();
    m_requests.push_back({ std::move(request) });
}

double FormerWaitingQueue::meanPrompt(const ServiceId& service) const
{
    const auto it = m_prompts.find(service);
    return it == m_prompts.end() ? 0 : it->second.mean();
}

void FormerWaitingQueue::remove(uint64_t number)
{
    std::erase_if(m_requests, [&](const auto& it) { return it.number == number; });
}

size_t FormerWaitingQueue::sizeOf(const ServiceId& service) const
{
    return std::ranges::count_if(m_requests, [&](const auto& it) { return it.query.service == service; });
}

FormerWaitingQueue::Decisions FormerWaitingQueue::decide(TimePoint now)
{
    Decisions out;
    if (m_requests.empty())
        return out;
    std::map<ServiceId, ServiceLatency> latencies;
    for (auto& it : m_requests) {
        auto [latency, isNew] = latencies.try_emplace(it.query.service);
        if (isNew)
            latency->second = m_endpointRegistry.latencyOf(it.query.service, now);
        it.query.mayWait = now - it.arrivedAt
            < fromSeconds(toSeconds(it.query.objectiveAt - it.arrivedAt) * maxWaitFraction);
        it.query.avoidsFastEndpoints = it.query.work.isStream && latency->second.isContended
            && it.query.work.promptTokens < meanPrompt(it.query.service);
        it.isLate = now + latency->second.timeToFirstEvent(it.query.work) + lateMargin > it.query.objectiveAt;
    }
    m_requests.sort([&](const auto& a, const auto& b) {
        const auto key = [](const Request& it) {
            return std::make_tuple(!it.hasBegun, it.rank, it.isLate, it.query.objectiveAt, it.number);
        };
        return key(a) < key(b);
    });
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        // Its caller can resume a stream that has begun, and learns that it must when this one ends it.
        const bool isOver = it->hasBegun
            && !m_endpointRegistry.hasCandidate(it->query.service, it->query.tried, it->query.versions);
        if (isOver || now + minUsefulTime >= it->expiresAt) {
            out.rejected.push_back({ .number = it->number, .retryAfter = Duration::zero() });
            it = m_requests.erase(it);
            continue;
        }
        // Only spares time: without room, none would be chosen.
        auto endpoint = m_endpointRegistry.hasRoom(it->query.service, now)
            ? m_endpointRegistry.choose(it->query, now)
            : nullptr;
        if (endpoint) {
            auto& work = it->query.work;
            m_services[it->query.service].started.add(
                toSeconds(latencies.at(it->query.service).totalTime(work)), now);
            work.cachedTokens = m_endpointRegistry.cachedTokens(*endpoint, it->query, now);
            endpoint->recordSend(work, now);
            out.started.push_back(
                { .number = it->number, .endpoint = std::move(endpoint), .cachedTokens = work.cachedTokens });
            it = m_requests.erase(it);
            continue;
        }
        ++it;
    }
    for (const auto& [service, latency] : latencies)
        shed(service, latency, now, out);
    return out;
}

double FormerWaitingQueue::serviceRate(const ServiceId& service, double slots, TimePoint now)
{
    auto& measured = m_services[service];
    const auto waited = measured.waitingSince ? now - *measured.waitingSince : Duration::zero();
    if (waited < minMeasuredTime)
        return slots;
    const auto window = std::min(waited, measuredTime);
    return std::max(measured.started.within(window, now) / toSeconds(window), slots * minRateFraction);
}

void FormerWaitingQueue::shed(
    const ServiceId& service, const ServiceLatency& latency, TimePoint now, Decisions& out)
{
    const double slots
        = std::max(1.0, m_endpointRegistry.occupancy(service, now).slots * m_options.slotShare);
    const double rate = serviceRate(service, slots, now);
    double queuedSeconds = 0;
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        if (it->query.service != service) {
            ++it;
            continue;
        }
        const double ownSeconds = toSeconds(latency.totalTime(it->query.work)) / slots;
        // By the measured rate: a request that is held until it expires costs its caller more than an early
        // refusal.
        const auto start = now + fromSeconds(queuedSeconds * slots / rate);
        if (!it->hasBegun
            && (queuedSeconds > m_options.order.maxQueuedSeconds || start + minUsefulTime >= it->expiresAt)) {
            out.rejected.push_back({ .number = it->number,
                .retryAfter = std::min(m_options.order.maxRetryAfter,
                    fromSeconds(std::max(minRetrySeconds, queuedSeconds * slots / rate))) });
            it = m_requests.erase(it);
            continue;
        }
        queuedSeconds += ownSeconds;
        ++it;
    }
    auto& waitingSince = m_services[service].waitingSince;
    if (queuedSeconds <= 0)
        waitingSince.reset();
    else if (!waitingSince)
        waitingSince = now;
}

} // namespace lentilbay::edge
