// Tests that each request is dispatched at most once, whatever the endpoint does, and that each caller gets
// exactly one correct response.
#include "lentilbay/Gateway/Gateway.h"

#include "GatewayFixtures.h"
#include "RawServer.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Then = ScriptedResponse::Then;

constexpr auto chat = R"({"model":"m1","messages":[{"role":"user","content":"hi"}]})";
constexpr auto streamedChat = R"({"model":"m1","stream":true,"messages":[{"role":"user","content":"hi"}]})";
constexpr auto completeAnswer = R"({"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":3}})";

std::string chunk(uint32_t index, uint32_t count)
{
    nlohmann::json out { { "token_index", index },
        { "choices", { { { "delta", { { "content", "w" } } } } } } };
    if (index + 1 == count)
        out["usage"] = { { "completion_tokens", count } };
    return "data: " + out.dump() + "\n\n";
}

std::vector<std::string> chunks(uint32_t first, uint32_t last, uint32_t count)
{
    std::vector<std::string> out;
    for (auto i = first; i < last; ++i)
        out.push_back(chunk(i, count));
    if (last == count)
        out.emplace_back("data: [DONE]\n\n");
    return out;
}

std::string concatenate(const std::vector<std::string>& parts)
{
    std::string out;
    for (const auto& it : parts)
        out += it;
    return out;
}

struct GatewayTest : testing::Test {
    GatewayTest() { configure(testConfiguration(engine.port(), service.port())); }

    void configure(Configuration configuration)
    {
        applyConfiguration(blackboard, std::make_shared<Configuration>(std::move(configuration)));
        for (auto& it : blackboard.endpoints)
            it.grant = { .slots = it.endpoint.slots, .expiresAt = steadyNow() + std::chrono::hours { 1 } };
    }

    std::shared_ptr<FakeChannel> send(CallerRequest request)
    {
        auto channel = std::make_shared<FakeChannel>();
        gateway.arrive(std::move(request), channel);
        return channel;
    }

    /// Fails the test, instead of blocking it, if the condition does not become true within maxRounds.
    template <class F> void runUntil(F&& condition)
    {
        constexpr int maxRounds = 20'000;
        for (int round = 0; !condition(); ++round) {
            ASSERT_LT(round, maxRounds) << "condition did not become true";
            pump();
            if (!condition())
                context.run_one_for(std::chrono::milliseconds { 5 });
        }
    }

    void pump()
    {
        entry.step(steadyNow());
        gateway.executeCommands();
        context.poll();
    }

    std::shared_ptr<FakeChannel> call(CallerRequest request)
    {
        auto channel = send(std::move(request));
        runUntil([&] { return channel->answers > 0; });
        runUntil([&] { return gateway.openExchanges() == 0; });
        EXPECT_EQ(channel->answers, 1);
        return channel;
    }

    std::shared_ptr<FakeChannel> chatCall(const char* body = chat)
    {
        return call(testRequest("POST", "/v1/chat/completions", body));
    }

    void runFor(std::chrono::milliseconds time)
    {
        const auto end = steadyNow() + time;
        runUntil([&] { return steadyNow() >= end; });
    }

    asio::io_context context;
    RawServer engine { context };
    RawServer service { context };
    Blackboard blackboard { .self = DaemonId("d1") };
    HttpClient client { context, { .connectTimeout = std::chrono::milliseconds { 300 } } };
    EntryController entry { blackboard, {} };
    std::vector<RequestIdentity> claims;
    std::vector<RequestOutcome> outcomes;
    Gateway gateway { blackboard, entry, client,
        { .dispatcher = { .firstResumeDelay = std::chrono::milliseconds { 1 },
              .cancelTimeout = std::chrono::milliseconds { 50 } } },
        { .wake = [] {},
            .claim =
                [this](const RequestIdentity& request) {
                    claims.push_back(request);
                    entry.claimed(request.id, claimResult, steadyNow());
                },
            .finished = [this](const RequestOutcome& it) { outcomes.push_back(it); },
            .callAfter =
                [this](Duration delay, std::function<void()> function) {
                    auto timer = std::make_shared<asio::steady_timer>(context, delay);
                    timer->async_wait([timer, function](const asio::error_code&) { function(); });
                } } };
    ClaimResult claimResult = ClaimResult::Held;
};

