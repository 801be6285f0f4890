// The requests that wait for one pool: by tier, then earliest deadline with weighted fairness.
//
// Within a tier each organisation has a virtual time: the work it was given divided by its weight. Only
// organisations within `fairnessSlack` of the least served one compete, and among these the earliest deadline
// wins. So no organisation that waits falls further behind another than the slack and one request.
#pragma once

#include "lentilbay/Model/Configuration.h"
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

/// What the order needs to know of a request that waits.
struct QueuedRequest {
    /// Unique, counted up in the order of arrival.
    uint64_t sequence = 0;
    int rank = 0;
    /// Any number that stands for the organisation.
    uint32_t organisation = 0;
    /// The organisation's weight against others; positive.
    double weight = 1;
    TimePoint arrivedAt {};
    /// Requests without a deadline get one far off, so that they come up in the end.
    TimePoint orderBy {};
    /// When the answer is worthless, or nothing.
    std::optional<TimePoint> deadline;
    /// Seconds that it is expected to hold a slot.
    double work = 0;
    /// Set where the plan expects it to be late, so that it gives way within its tier.
    bool deferred = false;

    auto operator<=>(const QueuedRequest&) const = default;
};

struct RequestQueueOptions {
    /// Seconds of work per unit of weight.
    double fairnessSlack = 60;
    /// The part of a tier's waiting work that must be expected to be late for the tier to count as
    /// overloaded.
    double overloadedPart = 0.3;
    /// In an overloaded tier, the seconds by which a request goes back in the order for each second of work.
    double secondsBehindPerWork = 30;
};

class RequestQueue {
public:
    explicit RequestQueue(RequestQueueOptions options = {})
        : m_options(options)
    {
    }

    void push(const QueuedRequest& request);
    /// Takes a request out without counting it as served.
    bool remove(uint64_t sequence);
    /// The request to serve next, or nullptr.
    const QueuedRequest* front() const;
    /// Takes a request out and counts its work as given to its organisation.
    void serve(uint64_t sequence);
    /// The request of the greatest rank that would be served last, or nullptr: the first to be displaced.
    const QueuedRequest* last() const;

    /// The shortest request of the lowest tier that `isSuitable(request)` accepts, or nullptr.
    template <class Predicate> const QueuedRequest* shortestOfLowest(Predicate isSuitable) const
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

    /// Marks the requests of one tier that cannot all be in time, see deferLate(), and with them whether the
    /// tier is overloaded: then the shortest go first, and age brings up the others.
    void plan(int rank, double slots, TimePoint now);

    size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }
    bool isOverloaded(int rank) const { return m_ranks[rank].isOverloaded; }
    size_t sizeOf(int rank) const { return m_ranks[rank].size; }
    /// Seconds of work that wait in the tier.
    double workOf(int rank) const { return m_ranks[rank].work; }
    /// Seconds of work that wait in all tiers.
    double work() const;
    /// What the organisation was given so far in the tier, divided by its weight.
    double virtualTime(int rank, uint32_t organisation) const;

private:
    struct Key {
        bool deferred = false;
        TimePoint orderBy {};
        uint64_t sequence = 0;

        auto operator<=>(const Key&) const = default;
    };

    /// An organisation that has requests waiting; kept small because front() reads all of a tier.
    struct Backlog {
        double virtualTime = 0;
        Key head;
        uint32_t organisation = 0;
    };

    struct OrganisationQueue {
        std::set<Key> keys;
        double virtualTime = 0;
    };

    struct RankQueue {
        std::unordered_map<uint32_t, OrganisationQueue> organisations;
        /// Those organisations whose keys are not empty, in any order.
        std::vector<Backlog> backlogs;
        /// No organisation that comes back starts below it, so that idle time earns nothing.
        double floor = 0;
        size_t size = 0;
        double work = 0;
        bool isOverloaded = false;
    };

    Key keyOf(const QueuedRequest& request) const;
    static void refreshBacklog(RankQueue& rank, uint32_t organisation);
    void erase(const QueuedRequest& request);

    RequestQueueOptions m_options;
    std::array<RankQueue, maxTiers> m_ranks;
    std::unordered_map<uint64_t, QueuedRequest> m_requests;
};

/// Marks as deferred those requests that must give way so that as many as possible end in time on `slots`
/// slots: in the order of their deadlines, and whenever one would be late the longest so far is put off.
///
/// Source: Moore, "An n job, one machine sequencing algorithm for minimizing the number of late jobs", 1968.
void deferLate(std::vector<QueuedRequest*>& requests, double slots, TimePoint now);

} // namespace lentilbay
