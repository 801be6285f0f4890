// Tests that each request is dispatched at most once, only while allowed, and gets exactly one outcome.
#include "EntryFixture.h"

#include <gmock/gmock.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

using EntryControllerTest = EntryFixture;

constexpr TimePoint at(Duration duration) { return TimePoint(duration); }

TEST_F(EntryControllerTest, DispatchesAndRecordsOneOutcome)
{
    m_entry.arrive(arrival("r1"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("r1@e1"));
    EXPECT_TRUE(dispatch("r1", at(1ms)));
    EXPECT_FALSE(dispatch("r1", at(2ms)));
    m_entry.tokensArrived(RequestId("r1"), 3, at(10ms));
    m_entry.tokensArrived(RequestId("r1"), 4, at(20ms));
    end("r1", AnswerEnd::Whole, at(30ms));
    end("r1", AnswerEnd::Broken, at(31ms));
    const auto outcomes = m_entry.takeOutcomes();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].code, ResultCode::Ok);
    EXPECT_TRUE(outcomes[0].inTime);
    EXPECT_EQ(outcomes[0].answerTokens, 7U);
    EXPECT_EQ(outcomes[0].endpoint, EndpointId("e1"));
    EXPECT_THAT(commands(), IsEmpty());
    EXPECT_EQ(m_entry.openRequests(), 0U);
    EXPECT_EQ(m_blackboard.endpoints[0].inFlightTotal(), 0U);
}

