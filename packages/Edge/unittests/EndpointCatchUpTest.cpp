// Tests when a daemon reads the list of endpoints from which peer, and the text in which lists are exchanged.
#include "lentilbay/Edge/EndpointCatchUp.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start { 100s };

class EndpointCatchUpTest : public testing::Test {
protected:
    EndpointCatchUpTest()
    {
        for (const auto* it : { "near", "far" }) {
            auto& peer = peers[it];
            peer.incarnation = 1;
            peer.isSilent = false;
            peer.dataCentre = it == std::string("near") ? "a" : "b";
        }
    }

    std::map<std::string, PeerTable::Peer> peers;
    EndpointCatchUp catchUp { "d",
        { .ownDataCentre = DataCentreId("a"),
            .regions = { { DataCentreId("a"), RegionId("r") }, { DataCentreId("b"), RegionId("s") } } },
        4s };
};

TEST_F(EndpointCatchUpTest, DaemonThatTheStoreTurnedAwayAskedNoPeer)
{
    EXPECT_EQ(
        catchUp.nextSource(peers, { .age = 500ms, .isBehind = true, .isStoreUnreachable = true }, start),
        "near");
    EXPECT_EQ(catchUp.nextSource(
                  peers, { .age = 1600ms, .isBehind = false, .isStoreUnreachable = true }, start + 1s),
        "near");
    // The store does not answer, and nobody in this data centre has noticed.
    EXPECT_EQ(catchUp.nextSource(peers, { .age = 3500ms }, start + 2s), "near");
}

TEST_F(EndpointCatchUpTest, DaemonThatReadsTheStoreAsksNoPeer)
{
    EXPECT_FALSE(catchUp.nextSource(peers, { .age = 3s, .isBehind = true }, start));
    EXPECT_FALSE(catchUp.nextSource(peers, { .age = 500ms, .isStoreUnreachable = true }, start));
}

TEST_F(EndpointCatchUpTest, AsksPeersInTurnAndNoneThatKnowsNoMore)
{
    const EndpointCatchUp::View view { .age = 5s, .isStoreUnreachable = true };
    peers["near2"] = peers["near"];
    const auto first = catchUp.nextSource(peers, view, start);
    EXPECT_FALSE(catchUp.nextSource(peers, view, start + 100ms)) << "the call is in progress";
    const auto second = catchUp.nextSource(peers, view, start + 400ms);
    ASSERT_TRUE(first && second);
    EXPECT_NE(*first, *second);
    EXPECT_NE(*first, "far");
    EXPECT_NE(*second, "far");
    peers["near"].isOutdated = peers["near2"].isSilent = true;
    EXPECT_EQ(catchUp.nextSource(peers, view, start + 800ms), "far");
    peers["far"].isLeaving = true;
    EXPECT_FALSE(catchUp.nextSource(peers, view, start + 1200ms));
}

TEST(EndpointList, IsDecodedAsItWasEncoded)
{
    const EndpointList list { .rows
        = { .rows = { { .table = "", .key = "i-1", .value = "{}", .version = { .era = 2, .number = 4 } } },
            .version = { .era = 2, .number = 9 } },
        .changed = { .era = 2, .number = 7 },
        .age = 1500us,
        .isUnchanged = false };
    EXPECT_EQ(encodeEndpointList(list).substr(0, 13), "2.9 7 1500 0\n") << "as earlier versions read it";
    const auto decoded
        = outcomeOf<EndpointList>([&] { return decodeEndpointList(encodeEndpointList(list)); });
    ASSERT_TRUE(std::holds_alternative<EndpointList>(decoded));
    const auto& read = std::get<EndpointList>(decoded);
    EXPECT_EQ(read.rows.rows, list.rows.rows);
    EXPECT_EQ(read.rows.version, list.rows.version);
    EXPECT_EQ(read.changed, list.changed);
    EXPECT_EQ(read.age, list.age);
    EXPECT_FALSE(read.isUnchanged);
    EXPECT_TRUE(read.delayedDeletions.empty());
}

TEST(EndpointList, EntryThatTheStoreHadDeletedWasGivenAsOneThatRemains)
{
    const EndpointList list { .rows = { .rows = { { .key = "i 1", .value = "{}", .version = { 2, 4 } },
                                            { .key = "i 2", .value = "{}", .version = { 2, 5 } } },
                                  .version = { 2, 9 } },
        .delayedDeletions = { { "i 2", 1200ms } },
        .changed = { 2, 9 } };
    EXPECT_EQ(encodeEndpointList(list).substr(0, 20), "2.9 9 0 0 1:1200000\n");
    const auto decoded
        = outcomeOf<EndpointList>([&] { return decodeEndpointList(encodeEndpointList(list)); });
    ASSERT_TRUE(std::holds_alternative<EndpointList>(decoded));
    const auto& read = std::get<EndpointList>(decoded);
    EXPECT_EQ(read.rows.rows, list.rows.rows);
    EXPECT_EQ(read.delayedDeletions, list.delayedDeletions);
}

TEST(EndpointList, RejectsTextOfAnotherForm)
{
    for (const std::string text : { "", "\n", "1.2 3 4 0", "1.2 3 4 0\n", "1 3 4 0\n{\"Rows\":[],\"Ver\":2}",
             "1.2 3 -4 0\n{\"Rows\":[],\"Ver\":2}", "{\"Rows\":[],\"Ver\":2}",
             "1.2 3 4\n{\"Rows\":[],\"Ver\":2}", "1.2 3 4 0 0:1\n{\"Rows\":[],\"Ver\":2}",
             "1.2 3 4 0 x\n{\"Rows\":[],\"Ver\":2}", "1.2 3 4 0y\n{\"Rows\":[],\"Ver\":2}" }) {
        const auto decoded = outcomeOf<EndpointList>([&] { return decodeEndpointList(text); });
        EXPECT_TRUE(std::holds_alternative<Failure>(decoded)) << text;
    }
}

TEST(EndpointList, QueryIsReadFromItsTarget)
{
    const StoreVersion version { .era = 3, .number = 17 };
    EXPECT_EQ(endpointListQueryOf(endpointListTarget({ .covered = version }))->covered, version);
    EXPECT_FALSE(endpointListQueryOf(endpointListTarget({}))->covered);
    EXPECT_FALSE(endpointListQueryOf("/endpoints?after=x")->covered);
    EXPECT_FALSE(endpointListQueryOf("/configuration"));
    EXPECT_FALSE(endpointListQueryOf("/endpointsx"));
}

} // namespace
} // namespace lentilbay::edge
