// Tests of the order by objectives, of the share of late requests and of refusals.
#include "lentilbay/Policy/DeadlineQueue.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint startAt(10s);
constexpr Duration step = 20ms;

/// A queue in virtual time in front of slots of which one becomes free every `slotPeriod`.
class DeadlineQueueTest : public testing::Test {
protected:
    struct Options {
        int rank = 0;
        Duration objective = 1s;
        Duration timeToFirstEvent = 100ms;
        double work = 0.1;
        Duration patience = 20s;
    };

    uint64_t push(const Options& options)
    {
        queue.push({ .number = ++numbers,
            .rank = options.rank,
            .arrivedAt = now,
            .objectiveAt = now + options.objective,
            .expiresAt = now + options.patience,
            .timeToFirstEvent = options.timeToFirstEvent,
            .work = options.work });
        arrivals[numbers] = now;
        return numbers;
    }

    /// Starts up to `n` requests; returns their numbers in order.
    std::vector<uint64_t> start(size_t n)
    {
        std::vector<uint64_t> out;
        queue.start(
            1,
            [&](const DeadlineRequest& it) {
                if (out.size() == n)
                    return false;
                out.push_back(it.number);
                started.insert(it.number);
                lateStarts += it.isLate ? 1 : 0;
                lastWork = it.work;
                return true;
            },
            now);
        return out;
    }

    std::vector<DeadlineQueue::Refusal> refuse() { return queue.refuse(1, {}, now); }

    /// Starts one request every `slotPeriod`, or, if that is zero, when the one before has ended; and decides
    /// every `step`, until `until`; calls `each` before each decision.
    template <class Each> void run(TimePoint until, Duration slotPeriod, Each each)
    {
        for (; now < until; now += step) {
            each();
            if (now >= nextSlotAt && !start(1).empty())
                nextSlotAt = now + (slotPeriod > 0s ? slotPeriod : fromSeconds(lastWork));
            else
                start(0);
            for (const auto& it : refuse()) {
                refused.push_back(it);
                held[it.number] = now - arrivals.at(it.number);
            }
        }
    }

    bool isRefused(uint64_t number) const
    {
        return std::ranges::find(refused, number, &DeadlineQueue::Refusal::number) != refused.end();
    }

    DeadlineQueue queue;
    TimePoint now = startAt;
    TimePoint nextSlotAt = startAt;
    uint64_t numbers = 0;
    size_t lateStarts = 0;
    double lastWork = 0;
    std::vector<DeadlineQueue::Refusal> refused;
    std::set<uint64_t> started;
    std::map<uint64_t, TimePoint> arrivals;
    /// The time from the arrival to the refusal.
    std::map<uint64_t, Duration> held;
};

using Numbers = std::vector<uint64_t>;

TEST_F(DeadlineQueueTest, RanksAreStrict)
{
    push({ .rank = 1, .objective = 500ms });
    push({ .rank = 0, .objective = 5s });
    EXPECT_EQ(start(2), (Numbers { 2, 1 }));
}

TEST_F(DeadlineQueueTest, StartsByTheLatestStartAndNotByTheObjective)
{
    // Guards against an order by the objective alone: request 1 is due first, but request 2 needs most of its
    // time for its prompt.
    push({ .objective = 1s, .timeToFirstEvent = 100ms });
    push({ .objective = 1200ms, .timeToFirstEvent = 900ms });
    EXPECT_EQ(start(2), (Numbers { 2, 1 }));
}

TEST_F(DeadlineQueueTest, OfEqualRequestsTheSmallerStartsFirst)
{
    push({ .work = 0.3 });
    push({ .work = 0.1 });
    EXPECT_EQ(start(2), (Numbers { 2, 1 }));
}

TEST_F(DeadlineQueueTest, DefersTheLongestIfNotAllCanBeInTime)
{
    // Guards against an order that serves one request in time where four could be.
    push({ .objective = 900ms, .work = 2 });
    for (int i = 0; i < 4; ++i)
        push({ .objective = 1s, .work = 0.2 });
    EXPECT_EQ(start(5), (Numbers { 2, 3, 4, 5, 1 }));
}

