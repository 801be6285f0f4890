// The requests that wait for the endpoints of one service: in which order they start, when each is expected
// to start, and which are refused.
//
// Ranks are strict. Within a rank, requests that can still meet their objective go before late ones, by their
// latest start that is in time; late ones get a tenth of the starts while others wait, oldest first. Where
// not all can be in time, Moore's rule defers the longest ones; under lasting overload, size classes are
// served from the smallest on as far as the rate suffices, and longer requests are deferred. Once requests
// have waited for a second, what is deferred is refused before its caller has waited for an eighth of its
// objective. A request that has been kept until then is not displaced by later ones.
#pragma once

#include "lentilbay/Policy/WindowSum.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lentilbay {

/// The order of requests of one rank, also that of RequestQueue.
struct DeadlineKey {
    bool isDeferred = false;
    TimePoint orderBy {};
    /// Slot seconds.
    double work = 0;
    uint64_t number = 0;

    auto operator<=>(const DeadlineKey&) const = default;
};

/// A request as Moore's rule sees it.
struct PlannedRequest {
    /// The latest start that is in time; std::nullopt if it is never late.
    std::optional<TimePoint> latestStart;
    /// Slot seconds.
    double work = 0;
    uint64_t number = 0;
    /// Whether it may be deferred for the sake of others.
    bool isDeferrable = true;
    /// Set by deferLate().
    bool isDeferred = false;
};

/// Minimises the number of late requests: goes through the requests in the given order, that of their
/// deadlines, and, whenever one would be late, defers the longest one kept so far.
/// @param rate slot seconds of work that are done in a second
/// @param freeAt when the first of them could start
///
/// Source: Moore, "An n job, one machine sequencing algorithm for minimizing the number of late jobs", 1968.
void deferLate(std::span<PlannedRequest> requests, double rate, TimePoint freeAt);

struct DeadlineRequest {
    uint64_t number = 0;
    /// 0 is the most urgent.
    int rank = 0;
    /// An endpoint has worked on it. It starts before all others and is never refused.
    bool hasBegun = false;
    /// Has waited before, and was sent in vain or is queued under another rule.
    bool isRequeued = false;
    TimePoint arrivedAt {};
    /// When the first event should arrive.
    TimePoint objectiveAt {};
    TimePoint expiresAt {};
    /// Expected, from the start to the first event.
    Duration timeToFirstEvent {};
    /// Expected slot seconds.
    double work = 0;
    /// Would miss its objective even if it started now; set by the queue.
    bool isLate = false;
    /// Leaves to other daemons' requests what these may need more: late requests, and for a short time those
    /// of lower ranks; set by the queue.
    bool isYielding = false;

    /// The latest start that is in time.
    TimePoint latestStart() const;
};

struct DeadlineQueueOptions {
    /// Limit on queued work, in seconds that all slots need for it. Requests that wait longer miss most
    /// objectives and delay those behind them.
    double maxQueuedSeconds = 2.0;
    /// Upper bound of `retryAfter`.
    Duration maxRetryAfter = std::chrono::seconds(10);
};

/// Why a request is not to wait any longer.
enum class RefusalCause : uint8_t {
    /// It cannot be in time, or, being late already, would be held for too long.
    Objective,
    /// It would start after it has expired.
    Expiry,
    /// Too much work waits in front of it.
    QueueLength,
};

class DeadlineQueue {
public:
    struct Refusal {
        uint64_t number = 0;
        RefusalCause cause = RefusalCause::Objective;
        /// Time until its start was expected.
        Duration retryAfter {};
    };

    void push(const DeadlineRequest& request);
    /// Removes a request without counting it as started; returns false if it does not wait.
    bool remove(uint64_t number);
    size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }
    /// Whether requests that cannot be in time are refused.
    bool isContended(TimePoint now) const;

    /// Calls `update(request)` for each request, which may change what is expected of it.
    template <class Update> void update(Update update)
    {
        for (auto& it : m_entries)
            update(it.request);
    }
    /// Calls `tryStart(request)` in the order in which requests are to start, and removes those for which it
    /// returns true.
    /// @param slots those that the requests of this queue can expect to get
    void start(double slots, const std::function<bool(const DeadlineRequest&)>& tryStart, TimePoint now);
    /// Removes and returns the requests that are not to wait any longer; to be called after start().
    std::vector<Refusal> refuse(double slots, const DeadlineQueueOptions& options, TimePoint now);

private:
    struct Entry {
        DeadlineRequest request;
        /// Can be in time, but not together with all others that can.
        bool isDeferred = false;
        /// Counted in `m_arrived`.
        bool isCounted = false;
        /// Has been kept for so long that refusing it would cost its caller time.
        bool isCommitted = false;
    };
    /// The waiting requests of one rank, in the order of their starts.
    struct Line {
        std::vector<Entry*> inTime;
        std::vector<Entry*> late;
    };

    /// Sorts the requests, and decides which of them are late or deferred.
    std::map<int, Line> plan(double slots, TimePoint now);
    static int lineOf(const DeadlineRequest& request);
    /// Slot seconds of work a second that were started, of this line and those after it.
    double rateFrom(int line, double slots, TimePoint now);
    /// The class of sizes up to which all arriving requests of the rank can be served at this rate, smallest
    /// first; those of that class can be served in part.
    int largestServedSize(int rank, double rate, TimePoint now);
    /// Defers requests that are too long for a rank of which not all arriving requests can be served.
    void deferLong(int rank, Line& line, double rate, TimePoint now);
    /// @param highestWaiting the highest rank of which a request could not be started before this one
    void recordStart(const DeadlineRequest& request, int highestWaiting, TimePoint now);
    /// Whether requests of this rank or a higher one have waited for a second, in which none of a lower rank
    /// was started in their place.
    bool isContended(int rank, TimePoint now) const;
    void updateContention(TimePoint now);
    void erase(const std::set<uint64_t>& numbers);

    std::vector<Entry> m_entries;
    /// The work that was started, by line.
    std::map<int, WindowSum> m_started;
    /// The work that arrived, by rank and class of sizes.
    std::map<int, std::map<int, WindowSum>> m_arrived;
    /// A time in which requests have waited, with short interruptions only.
    struct Period {
        TimePoint since {};
        TimePoint lastAt {};
    };
    std::optional<Period> m_waiting;
    /// The same for requests of this rank or a higher one, while none of a lower rank was started in their
    /// place.
    std::map<int, Period> m_contended;
    struct LateCredit {
        /// The work to which the late requests of a line are entitled.
        double work = 0;
        double starts = 0;
    };
    std::map<int, LateCredit> m_lateCredit;
};

} // namespace lentilbay