TEST_F(EntryControllerTest, WaitsForAFreeSlotByTierThenDeadline)
{
    m_entry.arrive(arrival("r1"), at(0s));
    m_entry.arrive(arrival("r2"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("r1@e1", "r2@e2"));
    m_entry.arrive(arrival("b1", "bronze"), at(0s));
    m_entry.arrive(arrival("g1"), at(1s));
    auto urgentRequest = arrival("g2");
    urgentRequest.deadline = 5s;
    m_entry.arrive(urgentRequest, at(1s));
    EXPECT_THAT(commands(), IsEmpty());
    EXPECT_EQ(m_blackboard.findPool(ServiceId("edit"))->waiting[0], 2U);
    EXPECT_EQ(m_blackboard.findPool(ServiceId("edit"))->waiting[1], 1U);
    ASSERT_TRUE(dispatch("r1", at(1s)));
    end("r1", AnswerEnd::Whole, at(2s));
    EXPECT_THAT(commands(), ElementsAre("g2@e1"));
    ASSERT_TRUE(dispatch("r2", at(2s)));
    end("r2", AnswerEnd::Whole, at(2s));
    EXPECT_THAT(commands(), ElementsAre("g1@e2"));
}

TEST_F(EntryControllerTest, AnExpiredGrantOrALeavingEndpointPreventsADispatch)
{
    grantAll(1, at(3s));
    m_entry.step(at(0s));
    m_entry.arrive(arrival("r1"), at(0s));
    m_entry.arrive(arrival("r2"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("r1@e1", "r2@e2"));
    m_blackboard.endpoints[0].leaving = true;
    EXPECT_FALSE(dispatch("r1", at(1s)));
    EXPECT_FALSE(dispatch("r2", at(3s)));
    m_entry.step(at(3s));
    EXPECT_THAT(commands(), IsEmpty());
    grantAll(1, at(6s));
    m_entry.step(at(4s));
    EXPECT_THAT(commands(), ElementsAre("r1@e2"));
    EXPECT_TRUE(dispatch("r1", at(4s)));
}

TEST_F(EntryControllerTest, AnEndpointRemovedFromTheConfigurationGetsNoDispatch)
{
    m_entry.arrive(arrival("r1"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("r1@e1"));
    auto next = configuration();
    next.endpoints.erase(next.endpoints.begin());
    applyConfiguration(m_blackboard, std::make_shared<Configuration>(next));
    EXPECT_FALSE(dispatch("r1", at(1s)));
    m_entry.step(at(1s));
    EXPECT_THAT(commands(), ElementsAre("r1@e2"));
}

TEST_F(EntryControllerTest, ARequestWhoseDeadlinePassesInTheQueueIsRefusedAsNotRun)
{
    grantAll(0, at(1h));
    m_entry.step(at(0s));
    auto urgentRequest = arrival("r1");
    urgentRequest.deadline = 2s;
    m_entry.arrive(urgentRequest, at(0s));
    EXPECT_LE(m_entry.nextWake(), at(2s));
    m_blackboard.findPool(ServiceId("edit"))->occupancy
        = { .lowestServedRank = 1, .lowestRunningRank = 1, .requestedAt = at(1900ms) };
    m_entry.step(at(2s));
    EXPECT_THAT(commands(), ElementsAre("refuse r1 LB-3003 no"));
    const auto outcomes = m_entry.takeOutcomes();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].ran, Executed::No);
    EXPECT_FALSE(dispatch("r1", at(2s)));
}

TEST_F(EntryControllerTest, ARequestThatExpiresWithoutAnOwnersReportIsRefusedAsOwnerUnreachable)
{
    grantAll(0, at(1h));
    auto urgentRequest = arrival("r1");
    urgentRequest.deadline = 2s;
    m_entry.arrive(urgentRequest, at(0s));
    m_blackboard.findPool(ServiceId("edit"))->occupancy = { .lowestServedRank = 0, .requestedAt = at(900ms) };
    m_entry.step(at(2s));
    EXPECT_THAT(commands(), ElementsAre("refuse r1 LB-3011 no"));
}

TEST_F(EntryControllerTest, ADeadlineThatPassesBeforeTheFirstBytePreventsTheDispatch)
{
    m_entry.arrive(arrival("r1"), at(0s));
    commands();
    EXPECT_FALSE(dispatch("r1", at(10s)));
    EXPECT_THAT(commands(), ElementsAre("refuse r1 LB-3003 no"));
    EXPECT_EQ(m_blackboard.endpoints[0].inFlightTotal(), 0U);
}

TEST_F(EntryControllerTest, AFailedConnectionIsRetriedAtAnotherEndpointUpToALimit)
{
    m_entry.arrive(arrival("r1"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("r1@e1"));
    m_entry.connectFailed(RequestId("r1"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("r1@e2"));
    for (int i = 0; i < 3; ++i) {
        m_entry.connectFailed(RequestId("r1"), at(std::chrono::seconds(i)));
        m_entry.step(at(std::chrono::seconds(i) + 500ms));
    }
    EXPECT_THAT(commands(), ElementsAre("r1@e1", "r1@e2", "refuse r1 LB-5001 no"));
    EXPECT_EQ(m_entry.openRequests(), 0U);
    EXPECT_EQ(m_blackboard.endpoints[0].inFlightTotal() + m_blackboard.endpoints[1].inFlightTotal(), 0U);
}

TEST_F(EntryControllerTest, ANonIdempotentRequestIsClaimedBeforeItsDispatch)
{
    m_entry.arrive(arrival("r1", "gold", "book"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("claim r1"));
    EXPECT_FALSE(dispatch("r1", at(0s)));
    m_entry.claimed(RequestId("r1"), ClaimResult::Held, at(1ms));
    EXPECT_THAT(commands(), ElementsAre("r1@a1"));
    EXPECT_TRUE(dispatch("r1", at(2ms)));
}

TEST_F(EntryControllerTest, AClaimThatIsNotHeldNeverDispatches)
{
    grantAll(2, at(1h));
    m_entry.step(at(0s));
    m_entry.arrive(arrival("r1", "gold", "book"), at(0s));
    m_entry.arrive(arrival("r2", "gold", "book"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("claim r1", "claim r2"));
    m_entry.claimed(RequestId("r1"), ClaimResult::HeldElsewhere, at(1ms));
    m_entry.claimed(RequestId("r2"), ClaimResult::Unavailable, at(1ms));
    EXPECT_THAT(commands(), ElementsAre("refuse r2 LB-4001 no"));
    EXPECT_EQ(m_entry.takeOutcomes().size(), 2U);
    EXPECT_FALSE(dispatch("r1", at(1ms)));
    EXPECT_FALSE(dispatch("r2", at(1ms)));
}

TEST_F(EntryControllerTest, ABrokenAnswerIsNeverDispatchedAgain)
{
    m_entry.arrive(arrival("r1"), at(0s));
    commands();
    ASSERT_TRUE(dispatch("r1", at(0s)));
    m_entry.connectFailed(RequestId("r1"), at(1s));
    EXPECT_THAT(commands(), IsEmpty());
    end("r1", AnswerEnd::Broken, at(1s));
    EXPECT_THAT(commands(), ElementsAre("refuse r1 LB-5002 unknown"));
}

TEST_F(EntryControllerTest, ADisconnectedCallersRequestIsCancelled)
{
    m_entry.arrive(arrival("r1"), at(0s));
    commands();
    ASSERT_TRUE(dispatch("r1", at(0s)));
    m_entry.callerLeft(RequestId("r1"), at(1s));
    EXPECT_THAT(commands(), ElementsAre("cancel r1 LB-1018"));
    EXPECT_EQ(m_blackboard.endpoints[0].inFlightTotal(), 1U);
    end("r1", AnswerEnd::Cancelled, at(2s));
    EXPECT_THAT(commands(), IsEmpty());
    EXPECT_EQ(m_blackboard.endpoints[0].inFlightTotal(), 0U);
}

TEST_F(EntryControllerTest, AKeyedRequestContinuesAfterItsCallerLeft)
{
    m_entry.arrive(arrival("r1", "gold", "book"), at(0s));
    m_entry.claimed(RequestId("r1"), ClaimResult::Held, at(0s));
    commands();
    ASSERT_TRUE(dispatch("r1", at(0s)));
    m_entry.callerLeft(RequestId("r1"), at(1s));
    EXPECT_THAT(commands(), IsEmpty());
    end("r1", AnswerEnd::Whole, at(2s));
    const auto outcomes = m_entry.takeOutcomes();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].code, ResultCode::CallerLeft);
}

TEST_F(EntryControllerTest, FencedAndDrainingDaemonsStartNoNewRequests)
{
    m_blackboard.draining = true;
    m_entry.arrive(arrival("r1"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("refuse r1 LB-3008 no"));
    m_blackboard.draining = false;
    m_entry.arrive(arrival("r2"), at(0s));
    commands();
    m_blackboard.fenced = true;
    EXPECT_FALSE(dispatch("r2", at(0s)));
    m_entry.arrive(arrival("r3"), at(0s));
    EXPECT_THAT(commands(), ElementsAre("refuse r3 LB-3009 no"));
    m_blackboard.fenced = false;
    m_entry.step(at(1s));
    EXPECT_THAT(commands(), ElementsAre("r2@e1"));
}

// Regression test (EntryProperty, seed 7): an answer that ended right after a configuration change released
// the slot of another endpoint, and an endpoint that was added again had lost the count of its running
// requests.
TEST_F(EntryControllerTest, SlotCountsStayCorrectWhenEndpointsAreRemovedAndAddedAgain)
{
    m_entry.arrive(arrival("r1"), at(0s));
    m_entry.arrive(arrival("r2"), at(0s));
    ASSERT_TRUE(dispatch("r1", at(0s)));
    ASSERT_TRUE(dispatch("r2", at(0s)));
    auto next = configuration();
    next.endpoints.erase(next.endpoints.begin());
    applyConfiguration(m_blackboard, std::make_shared<Configuration>(next));
    end("r2", AnswerEnd::Whole, at(1s));
    EXPECT_EQ(m_blackboard.findEndpointState(EndpointId("e2"))->inFlightTotal(), 0U);
    applyConfiguration(m_blackboard, std::make_shared<Configuration>(configuration()));
    m_entry.step(at(2s));
    EXPECT_EQ(m_blackboard.findEndpointState(EndpointId("e1"))->inFlightTotal(), 1U);
    end("r1", AnswerEnd::Whole, at(3s));
    EXPECT_EQ(m_blackboard.findEndpointState(EndpointId("e1"))->inFlightTotal(), 0U);
}

} // namespace
} // namespace lentilbay
