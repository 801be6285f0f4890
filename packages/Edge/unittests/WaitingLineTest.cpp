// Who starts, who waits and who is turned away.
#include "lentilbay/Edge/WaitingLine.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const ServiceId service("s");
constexpr Work edit { .isStream = true, .promptTokens = 6000, .answerTokens = 380 };

class WaitingLineTest : public testing::Test {
protected:
    WaitingLineTest()
    {
        book.list({ .id = EndpointId("e"),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 2 });
    }

    void push(uint64_t number, int rank, TimePoint arrivedAt, Duration deadline = 10s)
    {
        line.push({ .number = number,
            .rank = rank,
            .query = { .service = service, .work = edit, .objectiveAt = arrivedAt + 800ms },
            .arrivedAt = arrivedAt,
            .giveUpAt = arrivedAt + deadline });
    }

    static std::vector<uint64_t> numbersOf(const auto& list)
    {
        std::vector<uint64_t> out(list.size());
        std::ranges::transform(list, out.begin(), [](const auto& it) { return it.number; });
        return out;
    }

    EndpointBook book { { .ownDataCentre = DataCentreId("a") }, 1 };
    WaitingLine line { book };
};

using Numbers = std::vector<uint64_t>;

TEST_F(WaitingLineTest, StartsTheMostUrgentFirst)
{
    push(1, 2, TimePoint(1s));
    push(2, 0, TimePoint(1s));
    push(3, 1, TimePoint(1s));
    EXPECT_EQ(numbersOf(line.step(TimePoint(1s)).started), (Numbers { 2, 3 }));
    EXPECT_EQ(line.size(), 1U);
    book.find(EndpointId("e"))->ended(edit, SendEnd::Good, false, TimePoint(1200ms));
    EXPECT_EQ(numbersOf(line.step(TimePoint(1200ms)).started), (Numbers { 1 }));
}

TEST_F(WaitingLineTest, WhoCanStillBeInTimeGoesBeforeWhoIsLate)
{
    push(1, 0, TimePoint(1s));
    push(2, 0, TimePoint(3s));
    book.find(EndpointId("e"))->sent(edit, TimePoint(3s));
    EXPECT_EQ(numbersOf(line.step(TimePoint(3s)).started), (Numbers { 2 }));
}

TEST_F(WaitingLineTest, WhoWouldMissTheObjectiveEvenNowGivesWay)
{
    // The load of djspu-edit scale-1: in a long burst the earliest objective is always about to be missed.
    push(1, 0, TimePoint(1s));
    push(2, 0, TimePoint(1500ms));
    book.find(EndpointId("e"))->sent(edit, TimePoint(1750ms));
    EXPECT_EQ(numbersOf(line.step(TimePoint(1750ms)).started), (Numbers { 2 }))
        << "the first has 50 ms left, and its first event takes longer";
}

TEST_F(WaitingLineTest, ABurstIsTurnedAwayAtOnceWithATimeToComeBack)
{
    // The load of a burst: a hundred edits at once before two slots.
    for (uint64_t i = 1; i <= 100; ++i)
        push(i, 0, TimePoint(1s));
    const auto decisions = line.step(TimePoint(1s));
    EXPECT_EQ(decisions.started.size(), 2U);
    EXPECT_GT(decisions.turnedAway.size(), 80U);
    for (const auto& it : decisions.turnedAway)
        EXPECT_GT(it.comeBackIn, Duration(1s)) << "room is not expected before the line has moved on";
    EXPECT_GT(line.size(), 0U) << "what can start soon waits";
}