TEST_F(DeadlineQueueTest, LateRequestsGetATenthOfTheStartsOldestFirst)
{
    // Guards against late requests that take the slots of others, and against those that wait for ever.
    std::vector<uint64_t> late;
    late.reserve(20);
    for (int i = 0; i < 20; ++i)
        late.push_back(push({ .objective = 50ms, .work = 0.01 }));
    std::vector<uint64_t> order;
    for (int i = 0; i < 100; ++i) {
        push({ .objective = 2s, .work = 0.01 });
        push({ .objective = 2s, .work = 0.01 });
        for (const auto it : start(1))
            order.push_back(it);
        now += 1ms;
    }
    EXPECT_NEAR(static_cast<double>(lateStarts), 10, 1);
    std::erase_if(order, [&](auto it) { return it > late.back(); });
    EXPECT_TRUE(std::ranges::is_sorted(order));
}

TEST_F(DeadlineQueueTest, LateRequestsDoNotWaitForRequestsOfLowerRanks)
{
    push({ .rank = 0, .objective = 50ms });
    push({ .rank = 1, .objective = 2s });
    EXPECT_EQ(start(1), (Numbers { 1 }));
}

TEST_F(DeadlineQueueTest, RefusesNothingInAShortBurst)
{
    // One that passes within a second: all of them can be served within their patience.
    run(startAt + 900ms, 100ms, [&] {
        if (now < startAt + 100ms)
            push({ .objective = 500ms });
    });
    EXPECT_TRUE(refused.empty());
}

TEST_F(DeadlineQueueTest, RefusesEarlyWhatCannotBeInTimeUnderOverload)
{
    // Guards against requests that are held until they are late or expire: twice the work that can be done.
    TimePoint nextAt = startAt;
    run(startAt + 10s, 100ms, [&] {
        if (now < nextAt)
            return;
        nextAt += 50ms;
        push({ .objective = 800ms });
    });
    EXPECT_GT(refused.size(), 60U);
    size_t heldLong = 0;
    for (const auto& [number, time] : held) {
        if (arrivals.at(number) > startAt + 3s && time > 100ms + step)
            ++heldLong;
    }
    EXPECT_LE(heldLong, refused.size() / 20);
    EXPECT_LE(lateStarts, 16U) << "about a tenth of 100 starts, and the requests of the first second";
}

TEST_F(DeadlineQueueTest, RetryTimeIsThatOfTheExpectedStart)
{
    TimePoint nextAt = startAt;
    run(startAt + 5s, 100ms, [&] {
        if (now < nextAt)
            return;
        nextAt += 50ms;
        push({ .objective = 800ms });
    });
    ASSERT_FALSE(refused.empty());
    EXPECT_GT(refused.back().retryAfter, 400ms) << "about 6 requests of 100 ms are in front";
    EXPECT_LT(refused.back().retryAfter, 1500ms);
}

TEST_F(DeadlineQueueTest, DoesNotRefuseAHigherRankWhileALowerOneIsStarted)
{
    // Guards against refusals by prediction where a lower rank can use slots that the higher one cannot.
    uint64_t first = 0;
    for (; now < startAt + 4s; now += step) {
        const auto number = push({ .rank = 0, .objective = 300ms, .work = 0.02 });
        first = std::max(first, number);
        push({ .rank = 1, .objective = 300ms, .work = 0.02 });
        queue.start(
            1, [&](const DeadlineRequest& it) { return it.rank == 1; }, now);
        for (const auto& it : queue.refuse(1, { .maxQueuedSeconds = 100 }, now))
            EXPECT_EQ(it.number, 0U);
    }
}

