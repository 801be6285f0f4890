// Tests of the service order: tier priority, deadlines, fairness, and deferral of late requests.
#include "lentilbay/Policy/RequestQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

QueuedRequest waiting(uint64_t sequence, int rank, uint32_t organisation, Duration deadline, double work = 1)
{
    return { .sequence = sequence,
        .rank = rank,
        .organisation = organisation,
        .orderBy = TimePoint(deadline),
        .deadline = TimePoint(deadline),
        .work = work };
}

std::vector<uint64_t> drain(RequestQueue& queue)
{
    std::vector<uint64_t> out;
    while (const auto* it = queue.front()) {
        out.push_back(it->sequence);
        queue.serve(it->sequence);
    }
    return out;
}

TEST(RequestQueue, OrdersByTierThenDeadlineThenArrival)
{
    RequestQueue queue;
    queue.push(waiting(1, 1, 0, 1s));
    queue.push(waiting(2, 0, 0, 9s));
    queue.push(waiting(3, 0, 0, 5s));
    queue.push(waiting(4, 0, 0, 5s));
    EXPECT_EQ(drain(queue), (std::vector<uint64_t> { 3, 4, 2, 1 }));
}

TEST(RequestQueue, LastIsOfLowestTier)
{
    RequestQueue queue;
    EXPECT_EQ(queue.last(), nullptr);
    queue.push(waiting(1, 0, 0, 90s));
    queue.push(waiting(2, 2, 1, 5s));
    queue.push(waiting(3, 2, 2, 7s));
    EXPECT_EQ(queue.last()->sequence, 3U);
    EXPECT_TRUE(queue.remove(3));
    EXPECT_FALSE(queue.remove(3));
    EXPECT_EQ(queue.last()->sequence, 2U);
}

TEST(RequestQueue, DefersLongRequestIfNotAllCanMeetDeadlines)
{
    RequestQueue queue;
    queue.push(waiting(1, 0, 0, 10s, 9));
    for (uint64_t i = 2; i < 10; ++i)
        queue.push(waiting(i, 0, 0, 11s, 1));
    queue.plan(0, 1, TimePoint());
    const auto order = drain(queue);
    EXPECT_EQ(order.front(), 2U);
    EXPECT_EQ(order.back(), 1U);
}

TEST(RequestQueue, DefersNothingIfAllCanMeetDeadlines)
{
    RequestQueue queue;
    queue.push(waiting(1, 0, 0, 10s, 9));
    queue.push(waiting(2, 0, 0, 11s, 1));
    queue.plan(0, 1, TimePoint());
    EXPECT_EQ(drain(queue), (std::vector<uint64_t> { 1, 2 }));
}

TEST(RequestQueue, IdleOrganisationEarnsNoCredit)
{
    RequestQueue queue({ .fairnessSlack = 0 });
    uint64_t sequence = 0;
    for (int i = 0; i < 20; ++i)
        queue.push(waiting(++sequence, 0, 1, 10s));
    for (int i = 0; i < 10; ++i)
        queue.serve(queue.front()->sequence);
    for (int i = 0; i < 20; ++i)
        queue.push(waiting(++sequence, 0, 2, 10s));
    int second = 0;
    for (int i = 0; i < 10; ++i) {
        second += queue.front()->organisation == 2 ? 1 : 0;
        queue.serve(queue.front()->sequence);
    }
    EXPECT_NEAR(second, 5, 1);
}

RC_GTEST_PROP(RequestQueue, NoBackloggedOrganisationFallsBehindByMoreThanSlack, ())
{
    constexpr double slack = 5;
    constexpr int organisations = 4;
    RequestQueue queue({ .fairnessSlack = slack });
    const auto weights = *rc::gen::container<std::vector<double>>(
        organisations, rc::gen::elementOf(std::vector<double> { 0.5, 1, 2 }));
    double largest = 0;
    for (uint64_t i = 0; i < 200; ++i) {
        const auto organisation = static_cast<uint32_t>(i % organisations);
        const double work = *rc::gen::inRange(1, 30) * 0.1;
        auto request = waiting(i, 0, organisation, std::chrono::seconds(*rc::gen::inRange(1, 1000)), work);
        request.weight = weights[organisation];
        largest = std::max(largest, work / request.weight);
        queue.push(request);
    }
    // Stops once one organisation has no more requests, so that all organisations are backlogged throughout.
    std::vector<int> remaining(organisations, 50);
    while (std::find(remaining.begin(), remaining.end(), 0) == remaining.end()) {
        const auto next = *queue.front();
        queue.serve(next.sequence);
        --remaining[next.organisation];
        double least = 1e9;
        double most = 0;
        for (uint32_t i = 0; i < organisations; ++i) {
            least = std::min(least, queue.virtualTime(0, i));
            most = std::max(most, queue.virtualTime(0, i));
        }
        RC_ASSERT(most - least <= slack + largest + 1e-9);
    }
}

RC_GTEST_PROP(RequestQueue, ServesEachRequestOnceAndNoneAfterLowerTier, ())
{
    RequestQueue queue({ .fairnessSlack = 1 });
    const auto ranks = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, maxTiers));
    for (size_t i = 0; i < ranks.size(); ++i) {
        const auto organisation = *rc::gen::inRange<uint32_t>(0, 5);
        queue.push(waiting(i, ranks[i], organisation, std::chrono::seconds(*rc::gen::inRange(0, 50)),
            *rc::gen::inRange(1, 100) * 0.05));
        if (*rc::gen::inRange(0, 4) == 0)
            queue.plan(ranks[i], 2, TimePoint(1s));
    }
    const auto order = drain(queue);
    RC_ASSERT(std::set<uint64_t>(order.begin(), order.end()).size() == ranks.size());
    RC_ASSERT(order.size() == ranks.size());
    for (size_t i = 1; i < order.size(); ++i)
        RC_ASSERT(ranks[order[i - 1]] <= ranks[order[i]]);
}

RC_GTEST_PROP(RequestQueue, RequestsNotDeferredMeetDeadlinesOnOneSlot, ())
{
    std::vector<QueuedRequest> requests;
    const auto n = *rc::gen::inRange<uint64_t>(1, 40);
    requests.reserve(n);
    for (uint64_t i = 0; i < n; ++i) {
        requests.push_back(waiting(
            i, 0, 0, std::chrono::seconds(*rc::gen::inRange(1, 60)), *rc::gen::inRange(1, 100) * 0.1));
    }
    std::vector<QueuedRequest*> pointers;
    pointers.reserve(n);
    for (auto& it : requests)
        pointers.push_back(&it);
    deferLate(pointers, 1, TimePoint());
    double done = 0;
    for (const auto* it : pointers) {
        if (it->deferred)
            continue;
        done += it->work;
        RC_ASSERT(fromSeconds(done - 1e-6) <= it->deadline->time_since_epoch());
    }
}

RC_GTEST_PROP(RequestQueue, WorkAndSizeAddUp, ())
{
    RequestQueue queue;
    double work = 0;
    const auto n = *rc::gen::inRange<uint64_t>(0, 60);
    for (uint64_t i = 0; i < n; ++i) {
        const double each = *rc::gen::inRange(1, 9);
        queue.push(waiting(i, static_cast<int>(i % 3), 0, 1s, each));
        work += each;
    }
    RC_ASSERT(queue.size() == n);
    RC_ASSERT(std::abs(queue.work() - work) < 1e-6);
    drain(queue);
    RC_ASSERT(queue.empty());
    RC_ASSERT(queue.work() == 0);
}

} // namespace
} // namespace lentilbay
