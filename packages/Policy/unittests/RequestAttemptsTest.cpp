// Tests how often a request is sent: as often as it can do no harm, and no more.
#include "lentilbay/Policy/RequestAttempts.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

const EndpointId first("e1");
const EndpointId second("e2");

class RequestAttemptsTest : public testing::Test {
protected:
    bool maySendAgain() { return attempts.maySendAgain(limits, budget, now); }
    /// An endpoint is reached, and rejects the request.
    void reject(const EndpointId& endpoint)
    {
        attempts.begin(endpoint);
        attempts.recordArrival();
        attempts.recordRejection();
    }

    RequestAttempts attempts;
    WindowedRetryBudget budget;
    RequestAttempts::Limits limits { .maxExecutions = 3, .budget = { .ratio = 0, .slack = 2 } };
    TimePoint now { 10s };
};

TEST_F(RequestAttemptsTest, SendsWithoutAConnectionEndedTheRequest)
{
    for (int i = 0; i < 20; ++i) {
        attempts.begin(EndpointId("e" + std::to_string(i)));
        EXPECT_TRUE(maySendAgain()) << i;
    }
    EXPECT_EQ(attempts.arrivals(), 0);
    EXPECT_EQ(attempts.tried().size(), 20U);
}

TEST_F(RequestAttemptsTest, SendsWithoutAConnectionTookFromTheRetryBudget)
{
    reject(first);
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(maySendAgain()) << i;
        attempts.begin(second);
    }
    attempts.recordArrival();
    EXPECT_TRUE(maySendAgain()) << "one of two retries has been used";
    attempts.recordArrival();
    EXPECT_FALSE(maySendAgain());
}

TEST_F(RequestAttemptsTest, RefusalsByPeersThatSentNothingTookFromTheRetryBudget)
{
    // Guards against a daemon without links that has no retries left for ten seconds, because its first
    // requests met peers which had lost their links as well (SoakPartitionedDaemons).
    limits.budget.slack = 0;
    for (int i = 0; i < 4; ++i) {
        attempts.begin(EndpointId("p" + std::to_string(i)));
        attempts.recordArrival();
        attempts.recordRefusalByPeer();
        EXPECT_TRUE(maySendAgain()) << i;
    }
    EXPECT_EQ(attempts.refusalsByPeers(), 4);
    attempts.begin(EndpointId("p4"));
    attempts.recordArrival();
    attempts.recordRefusalByPeer();
    EXPECT_FALSE(maySendAgain()) << "a request does not go through the whole of an overloaded fleet";
}

TEST_F(RequestAttemptsTest, RetryThatNoEndpointReceivedServesTheNextSend)
{
    limits.budget.slack = 1;
    reject(first);
    EXPECT_TRUE(maySendAgain());
    attempts.begin(EndpointId("p"));
    attempts.recordArrival();
    attempts.recordRefusalByPeer();
    EXPECT_TRUE(maySendAgain()) << "the only retry has not reached an endpoint";
    attempts.recordArrival();
    EXPECT_FALSE(maySendAgain());
}

TEST_F(RequestAttemptsTest, FourRejectionsEndedTheRequest)
{
    limits.budget.slack = 10;
    for (int i = 0; i < 6; ++i) {
        reject(first);
        EXPECT_TRUE(maySendAgain()) << i;
    }
}

TEST_F(RequestAttemptsTest, RejectionsStayWithinTheBudget)
{
    reject(first);
    EXPECT_TRUE(maySendAgain());
    reject(second);
    EXPECT_TRUE(maySendAgain());
    reject(first);
    EXPECT_FALSE(maySendAgain());
}

TEST_F(RequestAttemptsTest, EndpointsThatRejectedTheRequestAreAskedOnceMore)
{
    const EndpointId unreachable("e3");
    reject(first);
    attempts.begin(unreachable);
    EXPECT_FALSE(attempts.reconsiderRejections()) << "its caller may do better at another daemon";
    reject(second);
    EXPECT_TRUE(attempts.reconsiderRejections());
    EXPECT_EQ(attempts.tried(), std::vector { unreachable }) << "it is not tried again";
    EXPECT_FALSE(attempts.reconsiderRejections());
}

TEST_F(RequestAttemptsTest, RequestThatMayHaveRunDoesNotWaitForAnEndpointThatRejectedIt)
{
    reject(first);
    reject(second);
    attempts.recordPossibleExecution();
    EXPECT_FALSE(attempts.reconsiderRejections());
}

TEST_F(RequestAttemptsTest, IdleConnectionThatWasClosedIsFollowedByANewOne)
{
    // Guards against ending a request after several idle connections of one endpoint that has gone.
    attempts.begin(first);
    attempts.recordArrival();
    EXPECT_FALSE(attempts.recordClosedUnsent());
    EXPECT_TRUE(attempts.tried().empty());
    EXPECT_TRUE(attempts.needsNewConnection(first));
    EXPECT_FALSE(attempts.needsNewConnection(second));
    EXPECT_TRUE(maySendAgain());
    attempts.begin(first);
    attempts.recordArrival();
    EXPECT_TRUE(attempts.recordClosedUnsent()) << "the endpoint closes new connections";
    EXPECT_EQ(attempts.tried(), std::vector { first });
    EXPECT_EQ(attempts.arrivals(), 0);
}

TEST_F(RequestAttemptsTest, ExecutionsAreLimited)
{
    limits.budget.slack = 10;
    attempts.begin(first);
    attempts.recordArrival();
    attempts.recordPossibleExecution();
    EXPECT_TRUE(maySendAgain());
    auto atMostOnce = limits;
    atMostOnce.isAtMostOnce = true;
    EXPECT_FALSE(attempts.maySendAgain(atMostOnce, budget, now));
    attempts.recordPossibleExecution();
    attempts.recordPossibleExecution();
    EXPECT_FALSE(maySendAgain());
}

TEST_F(RequestAttemptsTest, RequestThatBrokeTwoEndpointsIsNotSentToAThird)
{
    limits.budget.slack = 10;
    attempts.recordBroken();
    EXPECT_TRUE(maySendAgain());
    attempts.recordBroken();
    EXPECT_FALSE(maySendAgain());
}

TEST_F(RequestAttemptsTest, FailingRequestsLeaveHalfOfTheBudget)
{
    limits.failureEvidence = 0.1;
    reject(first);
    EXPECT_TRUE(maySendAgain());
    attempts.recordArrival();
    EXPECT_FALSE(maySendAgain());
    limits.failureEvidence = 1;
    EXPECT_TRUE(maySendAgain());
}

} // namespace
} // namespace lentilbay
