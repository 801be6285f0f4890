// Tests of the routing cost: predicted completion, cached prefixes, distance and billed traffic.
#include "lentilbay/Policy/Routing.h"

#include <gtest/gtest.h>

#include <vector>

namespace lentilbay {
namespace {

const ExpectedWork manuscript { .promptTokens = 10'000, .answerTokens = { .mean = 100, .spread = 20 } };
const RouteWeights weights;

TEST(Routing, PrefersTheFasterEndpoint)
{
    const std::vector<RouteCandidate> candidates { { .speed = { 0.001, 0.02 } },
        { .speed = { 0.0005, 0.02 } } };
    EXPECT_EQ(chooseRoute(manuscript, candidates, weights), 1U);
    EXPECT_EQ(chooseRoute(manuscript, {}, weights), 0U);
}

TEST(Routing, PrefersCachedPrefixUnlessEndpointIsOverloaded)
{
    std::vector<RouteCandidate> candidates(4);
    candidates[3].cachedFraction = 0.8;
    EXPECT_EQ(chooseRoute(manuscript, candidates, weights), 3U);
    candidates[3].inFlight = 9;
    EXPECT_NE(chooseRoute(manuscript, candidates, weights), 3U);
}

TEST(Routing, PredictsStragglerAsSlower)
{
    const std::vector<RouteCandidate> candidates { { .slowness = 3 }, { .speed = { 0.0003, 0.03 } } };
    EXPECT_EQ(chooseRoute(manuscript, candidates, weights), 1U);
}

TEST(Routing, PrefersOwnRegionOverBilledTraffic)
{
    const std::vector<RouteCandidate> candidates { { .distance = Distance::OtherRegion },
        { .distance = Distance::SameRegion }, { .inFlight = 1, .distance = Distance::SameDataCentre } };
    EXPECT_NE(chooseRoute(manuscript, candidates, weights), 0U);
}

TEST(Routing, PredictionsAccountForSpreadOfAnswerSize)
{
    const RouteCandidate candidate;
    const auto mean = predictTimes(manuscript, candidate, weights);
    EXPECT_NEAR(mean.firstToken, 2.0005, 1e-9);
    EXPECT_NEAR(mean.total, 4.0005, 1e-9);
    EXPECT_NEAR(predictTimes(manuscript, candidate, weights, 1).total, 4.4005, 1e-9);
    EXPECT_NEAR(predictTimes(manuscript, candidate, weights, -100).total, 2.2005, 1e-9);
    const ExpectedWork booking { .plainSeconds = { .mean = 0.3, .spread = 0.1 } };
    EXPECT_NEAR(predictTimes(booking, candidate, weights).total, 0.3005, 1e-9);
}

} // namespace
} // namespace lentilbay