TEST_F(GatewayTest, CompleteAnswerIsRelayedUnchanged)
{
    engine.script(
        { .bytes = httpResponse(200, completeAnswer, "Content-Type: application/json\r\nX-A: b\r\n") });
    const auto channel = chatCall();
    EXPECT_EQ(channel->response.status, 200);
    EXPECT_EQ(*channel->response.body, completeAnswer);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].code, ResultCode::Ok);
    EXPECT_EQ(outcomes[0].answerTokens, 3U);
    EXPECT_NE(engine.requests()[0].find("X-Request-Id: " + outcomes[0].id.text()), std::string::npos);
    EXPECT_EQ(engine.requests()[0].find(testKey), std::string::npos)
        << "the caller's key must not be forwarded";
}

struct EngineFault {
    const char* name;
    ScriptedResponse answer;
    const char* code;
    const char* ran;
};

class EngineFaults : public GatewayTest, public testing::WithParamInterface<EngineFault> {
protected:
    /// All later calls get status 404, so resume attempts are rejected.
    void script()
    {
        engine.script(GetParam().answer);
        for (int i = 0; i < 20; ++i)
            engine.script({ .bytes = httpResponse(404, "{}") });
    }

    void expectOneDispatch(const FakeChannel& channel)
    {
        runFor(std::chrono::milliseconds { 20 });
        EXPECT_EQ(engine.requestsStartingWith("POST /v1/chat/completions"), 1U);
        EXPECT_EQ(channel.code(), GetParam().code);
        EXPECT_EQ(channel.ran(), GetParam().ran);
        EXPECT_EQ(channel.streamed.find("[DONE]"), std::string::npos);
        ASSERT_EQ(outcomes.size(), 1U);
        EXPECT_EQ(printed(outcomes[0].code), GetParam().code);
        EXPECT_EQ(printed(outcomes[0].ran), GetParam().ran);
    }
};

TEST_P(EngineFaults, CauseNoSecondDispatchWithoutStream)
{
    script();
    expectOneDispatch(*chatCall());
}

TEST_P(EngineFaults, CauseNoSecondDispatchOfStream)
{
    script();
    expectOneDispatch(*chatCall(streamedChat));
}

INSTANTIATE_TEST_SUITE_P(All, EngineFaults,
    testing::Values(EngineFault { "Reset", { "", Then::Reset }, "LB-5002", "unknown" },
        EngineFault { "Close", { "", Then::Close }, "LB-5002", "unknown" },
        EngineFault { "Garbage", { "nonsense\r\n\r\n", Then::Close }, "LB-5002", "unknown" },
        EngineFault { "ServerError", { httpResponse(500, "{}") }, "LB-5002", "unknown" },
        EngineFault {
            "Unavailable", { httpResponse(503, "{}", "Retry-After: 0\r\n") }, "LB-5002", "unknown" },
        EngineFault { "TooMany", { httpResponse(429, "{}") }, "LB-5005", "no" },
        EngineFault { "Redirect", { httpResponse(307, "", "Location: /v1/chat/completions\r\n") }, "LB-5002",
            "unknown" },
        EngineFault {
            "TruncatedHead", { "HTTP/1.1 200 OK\r\nContent-Le", Then::Close }, "LB-5002", "unknown" },
        EngineFault { "Truncated", { "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"a\":", Then::Close },
            "LB-5002", "unknown" },
        EngineFault { "Unframed",
            { "HTTP/1.1 200 OK\r\n\r\n{\"usage\":{\"completion_tokens\":1}}", Then::Close }, "LB-5002",
            "unknown" },
        EngineFault {
            "NotJson", { httpResponse(200, "data: {\"token_index\": oops\n\n") }, "LB-5002", "unknown" },
        EngineFault {
            "ErrorInside", { httpResponse(200, "{\"error\":{\"message\":\"x\"}}") }, "LB-5002", "unknown" }),
    [](const auto& info) { return info.param.name; });

TEST_F(GatewayTest, EngineClientErrorIsRelayed)
{
    for (const auto* body : { chat, streamedChat }) {
        engine.script({ .bytes = httpResponse(422, R"({"error":{"message":"too long"}})") });
        const auto channel = chatCall(body);
        EXPECT_EQ(channel->response.status, 422);
        EXPECT_EQ(*channel->response.body, R"({"error":{"message":"too long"}})");
    }
}

TEST_F(GatewayTest, ConnectFailureFallsBackToAnotherEndpoint)
{
    auto configuration = testConfiguration(engine.port(), service.port());
    auto dead = configuration.endpoints[0];
    dead.name = EndpointId("dead");
    dead.port = 1;
    configuration.endpoints.insert(configuration.endpoints.begin(), dead);
    configure(configuration);
    for (int i = 0; i < 4; ++i) {
        engine.script({ .bytes = httpResponse(200, completeAnswer) });
        EXPECT_EQ(chatCall()->response.status, 200);
    }
    EXPECT_EQ(engine.requestsStartingWith("POST /v1/chat/completions"), 4U);
}

