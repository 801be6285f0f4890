// Tests that the heartbeat codec accepts or rejects any input, and that silent peers are detected.
#include "lentilbay/Edge/PeerHeartbeat.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

PeerHeartbeat heartbeat(const std::string& daemon, uint64_t incarnation, uint64_t sequence)
{
    return { .daemon = daemon,
        .incarnation = incarnation,
        .sequence = sequence,
        .dataCentre = "z",
        .periodMilliseconds = 200,
        .configurationVersion = 300,
        .loads = { { .endpoint = 5, .inFlight = 3 } },
        .quotas = { { .organisation = 6, .admittedTotal = 1.5 } },
        .levels = { { .level = 2.5F, .inWindow = 3.5F } },
        .signals = { { .endpoint = 8, .signals = { .maxRequestsPerSecond = 2.7 }, .ageMicroseconds = 9 },
            { .endpoint = 9,
                .signals = { .maxRejectionsPerSecond = 3 },
                .ageMicroseconds = -1,
                .sentAgeMicroseconds = -1,
                .rejectionLimitAgeMicroseconds = 5,
                .rejectionLimitSentAgeMicroseconds = 6,
                .rejectedAgeMicroseconds = 7 } },
        .isPartitioned = true,
        .isOutdated = true };
}

TEST(PeerHeartbeat, DecodesWhatWasEncoded)
{
    auto sent = heartbeat("a", 1, 2);
    sent.views = { .configuration = { .coveredVersion = 3 }, .endpoints = { .changedVersion = 4 } };
    sent.triggers = { { .trigger = 9, .crashes = { { .endpoint = 1, .ageMicroseconds = 300 } } },
        { .trigger = uint64_t { 1 } << 63U,
            .organisation = 4,
            .isBlocked = true,
            .lastCrashAgeMicroseconds = 0,
            .answeredAgeMicroseconds = INT64_MAX,
            .trials = 3,
            .trialAgeMicroseconds = 5 } };
    const auto outcome
        = outcomeOf<PeerHeartbeat>([&] { return decodePeerHeartbeat(encodePeerHeartbeat(sent)); });
    ASSERT_TRUE(std::holds_alternative<PeerHeartbeat>(outcome));
    EXPECT_EQ(std::get<PeerHeartbeat>(outcome), sent);
}

RC_GTEST_PROP(PeerHeartbeat, AnyNumbersAreReadAsWritten,
    (uint64_t sequence, int64_t time, double total, uint16_t load, uint32_t period, std::string name))
{
    auto sent = heartbeat(name, sequence, sequence);
    sent.sentMicroseconds = time;
    sent.periodMilliseconds = period;
    sent.quotas[0].admittedTotal = total;
    sent.loads[0].inFlight = load;
    sent.signals[0].ageMicroseconds = time;
    const auto outcome
        = outcomeOf<PeerHeartbeat>([&] { return decodePeerHeartbeat(encodePeerHeartbeat(sent)); });
    RC_ASSERT(std::holds_alternative<PeerHeartbeat>(outcome));
    RC_ASSERT(std::get<PeerHeartbeat>(outcome) == sent);
}

TEST(PeerHeartbeat, RejectsTruncatedDatagrams)
{
    const auto datagram = encodePeerHeartbeat(heartbeat("a", 1, 2));
    for (size_t n = 0; n < datagram.size(); ++n) {
        const auto outcome
            = outcomeOf<PeerHeartbeat>([&] { return decodePeerHeartbeat(datagram.substr(0, n)); });
        EXPECT_TRUE(std::holds_alternative<Failure>(outcome)) << n;
    }
}

RC_GTEST_PROP(PeerHeartbeat, AnyBytesAreReadOrRefused, (const std::string& bytes))
{
    const auto outcome = outcomeOf<PeerHeartbeat>([&] { return decodePeerHeartbeat(bytes); });
    RC_ASSERT(std::holds_alternative<Failure>(outcome));
}

TEST(PeerTable, DropsOldHeartbeatsAndAcceptsANewIncarnation)
{
    PeerTable peers("self");
    EXPECT_TRUE(peers.recordHeartbeat(heartbeat("a", 7, 2), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_FALSE(peers.recordHeartbeat(heartbeat("a", 7, 2), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_FALSE(peers.recordHeartbeat(heartbeat("a", 7, 1), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_TRUE(peers.recordHeartbeat(heartbeat("a", 3, 1), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_FALSE(peers.recordHeartbeat(heartbeat("self", 1, 1), "10.0.0.1", 7600, TimePoint(1s)));
    EXPECT_EQ(peers.knownDaemons(), 2U);
}

TEST(PeerTable, LeavingDaemonDoesNotCountAsSilent)
{
    PeerTable peers("self");
    auto leaving = heartbeat("a", 1, 1);
    leaving.isLeaving = true;
    peers.recordHeartbeat(leaving, "10.0.0.1", 7600, TimePoint(1s));
    peers.detectSilent(TimePoint(3s));
    EXPECT_EQ(peers.silentDaemons(), 0U);
    EXPECT_EQ(peers.knownDaemons(), 2U);
}

TEST(PeerTable, DetectsSilentPeersAndRemovesThemLater)
{
    PeerTable peers("self");
    peers.recordHeartbeat(heartbeat("a", 1, 1), "10.0.0.1", 7600, TimePoint(1s));
    peers.addListed("b", "10.0.0.2", 7600, TimePoint(1s));
    peers.addListed("self", "10.0.0.3", 7600, TimePoint(1s));
    EXPECT_EQ(peers.knownDaemons(), 3U);
    EXPECT_EQ(peers.silentDaemons(), 1U) << "a listed daemon is silent until its first heartbeat";
    EXPECT_TRUE(peers.detectSilent(TimePoint(1500ms)).empty());
    EXPECT_EQ(peers.detectSilent(TimePoint(2s)), std::vector<std::string> { "a" });
    EXPECT_TRUE(peers.detectSilent(TimePoint(3s)).empty());
    EXPECT_EQ(peers.silentDaemons(), 2U);
    peers.recordHeartbeat(heartbeat("a", 1, 2), "10.0.0.1", 7600, TimePoint(20s));
    peers.detectSilent(TimePoint(40s));
    EXPECT_EQ(peers.knownDaemons(), 2U);
}

} // namespace
} // namespace lentilbay::edge
