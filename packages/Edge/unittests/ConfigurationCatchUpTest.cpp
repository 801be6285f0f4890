// Tests when a daemon reads the configuration from a peer.
#include "lentilbay/Edge/ConfigurationCatchUp.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start { 100s };
constexpr auto near = Locality::OwnDataCentre;
constexpr const char* own = "y";

TEST(ConfigurationCatchUp, DaemonStartedBeforeTheOperatorHadWrittenAgain)
{
    ConfigurationCatchUp it({ .daemon = own });
    it.storeRead(true, start);
    EXPECT_FALSE(it.isSettled(4, start));
    EXPECT_FALSE(it.nextSource(4, false, start));
    it.recordPeer("b", near, 7, start + 100ms);
    EXPECT_FALSE(it.isSettled(4, start + 100ms));
    EXPECT_EQ(it.nextSource(4, false, start + 100ms), "b");
    EXPECT_TRUE(it.isSettled(7, start + 150ms));
    EXPECT_FALSE(it.nextSource(7, false, start + 500ms));
}

TEST(ConfigurationCatchUp, VersionThatThisDaemonHadNotReadWasLost)
{
    ConfigurationCatchUp it({ .daemon = own, .isSettled = true });
    it.recordPeer("b", near, 7, start);
    EXPECT_FALSE(it.nextSource(4, false, start)) << "it may be about to be read from the store";
    it.recordPeer("b", near, 7, start + 1200ms);
    EXPECT_EQ(it.nextSource(4, false, start + 1200ms), "b");
}

TEST(ConfigurationCatchUp, AsksEachPeerInTurn)
{
    ConfigurationCatchUp it({ .daemon = own });
    it.recordPeer("b", near, 7, start);
    it.recordPeer("c", near, 7, start);
    it.recordPeer("d", near, 6, start);
    EXPECT_EQ(it.nextSource(4, false, start), "b");
    EXPECT_FALSE(it.nextSource(4, false, start + 100ms)) << "a call is in progress";
    EXPECT_EQ(it.nextSource(4, false, start + 300ms), "c");
    EXPECT_EQ(it.nextSource(4, false, start + 600ms), "b");
}

TEST(ConfigurationCatchUp, AllDaemonsAskedTheSamePeer)
{
    constexpr int peers = 10;
    constexpr int daemons = 200;
    std::map<std::string, int> calls;
    for (int i = 0; i < daemons; ++i) {
        ConfigurationCatchUp it({ .daemon = "daemon-" + std::to_string(i) });
        for (int n = 0; n < peers; ++n)
            it.recordPeer("peer-" + std::to_string(n), near, 7, start);
        const auto source = it.nextSource(4, false, start);
        ASSERT_TRUE(source);
        ++calls[*source];
    }
    for (const auto& [peer, n] : calls)
        EXPECT_LE(n, 2 * daemons / peers) << peer;
}

TEST(ConfigurationCatchUp, AsksNearPeersFirst)
{
    for (const auto* daemon : { "x", "y", "z" }) {
        ConfigurationCatchUp it({ .daemon = daemon });
        it.recordPeer("a", Locality::OtherRegion, 7, start);
        it.recordPeer("b", Locality::OwnRegion, 7, start);
        it.recordPeer("c", near, 6, start);
        EXPECT_EQ(it.nextSource(4, false, start), "b") << "the near one is not up to date";
        it.recordPeer("c", near, 7, start + 300ms);
        EXPECT_EQ(it.nextSource(4, false, start + 300ms), "c");
    }
}

