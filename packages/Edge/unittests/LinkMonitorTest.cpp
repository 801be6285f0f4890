// Tests what a daemon concludes about its links to the endpoints, and from the loss of connections.
#include "lentilbay/Edge/LinkMonitor.h"
#include "lentilbay/Edge/ConnectionLoss.h"

#include <gtest/gtest.h>
#include <numeric>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start { 100s };
constexpr size_t endpoints = 10;

/// A monitor of ten endpoints, all of which were heard just before `start`.
class LinkMonitorTest : public testing::Test {
protected:
    LinkMonitorTest()
    {
        ids.resize(endpoints);
        std::iota(ids.begin(), ids.end(), 1);
        links.setEndpoints(ids);
        links.setPeers(4);
        for (const auto it : ids) {
            links.recordConnected(it, start - 1s);
            links.recordHeard(it, start - 10ms);
        }
    }

    /// Lets connections to each endpoint that is probed fail or succeed.
    void answerProbes(bool isConnected, TimePoint now)
    {
        for (const auto it : links.nextProbes(now)) {
            if (isConnected)
                links.recordConnected(it, now);
            else
                links.recordConnectFailed(it, now);
        }
    }

    /// Loses all links at `now`, with connections that are reset, until that is known.
    void partition(TimePoint now)
    {
        for (const auto it : ids)
            links.recordBroken(it, now);
        answerProbes(false, now);
        ASSERT_EQ(links.update(now), LinkState::Partitioned);
    }

    std::vector<uint64_t> ids;
    LinkMonitor links;
};

TEST(SendPath, FollowsTheStateOfTheLinks)
{
    EXPECT_EQ(sendPath(LinkState::Up, false, true), SendPath::Direct);
    EXPECT_EQ(sendPath(LinkState::Up, false, false), SendPath::Direct);
    EXPECT_EQ(sendPath(LinkState::NoNewConnections, true, true), SendPath::Direct);
    EXPECT_EQ(sendPath(LinkState::NoNewConnections, false, true), SendPath::ThroughPeer);
    EXPECT_EQ(sendPath(LinkState::NoNewConnections, false, false), SendPath::Direct);
    EXPECT_EQ(sendPath(LinkState::Partitioned, true, true), SendPath::ThroughPeer);
    EXPECT_EQ(sendPath(LinkState::Partitioned, true, false), SendPath::None);
    EXPECT_EQ(sendPath(LinkState::NoneReachable, false, false), SendPath::None);
}

TEST(JudgeLinks, NeedsSeveralLossesAndAFailureToConnect)
{
    const LinkEvidence lost { .endpoints = 10, .unconnectable = 1, .lost = 3, .peers = 1 };
    EXPECT_EQ(judgeLinks(lost), LinkState::Partitioned);
    auto it = lost;
    it.lost = 2;
    EXPECT_EQ(judgeLinks(it), LinkState::Up) << "too few endpoints";
    it = lost;
    it.unconnectable = 0;
    EXPECT_EQ(judgeLinks(it), LinkState::Up) << "new connections are established";
    it = lost;
    it.heard = 1;
    EXPECT_EQ(judgeLinks(it), LinkState::Up) << "another endpoint answers";
    it.unconnectable = 6;
    it.failedProbes = 4;
    EXPECT_EQ(judgeLinks(it), LinkState::NoNewConnections);
    it.failedProbes = 3;
    EXPECT_EQ(judgeLinks(it), LinkState::Up) << "too few probes of endpoints that had not failed";
    it = lost;
    it.peers = 0;
    EXPECT_EQ(judgeLinks(it), LinkState::NoneReachable);
    EXPECT_EQ(
        judgeLinks({ .endpoints = 2, .unconnectable = 1, .lost = 2, .peers = 1 }), LinkState::Partitioned)
        << "all of two";
    EXPECT_EQ(judgeLinks({ .endpoints = 1, .unconnectable = 1, .lost = 1, .peers = 1 }), LinkState::Up);
    EXPECT_EQ(judgeLinks({}), LinkState::Up);
}

TEST_F(LinkMonitorTest, LinksThatHangAreKnownToBeLostWithinASecond)
{
    for (const auto it : { 1, 2, 3 })
        links.recordSilent(it, start + 400ms);
    EXPECT_EQ(links.update(start + 400ms), LinkState::Up);
    const auto probes = links.nextProbes(start + 600ms);
    EXPECT_FALSE(probes.empty());
    for (const auto it : probes)
        links.recordConnectFailed(it, start + 1000ms);
    EXPECT_EQ(links.update(start + 1000ms), LinkState::Partitioned);
}

