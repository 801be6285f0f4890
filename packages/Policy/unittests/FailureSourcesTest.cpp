// Tests that a failed send is held against the endpoint, or against the request, whichever fails alone.
#include "lentilbay/Policy/FailureSources.h"

#include <array>
#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t route = 7;
const std::array<uint64_t, 1> sharedKeys { route };

class FailureSourcesTest : public testing::Test {
protected:
    /// Sends requests to six endpoints in turn; one in `period` fails at each of them.
    void send(int requests, int period)
    {
        for (int i = 0; i < requests; ++i) {
            now += 10ms;
            const uint64_t endpoint = 1 + static_cast<uint64_t>(i) % 6;
            // Another multiple than that of the endpoints, so that all of them get such requests.
            if ((i / 6 + i) % period == 0)
                sources.recordFailure(endpoint, sharedKeys, now);
            else
                sources.recordSuccess(endpoint, sharedKeys, now);
        }
    }

    FailureSources sources;
    TimePoint now { 1s };
};

TEST_F(FailureSourcesTest, RequestsThatFailEverywhereWereHeldAgainstEndpoints)
{
    send(600, 5);
    const double weight = sources.weightAgainst(1, sharedKeys, now);
    EXPECT_GT(weight, 0.4);
    EXPECT_LT(weight, 0.65) << "a fifth of the requests fails anywhere";
    send(600, 2);
    EXPECT_LT(sources.weightAgainst(1, sharedKeys, now), 0.35);
}

TEST_F(FailureSourcesTest, EndpointThatFailsAloneIsJudgedAtOnce)
{
    for (int i = 0; i < 60; ++i) {
        now += 10ms;
        EXPECT_EQ(sources.weightAgainst(1, sharedKeys, now), 1) << i;
        sources.recordFailure(1, sharedKeys, now);
        for (const uint64_t sound : { 2, 3 })
            sources.recordSuccess(sound, sharedKeys, now);
        // It serves some requests.
        if (i % 3 == 0)
            sources.recordSuccess(1, sharedKeys, now);
    }
}

TEST_F(FailureSourcesTest, EndpointsThatServeNothingAreNotExcused)
{
    for (int i = 0; i < 10; ++i) {
        now += 10ms;
        for (const uint64_t endpoint : { 1, 2, 3, 4 }) {
            EXPECT_EQ(sources.weightAgainst(endpoint, sharedKeys, now), 1);
            sources.recordFailure(endpoint, sharedKeys, now);
        }
    }
    // They are back.
    now += 2s;
    for (const uint64_t endpoint : { 1, 2, 3, 4 })
        sources.recordSuccess(endpoint, sharedKeys, now);
    EXPECT_EQ(sources.weightAgainst(1, sharedKeys, now), 1);
}

TEST_F(FailureSourcesTest, OneRequestWasHeldAgainstEachEndpoint)
{
    const std::array<uint64_t, 2> odd { route, 8 };
    sources.recordFailure(1, odd, now);
    sources.recordFailureAtBoth(1, 2, odd, now);
    EXPECT_LT(sources.weightAgainst(3, odd, now), 0.3);
    // Other requests of the route succeed.
    for (int i = 0; i < 100; ++i)
        sources.recordSuccess(1 + static_cast<uint64_t>(i) % 6, sharedKeys, now);
    EXPECT_EQ(sources.weightAgainst(3, sharedKeys, now), 1);
    EXPECT_LT(sources.weightAgainst(3, odd, now), 0.3);
}

TEST_F(FailureSourcesTest, FailuresAreForgotten)
{
    send(600, 2);
    now += 60s;
    EXPECT_EQ(sources.weightAgainst(1, sharedKeys, now), 1);
    sources.recordSuccess(1, sharedKeys, now);
    EXPECT_EQ(sources.size(), 0U);
}

TEST_F(FailureSourcesTest, KeysAreBounded)
{
    for (uint64_t key = 0; key < 20'000; ++key) {
        const std::array<uint64_t, 1> keys { key };
        sources.recordFailureAtBoth(1, 2, keys, now);
    }
    EXPECT_LE(sources.size(), 4096U);
}

} // namespace
} // namespace lentilbay