TEST(ConfigurationCatchUp, SettlesWithoutAPeer)
{
    ConfigurationCatchUp sound({ .daemon = own });
    EXPECT_FALSE(sound.isSettled(4, start)) << "the store has not been read";
    sound.storeRead(false, start);
    EXPECT_TRUE(sound.isSettled(4, start)) << "the store has lost nothing";

    ConfigurationCatchUp silent({ .daemon = own });
    silent.storeRead(true, start);
    EXPECT_FALSE(silent.isSettled(4, start + 1100ms));
    EXPECT_TRUE(silent.isSettled(4, start + 1200ms));

    ConfigurationCatchUp unreachable({ .daemon = own });
    unreachable.storeRead(true, start);
    unreachable.recordPeer("b", near, 7, start + 2s);
    EXPECT_FALSE(unreachable.isSettled(4, start + 2900ms));
    EXPECT_TRUE(unreachable.isSettled(4, start + 3s));
}

TEST(ConfigurationCatchUp, ForgetsWhatAPeerReportedLongAgo)
{
    ConfigurationCatchUp it({ .daemon = own, .isSettled = true });
    it.recordPeer("b", near, 7, start);
    EXPECT_FALSE(it.nextSource(4, false, start + 2100ms));
}

TEST(ConfigurationCatchUp, ConfigurationWasAskedForAgainWhileItArrived)
{
    ConfigurationCatchUp it({ .daemon = own, .isSettled = true });
    it.recordPeer("b", near, 7, start);
    it.recordPeer("c", near, 7, start);
    EXPECT_FALSE(it.nextSource(4, true, start));
    EXPECT_FALSE(it.nextSource(4, true, start + 1500ms)) << "it arrives from the store";
    EXPECT_EQ(it.nextSource(4, false, start + 1600ms), "b");
    EXPECT_FALSE(it.nextSource(4, true, start + 1990ms)) << "it arrives from b";
    EXPECT_EQ(it.nextSource(4, false, start + 1990ms), "c") << "b has stopped sending";
}

TEST(ConfigurationCatchUp, OldVersionStayedInUseAlthoughANewerOneWasKnown)
{
    ConfigurationCatchUp it({ .daemon = own, .isSettled = true });
    it.recordPeer("b", near, 4, start);
    EXPECT_FALSE(it.nextSource(4, false, start));
    EXPECT_EQ(it.behindFor(4, start + 1s), 0s);
    it.recordPeer("b", near, 7, start + 1s);
    EXPECT_FALSE(it.nextSource(4, false, start + 1s));
    EXPECT_EQ(it.behindFor(4, start + 3s), 2s);
    // Nothing is heard from peers over a busy link; the version exists all the same.
    EXPECT_FALSE(it.nextSource(4, false, start + 5s));
    EXPECT_EQ(it.behindFor(4, start + 5s), 4s);
    EXPECT_EQ(it.behindFor(7, start + 5s), 0s);
    EXPECT_EQ(it.behindFor(4, start + 40s), 0s) << "no peer has reported it for long";
    EXPECT_FALSE(it.isOutdated(4, 0s, false, 4s, start + 3400ms));
    EXPECT_TRUE(it.isOutdated(4, 0s, false, 4s, start + 3600ms));
    EXPECT_FALSE(it.isOutdated(7, 0s, false, 4s, start + 3600ms));
    EXPECT_FALSE(it.isOutdated(4, 0s, false, 2500ms, start + 2100ms));
    EXPECT_TRUE(it.isOutdated(4, 0s, false, 2500ms, start + 2300ms));
}

TEST(ConfigurationCatchUp, OldVersionStayedInUseWhileTheNewOneArrived)
{
    // A busy link delivers no reports of peers either.
    ConfigurationCatchUp it({ .daemon = own, .isSettled = true });
    EXPECT_FALSE(it.isOutdated(4, 3400ms, true, 4s, start));
    EXPECT_TRUE(it.isOutdated(4, 3600ms, true, 4s, start));
    EXPECT_FALSE(it.isOutdated(4, 60s, false, 4s, start)) << "the store is away, and nothing newer is known";
    it.recordPeer("b", near, 4, start);
    EXPECT_FALSE(it.isOutdated(4, 3600ms, true, 4s, start + 1s)) << "no peer has a newer one";
    EXPECT_TRUE(it.isOutdated(4, 3600ms, true, 4s, start + 3s));
}

} // namespace
} // namespace lentilbay::edge
