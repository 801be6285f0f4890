// Statuses of peers: the codec is total, and silence is noticed.
#include "lentilbay/Edge/PeerStatus.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

PeerStatus status(const std::string& daemon, uint64_t incarnation, uint64_t sequence)
{
    return { .daemon = daemon,
        .incarnation = incarnation,
        .sequence = sequence,
        .dataCentre = "z",
        .periodMilliseconds = 200,
        .loads = { { .endpoint = 5, .inFlight = 3 } },
        .quotas = { { .organisation = 6, .admittedTotal = 1.5 } },
        .levels = { { .level = 2.5F, .inWindow = 3.5F } } };
}

TEST(PeerStatus, SurvivesTheWire)
{
    auto sent = status("a", 1, 2);
    sent.views = { .configuration = { .coveredVersion = 3 }, .endpoints = { .changedVersion = 4 } };
    const auto outcome = outcomeOf<PeerStatus>([&] { return decodePeerStatus(encodePeerStatus(sent)); });
    ASSERT_TRUE(std::holds_alternative<PeerStatus>(outcome));
    EXPECT_EQ(std::get<PeerStatus>(outcome), sent);
}

TEST(PeerStatus, NoCutOffDatagramIsRead)
{
    const auto datagram = encodePeerStatus(status("a", 1, 2));
    for (size_t n = 0; n < datagram.size(); ++n) {
        const auto outcome = outcomeOf<PeerStatus>([&] { return decodePeerStatus(datagram.substr(0, n)); });
        EXPECT_TRUE(std::holds_alternative<Failure>(outcome)) << n;
    }
}

RC_GTEST_PROP(PeerStatus, AnyBytesAreReadOrRefused, (const std::string& bytes))
{
    const auto outcome = outcomeOf<PeerStatus>([&] { return decodePeerStatus(bytes); });
    RC_ASSERT(std::holds_alternative<Failure>(outcome));
}

TEST(PeerTable, DropsOldStatusesAndTakesANewIncarnation)
{
    PeerTable peers("self");
    EXPECT_TRUE(peers.heard(status("a", 7, 2), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_FALSE(peers.heard(status("a", 7, 2), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_FALSE(peers.heard(status("a", 7, 1), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_TRUE(peers.heard(status("a", 3, 1), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_FALSE(peers.heard(status("self", 1, 1), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_EQ(peers.known(), 2U);
}

TEST(PeerTable, ADaemonThatLeftIsNotMissed)
{
    PeerTable peers("self");
    auto leaving = status("a", 1, 1);
    leaving.isLeaving = true;
    peers.heard(leaving, "10.0.0.1", 7600, TimePoint(1s));
    peers.step(TimePoint(3s));
    EXPECT_EQ(peers.silent(), 0U);
    EXPECT_EQ(peers.known(), 2U);
}

TEST(PeerTable, NoticesSilenceAndForgetsInTheEnd)
{
    PeerTable peers("self");
    peers.heard(status("a", 1, 1), "10.0.0.1", 7600, TimePoint(1s));
    peers.listed("b", "10.0.0.2", 7600, TimePoint(1s));
    peers.listed("self", "10.0.0.3", 7600, TimePoint(1s));
    EXPECT_EQ(peers.known(), 3U);
    EXPECT_EQ(peers.silent(), 1U) << "a daemon that was only listed was not heard";
    EXPECT_TRUE(peers.step(TimePoint(1500ms)).empty());
    EXPECT_EQ(peers.step(TimePoint(2s)), std::vector<std::string> { "a" });
    EXPECT_TRUE(peers.step(TimePoint(3s)).empty());
    EXPECT_EQ(peers.silent(), 2U);
    peers.heard(status("a", 1, 2), "10.0.0.1", 7600, TimePoint(20s));
    peers.step(TimePoint(40s));
    EXPECT_EQ(peers.known(), 2U);
}

} // namespace
} // namespace lentilbay::edge
