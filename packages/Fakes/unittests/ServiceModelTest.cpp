// Tests of the fake application endpoint, which counts executions even if the answer is lost.
#include "lentilbay/Fakes/ServiceModel.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::fakes;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

ServiceCall callOf(const std::string& id, const std::string& key = {})
{
    return { .id = RequestId(id), .key = key };
}

} // namespace

TEST(ServiceModel, answersAfterCallTime)
{
    ServiceModel service({ .callTime = 5ms });
    const auto record = service.submit(callOf("a"), start);
    EXPECT_EQ(service.nextWake(), start + 5ms);
    service.advance(start + 4ms);
    EXPECT_TRUE(service.takeOutputs().empty());
    service.advance(start + 5ms);
    const auto outputs = service.takeOutputs();
    ASSERT_EQ(outputs.size(), 1U);
    EXPECT_EQ(outputs[0].record, record);
    EXPECT_FALSE(outputs[0].broken);
    EXPECT_FALSE(service.nextWake());
}

TEST(ServiceModel, countsExecutionsByKeyAndById)
{
    ServiceModel service;
    service.submit(callOf("a", "k"), start);
    service.submit(callOf("b", "k"), start);
    service.submit(callOf("c"), start);
    EXPECT_EQ(service.executionsByKey(), (std::map<std::string, uint32_t> { { "k", 2 } }));
    EXPECT_EQ(service.executionsById().at("c"), 1U);
}

TEST(ServiceModel, boundsConcurrentCalls)
{
    ServiceModel service({ .callTime = 5ms, .maxRunning = 1 });
    service.setFaults({ .loadLag = 0ms }, start);
    service.submit(callOf("a"), start);
    service.submit(callOf("b"), start);
    EXPECT_FALSE(service.records()[1].executed);
    EXPECT_EQ(service.reportedLoad(start).waiting, 1U);
    service.advance(start + 10ms);
    EXPECT_EQ(service.records()[1].endedAt, start + 10ms);
}

TEST(ServiceModel, dropsAnswersAfterExecution)
{
    ServiceModel service;
    service.setFaults({ .dropAnswers = true }, start);
    service.submit(callOf("a", "k"), start);
    service.advance(start + 1s);
    EXPECT_TRUE(service.takeOutputs().at(0).broken);
    EXPECT_EQ(service.executionsByKey().at("k"), 1U);
    EXPECT_TRUE(service.records()[0].answerDropped);
}

TEST(ServiceModel, refusesWithoutExecuting)
{
    ServiceModel service;
    service.setFaults({ .refuse = true }, start);
    EXPECT_FALSE(service.submit(callOf("a", "k"), start));
    EXPECT_TRUE(service.executionsByKey().empty());
    EXPECT_TRUE(service.records()[0].refused);
}

TEST(ServiceModel, appliesStallAndSlowFactor)
{
    ServiceModel service({ .callTime = 5ms });
    service.submit(callOf("a"), start);
    service.setFaults({ .slowFactor = 10, .stalled = true }, start + 2ms);
    service.advance(start + 1s);
    EXPECT_TRUE(service.takeOutputs().empty());
    service.setFaults({ .slowFactor = 10 }, start + 1s);
    EXPECT_EQ(service.nextWake(), start + 1s + 3ms);
    service.advance(start + 2s);
    service.submit(callOf("b"), start + 2s);
    EXPECT_EQ(service.nextWake(), start + 2s + 50ms);
}

TEST(ServiceModel, reportsLeavingSince)
{
    ServiceModel service;
    EXPECT_FALSE(service.leavingSince());
    service.setFaults({ .leaving = true }, start);
    service.setFaults({ .slowFactor = 2, .leaving = true }, start + 1s);
    EXPECT_EQ(service.leavingSince(), start);
}
