// StoreClient over real connections: operations that took effect, that did not, and whose effect is unknown.
#include "lentilbay/Platform/StoreClient.h"

#include "RawServer.h"

#include <gtest/gtest.h>
#include <optional>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;
using Then = ScriptedResponse::Then;

struct StoreClientTest : testing::Test {
    StoreReply call(StoreOperation operation, Duration timeout = 5s)
    {
        std::optional<StoreReply> out;
        client.submit({ .id = ++lastId,
                          .user = StoreUser::Audit,
                          .operation = std::move(operation),
                          .timeout = timeout },
            [&](StoreReply reply) {
                EXPECT_FALSE(out) << "exactly one reply per command";
                out = std::move(reply);
            });
        EXPECT_FALSE(out) << "submit() must not deliver the reply synchronously";
        while (!out) {
            context.restart();
            context.run_one();
        }
        EXPECT_EQ(out->id, lastId);
        EXPECT_EQ(out->user, StoreUser::Audit);
        return *out;
    }

    static TableTransaction write() { return { .writes = { { { "t", "k" }, "v", 3 } } }; }
    static TableRead read() { return { .keys = { { "t", "k" } } }; }

    void script(int status, const std::string& body)
    {
        server.script({ .bytes = httpResponse(status, body) });
    }

    asio::io_context context;
    RawServer server { context };
    HttpClient http { context, {} };
    StoreClient client { context, http, { .tableUrl = server.url(""), .objectsUrl = server.url("") } };
    uint64_t lastId = 0;
};

TEST_F(StoreClientTest, ReadsRowsAndCachesThemWithTheirAge)
{
    EXPECT_FALSE(client.readCached({ "t", "k" }));
    script(200, R"({"rows": [{"key": "k", "value": "v", "version": 7}]})");
    const auto reply = call(read());
    EXPECT_EQ(reply.status, StoreStatus::Done);
    ASSERT_EQ(reply.rows.size(), 1U);
    EXPECT_EQ(reply.rows[0], (TableRow { "k", "v", 7 }));
    EXPECT_NE(server.requests()[0].find(R"({"reads":[{"key":"k","table":"t"}]})"), std::string::npos);
    ASSERT_TRUE(client.readCached({ "t", "k" }));
    EXPECT_EQ(client.readCached({ "t", "k" })->row, reply.rows[0]);
    EXPECT_GE(client.readCached({ "t", "k" })->age, Duration(0));
}

TEST_F(StoreClientTest, AConflictReturnsTheCurrentRows)
{
    script(409, R"({"rows": [null]})");
    const auto reply = call(write());
    EXPECT_EQ(reply.status, StoreStatus::Conflict);
    EXPECT_EQ(reply.rows, (std::vector<std::optional<TableRow>> { std::nullopt }));
}

TEST_F(StoreClientTest, ObjectsAreDoneOrMissing)
{
    script(200, "");
    EXPECT_EQ(call(ObjectPut { "a", "bytes" }).status, StoreStatus::Done);
    script(200, "bytes");
    EXPECT_EQ(call(ObjectGet { "a" }).body, "bytes");
    script(404, "");
    EXPECT_EQ(call(ObjectGet { "b" }).status, StoreStatus::Missing);
}

TEST_F(StoreClientTest, AWriteWithALostResponseIsAmbiguousAndNotRetried)
{
    server.script({ .bytes = "", .then = Then::Reset });
    EXPECT_EQ(call(write()).status, StoreStatus::Ambiguous);
    EXPECT_EQ(server.requests().size(), 1U);
    EXPECT_EQ(client.counters().ambiguous, 1U);
}

TEST_F(StoreClientTest, AWriteThatTimesOutIsAmbiguous)
{
    EXPECT_EQ(call(write(), 100ms).status, StoreStatus::Ambiguous);
    EXPECT_EQ(server.requests().size(), 1U);
}

TEST_F(StoreClientTest, AWriteWithAnInvalidResponseIsAmbiguous)
{
    script(409, "{}");
    EXPECT_EQ(call(write()).status, StoreStatus::Ambiguous);
    script(500, "");
    EXPECT_EQ(call(write()).status, StoreStatus::Ambiguous);
}

TEST_F(StoreClientTest, ARefusedWriteIsRetriedAndThenUnavailable)
{
    script(503, "");
    script(200, R"({"versions": [1]})");
    EXPECT_EQ(call(write()).status, StoreStatus::Done);
    EXPECT_EQ(client.counters().retries, 1U);
    for (int n = 0; n < 4; ++n)
        script(429, "");
    EXPECT_EQ(call(write()).status, StoreStatus::Unavailable);
}

TEST_F(StoreClientTest, AReadWithALostResponseIsRetried)
{
    server.script({ .bytes = "", .then = Then::Reset });
    script(200, R"({"rows": [null]})");
    EXPECT_EQ(call(read()).status, StoreStatus::Done);
}

TEST_F(StoreClientTest, TheBreakerStopsCallsToAnUnavailableService)
{
    server.stopListening();
    for (int n = 0; n < 40; ++n)
        EXPECT_EQ(call(write()).status, StoreStatus::Unavailable);
    EXPECT_TRUE(client.isTableUnavailable());
    EXPECT_GT(client.counters().refusedByBreaker, 20U);
    EXPECT_LT(client.counters().calls, 15U);
}

TEST(StoreCircuitBreaker, ProbesAndCloses)
{
    StoreCircuitBreaker breaker({ .failureThreshold = 2, .initialProbeDelay = 1s, .maxProbeDelay = 4s }, 1);
    TimePoint now { 100s };
    EXPECT_FALSE(breaker.recordFailure(now));
    EXPECT_TRUE(breaker.recordFailure(now));
    EXPECT_FALSE(breaker.recordFailure(now)) << "the breaker is already open";
    EXPECT_FALSE(breaker.allows(now));
    now += 1s;
    EXPECT_TRUE(breaker.allows(now));
    EXPECT_FALSE(breaker.allows(now)) << "one probe per probe delay";
    int probes = 0;
    for (int n = 0; n < 3600; ++n) {
        now += 1s;
        probes += breaker.allows(now) ? 1 : 0;
    }
    EXPECT_LT(probes, 1900) << "probe delays grow to between 2 and 4 s";
    EXPECT_GT(probes, 800);
    EXPECT_TRUE(breaker.recordSuccess());
    EXPECT_TRUE(breaker.allows(now));
}

TEST(StoreRetryBudget, LimitsRetriesToAFractionOfTheCalls)
{
    StoreRetryBudget budget(0.1, 2);
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        budget.recordCall();
        retries += budget.takeRetry() ? 1 : 0;
    }
    EXPECT_NEAR(retries, 102, 2);
}

} // namespace
} // namespace lentilbay
