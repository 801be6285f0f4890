// Tests when a service is known to have had one software version only.
#include "lentilbay/Edge/VersionHistory.h"

#include "lentilbay/Support/Hash.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const ServiceId service("s");

class VersionHistoryTest : public testing::Test {
protected:
    void list(const std::string& id, const std::string& version)
    {
        endpoints.list(
            { .id = EndpointId(id), .service = service, .host = "127.0.0.1", .softwareVersion = version });
    }
    static TimePoint at(Duration since) { return TimePoint {} + 1h + since; }

    EndpointRegistry endpoints { Topology {}, 1 };
};

TEST_F(VersionHistoryTest, OneVersionIsKnownFromTheFirstStartOfTheFleet)
{
    VersionHistory history(true);
    list("a", "v1");
    history.update(endpoints, at(0s));
    EXPECT_EQ(history.soleVersion(service, at(0s)), hashOf("v1"));
    EXPECT_FALSE(history.soleVersion(ServiceId("other"), at(0s)));
    list("b", "v1");
    history.update(endpoints, at(1s));
    EXPECT_EQ(history.soleVersion(service, at(1s)), hashOf("v1"));
}

TEST_F(VersionHistoryTest, RestartedDaemonWaitsUntilNoEarlierStreamIsLeft)
{
    VersionHistory history(false);
    list("a", "v1");
    history.update(endpoints, at(0s));
    EXPECT_FALSE(history.soleVersion(service, at(30s)));
    EXPECT_EQ(history.soleVersion(service, at(41s)), hashOf("v1"));
}

TEST_F(VersionHistoryTest, OneVersionIsRestoredAfterAllDaemonsWereRestarted)
{
    using Known = VersionHistory::Known;
    VersionHistory history(false);
    list("a", "v1");
    history.update(endpoints, at(0s));
    EXPECT_EQ(history.knownOf(service, at(1s)), Known::Undecided);
    history.restore(service, hashOf("v2"));
    EXPECT_FALSE(history.soleVersion(service, at(1s)));
    history.restore(service, hashOf("v1"));
    EXPECT_EQ(history.soleVersion(service, at(1s)), hashOf("v1"));
    EXPECT_EQ(history.knownOf(service, at(1s)), Known::OneVersion);
    // What was restored says nothing about later versions.
    list("b", "v2");
    history.update(endpoints, at(2s));
    EXPECT_EQ(history.knownOf(service, at(2s)), Known::SeveralVersions);
    endpoints.unlist(EndpointId("b"));
    history.update(endpoints, at(3s));
    EXPECT_FALSE(history.soleVersion(service, at(4s)));
    EXPECT_EQ(history.knownOf(service, at(4s)), Known::SeveralVersions);
}

TEST_F(VersionHistoryTest, SecondVersionEndsItUntilItsStreamsHaveEnded)
{
    VersionHistory history(true);
    list("a", "v1");
    history.update(endpoints, at(0s));
    list("b", "v2");
    history.update(endpoints, at(1s));
    EXPECT_FALSE(history.soleVersion(service, at(1s)));
    // A release that is rolled back.
    endpoints.unlist(EndpointId("b"));
    history.update(endpoints, at(100s));
    EXPECT_FALSE(history.soleVersion(service, at(120s)));
    EXPECT_EQ(history.soleVersion(service, at(141s)), hashOf("v1"));
    // All endpoints are replaced between two updates.
    endpoints.unlist(EndpointId("a"));
    history.update(endpoints, at(150s));
    list("c", "v3");
    history.update(endpoints, at(151s));
    EXPECT_FALSE(history.soleVersion(service, at(152s)));
}

} // namespace
} // namespace lentilbay::edge