TEST_F(LinkMonitorTest, ConnectionsThatAreResetAreNoPartition)
{
    for (const auto it : ids)
        links.recordBroken(it, start);
    answerProbes(true, start);
    EXPECT_EQ(links.update(start), LinkState::Up);
    EXPECT_FALSE(links.wereInterruptedSince(start - 1s));
}

TEST_F(LinkMonitorTest, AllEndpointsSilentForASecondAreNoPartition)
{
    for (auto at = start + 400ms; at < start + 1300ms; at += 100ms) {
        for (const auto it : ids)
            links.recordSilent(it, at);
        answerProbes(true, at);
        EXPECT_EQ(links.update(at), LinkState::Up);
    }
}

TEST_F(LinkMonitorTest, SingleEndpointThatCrashesIsNoPartition)
{
    links.recordBroken(1, start);
    links.recordConnectFailed(1, start + 1ms);
    EXPECT_EQ(links.update(start + 1ms), LinkState::Up);
    EXPECT_TRUE(links.nextProbes(start + 1ms).empty());
}

TEST_F(LinkMonitorTest, OnlyNewConnectionsFail)
{
    for (const auto it : { 1, 2, 3 })
        links.recordConnectFailed(it, start + 100ms);
    links.recordHeard(4, start + 100ms);
    EXPECT_EQ(links.update(start + 100ms), LinkState::Up) << "they may have crashed";
    answerProbes(false, start + 110ms);
    EXPECT_EQ(links.update(start + 110ms), LinkState::NoNewConnections);
    // The established connections are lost as well.
    for (const auto it : ids)
        links.recordBroken(it, start + 200ms);
    EXPECT_EQ(links.update(start + 200ms), LinkState::Partitioned);
}

TEST_F(LinkMonitorTest, EndpointsThatAnswerAfterARefusedConnectionWereTakenForCrashed)
{
    // Guards against a daemon that suspects one endpoint after the other for seconds: its requests have
    // failed to connect to most of them before any could be probed (SoakPartitionedDaemons).
    for (uint64_t id = 1; id <= 8; ++id)
        links.recordConnectFailed(id, start + 100ms);
    for (const auto it : { 1, 2, 3 })
        links.recordHeard(it, start + 150ms);
    EXPECT_EQ(links.update(start + 150ms), LinkState::Up) << "three may stop in order at once";
    links.recordHeard(4, start + 160ms);
    EXPECT_EQ(links.update(start + 160ms), LinkState::NoNewConnections);
    links.recordConnected(1, start + 300ms);
    EXPECT_EQ(links.update(start + 300ms), LinkState::Up);
}

TEST_F(LinkMonitorTest, EndpointsThatBreakOffAfterARefusedConnectionAreTakenForCrashed)
{
    // Guards against a daemon that forgets the failures of crashed endpoints, because it has read what they
    // had sent before only after a connection to them was refused.
    ids.resize(96);
    std::iota(ids.begin(), ids.end(), 1);
    links.setEndpoints(ids);
    for (uint64_t id = 1; id <= 17; ++id) {
        links.recordConnectFailed(id, start + 100ms);
        links.recordHeard(id, start + 150ms);
        links.recordBroken(id, start + 150ms);
    }
    for (uint64_t id = 18; id <= 96; ++id)
        links.recordHeard(id, start + 160ms);
    EXPECT_EQ(links.update(start + 160ms), LinkState::Up);
}

// Guards against a daemon that takes its links for lost because it opens new connections mostly to endpoints
// that have crashed: 17 of 96 at once, while the others answer on connections that exist.
TEST_F(LinkMonitorTest, ManyEndpointsThatCrashAtOnceAreNoPartition)
{
    ids.resize(96);
    std::iota(ids.begin(), ids.end(), 1);
    links.setEndpoints(ids);
    constexpr uint64_t crashed = 17;
    for (auto at = start; at < start + 4s; at += 10ms) {
        const auto n = static_cast<uint64_t>((at - start) / 10ms);
        links.recordHeard(crashed + 1 + n % (ids.size() - crashed), at);
        links.recordConnectFailed(1 + n % crashed, at);
        for (const auto it : links.nextProbes(at)) {
            if (it <= crashed)
                links.recordConnectFailed(it, at);
            else
                links.recordConnected(it, at);
        }
        ASSERT_EQ(links.update(at), LinkState::Up) << n;
    }
}