TEST_F(DeadlineQueueTest, PredictionsOfALowerRankCountWhatHigherOnesTake)
{
    // Guards against lower ranks that are kept and become late: three quarters of the slots go to rank 0.
    TimePoint nextAt = startAt;
    std::vector<uint64_t> lower;
    run(startAt + 6s, 100ms, [&] {
        if (now < nextAt)
            return;
        nextAt += 400ms;
        for (int i = 0; i < 3; ++i)
            push({ .rank = 0, .objective = 2s });
        for (int i = 0; i < 4; ++i)
            lower.push_back(push({ .rank = 1, .objective = 800ms }));
    });
    const auto n = std::ranges::count_if(lower, [&](auto it) { return isRefused(it); });
    EXPECT_GT(n, 20);
    for (const auto& it : refused)
        EXPECT_TRUE(std::ranges::find(lower, it.number) != lower.end());
    const auto heldLong = std::ranges::count_if(
        held, [&](const auto& it) { return arrivals.at(it.first) > startAt + 3s && it.second > 120ms; });
    EXPECT_LE(heldLong, 4);
}

TEST_F(DeadlineQueueTest, KeptRequestsAreNotDisplacedAfterAnEighthOfTheirObjective)
{
    // Guards against requests that are held and then refused for the sake of shorter ones that came later.
    TimePoint nextAt = startAt;
    uint64_t kept = 0;
    run(startAt + 4s, 100ms, [&] {
        if (now < nextAt)
            return;
        nextAt += 80ms;
        if (now >= startAt + 2s && kept == 0)
            kept = push({ .objective = 3s });
        push({ .objective = now < startAt + 2s ? 900ms : 600ms, .work = 0.1 });
    });
    ASSERT_NE(kept, 0U);
    EXPECT_FALSE(isRefused(kept));
    EXPECT_FALSE(refused.empty());
}

TEST_F(DeadlineQueueTest, RequestThatIsQueuedAgainIsStillKept)
{
    // Guards against refusing long requests that had been kept or sent, when an endpoint has rejected them or
    // all requests are queued again.
    TimePoint nextAt = startAt;
    std::array<std::vector<uint64_t>, 2> longOnes;
    run(startAt + 8s, 0ms, [&] {
        if (now < nextAt)
            return;
        nextAt += 100ms;
        for (const auto work : { 0.02, 0.02, 0.1 })
            push({ .objective = 800ms, .work = work });
        const bool isRequeued = (nextAt - startAt) / 100ms % 10 == 0;
        const auto number = push({ .objective = 800ms, .work = 0.4 });
        queue.remove(number);
        queue.push({ .number = number,
            .isRequeued = isRequeued,
            .arrivedAt = now - 150ms,
            .objectiveAt = now + 650ms,
            .expiresAt = now + 20s,
            .timeToFirstEvent = 100ms,
            .work = 0.4 });
        if (now > startAt + 3s && now < startAt + 7s)
            longOnes.at(isRequeued ? 1 : 0).push_back(number);
    });
    const auto refusedOf = [&](const auto& those) {
        return std::ranges::count_if(those, [&](auto it) { return isRefused(it); });
    };
    EXPECT_GT(refusedOf(longOnes[0]), 30);
    EXPECT_EQ(longOnes[1].size(), 4U);
    EXPECT_LE(refusedOf(longOnes[1]), 1) << "what becomes late may be refused";
}

TEST_F(DeadlineQueueTest, UnderLastingOverloadTheLongestAreRefused)
{
    // Guards against long requests that are kept because they fit when they arrive, and then take the time of
    // several short ones: the small and a part of the medium ones are all that can be done.
    TimePoint nextAt = startAt;
    std::array<std::vector<uint64_t>, 3> numbersOf;
    run(startAt + 12s, 0ms, [&] {
        if (now < nextAt)
            return;
        nextAt += 100ms;
        const std::array work { 0.02, 0.02, 0.1, 0.4 };
        for (size_t i = 0; i < work.size(); ++i) {
            const auto number = push({ .objective = 800ms, .work = work.at(i) });
            if (now > startAt + 2s)
                numbersOf.at(i < 2 ? 0 : i - 1).push_back(number);
        }
    });
    const auto refusedOf = [&](size_t size) {
        return static_cast<double>(std::ranges::count_if(numbersOf.at(size), [&](auto it) {
            return isRefused(it);
        })) / static_cast<double>(numbersOf.at(size).size());
    };
    EXPECT_LT(refusedOf(0), 0.35);
    EXPECT_LT(refusedOf(0), refusedOf(1));
    EXPECT_GT(refusedOf(2), 0.95);
}

