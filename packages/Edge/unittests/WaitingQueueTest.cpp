// Tests which requests start, wait or are rejected.
#include "lentilbay/Edge/WaitingQueue.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const ServiceId service("s");
constexpr Work edit { .isStream = true, .promptTokens = 6000, .answerTokens = 380 };

class WaitingQueueTest : public testing::Test {
protected:
    WaitingQueueTest()
    {
        endpointRegistry.list({ .id = EndpointId("e"),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 2 });
    }

    void push(uint64_t number, int rank, TimePoint arrivedAt, Duration deadline = 10s)
    {
        queue.push({ .number = number,
            .rank = rank,
            .query = { .service = service, .work = edit, .objectiveAt = arrivedAt + 800ms },
            .arrivedAt = arrivedAt,
            .expiresAt = arrivedAt + deadline });
    }

    static std::vector<uint64_t> numbersOf(const auto& list)
    {
        std::vector<uint64_t> out(list.size());
        std::ranges::transform(list, out.begin(), [](const auto& it) { return it.number; });
        return out;
    }

    EndpointRegistry endpointRegistry { { .ownDataCentre = DataCentreId("a") }, 1 };
    WaitingQueue queue { endpointRegistry };
};

using Numbers = std::vector<uint64_t>;

TEST_F(WaitingQueueTest, StartsTheMostUrgentFirst)
{
    push(1, 2, TimePoint(1s));
    push(2, 0, TimePoint(1s));
    push(3, 1, TimePoint(1s));
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(1s)).started), (Numbers { 2, 3 }));
    EXPECT_EQ(queue.size(), 1U);
    endpointRegistry.find(EndpointId("e"))->recordEnd(edit, SendOutcome::Succeeded, false, TimePoint(1200ms));
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(1200ms)).started), (Numbers { 1 }));
}

TEST_F(WaitingQueueTest, RequestsThatCanMeetTheirObjectiveGoBeforeLateOnes)
{
    push(1, 0, TimePoint(1s));
    push(2, 0, TimePoint(3s));
    endpointRegistry.find(EndpointId("e"))->recordSend(edit, TimePoint(3s));
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(3s)).started), (Numbers { 2 }));
}

TEST_F(WaitingQueueTest, RequestThatWouldMissItsObjectiveIfStartedNowYields)
{
    // In a long burst the request with the earliest objective is always about to miss it (djspu-edit
    // scale-1).
    push(1, 0, TimePoint(1s));
    push(2, 0, TimePoint(1500ms));
    endpointRegistry.find(EndpointId("e"))->recordSend(edit, TimePoint(1750ms));
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(1750ms)).started), (Numbers { 2 }))
        << "request 1 has 50 ms left, and its first event takes longer";
}

TEST_F(WaitingQueueTest, RejectsABurstImmediatelyWithARetryTime)
{
    // A burst of a hundred requests for two slots.
    for (uint64_t i = 1; i <= 100; ++i)
        push(i, 0, TimePoint(1s));
    const auto decisions = queue.decide(TimePoint(1s));
    EXPECT_EQ(decisions.started.size(), 2U);
    EXPECT_GT(decisions.rejected.size(), 80U);
    for (const auto& it : decisions.rejected)
        EXPECT_GT(it.retryAfter, Duration(1s)) << "room is not expected before the queue has advanced";
    EXPECT_GT(queue.size(), 0U) << "requests that can start soon wait";
}

TEST_F(WaitingQueueTest, RetryTimeFollowsTheMeasuredServiceRate)
{
    // Guards against times that follow from estimates of the endpoints alone: one that has stopped to serve
    // is expected to have room as soon as one that serves.
    const auto timeAfter = [](Duration betweenEnds) {
        EndpointRegistry registry { { .ownDataCentre = DataCentreId("a") }, 1 };
        registry.list({ .id = EndpointId("e"),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 2 });
        const auto endpoint = registry.find(EndpointId("e"));
        WaitingQueue waiting(registry);
        uint64_t number = 0;
        Duration out {};
        TimePoint nextEnd = TimePoint(1s) + betweenEnds;
        for (TimePoint now(1s); now < TimePoint(4s); now += 100ms) {
            for (int i = 0; i < 5; ++i)
                waiting.push({ .number = ++number,
                    .query = { .service = service, .work = edit, .objectiveAt = now + 800ms },
                    .arrivedAt = now,
                    .expiresAt = now + 30s });
            if (now >= nextEnd) {
                endpoint->recordEnd(edit, SendOutcome::Neutral, false, now);
                nextEnd += betweenEnds;
            }
            for (const auto& it : waiting.decide(now).rejected)
                out = it.retryAfter;
        }
        return out;
    };
    const auto fast = timeAfter(300ms);
    const auto slow = timeAfter(1s);
    const auto stopped = timeAfter(1h);
    EXPECT_GT(fast, Duration::zero());
    EXPECT_GT(slow, fast * 2);
    EXPECT_GT(stopped, slow);
}

