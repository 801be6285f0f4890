// Tests which daemons own an endpoint: those of its data centre, else those of its region, else any or none.
#include "lentilbay/Control/Ownership.h"
#include "lentilbay/Control/Blackboard.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

MemberState member(
    const std::string& name, const std::string& dataCentre, MemberStatus status = MemberStatus::Alive)
{
    return { .id = DaemonId(name),
        .region = RegionId("Sudogwon"),
        .dataCentre = DataCentreId(dataCentre),
        .incarnation = 1,
        .status = status };
}

Blackboard boardWith(std::vector<MemberState> members)
{
    Blackboard board;
    board.self = members[0].id;
    board.region = members[0].region;
    board.dataCentre = members[0].dataCentre;
    for (auto& it : members)
        board.members[it.id] = it;
    auto configuration = std::make_shared<Configuration>();
    for (int i = 0; i < 20; ++i) {
        configuration->endpoints.push_back({ .name = EndpointId("seoul-" + std::to_string(i)),
            .region = RegionId("Sudogwon"),
            .dataCentre = DataCentreId("Seoul") });
        configuration->endpoints.push_back({ .name = EndpointId("busan-" + std::to_string(i)),
            .region = RegionId("Yeongnam"),
            .dataCentre = DataCentreId("Busan") });
    }
    applyConfiguration(board, configuration);
    return board;
}

DataCentreDigest busan(uint16_t live, std::vector<std::string> contacts)
{
    DataCentreDigest digest {
        .dataCentre = DataCentreId("Busan"), .region = RegionId("Yeongnam"), .liveDaemons = live
    };
    for (const auto& it : contacts)
        digest.contacts.push_back({ .id = DaemonId(it),
            .address = "127.0.0.1:" + std::to_string(7000 + it.size()),
            .incarnation = 1 });
    return digest;
}

TEST(Ownership, DaemonsOwnTheEndpointsOfTheirDataCentre)
{
    auto board = boardWith({ member("a", "Seoul"), member("b", "Seoul"), member("c", "Incheon") });
    Ownership ownership;
    EXPECT_TRUE(ownership.refresh(board));
    EXPECT_FALSE(ownership.refresh(board));
    for (size_t i = 0; i < board.endpoints.size(); i += 2)
        EXPECT_NE(ownership.ownerOf(i), DaemonId("c"));
    EXPECT_FALSE(ownership.endpointsOf(DaemonId("a")).empty());
    EXPECT_FALSE(ownership.endpointsOf(DaemonId("b")).empty());
}

TEST(Ownership, DaemonsOfTheRegionOwnEndpointsOfADataCentreWithoutDaemons)
{
    auto board = boardWith({ member("c", "Incheon"), member("a", "Seoul", MemberStatus::Dead) });
    Ownership ownership;
    ownership.refresh(board);
    EXPECT_EQ(ownership.ownerOf(0), DaemonId("c"));
}

TEST(Ownership, LeavingAndDeadDaemonsOwnNothing)
{
    auto board = boardWith({ member("a", "Seoul"), member("b", "Seoul", MemberStatus::Leaving),
        member("c", "Seoul", MemberStatus::Dead) });
    Ownership ownership;
    ownership.refresh(board);
    EXPECT_EQ(ownership.endpointsByOwner().size(), 1U);
}

TEST(Ownership, LeavingDaemonsOwnEndpointsIfNoOtherDaemonIsLeft)
{
    auto board = boardWith({ member("a", "Seoul", MemberStatus::Leaving),
        member("b", "Seoul", MemberStatus::Leaving), member("c", "Seoul", MemberStatus::Dead) });
    Ownership ownership;
    ownership.refresh(board);
    for (size_t i = 0; i < board.endpoints.size(); i += 2) {
        EXPECT_FALSE(ownership.ownerOf(i).empty()) << "their waiting requests need slots";
        EXPECT_NE(ownership.ownerOf(i), DaemonId("c"));
    }
}

TEST(Ownership, ACompleteDigestDeterminesTheOwnersInAnotherRegion)
{
    auto board = boardWith({ member("a", "Seoul") });
    board.remoteDataCentres = { busan(2, { "x", "yy" }) };
    Ownership ownership;
    ownership.refresh(board);
    for (size_t i = 1; i < board.endpoints.size(); i += 2) {
        const auto& owner = ownership.ownerOf(i);
        EXPECT_TRUE(owner == DaemonId("x") || owner == DaemonId("yy"));
        EXPECT_EQ(ownership.distanceOf(i), Distance::OtherRegion);
    }
    EXPECT_EQ(ownership.addressOf(DaemonId("yy")), "127.0.0.1:7002");
    EXPECT_EQ(ownership.dataCentreOf(DaemonId("x")), DataCentreId("Busan"));
}

TEST(Ownership, APartialDigestDeterminesNoOwner)
{
    auto board = boardWith({ member("a", "Seoul") });
    board.remoteDataCentres = { busan(9, { "x", "yy" }) };
    Ownership ownership;
    ownership.refresh(board);
    EXPECT_TRUE(ownership.ownerOf(1).empty());
    board.remoteDataCentres = { busan(2, { "x", "yy" }) };
    EXPECT_TRUE(ownership.refresh(board));
    EXPECT_FALSE(ownership.ownerOf(1).empty());
}

TEST(Ownership, EqualViewsHaveEqualHashes)
{
    auto here = boardWith({ member("a", "Seoul") });
    here.remoteDataCentres = { busan(2, { "yy", "x" }) };
    auto there = boardWith({ member("yy", "Busan"), member("x", "Busan") });
    Ownership a;
    Ownership b;
    a.refresh(here);
    b.refresh(there);
    EXPECT_EQ(a.viewHash(DataCentreId("Busan")), b.viewHash(DataCentreId("Busan")));
    EXPECT_NE(a.viewHash(DataCentreId("Busan")), a.viewHash(DataCentreId("Seoul")));
}

} // namespace
} // namespace lentilbay