TEST_F(DeadlineQueueTest, AShortPauseDoesNotEndContention)
{
    // Guards against a queue that is kept short by refusals, runs empty for a moment, and then keeps
    // everything that arrives for another second.
    for (; now < startAt + 1200ms; now += step) {
        push({ .patience = 300ms });
        start(0);
        refuse();
    }
    EXPECT_TRUE(queue.isContended(now));
    start(1000);
    now += 100ms;
    push({});
    start(0);
    EXPECT_TRUE(queue.isContended(now));
    start(1000);
    refuse();
    now += 400ms;
    push({});
    start(0);
    refuse();
    EXPECT_FALSE(queue.isContended(now));
}

TEST_F(DeadlineQueueTest, LateRequestsAreNotHeldUntilTheyExpire)
{
    // Guards against late requests that are kept for as long as they may wait while others are in time.
    for (int i = 0; i < 15; ++i)
        push({ .objective = 300ms, .patience = 60s });
    const auto last = numbers;
    TimePoint nextAt = startAt;
    run(startAt + 5s, 100ms, [&] {
        if (now < nextAt)
            return;
        nextAt += 80ms;
        push({ .objective = 2s });
    });
    size_t left = 0;
    for (uint64_t number = 1; number <= last; ++number)
        left += isRefused(number) || started.contains(number) ? 0 : 1;
    EXPECT_EQ(left, 0U);
}

TEST_F(DeadlineQueueTest, LowerRanksAndLateRequestsYield)
{
    // Guards against requests that take slots which other daemons' requests of the highest rank need.
    const auto yields = [&] {
        std::map<uint64_t, bool> out;
        queue.start(
            1,
            [&](const DeadlineRequest& it) {
                out[it.number] = it.isYielding;
                return false;
            },
            now);
        return out;
    };
    const auto highest = push({ .rank = 1, .objective = 800ms });
    const auto lower = push({ .rank = 2, .objective = 800ms });
    const auto late = push({ .rank = 1, .objective = 50ms });
    EXPECT_EQ(yields(), (std::map<uint64_t, bool> { { highest, false }, { lower, true }, { late, true } }));
    now += 100ms;
    EXPECT_EQ(yields(), (std::map<uint64_t, bool> { { highest, false }, { lower, false }, { late, true } }))
        << "a lower rank yields for an eighth of its objective";
}

TEST_F(DeadlineQueueTest, BegunRequestsStartFirstAndAreNotRefused)
{
    for (int i = 0; i < 50; ++i)
        push({});
    queue.push({ .number = ++numbers,
        .rank = 5,
        .hasBegun = true,
        .arrivedAt = now,
        .objectiveAt = now,
        .expiresAt = now + 10ms,
        .work = 1 });
    EXPECT_FALSE(refuse().empty());
    EXPECT_EQ(start(1), (Numbers { 51 }));
}

TEST(DeferLate, ALateRequestDefersNoOthers)
{
    // Guards against requests that are deferred for one that cannot be in time whatever is deferred.
    std::vector<PlannedRequest> requests { { .latestStart = TimePoint(20s), .work = 2, .number = 1 },
        { .latestStart = TimePoint(1s), .work = 1, .number = 2 } };
    deferLate(requests, 1, startAt);
    EXPECT_FALSE(requests[0].isDeferred);
    EXPECT_TRUE(requests[1].isDeferred);
}

TEST(DeferLate, DoesNotDeferWhatMustBeKept)
{
    std::vector<PlannedRequest> requests {
        { .latestStart = startAt, .work = 5, .number = 1, .isDeferrable = false },
        { .latestStart = startAt + 2s, .work = 1, .number = 2 }
    };
    deferLate(requests, 1, startAt);
    EXPECT_FALSE(requests[0].isDeferred);
    EXPECT_TRUE(requests[1].isDeferred);
}

} // namespace
} // namespace lentilbay