TEST_F(WaitingQueueTest, RejectsTheLeastUrgentFirst)
{
    for (uint64_t i = 1; i <= 10; ++i)
        push(i, 1, TimePoint(1s));
    for (uint64_t i = 11; i <= 20; ++i)
        push(i, 0, TimePoint(1s));
    const auto decisions = queue.decide(TimePoint(1s));
    const auto away = numbersOf(decisions.rejected);
    EXPECT_FALSE(away.empty());
    const bool anyUrgent = std::ranges::any_of(away, [](auto it) { return it > 10; });
    const bool allOthers = std::ranges::count_if(away, [](auto it) { return it <= 10; }) == 10;
    EXPECT_TRUE(!anyUrgent || allOthers);
}

TEST_F(WaitingQueueTest, RejectsRequestsThatCannotStartBeforeTheyExpire)
{
    endpointRegistry.find(EndpointId("e"))->recordSend(edit, TimePoint(1s));
    endpointRegistry.find(EndpointId("e"))->recordSend(edit, TimePoint(1s));
    push(1, 0, TimePoint(1s), 200ms);
    EXPECT_TRUE(queue.decide(TimePoint(1s)).rejected.empty());
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(1160ms)).rejected), (Numbers { 1 }));
    EXPECT_EQ(queue.size(), 0U);
}

TEST_F(WaitingQueueTest, RequestsWereHeldUntilTheyExpiredBehindAQueueThatHardlyAdvanced)
{
    // Guards against predictions that follow from the estimates of the endpoints alone, while other daemons
    // take most of the slots.
    for (int i = 0; i < 2; ++i)
        endpointRegistry.find(EndpointId("e"))->recordSend(edit, TimePoint(1s));
    push(1, 0, TimePoint(1s), 30s);
    for (TimePoint now(1s); now < TimePoint(3s); now += 100ms)
        EXPECT_TRUE(queue.decide(now).rejected.empty());
    push(2, 1, TimePoint(3s), 4s);
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(3s)).rejected), (Numbers { 2 }));
    EXPECT_EQ(queue.size(), 1U);
}

TEST_F(WaitingQueueTest, BegunRequestsGoFirstAndAreNotRejected)
{
    for (uint64_t i = 1; i <= 100; ++i)
        push(i, 0, TimePoint(1s));
    queue.push({ .number = 200,
        .rank = 2,
        .hasBegun = true,
        .query = { .service = service, .work = edit, .objectiveAt = TimePoint(500ms) },
        .arrivedAt = TimePoint(1s),
        .expiresAt = TimePoint(11s) });
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(1s)).started).front(), 200U);
    queue.push({ .number = 201,
        .rank = 2,
        .hasBegun = true,
        .query = { .service = service, .work = edit, .objectiveAt = TimePoint(500ms) },
        .arrivedAt = TimePoint(1s),
        .expiresAt = TimePoint(1200ms) });
    const auto away = numbersOf(queue.decide(TimePoint(1s)).rejected);
    EXPECT_EQ(std::ranges::count(away, 201U), 0);
}