TEST_F(WaitingLineTest, TheLeastUrgentIsTurnedAwayFirst)
{
    for (uint64_t i = 1; i <= 10; ++i)
        push(i, 1, TimePoint(1s));
    for (uint64_t i = 11; i <= 20; ++i)
        push(i, 0, TimePoint(1s));
    const auto decisions = line.step(TimePoint(1s));
    const auto away = numbersOf(decisions.turnedAway);
    EXPECT_FALSE(away.empty());
    const bool anyUrgent = std::ranges::any_of(away, [](auto it) { return it > 10; });
    const bool allOthers = std::ranges::count_if(away, [](auto it) { return it <= 10; }) == 10;
    EXPECT_TRUE(!anyUrgent || allOthers);
}

TEST_F(WaitingLineTest, GivesUpWhatCannotBeginBeforeItsEnd)
{
    book.find(EndpointId("e"))->sent(edit, TimePoint(1s));
    book.find(EndpointId("e"))->sent(edit, TimePoint(1s));
    push(1, 0, TimePoint(1s), 200ms);
    EXPECT_TRUE(line.step(TimePoint(1s)).turnedAway.empty());
    EXPECT_EQ(numbersOf(line.step(TimePoint(1160ms)).turnedAway), (Numbers { 1 }));
    EXPECT_EQ(line.size(), 0U);
}

TEST_F(WaitingLineTest, WhatHasBegunGoesFirstAndIsNotTurnedAway)
{
    for (uint64_t i = 1; i <= 100; ++i)
        push(i, 0, TimePoint(1s));
    line.push({ .number = 200,
        .rank = 2,
        .hasBegun = true,
        .query = { .service = service, .work = edit, .objectiveAt = TimePoint(500ms) },
        .arrivedAt = TimePoint(1s),
        .giveUpAt = TimePoint(11s) });
    EXPECT_EQ(numbersOf(line.step(TimePoint(1s)).started).front(), 200U);
    line.push({ .number = 201,
        .rank = 2,
        .hasBegun = true,
        .query = { .service = service, .work = edit, .objectiveAt = TimePoint(500ms) },
        .arrivedAt = TimePoint(1s),
        .giveUpAt = TimePoint(1200ms) });
    const auto away = numbersOf(line.step(TimePoint(1s)).turnedAway);
    EXPECT_EQ(std::ranges::count(away, 201U), 0);
}

TEST_F(WaitingLineTest, LightWorkLeavesFastEndpointsToHeavyWorkWhileSlotsAreShort)
{
    // The load of djspu-edit scale-1: engines five times slower than others serve short prompts in time.
    for (const auto* id : { "fast", "slow" })
        book.list({ .id = EndpointId(id),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 10 });
    for (int i = 0; i < 60; ++i)
        book.find(EndpointId("slow"))->progressed(6, 75ms, TimePoint(1s));
    const auto chosenFor = [&](uint64_t number, double promptTokens) {
        line.push({ .number = number,
            .rank = 1,
            .query = { .service = service,
                .work = { .isStream = true, .promptTokens = promptTokens, .answerTokens = 60 },
                .objectiveAt = TimePoint(1800ms) },
            .arrivedAt = TimePoint(1s),
            .giveUpAt = TimePoint(11s) });
        return line.step(TimePoint(1s)).started.at(0).endpoint->listed().id.text();
    };
    EXPECT_NE(chosenFor(1, 6000), "slow");
    EXPECT_NE(chosenFor(2, 100), "slow") << "with slots to spare everybody gets a fast one";
    for (const auto* id : { "e", "fast", "slow" }) {
        const auto endpoint = book.find(EndpointId(id));
        while (endpoint->load() < endpoint->listed().slots - 1)
            endpoint->sent({ .isStream = true }, TimePoint(1s));
    }
    EXPECT_EQ(chosenFor(3, 100), "slow");
    EXPECT_NE(chosenFor(4, 6000), "slow");
}

TEST_F(WaitingLineTest, ACallerThatLeftWaitsNoLonger)
{
    push(1, 0, TimePoint(1s));
    line.remove(1);
    EXPECT_TRUE(line.step(TimePoint(1s)).started.empty());
}

} // namespace
} // namespace lentilbay::edge