TEST_F(GatewayTest, UnreachableEndpointsAreReportedAsNotRun)
{
    engine.stopListening();
    auto configuration = testConfiguration(1, 1);
    configure(configuration);
    const auto channel = chatCall();
    EXPECT_EQ(channel->code(), "LB-5001");
    EXPECT_EQ(channel->ran(), "no");
    EXPECT_EQ(channel->response.status, 502);
}

TEST_F(GatewayTest, StreamIsRelayedCompletely)
{
    engine.script({ .bytes = chunkedResponse(chunks(0, 5, 5)) });
    const auto channel = chatCall(streamedChat);
    EXPECT_EQ(channel->streamed, concatenate(chunks(0, 5, 5)));
    EXPECT_EQ(outcomes.at(0).answerTokens, 5U);
}

TEST_F(GatewayTest, BrokenStreamIsResumedFromNextToken)
{
    engine.script({ .bytes = chunkedResponse(chunks(0, 3, 8), false), .then = Then::Reset });
    engine.script({ .bytes = chunkedResponse(chunks(3, 4, 8), false), .then = Then::Close });
    engine.script({ .bytes = "", .then = Then::Reset });
    engine.script({ .bytes = chunkedResponse(chunks(4, 8, 8)) });
    const auto channel = chatCall(streamedChat);
    EXPECT_EQ(channel->streamed, concatenate(chunks(0, 8, 8)));
    EXPECT_EQ(engine.requestsStartingWith("POST /v1/chat/completions"), 1U);
    EXPECT_EQ(engine.requestsStartingWith("POST /v1/resume"), 3U);
    EXPECT_NE(engine.requests()[1].find("\"from\":3"), std::string::npos);
    EXPECT_NE(engine.requests()[3].find("\"from\":4"), std::string::npos);
    EXPECT_EQ(outcomes.at(0).code, ResultCode::Ok);
}

TEST_F(GatewayTest, StreamWithAllTokensIsNotResumed)
{
    auto parts = chunks(0, 4, 4);
    parts.pop_back();
    engine.script({ .bytes = chunkedResponse(parts, false), .then = Then::Close });
    EXPECT_EQ(chatCall(streamedChat)->streamed, concatenate(chunks(0, 4, 4)));
    EXPECT_EQ(engine.requestsStartingWith("POST /v1/resume"), 0U);
}

TEST_F(GatewayTest, FailedResumeEndsStreamWithErrorEvent)
{
    engine.script({ .bytes = chunkedResponse(chunks(0, 3, 8), false), .then = Then::Reset });
    engine.script({ .bytes = httpResponse(404, "{}") });
    const auto channel = chatCall(streamedChat);
    EXPECT_TRUE(channel->streamed.starts_with(concatenate(chunks(0, 3, 8))));
    EXPECT_EQ(channel->code(), "LB-5002");
    EXPECT_EQ(channel->ran(), "partly");
    EXPECT_EQ(channel->streamed.find("[DONE]"), std::string::npos);
}

TEST_F(GatewayTest, StreamWithMissingTokenIsResumed)
{
    auto parts = chunks(0, 3, 8);
    parts.push_back(chunk(5, 8));
    engine.script({ .bytes = chunkedResponse(parts) });
    engine.script({ .bytes = chunkedResponse(chunks(3, 8, 8)) });
    EXPECT_EQ(chatCall(streamedChat)->streamed, concatenate(chunks(0, 8, 8)));
}

TEST_F(GatewayTest, BrokenAnswerIsAssembledFromResumedStream)
{
    engine.script({ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"a\":", .then = Then::Reset });
    engine.script({ .bytes = chunkedResponse(chunks(0, 2, 4), false), .then = Then::Reset });
    engine.script({ .bytes = chunkedResponse(chunks(2, 4, 4)) });
    const auto channel = chatCall();
    const auto answer = nlohmann::json::parse(*channel->response.body);
    EXPECT_EQ(answer["choices"][0]["message"]["content"], "wwww");
    EXPECT_EQ(engine.requestsStartingWith("POST /v1/chat/completions"), 1U);
}