TEST_F(WaitingQueueTest, ShortPromptsAvoidFastEndpointsUnderContention)
{
    // Engines five times slower than others still serve short prompts in time (djspu-edit scale-1).
    for (const auto* id : { "fast", "slow" })
        endpointRegistry.list({ .id = EndpointId(id),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 10 });
    for (int i = 0; i < 60; ++i)
        endpointRegistry.find(EndpointId("slow"))->recordProgress(6, 75ms, TimePoint(1s));
    const auto chosenFor = [&](uint64_t number, double promptTokens) {
        queue.push({ .number = number,
            .rank = 1,
            .query = { .service = service,
                .work = { .isStream = true, .promptTokens = promptTokens, .answerTokens = 60 },
                .objectiveAt = TimePoint(1800ms) },
            .arrivedAt = TimePoint(1s),
            .expiresAt = TimePoint(11s) });
        return queue.decide(TimePoint(1s)).started.at(0).endpoint->entry().id.text();
    };
    EXPECT_NE(chosenFor(1, 6000), "slow");
    EXPECT_NE(chosenFor(2, 100), "slow") << "without contention every request gets a fast endpoint";
    for (const auto* id : { "e", "fast", "slow" }) {
        const auto endpoint = endpointRegistry.find(EndpointId(id));
        while (endpoint->load() < endpoint->entry().slots - 1)
            endpoint->recordSend({ .isStream = true }, TimePoint(1s));
    }
    EXPECT_EQ(chosenFor(3, 100), "slow");
    EXPECT_NE(chosenFor(4, 6000), "slow");
}

TEST_F(WaitingQueueTest, RefusesEarlyUnderLastingOverload)
{
    // Guards against requests that are held for longer than an eighth of their objective and refused then:
    // ten requests a second can be started, and twenty arrive.
    std::map<uint64_t, TimePoint> arrivals;
    const auto endpoint = endpointRegistry.find(EndpointId("e"));
    uint64_t number = 0;
    size_t refusals = 0;
    size_t heldLong = 0;
    for (TimePoint now(1s); now < TimePoint(9s); now += 50ms) {
        const bool isSlotFree = endpoint->ownInFlight() > 0 && now.time_since_epoch() % 100ms == 0ms;
        if (isSlotFree)
            endpoint->recordEnd(edit, SendOutcome::Neutral, false, now);
        push(++number, 0, now, 20s);
        arrivals[number] = now;
        for (const auto& it : queue.decide(now).rejected) {
            ++refusals;
            EXPECT_TRUE(it.cause.has_value());
            heldLong += arrivals[it.number] > TimePoint(4s) && now - arrivals[it.number] > 100ms ? 1 : 0;
        }
    }
    EXPECT_GT(refusals, 50U);
    EXPECT_LE(heldLong, 5U);
}

TEST_F(WaitingQueueTest, LowerRanksLeaveLentSlotsToOtherDaemons)
{
    // Guards against a lower rank that takes, by an old report, a slot which is assigned to another daemon:
    // the endpoint then rejects that daemon's requests of the highest rank.
    std::vector<SlotAssignment::Daemon> daemons;
    daemons.reserve(21);
    for (int i = 0; i < 20; ++i)
        daemons.push_back({ .name = "d" + std::to_string(i), .dataCentre = DataCentreId("b") });
    daemons.push_back({ .name = "self", .dataCentre = DataCentreId("a") });
    for (int i = 0; i < 100; ++i)
        endpointRegistry.list({ .id = EndpointId("far-" + std::to_string(i)),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("b"),
            .slots = 8 });
    endpointRegistry.assignSlots("self", daemons);
    ASSERT_TRUE(endpointRegistry.areSlotsDivided(service));
    const auto assigned = endpointRegistry.assignedSlots();
    for (uint64_t i = 1; i <= 100; ++i)
        push(i, 1, TimePoint(1s));
    push(200, 0, TimePoint(1s));
    auto decisions = queue.decide(TimePoint(1s));
    EXPECT_EQ(numbersOf(decisions.started).front(), 200U);
    EXPECT_LE(decisions.started.size(), assigned + 1);
    push(201, 0, TimePoint(1s));
    EXPECT_EQ(numbersOf(queue.decide(TimePoint(1s)).started), (Numbers { 201 }))
        << "the highest rank uses slots that are lent";
}

TEST_F(WaitingQueueTest, RemovedRequestIsNotStarted)
{
    push(1, 0, TimePoint(1s));
    queue.remove(1);
    EXPECT_TRUE(queue.decide(TimePoint(1s)).started.empty());
}

} // namespace
} // namespace lentilbay::edge
