// Tests of speed estimates, straggler detection and recovery, probing, and concurrency limits.
#include "lentilbay/Policy/EndpointEstimate.h"
#include "lentilbay/Policy/AnswerEstimates.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

TEST(EndpointEstimate, NewEndpointUsesSpeedOfItsGeneration)
{
    GenerationEstimate generation;
    EndpointEstimate known;
    for (int i = 0; i < 10; ++i) {
        known.observeDecode(100, 1, 1, generation);
        known.observePrefill(1000, 0.5, generation);
    }
    const EndpointEstimate fresh;
    EXPECT_NEAR(fresh.speed(generation).secondsPerAnswerToken, 0.01, 1e-6);
    EXPECT_NEAR(fresh.speed(generation).secondsPerPromptToken, 0.0005, 1e-6);
}

TEST(EndpointEstimate, DetectsStragglerWithinFourAnswersAndKeepsItsUsualSpeed)
{
    GenerationEstimate generation;
    EndpointEstimate estimate;
    for (int i = 0; i < 30; ++i)
        estimate.observeDecode(100, 1, 1, generation);
    EXPECT_FALSE(estimate.isStraggler());
    int answers = 0;
    while (!estimate.isStraggler() && answers < 20) {
        estimate.observeDecode(100, 4, 1, generation);
        ++answers;
    }
    EXPECT_LE(answers, 4);
    for (int i = 0; i < 50; ++i)
        estimate.observeDecode(100, 4, 1, generation);
    EXPECT_LT(estimate.speed(generation).secondsPerAnswerToken, 0.02);
    answers = 0;
    while (estimate.isStraggler() && answers < 20) {
        estimate.observeDecode(100, 1, 1, generation);
        ++answers;
    }
    EXPECT_LE(answers, 6);
}

TEST(EndpointEstimate, DetectsInitiallySlowEndpointByComparisonWithItsGeneration)
{
    GenerationEstimate generation;
    EndpointEstimate usual;
    for (int i = 0; i < 20; ++i)
        usual.observeDecode(100, 1, 1, generation);
    EndpointEstimate slow;
    for (int i = 0; i < 4; ++i)
        slow.observeDecode(100, 5, 1, generation);
    EXPECT_TRUE(slow.isStraggler());
}

TEST(EndpointEstimate, ProbesBackOffUntilOneIsAnsweredAtUsualSpeed)
{
    EndpointEstimate estimate;
    for (int i = 0; i < 5; ++i)
        estimate.observeSlowdown(5);
    ASSERT_TRUE(estimate.isStraggler());
    EXPECT_TRUE(estimate.mayProbe(TimePoint(1s)));
    estimate.probeSent(TimePoint(1s));
    EXPECT_FALSE(estimate.mayProbe(TimePoint(2s)));
    EXPECT_TRUE(estimate.mayProbe(TimePoint(3s)));
    estimate.probeSent(TimePoint(3s));
    EXPECT_FALSE(estimate.mayProbe(TimePoint(6s)));
    EXPECT_TRUE(estimate.mayProbe(TimePoint(7s)));
    EXPECT_FALSE(estimate.mustProbe(TimePoint(7s)));
    EXPECT_TRUE(estimate.mustProbe(TimePoint(12s)));
    estimate.observeSlowdown(1);
    estimate.probeSent(TimePoint(12s));
    EXPECT_TRUE(estimate.mayProbe(TimePoint(14s)));
    estimate.observeSlowdown(1);
    EXPECT_FALSE(estimate.isStraggler());
}

TEST(EndpointEstimate, KneeIsWhereThroughputSaturates)
{
    GenerationEstimate generation;
    EndpointEstimate estimate;
    EXPECT_EQ(estimate.knee(8), 8U);
    for (int i = 0; i < 30; ++i) {
        for (uint32_t running = 1; running <= 8; ++running)
            estimate.observeDecode(100, running <= 5 ? 1 : running / 5.0, running, generation);
    }
    EXPECT_EQ(estimate.knee(8), 5U);
    EXPECT_EQ(estimate.knee(4), 4U);
}

TEST(EndpointEstimate, SlotsIncludeRequestsInPrefill)
{
    EndpointEstimate estimate;
    EXPECT_EQ(estimate.slots(8), 8U);
    for (int i = 0; i < 30; ++i)
        estimate.observeAnswer(2, 10);
    EXPECT_EQ(estimate.slots(8), 10U);
    for (int i = 0; i < 100; ++i)
        estimate.observeAnswer(9, 10);
    EXPECT_EQ(estimate.slots(8), 12U);
}

TEST(EndpointEstimate, LoadReportDecaysWithAge)
{
    EXPECT_DOUBLE_EQ(expectedLoad(10, 0s, 2), 10);
    EXPECT_DOUBLE_EQ(expectedLoad(10, 500ms, 2), 6);
    EXPECT_NEAR(expectedLoad(10, 10s, 2), 2, 0.01);
    EXPECT_DOUBLE_EQ(expectedLoad(0, 0s, 3), 3);
}

TEST(AnswerEstimates, UsesServiceEstimateUntilOrganisationHasObservations)
{
    AnswerEstimates estimates(256);
    const OrganisationId press("press");
    const OrganisationId society("society");
    const ServiceId edit("edit");
    EXPECT_DOUBLE_EQ(estimates.expected(press, edit).mean, 256);
    for (int i = 0; i < 20; ++i)
        estimates.observe(press, edit, 1000);
    EXPECT_NEAR(estimates.expected(society, edit).mean, 1000, 1);
    for (int i = 0; i < 20; ++i)
        estimates.observe(society, edit, 10);
    EXPECT_NEAR(estimates.expected(society, edit).mean, 10, 1);
    EXPECT_NEAR(estimates.expected(press, edit).mean, 1000, 1);
}

} // namespace
} // namespace lentilbay
