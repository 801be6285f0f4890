// Orders waiting requests by their objectives and refuses those that cannot be in time.
#include "lentilbay/Policy/DeadlineQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>
#include <tuple>
#include <utility>

namespace lentilbay {
namespace {

/// A request that has less than this time left is refused.
constexpr Duration minUsefulTime = std::chrono::milliseconds(50);
/// First events are often late by about this much; a request this close to its objective yields to those that
/// can still meet theirs.
constexpr Duration lateMargin = std::chrono::milliseconds(100);
/// The share of the starts that late requests get while others of their rank wait.
constexpr double lateShare = 0.1;
/// While others can be in time, a late request is kept if it is expected to start within this many times its
/// objective; holding it for longer costs its caller more than a late response is worth.
constexpr int maxLateObjectives = 2;
/// The cost to its caller of a request that is not served is zero up to this fraction of its objective.
constexpr int freeHoldDivisor = 8;
/// Decisions are made at least this often while requests wait, on a host that is not delayed.
constexpr Duration decisionPeriod = std::chrono::milliseconds(50);
/// A shorter queue is a burst that passes.
constexpr Duration contendedTime = std::chrono::seconds(1);

/// A queue that has been empty for no longer is still contended: refusals keep it short.
constexpr Duration contentionGap = std::chrono::milliseconds(250);

/// The service rate is measured over this time, once requests have waited for at least the shorter one;
/// before, it is that of the slots.
constexpr Duration measuredTime = std::chrono::seconds(2);
constexpr Duration minMeasuredTime = std::chrono::milliseconds(500);
/// WindowSum counts up to one bucket of 100 ms beyond the window, half of one on average.
constexpr Duration windowExcess = std::chrono::milliseconds(50);
/// The least that is taken for the service rate, as a fraction of the slots: endpoints that were silent for a
/// while serve again.
constexpr double minRateFraction = 0.1;
/// The least that is taken for the rate of one rank, after what the ranks before it take, as a fraction of
/// the slots.
constexpr double minLineRateFraction = 0.01;
/// The queue is filled up to what can be in time, so that half of the requests would be late if the measured
/// rate were taken as it is.
constexpr double rateMargin = 0.9;
/// The arriving work is measured over this time. A daemon of a large fleet gets some ten requests a second.
constexpr Duration arrivalTime = std::chrono::seconds(2);
/// Classes of sizes for each doubling of the work.
constexpr double classesPerDoubling = 4;
/// A caller that retries sooner would find the same queue.
constexpr double minRetrySeconds = 0.05;

/// The line of requests that have begun, before those of all ranks.
constexpr int begunLine = std::numeric_limits<int>::min();

TimePoint freeHoldEndsAt(const DeadlineRequest& request)
{
    return request.arrivedAt + (request.objectiveAt - request.arrivedAt) / freeHoldDivisor;
}

TimePoint decisionDueAt(const DeadlineRequest& request) { return freeHoldEndsAt(request) - decisionPeriod; }

/// Adds to a sum and drops what is older than any window here, as the sum may not be read for long.
void addBounded(WindowSum& sum, double work, TimePoint now)
{
    sum.add(work, now);
    sum.within(std::max(arrivalTime, measuredTime), now);
}

int sizeClassOf(double work)
{
    constexpr double leastWork = 1e-3;
    return static_cast<int>(std::floor(classesPerDoubling * std::log2(std::max(leastWork, work))));
}

} // namespace

TimePoint DeadlineRequest::latestStart() const { return objectiveAt - timeToFirstEvent - lateMargin; }

void deferLate(std::span<PlannedRequest> requests, double rate, TimePoint freeAt)
{
    const auto isShorter = [](const PlannedRequest* a, const PlannedRequest* b) {
        return std::tie(a->work, a->number) < std::tie(b->work, b->number);
    };
    std::priority_queue<PlannedRequest*, std::vector<PlannedRequest*>, decltype(isShorter)> kept(isShorter);
    double work = 0;
    for (auto& it : requests) {
        it.isDeferred = false;
        if (!it.latestStart)
            continue;
        // To defer others would not help a request that would be late in front of all of them.
        const bool isTooLate = freeAt > *it.latestStart;
        it.isDeferred = isTooLate && it.isDeferrable;
        work += it.isDeferred ? 0 : it.work;
        if (isTooLate)
            continue;
        if (it.isDeferrable)
            kept.push(&it);
        // It starts once the kept work before it, spread over all slots, is done.
        const auto isLate
            = [&] { return freeAt + fromSeconds(std::max(0.0, work - it.work) / rate) > *it.latestStart; };
        while (isLate() && !it.isDeferred && !kept.empty()) {
            auto* longest = kept.top();
            kept.pop();
            longest->isDeferred = true;
            work -= longest->work;
        }
    }
}

int DeadlineQueue::lineOf(const DeadlineRequest& request)
{
    return request.hasBegun ? begunLine : request.rank;
}

void DeadlineQueue::push(const DeadlineRequest& request) { m_entries.push_back({ .request = request }); }

bool DeadlineQueue::remove(uint64_t number)
{
    return std::erase_if(m_entries, [&](const auto& it) { return it.request.number == number; }) > 0;
}

void DeadlineQueue::erase(const std::set<uint64_t>& numbers)
{
    std::erase_if(m_entries, [&](const auto& it) { return numbers.contains(it.request.number); });
}

double DeadlineQueue::rateFrom(int line, double slots, TimePoint now)
{
    const auto waited = m_waiting ? now - m_waiting->since : Duration::zero();
    if (waited < minMeasuredTime)
        return slots;
    const auto window = std::min(waited, measuredTime);
    double work = 0;
    double workBefore = 0;
    for (auto& [each, started] : m_started)
        (each >= line ? work : workBefore) += started.within(window, now);
    const double seconds = toSeconds(window + windowExcess);
    const double all = std::max((work + workBefore) / seconds, slots * minRateFraction);
    return std::max(all - workBefore / seconds, slots * minLineRateFraction);
}

int DeadlineQueue::largestServedSize(int rank, double rate, TimePoint now)
{
    double work = 0;
    for (auto& [size, arrived] : m_arrived[rank]) {
        work += arrived.within(arrivalTime, now);
        if (work > rate * toSeconds(arrivalTime))
            return size;
    }
    return std::numeric_limits<int>::max();
}

void DeadlineQueue::deferLong(int rank, Line& line, double rate, TimePoint now)
{
    const int largest = largestServedSize(rank, rate, now);
    for (auto* it : line.inTime) {
        it->isDeferred = !it->isCommitted && !it->request.hasBegun && sizeClassOf(it->request.work) > largest;
    }
}

std::map<int, DeadlineQueue::Line> DeadlineQueue::plan(double slots, TimePoint now)
{
    std::map<int, Line> lines;
    for (auto& it : m_entries) {
        it.request.isLate = now > it.request.latestStart();
        it.isDeferred = false;
        if (!std::exchange(it.isCounted, true)) {
            if (it.request.isRequeued)
                it.isCommitted = now >= decisionDueAt(it.request);
            else if (!it.request.hasBegun)
                addBounded(m_arrived[it.request.rank][sizeClassOf(it.request.work)], it.request.work, now);
        }
        auto& line = lines[lineOf(it.request)];
        (it.request.isLate ? line.late : line.inTime).push_back(&it);
    }
    for (auto& it : m_entries) {
        const bool isOfLowerRank = !m_arrived.empty() && it.request.rank > m_arrived.begin()->first;
        it.request.isYielding = !it.request.hasBegun
            && (it.request.isLate || (isOfLowerRank && now < freeHoldEndsAt(it.request)));
    }
    const auto keyOf = [](const Entry* it) {
        const auto& request = it->request;
        return DeadlineKey { .isDeferred = it->isDeferred,
            .orderBy = it->isDeferred ? TimePoint {} : request.latestStart(),
            .work = request.work,
            .number = request.number };
    };
    const auto byKey = [&](const Entry* a, const Entry* b) { return keyOf(a) < keyOf(b); };
    const double rate = rateFrom(begunLine, slots, now);
    double workBefore = 0;
    for (auto& [rank, line] : lines) {
        std::ranges::sort(line.late, {},
            [](const Entry* it) { return std::make_pair(it->request.arrivedAt, it->request.number); });
        const double ownRate = rateFrom(rank, slots, now);
        if (isContended(rank, now))
            deferLong(rank, line, ownRate, now);
        std::ranges::sort(line.inTime, byKey);
        std::vector<PlannedRequest> planned;
        planned.reserve(line.inTime.size());
        for (const auto* it : line.inTime) {
            if (it->isDeferred)
                break;
            planned.push_back({ .latestStart = it->request.latestStart(),
                .work = it->request.work,
                .number = it->request.number,
                .isDeferrable = !it->isCommitted && !it->request.hasBegun });
        }
        deferLate(planned, ownRate * rateMargin, now + fromSeconds(workBefore / rate));
        for (size_t i = 0; i < planned.size(); ++i)
            line.inTime[i]->isDeferred = planned[i].isDeferred;
        for (const auto* it : line.inTime)
            workBefore += it->request.work;
        std::ranges::sort(line.inTime, byKey);
        for (const auto* it : line.late)
            workBefore += it->request.work;
    }
    return lines;
}

void DeadlineQueue::recordStart(const DeadlineRequest& request, int highestWaiting, TimePoint now)
{
    addBounded(m_started[lineOf(request)], request.work, now);
    if (request.hasBegun)
        return;
    for (auto& [rank, period] : m_contended) {
        if (rank >= highestWaiting && rank < request.rank)
            period.since = now;
    }
}

void DeadlineQueue::start(
    double slots, const std::function<bool(const DeadlineRequest&)>& tryStart, TimePoint now)
{
    std::set<uint64_t> started;
    int highestWaiting = std::numeric_limits<int>::max();
    const auto startNow = [&](const Entry& it) {
        if (!tryStart(it.request)) {
            if (!it.request.hasBegun)
                highestWaiting = std::min(highestWaiting, it.request.rank);
            return false;
        }
        recordStart(it.request, highestWaiting, now);
        started.insert(it.request.number);
        return true;
    };
    for (const auto& each : plan(slots, now)) {
        const auto& line = each.second;
        auto& credit = m_lateCredit[each.first];
        size_t late = 0;
        const auto isEntitled = [&] {
            return late < line.late.size() && credit.starts >= 1
                && credit.work >= line.late[late]->request.work;
        };
        for (const auto* it : line.inTime) {
            while (isEntitled()) {
                const auto& next = *line.late[late++];
                if (startNow(next))
                    credit = {};
            }
            if (!startNow(*it) || line.late.empty())
                continue;
            credit.starts += lateShare / (1 - lateShare);
            credit.work += it->request.work * lateShare / (1 - lateShare);
        }
        for (; late < line.late.size(); ++late)
            startNow(*line.late[late]);
        if (line.late.empty())
            credit = {};
    }
    erase(started);
    updateContention(now);
}

void DeadlineQueue::updateContention(TimePoint now)
{
    const auto isOver = [&](const Period& it) { return now - it.lastAt > contentionGap; };
    if (m_waiting && isOver(*m_waiting))
        m_waiting.reset();
    std::erase_if(m_contended, [&](const auto& it) { return isOver(it.second); });
    if (m_entries.empty())
        return;
    if (!m_waiting)
        m_waiting = { .since = now };
    m_waiting->lastAt = now;
    int highest = std::numeric_limits<int>::max();
    for (const auto& it : m_entries) {
        if (it.request.hasBegun)
            continue;
        highest = std::min(highest, it.request.rank);
        m_contended.try_emplace(it.request.rank, Period { .since = now, .lastAt = now });
    }
    for (auto& [rank, period] : m_contended) {
        if (rank >= highest)
            period.lastAt = now;
    }
}

bool DeadlineQueue::isContended(TimePoint now) const
{
    return isContended(std::numeric_limits<int>::max(), now);
}

bool DeadlineQueue::isContended(int rank, TimePoint now) const
{
    return std::ranges::any_of(m_contended,
        [&](const auto& it) { return it.first <= rank && now - it.second.since >= contendedTime; });
}

std::vector<DeadlineQueue::Refusal> DeadlineQueue::refuse(
    double slots, const DeadlineQueueOptions& options, TimePoint now)
{
    std::vector<Refusal> out;
    std::set<uint64_t> refused;
    const double rate = rateFrom(begunLine, slots, now);
    double workBefore = 0;
    for (const auto& each : plan(slots, now)) {
        const auto& line = each.second;
        const bool refusesDeferred = isContended(each.first, now);
        const double ownRate = rateFrom(each.first, slots, now);
        const auto firstStart = now + fromSeconds(workBefore / rate);
        double work = 0;
        const auto decideOn = [&](Entry& it, double waitedWork, bool isRefused) {
            const auto startsAt = firstStart + fromSeconds(waitedWork / ownRate);
            std::optional<RefusalCause> cause;
            if (workBefore + work > options.maxQueuedSeconds * slots)
                cause = RefusalCause::QueueLength;
            else if (startsAt + minUsefulTime >= it.request.expiresAt)
                cause = RefusalCause::Expiry;
            else if (isRefused)
                cause = RefusalCause::Objective;
            if (cause && !it.request.hasBegun) {
                out.push_back({ .number = it.request.number,
                    .cause = *cause,
                    .retryAfter = std::min(
                        options.maxRetryAfter, std::max(fromSeconds(minRetrySeconds), startsAt - now)) });
                refused.insert(it.request.number);
                return false;
            }
            it.isCommitted = it.isCommitted || now >= decisionDueAt(it.request);
            work += it.request.work;
            return true;
        };
        for (auto* it : line.inTime)
            decideOn(*it, work,
                it->isDeferred && !it->isCommitted && refusesDeferred && now >= decisionDueAt(it->request));
        // While others wait, late requests advance by their share of the starts.
        const double workInTime = work;
        double lateWork = 0;
        for (auto* it : line.late) {
            const double waitedWork
                = refusesDeferred && workInTime > 0 ? lateWork / lateShare : workInTime + lateWork;
            const auto& request = it->request;
            const auto startsAt = firstStart + fromSeconds(waitedWork / ownRate);
            const bool isTooLate = refusesDeferred && workBefore + workInTime > 0
                && startsAt - request.arrivedAt
                    > maxLateObjectives * (request.objectiveAt - request.arrivedAt);
            if (decideOn(*it, waitedWork, isTooLate))
                lateWork += request.work;
        }
        workBefore += work;
    }
    erase(refused);
    updateContention(now);
    return out;
}

} // namespace lentilbay
