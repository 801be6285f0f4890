// When a daemon may start work: each proof counts from the time of its request and expires on time.
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

    bool mayStartWork(TimePoint now, std::optional<TimePoint> behindSince = std::nullopt)
    {
        fence.refresh(true, behindSince, now);
        return !blackboard.mustNotStartWork(now);
    }

    void admit()
    {
        fence.noteRecorded(3, start);
        fence.noteHeadConfirmed(start);
        ASSERT_TRUE(mayStartWork(start));
    }

    const TimePoint start { 1000s };
    Blackboard blackboard;
    ConfigurationContext context { blackboard, {}, StoreCaller(blackboard, StoreUser::Configuration, 1s),
        Random(1) };
    ConfigurationFence fence { context };
};

TEST_F(ConfigurationFenceTest, AConfirmedHeadCountsOnlyAfterTheAcknowledgementIsStored)
{
    EXPECT_FALSE(mayStartWork(start));
    fence.noteHeadConfirmed(start);
    EXPECT_FALSE(mayStartWork(start));
    fence.noteRecorded(3, start + 1s);
    EXPECT_FALSE(mayStartWork(start + 1s));
    fence.noteHeadConfirmed(start + 1s);
    EXPECT_TRUE(mayStartWork(start + 1s));
}

TEST_F(ConfigurationFenceTest, FreshnessExpiresWithoutARefresh)
{
    admit();
    EXPECT_FALSE(blackboard.mustNotStartWork(start + 2999ms));
    EXPECT_TRUE(blackboard.mustNotStartWork(start + 3s));
}

TEST_F(ConfigurationFenceTest, AReachableQuorumCountsFromTheTimeOfTheRequest)
{
    admit();
    fence.noteReachable(DaemonId("b"), start + 2s);
    // A late answer counts from the time of its request.
    EXPECT_TRUE(mayStartWork(start + 4s));
    EXPECT_FALSE(mayStartWork(start + 5s));
    fence.noteReachable(DaemonId("x"), start + 5s);
    EXPECT_FALSE(mayStartWork(start + 5s)) << "a daemon outside the roster must not count for a quorum";
}

TEST_F(ConfigurationFenceTest, AQuorumMustHoldInEachRosterThatOthersMayUse)
{
    admit();
    Roster grown { .sequence = 4, .members = {} };
    for (const auto* name : { "a", "b", "c", "d", "e" })
        grown.members.push_back({ .id = DaemonId(name), .region = RegionId("r"), .added = 1 });
    fence.noteRoster(grown);
    fence.noteReachable(DaemonId("b"), start + 4s);
    EXPECT_FALSE(mayStartWork(start + 4s));
    fence.noteReachable(DaemonId("d"), start + 4s);
    EXPECT_TRUE(mayStartWork(start + 4s));
}

TEST_F(ConfigurationFenceTest, ANewerVersionThatIsNotInForceFencesAfterTheGracePeriod)
{
    admit();
    fence.noteHeadConfirmed(start + 2s);
    EXPECT_TRUE(mayStartWork(start + 2s, start + 1s));
    EXPECT_TRUE(blackboard.mustNotStartWork(start + 3s));
    EXPECT_FALSE(mayStartWork(start + 3s, start + 1s));
    fence.noteHeadConfirmed(start + 4s);
    EXPECT_FALSE(mayStartWork(start + 4s, start + 4s)) << "a fenced daemon gets no grace period";
    EXPECT_TRUE(mayStartWork(start + 4s));
}

TEST_F(ConfigurationFenceTest, AnExpiredProofIsNotRenewedByTheGracePeriod)
{
    admit();
    // The process was paused; the first things it reads are a newer head and a recent confirmation.
    fence.refresh(true, std::nullopt, start + 60s);
    fence.noteHeadConfirmed(start + 60s);
    EXPECT_FALSE(mayStartWork(start + 60s, start + 60s));
}

TEST_F(ConfigurationFenceTest, ASponsorshipExpiresAfterTheFreshnessPeriod)
{
    fence.noteSponsored(start);
    EXPECT_TRUE(mayStartWork(start + 1s));
    EXPECT_FALSE(mayStartWork(start + 3s));
}

TEST_F(ConfigurationFenceTest, ARetiredDaemonStaysFenced)
{
    admit();
    fence.retire();
    fence.noteHeadConfirmed(start + 1s);
    EXPECT_FALSE(mayStartWork(start + 1s));
}

} // namespace
} // namespace lentilbay