TEST_F(LinkMonitorTest, LinksComeBackWithTheFirstConnection)
{
    partition(start);
    answerProbes(false, start + 600ms);
    EXPECT_EQ(links.update(start + 600ms), LinkState::Partitioned);
    EXPECT_TRUE(links.nextProbes(start + 700ms).empty()) << "probes are spaced";
    answerProbes(true, start + 1200ms);
    EXPECT_EQ(links.update(start + 1200ms), LinkState::Up);
    EXPECT_TRUE(links.wereInterruptedSince(start + 1s));
    EXPECT_FALSE(links.wereInterruptedSince(start + 1300ms));
    EXPECT_EQ(links.evidence(start + 1200ms).lost, 0U);
}

TEST_F(LinkMonitorTest, LinksThatGoUpAndDownAreUsedLater)
{
    partition(start);
    answerProbes(true, start + 1s);
    EXPECT_EQ(links.update(start + 1s), LinkState::Up);
    partition(start + 2s);
    answerProbes(true, start + 3s);
    EXPECT_EQ(links.update(start + 3s), LinkState::Partitioned) << "up for too short a time";
    answerProbes(false, start + 3500ms);
    EXPECT_EQ(links.update(start + 4s), LinkState::Partitioned);
    answerProbes(true, start + 4s);
    EXPECT_EQ(links.update(start + 4500ms), LinkState::Up);
}

TEST_F(LinkMonitorTest, NoPeerReachesEndpointsEither)
{
    links.setPeers(0);
    for (const auto it : ids)
        links.recordConnectFailed(it, start + 700ms);
    EXPECT_EQ(links.update(start + 700ms), LinkState::NoneReachable);
    EXPECT_EQ(links.nextProbes(start + 700ms).size(), 4U) << "they may be back one by one";
    links.setPeers(1);
    EXPECT_EQ(links.update(start + 800ms), LinkState::Partitioned);
}

TEST_F(LinkMonitorTest, ForgetsOldLosses)
{
    for (const auto it : { 1, 2 })
        links.recordConnectFailed(it, start + 700ms);
    EXPECT_EQ(links.evidence(start + 700ms).lost, 2U);
    EXPECT_EQ(links.evidence(start + 3s).lost, 0U);
    EXPECT_EQ(links.evidence(start + 3s).unconnectable, 0U);
}

TEST(ConnectionLoss, IsReadFromWhatWasObserved)
{
    EXPECT_EQ(readLoss({}), ConnectionLoss::Crash);
    EXPECT_EQ(readLoss({ .isUnsent = true, .wereLinksInterrupted = true }), ConnectionLoss::Idle);
    EXPECT_EQ(readLoss({ .isThroughPeer = true, .wereLinksInterrupted = true }), ConnectionLoss::Peer);
    EXPECT_EQ(readLoss({ .isInvalidAnswer = true }), ConnectionLoss::InvalidAnswer);
    EXPECT_EQ(readLoss({ .wereLinksInterrupted = true, .isOverloaded = true }), ConnectionLoss::Partition);
    EXPECT_EQ(readLoss({ .isOverloaded = true }), ConnectionLoss::Overload);
}

TEST(ConnectionLoss, OnlyCrashesCountAgainstRequests)
{
    for (const auto it : { ConnectionLoss::Idle, ConnectionLoss::InvalidAnswer, ConnectionLoss::Partition,
             ConnectionLoss::Overload })
        EXPECT_FALSE(mayBeCausedByRequest(it)) << static_cast<int>(it);
    EXPECT_TRUE(mayBeCausedByRequest(ConnectionLoss::Crash));
    EXPECT_TRUE(mayBeCausedByRequest(ConnectionLoss::Peer)) << "it may have been sent on";
    EXPECT_EQ(sendOutcomeOf(ConnectionLoss::Partition), SendOutcome::Neutral);
    EXPECT_EQ(sendOutcomeOf(ConnectionLoss::Peer), SendOutcome::Neutral);
    EXPECT_EQ(sendOutcomeOf(ConnectionLoss::Overload), SendOutcome::Failed);
    EXPECT_EQ(sendOutcomeOf(ConnectionLoss::Crash), SendOutcome::Failed);
}

} // namespace
} // namespace lentilbay::edge
