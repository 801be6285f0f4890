// Tests that rows of daemons that are gone leave the store, and those of others do not.
#include "lentilbay/Edge/DaemonRoster.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

class DaemonRosterTest : public testing::Test {
protected:
    void list(const std::string& daemon, uint64_t version, TimePoint now)
    {
        roster.recordRow({ .daemon = daemon, .version = version });
        peers.addListed(daemon, "10.0.0.1", 7600, now);
    }

    void hear(const std::string& daemon, uint64_t sequence, TimePoint now)
    {
        peers.recordHeartbeat(
            { .daemon = daemon, .incarnation = 1, .sequence = sequence, .periodMilliseconds = 200 },
            "10.0.0.1", 7600, now);
    }

    DaemonRoster roster { "b" };
    PeerTable peers { "b" };
};

TEST_F(DaemonRosterTest, RowOfADaemonThatWasRemovedStayedInTheStore)
{
    // Guards against a restarted daemon that reserves the quota for daemons which were removed (review/2).
    list("b", 1, TimePoint());
    list("c", 2, TimePoint());
    list("d", 3, TimePoint());
    hear("c", 1, TimePoint(1s));
    peers.detectSilent(TimePoint(29s));
    EXPECT_EQ(roster.nextStale(peers), std::nullopt) << "it may live and be cut off";
    hear("c", 2, TimePoint(29s));
    peers.detectSilent(TimePoint(31s));
    EXPECT_EQ(roster.nextStale(peers), (DaemonRoster::Row { .daemon = "d", .version = 3 }));
    roster.forgetRow("d");
    EXPECT_EQ(roster.nextStale(peers), std::nullopt);
}

TEST_F(DaemonRosterTest, OneOfTheDaemonsDeletesRows)
{
    list("a", 1, TimePoint());
    list("d", 3, TimePoint());
    hear("a", 1, TimePoint(30s));
    peers.detectSilent(TimePoint(30'500ms));
    EXPECT_EQ(roster.nextStale(peers), std::nullopt) << "a is heard and has the least name";
    peers.detectSilent(TimePoint(32s));
    EXPECT_TRUE(roster.nextStale(peers));
}

TEST_F(DaemonRosterTest, OwnRowIsKnownInTheVersionThatWasRead)
{
    EXPECT_FALSE(roster.ownRow());
    list("b", 7, TimePoint());
    list("b", 9, TimePoint());
    EXPECT_EQ(roster.ownRow(), (DaemonRoster::Row { .daemon = "b", .version = 9 }));
    roster.clear();
    EXPECT_FALSE(roster.ownRow());
}

} // namespace
} // namespace lentilbay::edge
