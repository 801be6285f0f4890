// Queue of the requests waiting for one endpoint pool: strict priority between tiers, earliest deadline first
// with weighted fairness within a tier.
//
// Each organisation has a virtual time per tier: the work served divided by its weight. Only organisations
// whose virtual time is within `fairnessSlack` of the minimum compete, and among these the earliest deadline
// wins; the order within an organisation is that of DeadlineQueue.h. Hence no backlogged organisation falls
// further behind another than the slack plus one request.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Policy/DeadlineQueue.h"
#include "lentilbay/Support/Time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lentilbay {

/// The properties of a waiting request that determine its position.
struct QueuedRequest {
    /// Unique and increasing in order of arrival.
    uint64_t sequence = 0;
    int rank = 0;
    /// An index that the caller assigns to the organisation.
    uint32_t organisation = 0;
    /// The organisation's fair-share weight; positive.
    double weight = 1;
    TimePoint arrivedAt {};
    /// Requests without a deadline get a distant one, so that they are not starved.
    TimePoint orderBy {};
    /// The time after which the answer is worthless, if any.
    std::optional<TimePoint> deadline;
    /// Expected slot seconds.
    double work = 0;
    /// Set by RequestQueue::plan() if the request must yield within its tier because not all can meet their
    /// deadlines.
    bool deferred = false;

    auto operator<=>(const QueuedRequest&) const = default;
};

struct RequestQueueOptions {
    /// Seconds of work per unit of weight.
    double fairnessSlack = 60;
    /// A tier counts as overloaded if more than this fraction of its waiting work is expected to be late.
    double overloadFraction = 0.3;
    /// In an overloaded tier, a request is ordered by its arrival time plus this many seconds per second of
    /// work.
    double orderDelayPerWorkSecond = 30;
};

class RequestQueue {
public:
    explicit RequestQueue(RequestQueueOptions options = {})
        : m_options(options)
    {
    }

    void push(const QueuedRequest& request);
    /// Removes a request without counting it as served; returns false if it is not queued.
    bool remove(uint64_t sequence);
    /// The request to serve next, or nullptr.
    const QueuedRequest* front() const;
    /// Removes a request and adds its work, divided by its weight, to its organisation's virtual time.
    void serve(uint64_t sequence);
    /// The last request of the lowest tier, or nullptr; it is the first to be dropped.
    const QueuedRequest* last() const;

    /// The shortest request of the lowest tier that `isSuitable(request)` accepts, or nullptr.
    template <class Predicate> const QueuedRequest* shortestInLowestTier(Predicate isSuitable) const
    {
        const QueuedRequest* best = nullptr;
        for (const auto& [sequence, it] : m_requests) {
            const bool isBetter = !best || it.rank > best->rank
                || (it.rank == best->rank
                    && std::tie(it.work, it.sequence) < std::tie(best->work, best->sequence));
            if (isBetter && isSuitable(it))
                best = &it;
        }
        return best;
    }

    /// Defers requests of one tier that cannot meet their deadlines, see deferLate(), and determines whether
    /// the tier is overloaded. An overloaded tier serves short requests first; longer ones advance as they
    /// age.
    void plan(int rank, double slots, TimePoint now);

    size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }
    bool isOverloaded(int rank) const { return m_ranks[rank].isOverloaded; }
    size_t sizeOf(int rank) const { return m_ranks[rank].size; }
    /// Seconds of waiting work in the tier.
    double workOf(int rank) const { return m_ranks[rank].work; }
    /// Seconds of waiting work in all tiers.
    double work() const;
    /// The organisation's work served so far in the tier, divided by its weight.
    double virtualTime(int rank, uint32_t organisation) const;

private:
    /// An organisation with waiting requests. Kept small because front() scans all entries of a tier.
    struct Backlog {
        double virtualTime = 0;
        DeadlineKey head;
        uint32_t organisation = 0;
    };

    struct OrganisationQueue {
        std::set<DeadlineKey> keys;
        double virtualTime = 0;
    };

    struct RankQueue {
        std::unordered_map<uint32_t, OrganisationQueue> organisations;
        /// The organisations with a non-empty set of keys, in no particular order.
        std::vector<Backlog> backlogs;
        /// The least virtual time of an organisation that becomes backlogged again, so that idle time earns
        /// no credit.
        double minVirtualTime = 0;
        size_t size = 0;
        double work = 0;
        bool isOverloaded = false;
    };

    DeadlineKey keyOf(const QueuedRequest& request) const;
    static void refreshBacklog(RankQueue& rank, uint32_t organisation);
    void erase(const QueuedRequest& request);

    RequestQueueOptions m_options;
    std::array<RankQueue, maxTiers> m_ranks;
    std::unordered_map<uint64_t, QueuedRequest> m_requests;
};

/// Sorts the requests by their deadlines and defers those that cannot all meet theirs on `slots` slots.
void deferLate(std::vector<QueuedRequest*>& requests, double slots, TimePoint now);

} // namespace lentilbay
