// When a daemon may start work: each proof counts from when it was asked for, and lapses on time.
#include "../lib/ConfigurationFence.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

class ConfigurationFenceTest : public testing::Test {
protected:
    ConfigurationFenceTest()
    {
        blackboard.self = DaemonId("a");
        blackboard.region = RegionId("r");
        Roster roster { .sequence = 3, .members = {} };
        for (const auto* name : { "a", "b", "c" })
            roster.members.push_back({ .id = DaemonId(name), .region = RegionId("r"), .added = 1 });
        fence.noteRoster(roster);
    }

    bool mayWork(TimePoint now, std::optional<TimePoint> behindSince = std::nullopt)
    {
        fence.refresh(true, behindSince, now);
        return !blackboard.mustNotStartWork(now);
    }

    void admit()
    {
        fence.noteRecorded(3, start);
        fence.noteFresh(start);
        ASSERT_TRUE(mayWork(start));
    }

    const TimePoint start { 1000s };
    Blackboard blackboard;
    ConfigurationContext context { blackboard, {}, StoreCaller(blackboard, StoreUser::Configuration, 1s),
        Random(1) };
    ConfigurationFence fence { context };
};

TEST_F(ConfigurationFenceTest, AFreshHeadCountsOnlyAfterTheAcknowledgementStandsInTheTable)
{
    EXPECT_FALSE(mayWork(start));
    fence.noteFresh(start);
    EXPECT_FALSE(mayWork(start));
    fence.noteRecorded(3, start + 1s);
    EXPECT_FALSE(mayWork(start + 1s));
    fence.noteFresh(start + 1s);
    EXPECT_TRUE(mayWork(start + 1s));
}

TEST_F(ConfigurationFenceTest, FreshnessLapsesAlsoWhereNobodyDecidesAnew)
{
    admit();
    EXPECT_FALSE(blackboard.mustNotStartWork(start + 2999ms));
    EXPECT_TRUE(blackboard.mustNotStartWork(start + 3s));
}

TEST_F(ConfigurationFenceTest, AQuorumInSightCountsFromWhenItWasAsked)
{
    admit();
    fence.noteSeen(DaemonId("b"), start + 2s);
    // The answer may come late; the time of the question counts.
    EXPECT_TRUE(mayWork(start + 4s));
    EXPECT_FALSE(mayWork(start + 5s));
    fence.noteSeen(DaemonId("x"), start + 5s);
    EXPECT_FALSE(mayWork(start + 5s)) << "a stranger is nobody's quorum";
}

TEST_F(ConfigurationFenceTest, AQuorumMustHoldInEachRosterThatOthersMayCountWith)
{
    admit();
    Roster grown { .sequence = 4, .members = {} };
    for (const auto* name : { "a", "b", "c", "d", "e" })
        grown.members.push_back({ .id = DaemonId(name), .region = RegionId("r"), .added = 1 });
    fence.noteRoster(grown);
    fence.noteSeen(DaemonId("b"), start + 4s);
    EXPECT_FALSE(mayWork(start + 4s));
    fence.noteSeen(DaemonId("d"), start + 4s);
    EXPECT_TRUE(mayWork(start + 4s));
}

TEST_F(ConfigurationFenceTest, ANewerVersionThatIsNotInForceFencesAfterTheGrace)
{
    admit();
    fence.noteFresh(start + 2s);
    EXPECT_TRUE(mayWork(start + 2s, start + 1s));
    EXPECT_TRUE(blackboard.mustNotStartWork(start + 3s));
    EXPECT_FALSE(mayWork(start + 3s, start + 1s));
    fence.noteFresh(start + 4s);
    EXPECT_FALSE(mayWork(start + 4s, start + 4s)) << "a fenced daemon has no grace";
    EXPECT_TRUE(mayWork(start + 4s));
}

TEST_F(ConfigurationFenceTest, SupportThatLapsedIsNotMadeGoodWithAGrace)
{
    admit();
    // The process was paused; the first thing it reads is a newer head and a fresh proof.
    fence.refresh(true, std::nullopt, start + 60s);
    fence.noteFresh(start + 60s);
    EXPECT_FALSE(mayWork(start + 60s, start + 60s));
}

TEST_F(ConfigurationFenceTest, TheWordOfAnotherCountsForOneFreshnessAndNoLonger)
{
    fence.noteSponsored(start);
    EXPECT_TRUE(mayWork(start + 1s));
    EXPECT_FALSE(mayWork(start + 3s));
}

TEST_F(ConfigurationFenceTest, ARetiredDaemonStaysFenced)
{
    admit();
    fence.retire();
    fence.noteFresh(start + 1s);
    EXPECT_FALSE(mayWork(start + 1s));
}

} // namespace
} // namespace lentilbay
