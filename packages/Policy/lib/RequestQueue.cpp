// Strict priority between tiers, weighted fairness between organisations, earliest deadline first.
#include "lentilbay/Policy/RequestQueue.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {

DeadlineKey RequestQueue::keyOf(const QueuedRequest& request) const
{
    const bool orderByWork = m_ranks[request.rank].isOverloaded && request.deadline;
    const auto orderBy = orderByWork
        ? request.arrivedAt + fromSeconds(request.work * m_options.orderDelayPerWorkSecond)
        : request.orderBy;
    return {
        .isDeferred = request.deferred, .orderBy = orderBy, .work = request.work, .number = request.sequence
    };
}

void RequestQueue::refreshBacklog(RankQueue& rank, uint32_t organisation)
{
    auto& queue = rank.organisations[organisation];
    auto it = std::find_if(rank.backlogs.begin(), rank.backlogs.end(),
        [&](const Backlog& backlog) { return backlog.organisation == organisation; });
    if (queue.keys.empty()) {
        if (it != rank.backlogs.end()) {
            *it = rank.backlogs.back();
            rank.backlogs.pop_back();
        }
        return;
    }
    if (it == rank.backlogs.end())
        it = rank.backlogs.insert(it, Backlog { .organisation = organisation });
    it->virtualTime = queue.virtualTime;
    it->head = *queue.keys.begin();
}

void RequestQueue::push(const QueuedRequest& request)
{
    assert(request.rank >= 0 && request.rank < maxTiers && "rank out of range");
    assert(request.weight > 0 && "weight must be positive");
    auto& rank = m_ranks[request.rank];
    auto& queue = rank.organisations[request.organisation];
    if (queue.keys.empty())
        queue.virtualTime = std::max(queue.virtualTime, rank.minVirtualTime);
    queue.keys.insert(keyOf(request));
    ++rank.size;
    rank.work += request.work;
    const bool added = m_requests.emplace(request.sequence, request).second;
    assert(added && "sequence already queued");
    static_cast<void>(added);
    refreshBacklog(rank, request.organisation);
}

void RequestQueue::erase(const QueuedRequest& request)
{
    auto& rank = m_ranks[request.rank];
    rank.organisations[request.organisation].keys.erase(keyOf(request));
    --rank.size;
    rank.work = rank.size == 0 ? 0 : std::max(0.0, rank.work - request.work);
}

bool RequestQueue::remove(uint64_t sequence)
{
    auto it = m_requests.find(sequence);
    if (it == m_requests.end())
        return false;
    const auto request = it->second;
    m_requests.erase(it);
    erase(request);
    refreshBacklog(m_ranks[request.rank], request.organisation);
    return true;
}

const QueuedRequest* RequestQueue::front() const
{
    for (const auto& rank : m_ranks) {
        if (rank.size == 0)
            continue;
        double least = rank.backlogs.front().virtualTime;
        for (const auto& it : rank.backlogs)
            least = std::min(least, it.virtualTime);
        const Backlog* best = nullptr;
        for (const auto& it : rank.backlogs) {
            if (it.virtualTime <= least + m_options.fairnessSlack && (!best || it.head < best->head))
                best = &it;
        }
        return &m_requests.at(best->head.number);
    }
    return nullptr;
}

void RequestQueue::serve(uint64_t sequence)
{
    auto it = m_requests.find(sequence);
    assert(it != m_requests.end() && "request is not queued");
    const auto request = it->second;
    m_requests.erase(it);
    auto& rank = m_ranks[request.rank];
    double least = rank.backlogs.front().virtualTime;
    for (const auto& backlog : rank.backlogs)
        least = std::min(least, backlog.virtualTime);
    rank.minVirtualTime = std::max(rank.minVirtualTime, least);
    rank.organisations[request.organisation].virtualTime += request.work / request.weight;
    erase(request);
    refreshBacklog(rank, request.organisation);
}

const QueuedRequest* RequestQueue::last() const
{
    for (auto rank = m_ranks.rbegin(); rank != m_ranks.rend(); ++rank) {
        const DeadlineKey* greatest = nullptr;
        for (const auto& it : rank->backlogs) {
            const auto& key = *rank->organisations.at(it.organisation).keys.rbegin();
            if (!greatest || *greatest < key)
                greatest = &key;
        }
        if (greatest)
            return &m_requests.at(greatest->number);
    }
    return nullptr;
}

double RequestQueue::work() const
{
    double sum = 0;
    for (const auto& rank : m_ranks)
        sum += rank.work;
    return sum;
}

double RequestQueue::virtualTime(int rank, uint32_t organisation) const
{
    auto it = m_ranks[rank].organisations.find(organisation);
    return it == m_ranks[rank].organisations.end() ? 0 : it->second.virtualTime;
}

void RequestQueue::plan(int rank, double slots, TimePoint now)
{
    auto& tier = m_ranks[rank];
    if (tier.size == 0) {
        tier.isOverloaded = false;
        return;
    }
    std::vector<QueuedRequest*> requests;
    requests.reserve(tier.size);
    for (auto& [sequence, request] : m_requests) {
        if (request.rank == rank)
            requests.push_back(&request);
    }
    std::vector<std::pair<QueuedRequest*, DeadlineKey>> before;
    before.reserve(requests.size());
    for (auto* it : requests)
        before.emplace_back(it, keyOf(*it));
    deferLate(requests, slots, now);
    double late = 0;
    for (const auto* it : requests)
        late += it->deferred ? it->work : 0;
    tier.isOverloaded = late > m_options.overloadFraction * tier.work;
    std::set<uint32_t> changed;
    for (const auto& [request, key] : before) {
        if (keyOf(*request) == key)
            continue;
        auto& keys = tier.organisations[request->organisation].keys;
        keys.erase(key);
        keys.insert(keyOf(*request));
        changed.insert(request->organisation);
    }
    for (const auto organisation : changed)
        refreshBacklog(tier, organisation);
}

void deferLate(std::vector<QueuedRequest*>& requests, double slots, TimePoint now)
{
    std::sort(requests.begin(), requests.end(), [](const QueuedRequest* a, const QueuedRequest* b) {
        return std::tie(a->orderBy, a->sequence) < std::tie(b->orderBy, b->sequence);
    });
    std::vector<PlannedRequest> planned;
    planned.reserve(requests.size());
    for (const auto* it : requests) {
        PlannedRequest each { .work = it->work, .number = it->sequence };
        // Its deadline is that of the whole answer.
        if (it->deadline)
            each.latestStart = *it->deadline - fromSeconds(it->work);
        planned.push_back(each);
    }
    deferLate(planned, std::max(slots, 1e-3), now);
    for (size_t i = 0; i < planned.size(); ++i)
        requests[i]->deferred = planned[i].isDeferred;
}

} // namespace lentilbay