TEST_F(GatewayTest, SlowReaderPausesStream)
{
    std::vector<std::string> parts;
    for (uint32_t i = 0; i < 2000; ++i)
        parts.push_back(chunk(i, 2000));
    parts.emplace_back("data: [DONE]\n\n");
    engine.script({ .bytes = chunkedResponse(parts) });
    auto channel = send(testRequest("POST", "/v1/chat/completions", streamedChat));
    channel->backlogBytes = size_t { 1 } << 30U;
    runFor(std::chrono::milliseconds { 30 });
    EXPECT_EQ(channel->streamed, "");
    channel->backlogBytes = 0;
    channel->drainedCallback();
    runUntil([&] { return channel->ended; });
    EXPECT_EQ(channel->streamed, concatenate(parts));
}

TEST_F(GatewayTest, ServiceAnswerIsRelayedRegardlessOfStatus)
{
    for (const int status : { 200, 201, 404, 409, 500, 503 }) {
        service.script({ .bytes = httpResponse(status, "lots", "X-Lot: 7\r\nConnection: keep-alive\r\n") });
        const auto channel = call(testRequest("PUT", "/services/stock/lots/7", "body"));
        EXPECT_EQ(channel->response.status, status);
        EXPECT_EQ(*channel->response.body, "lots");
        EXPECT_EQ(channel->response.fields[0], (HttpField { "x-lot", "7" }));
        EXPECT_EQ(channel->response.fields[1].first, "Lentilbay-Request-Id");
    }
    EXPECT_EQ(service.requestsStartingWith("PUT /lots/7 HTTP/1.1"), 6U);
}

TEST_F(GatewayTest, PossiblyTruncatedServiceAnswerIsNotRelayed)
{
    const char* answers[]
        = { "HTTP/1.1 200 OK\r\n\r\nmaybe whole", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut" };
    for (const auto* bytes : answers) {
        service.script({ .bytes = bytes, .then = Then::Close });
        const auto channel = call(testRequest("GET", "/services/stock/lots"));
        EXPECT_EQ(channel->code(), "LB-5002");
        EXPECT_NE(channel->ran(), "no");
    }
    EXPECT_EQ(service.requests().size(), 2U);
}

TEST_F(GatewayTest, KeyedRequestIsClaimedBeforeDispatchAndRunsOnce)
{
    service.script({ .bytes = "", .then = Then::Reset });
    const auto channel
        = call(testRequest("POST", "/services/books/lots", "lot 7", { { "idempotency-key", "k1" } }));
    EXPECT_EQ(channel->code(), "LB-5002");
    EXPECT_EQ(channel->ran(), "unknown");
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims[0].idempotencyKey, "k1");
    EXPECT_EQ(service.requests().size(), 1U);
    EXPECT_NE(service.requests()[0].find("Idempotency-Key: k1"), std::string::npos);
}

TEST_F(GatewayTest, KeyedRequestDoesNotRunWithoutClaim)
{
    claimResult = ClaimResult::Unavailable;
    const auto channel
        = call(testRequest("POST", "/services/books/lots", "lot 7", { { "idempotency-key", "k1" } }));
    EXPECT_EQ(channel->code(), "LB-4001");
    EXPECT_EQ(channel->ran(), "no");
    EXPECT_TRUE(service.requests().empty());
}

TEST_F(GatewayTest, LaterRequestWithSameKeyGetsEarlierAnswer)
{
    service.script({ .bytes = httpResponse(201, "booked") });
    const auto request = [] {
        return testRequest("POST", "/services/books/lots", "x", { { "idempotency-key", "k" } });
    };
    call(request());
    const auto earlier = outcomes.at(0).id;
    claimResult = ClaimResult::HeldElsewhere;
    auto channel = send(request());
    runUntil([&] { return outcomes.size() == 2; });
    EXPECT_EQ(channel->answers, 0);
    gateway.reuseEarlierAnswer(outcomes[1].id, earlier);
    EXPECT_EQ(channel->response.status, 201);
    EXPECT_EQ(*channel->response.body, "booked");
    EXPECT_EQ(gateway.openExchanges(), 0U);
    EXPECT_EQ(service.requests().size(), 1U);
}

