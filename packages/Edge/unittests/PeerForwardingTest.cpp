// Tests the header fields between daemons, and through which peer a request is sent.
#include "lentilbay/Edge/PeerForwarding.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

TEST(PeerForwarding, FieldsOfARequestSurvive)
{
    const ForwardedRequest request {
        .daemon = "edge-1", .service = ServiceId("s"), .version = 0xabcdef0123456789, .isUnverified = true
    };
    http::Headers headers;
    headers.add("X-Own", "1");
    addForwardingFields(headers, request);
    EXPECT_EQ(forwardedRequestOf(headers), request);
    removeForwardingFields(headers);
    EXPECT_EQ(forwardedRequestOf(headers), std::nullopt);
    EXPECT_EQ(headers.fields().size(), 1U);
}

TEST(PeerForwarding, FieldsOfAnAnswerSurvive)
{
    for (const auto& answer : { ForwardedAnswer {}, ForwardedAnswer { .wasNotExecuted = true },
             ForwardedAnswer { .wasNotExecuted = true, .wasNotSent = true },
             ForwardedAnswer { .endpoint = "i-1", .version = 7 } }) {
        http::Headers headers;
        addForwardingFields(headers, answer);
        EXPECT_EQ(forwardedAnswerOf(headers), answer);
    }
}

TEST(PeerForwarding, ReasonOfARefusalIsReadFromItsBody)
{
    for (const auto code : { ResultCode::MissingKey, ResultCode::UnknownKey, ResultCode::TokenRateLimit,
             ResultCode::KeysUnverifiable })
        EXPECT_EQ(keyRefusalOf(refusalBody(code)), code);
    // Recorded: other builds write and read these.
    EXPECT_EQ(refusalBody(ResultCode::KeysUnverifiable), "LB-3013\n");
    for (const auto* it : { "", "LB-3013", "LB-3006\n", "LB-30131\n" })
        EXPECT_EQ(keyRefusalOf(it), std::nullopt) << it;
}

TEST(PeerForwarding, VersionThatCannotBeReadIsUnknown)
{
    http::Headers headers;
    headers.add("Lentilbay-Software-Version", "12x");
    EXPECT_EQ(forwardedAnswerOf(headers).version, std::nullopt);
}

class PeerRelaysTest : public testing::Test {
protected:
    void hear(const std::string& daemon, const std::string& dataCentre, bool isLeaving = false,
        bool isPartitioned = false)
    {
        PeerHeartbeat heartbeat { .daemon = daemon, .incarnation = 1, .sequence = ++sequence };
        heartbeat.dataCentre = dataCentre;
        heartbeat.periodMilliseconds = 200;
        heartbeat.isLeaving = isLeaving;
        heartbeat.isPartitioned = isPartitioned;
        peers.recordHeartbeat(heartbeat, "127.0.0.1", 1, now);
        relays.update(peers);
    }
    std::string chosen(const std::vector<EndpointId>& tried = {})
    {
        const auto it = relays.choose(tried, random);
        return it ? it->entry().id.text() : std::string();
    }

    const Topology topology { .ownDataCentre = DataCentreId("a"),
        .regions = { { DataCentreId("a"), RegionId("r") }, { DataCentreId("b"), RegionId("r") },
            { DataCentreId("c"), RegionId("q") } } };
    TimePoint now { 100s };
    uint64_t sequence = 0;
    PeerTable peers { "self" };
    PeerRelays relays { topology };
    Random random { 1 };
};

TEST_F(PeerRelaysTest, PrefersNearPeersWithFewRequests)
{
    hear("far", "c");
    hear("near", "a");
    EXPECT_EQ(chosen(), "daemon/near");
    for (int i = 0; i < 6; ++i)
        relays.choose({ EndpointId("daemon/far") }, random)->recordSend({}, now);
    EXPECT_EQ(chosen(), "daemon/far");
    EXPECT_EQ(chosen({ EndpointId("daemon/far") }), "daemon/near");
    EXPECT_EQ(chosen({ EndpointId("daemon/far"), EndpointId("daemon/near") }), "");
}

TEST_F(PeerRelaysTest, LastPeerOfADataCentreDoesNotGetTheRequestsOfAll)
{
    hear("near", "a");
    for (int i = 0; i < 20; ++i)
        hear(std::to_string(i), "a", false, true);
    for (int i = 0; i < 5; ++i)
        hear("far" + std::to_string(i), "c");
    int near = 0;
    constexpr int n = 60;
    for (int i = 0; i < n; ++i) {
        const auto it = relays.choose({}, random);
        it->recordSend({}, now);
        near += it->entry().id.text() == "daemon/near" ? 1 : 0;
    }
    EXPECT_LE(near, n / 6 + 1);
}

TEST_F(PeerRelaysTest, PeerWithoutTheStoreMightSendToAnEndpointThatHasLeft)
{
    hear("near", "a");
    hear("far", "c");
    PeerHeartbeat heartbeat { .daemon = "near", .incarnation = 1, .sequence = ++sequence };
    heartbeat.dataCentre = "a";
    heartbeat.periodMilliseconds = 200;
    heartbeat.isOutdated = true;
    peers.recordHeartbeat(heartbeat, "127.0.0.1", 1, now);
    relays.update(peers);
    EXPECT_EQ(chosen(), "daemon/far");
    EXPECT_EQ(chosen({ EndpointId("daemon/far") }), "daemon/near");
}

TEST_F(PeerRelaysTest, OnlyCurrentPeersOfThisBuildVerifyKeys)
{
    const auto hearWith = [&](bool isOutdated, WireRevision revision) {
        PeerHeartbeat heartbeat { .daemon = "near", .incarnation = 1, .sequence = ++sequence };
        heartbeat.dataCentre = "a";
        heartbeat.periodMilliseconds = 200;
        heartbeat.isOutdated = isOutdated;
        heartbeat.revision = revision;
        peers.recordHeartbeat(heartbeat, "127.0.0.1", 1, now);
        relays.update(peers);
        return relays.choose({}, random, true) != nullptr;
    };
    EXPECT_TRUE(hearWith(false, newestWireRevision));
    EXPECT_FALSE(hearWith(true, newestWireRevision));
    EXPECT_FALSE(hearWith(false, WireRevision::WindowParts)) << "it would count no quota";
    EXPECT_EQ(chosen(), "daemon/near") << "for a request whose key was verified";
}

TEST_F(PeerRelaysTest, LeavesOutPeersThatCannotServe)
{
    hear("leaving", "a", true);
    hear("partitioned", "a", false, true);
    EXPECT_EQ(relays.size(), 0U);
    EXPECT_EQ(chosen(), "");
    EXPECT_TRUE(relays.isAlive(EndpointId("daemon/leaving"))) << "it completes what it has";
    hear("partitioned", "a");
    EXPECT_EQ(chosen(), "daemon/partitioned");
    now += 2s;
    peers.detectSilent(now);
    relays.update(peers);
    EXPECT_FALSE(relays.isAlive(EndpointId("daemon/partitioned")));
    EXPECT_EQ(chosen(), "");
}

} // namespace
} // namespace lentilbay::edge
