// Checks a short run of the policy benchmark against bench/bounds.ini. The seed is fixed, so each run
// simulates the same requests.
#include "Comparison.h"

#include <gtest/gtest.h>

#include <map>

namespace lentilbay::bench {
namespace {

constexpr Duration runLength = std::chrono::seconds(100);

const PolicyBounds& bounds()
{
    static const auto out = readBounds(LENTILBAY_SOURCE_DIR "/bench/bounds.ini");
    return out;
}

const Comparison& comparisonOf(const Workload& workload, double load, uint64_t seed)
{
    static std::map<std::tuple<std::string, double, uint64_t>, Comparison> cache;
    auto [it, isNew] = cache.try_emplace({ workload.name, load, seed });
    if (isNew)
        it->second = compare(workload, load, runLength, seed);
    return it->second;
}

class PolicyBenchTest : public ::testing::TestWithParam<std::tuple<Workload, double>> {
protected:
    const Comparison& comparison() const
    {
        const auto& [workload, load] = GetParam();
        return comparisonOf(workload, load, 1);
    }
    bool isJudged() const { return std::get<1>(GetParam()) == bounds().judgedLoad; }
};

TEST_P(PolicyBenchTest, NoInvariantIsBroken)
{
    EXPECT_EQ(comparison().entry().violations, std::vector<std::string> {});
    EXPECT_EQ(comparison().entry().counters.shedWhileLowerServed, 0U);
}

TEST_P(PolicyBenchTest, TheTopTierIsServedWhereItFits)
{
    if (!comparison().topTierFits)
        return;
    EXPECT_GE(comparison().topTierInTimeFraction(), bounds().topTierGoodput);
}

TEST_P(PolicyBenchTest, LittlePrefillIsWasted)
{
    EXPECT_LE(comparison().entry().score.wastedPrefillFraction(), bounds().wastedPrefill);
}

TEST_P(PolicyBenchTest, WeightedGoodputIsNearTheUpperBound)
{
    if (!isJudged())
        return;
    EXPECT_GE(comparison().entry().score.weightedGoodput,
        bounds().weightedOverBound * comparison().boundWeightedGoodput);
}

TEST_P(PolicyBenchTest, WeightedGoodputIsAboveEveryPlainScheduler)
{
    if (!isJudged())
        return;
    EXPECT_GE(comparison().entry().score.weightedGoodput,
        bounds().weightedOverBestPlain * comparison().bestBaselineWeightedGoodput());
}

TEST_P(PolicyBenchTest, EveryRequestHasOneEnd)
{
    const auto& score = comparison().entry().score;
    double arrived = 0;
    for (const auto n : score.arrived)
        arrived += n;
    const auto& [workload, load] = GetParam();
    EXPECT_EQ(arrived, static_cast<double>(makeScenario(workload, load, runLength, 1).requests.size()));
    for (const auto& run : comparison().runs)
        EXPECT_LE(run.score.weightedGoodput, comparison().boundWeightedGoodput) << run.scheduler;
}

std::string nameOf(const ::testing::TestParamInfo<std::tuple<Workload, double>>& parameter)
{
    const auto& [workload, load] = parameter.param;
    return workload.name + "_load" + std::to_string(static_cast<int>(load * 10));
}

INSTANTIATE_TEST_SUITE_P(Workloads, PolicyBenchTest,
    ::testing::Combine(::testing::Values(daejeon(), cooperative()), ::testing::Values(0.5, 2.0)), nameOf);

} // namespace
} // namespace lentilbay::bench