TEST_F(GatewayTest, LaterRequestWaitsForEarlierAnswer)
{
    service.script({ .bytes = httpResponse(201, "booked"), .delay = std::chrono::milliseconds { 20 } });
    const auto request = [] {
        return testRequest("POST", "/services/books/lots", "x", { { "idempotency-key", "k" } });
    };
    auto first = send(request());
    runUntil([&] { return service.requests().size() == 1; });
    claimResult = ClaimResult::HeldElsewhere;
    auto second = send(request());
    runUntil([&] { return outcomes.size() == 1; });
    gateway.reuseEarlierAnswer(claims[1].id, claims[0].id);
    EXPECT_EQ(second->answers, 0);
    runUntil([&] { return second->answers == 1; });
    EXPECT_EQ(*second->response.body, "booked");
    EXPECT_EQ(*first->response.body, "booked");
    EXPECT_EQ(service.requests().size(), 1U);
}

TEST_F(GatewayTest, DisconnectCancelsRequest)
{
    auto channel = send(testRequest("POST", "/v1/chat/completions", chat));
    runUntil([&] { return engine.requests().size() == 1; });
    engine.script({ .bytes = httpResponse(200, "{}") });
    gateway.callerLeft(1);
    runUntil([&] { return gateway.openExchanges() == 0; });
    EXPECT_EQ(engine.requestsStartingWith("POST /v1/cancel"), 1U);
    EXPECT_NE(engine.requests()[1].find(outcomes.at(0).id.text()), std::string::npos);
    EXPECT_EQ(outcomes.at(0).code, ResultCode::CallerLeft);
    EXPECT_EQ(channel->answers, 0);
}

TEST_F(GatewayTest, KeyedRequestSurvivesDisconnectAndKeepsAnswer)
{
    service.script(
        { .bytes = httpResponse(201, "booked", "X-Lot: 7\r\n"), .delay = std::chrono::milliseconds { 10 } });
    send(testRequest("POST", "/services/books/lots", "lot 7", { { "idempotency-key", "k1" } }));
    runUntil([&] { return service.requests().size() == 1; });
    gateway.callerLeft(1);
    const auto id = claims.at(0).id.text();
    const auto open = send(testRequest("GET", "/v1/requests/" + id));
    EXPECT_EQ(nlohmann::json::parse(*open->response.body)["state"], "open");
    runUntil([&] { return gateway.openExchanges() == 0; });
    const auto about = send(testRequest("GET", "/v1/requests/" + id));
    EXPECT_EQ(nlohmann::json::parse(*about->response.body)["state"], "finished");
    const auto answer = send(testRequest("GET", "/v1/requests/" + id + "/answer"));
    EXPECT_EQ(answer->response.status, 201);
    EXPECT_EQ(*answer->response.body, "booked");
}

TEST_F(GatewayTest, OutcomeIsVisibleToOwnOrganisationOnly)
{
    engine.script({ .bytes = httpResponse(200, completeAnswer) });
    chatCall();
    auto request = testRequest("GET", "/v1/requests/" + outcomes.at(0).id.text() + "/answer");
    request.fields = { { "authorization", "Bearer sk-coop" } };
    EXPECT_EQ(send(request)->code(), "LB-1016");
}

TEST_F(GatewayTest, PreemptionIsReportedImmediatelyAndCancelsRequest)
{
    const auto channel
        = send(testRequest("POST", "/v1/chat/completions", streamedChat, { { "lentilbay-tier", "low" } }));
    engine.script({ .bytes = chunkedResponse(chunks(0, 2, 8), false) });
    runUntil([&] { return !channel->streamed.empty(); });
    blackboard.findPool(ServiceId("m1"))->recall = { .forRank = 0, .slots = 1 };
    runUntil([&] { return channel->answers == 1; });
    EXPECT_EQ(gateway.openExchanges(), 1U)
        << "the caller is notified before the engine confirms the cancellation";
    EXPECT_EQ(channel->code(), "LB-3005");
    EXPECT_EQ(channel->ran(), "partly");
    EXPECT_EQ(channel->streamed.find("[DONE]"), std::string::npos);
    runUntil([&] { return gateway.openExchanges() == 0; });
    EXPECT_EQ(engine.requestsStartingWith("POST /v1/cancel"), 1U);
    EXPECT_EQ(outcomes.at(0).code, ResultCode::Preempted);
}

TEST_F(GatewayTest, InvalidRequestsAreRejectedWithoutDispatch)
{
    auto request = testRequest("POST", "/v1/chat/completions", "{");
    EXPECT_EQ(send(request)->code(), "LB-1001");
    request.fields.clear();
    EXPECT_EQ(send(request)->code(), "LB-1010");
    request.fields = { { "authorization", "Bearer wrong" } };
    EXPECT_EQ(send(request)->code(), "LB-1011");
    EXPECT_EQ(gateway.openExchanges(), 0U);
}

} // namespace
} // namespace lentilbay
