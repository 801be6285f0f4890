// Tests request validation and routing: each error in a request is reported with its own result code.
#include "lentilbay/Gateway/RequestRouter.h"
#include "GatewayFixtures.h"
#include "lentilbay/Gateway/AnswerStore.h"
#include "lentilbay/Gateway/Authenticator.h"
#include "lentilbay/Gateway/ErrorBody.h"
#include "lentilbay/Gateway/RequestParser.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

constexpr auto chat = R"({"model":"m1","messages":[{"role":"user","content":"hi"}]})";

struct RoutingResult {
    ResultCode code = ResultCode::Ok;
    std::shared_ptr<Exchange> exchange;
    Arrival arrival;
};

RoutingResult route(CallerRequest request, const RequestLimits& limits = {})
{
    const auto configuration = testConfiguration(1, 2);
    const auto outcome = outcomeOf<Route>([&]() -> Result<Route> {
        BOOST_LEAF_CHECK(checkLimits(request, limits));
        return routeRequest(request, configuration, configuration.organisations[0], RequestId("r1"));
    });
    if (const auto* failure = std::get_if<Failure>(&outcome))
        return { .code = failure->code };
    if (const auto* work = std::get_if<EndpointRequest>(&std::get<Route>(outcome)))
        return { .exchange = work->exchange, .arrival = work->arrival };
    return {};
}

ResultCode codeForBody(const std::string& body)
{
    return route(testRequest("POST", "/v1/chat/completions", body)).code;
}

ResultCode codeForHeader(const char* name, const char* value)
{
    return route(testRequest("POST", "/v1/chat/completions", chat, { { name, value } })).code;
}

TEST(RequestRouter, ParsesChatCompletion)
{
    const auto routed = route(testRequest("POST", "/v1/chat/completions",
        R"({"model":"m2","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"01234567"}]})",
        { { "lentilbay-deadline", "250" }, { "lentilbay-tier", "low" }, { "idempotency-key", "k" } }));
    ASSERT_EQ(routed.code, ResultCode::Ok);
    EXPECT_EQ(routed.arrival.service, ServiceId("m2"));
    EXPECT_EQ(routed.arrival.tier, TierId("low"));
    EXPECT_EQ(routed.arrival.deadline, std::chrono::milliseconds { 250 });
    EXPECT_EQ(routed.arrival.maxAnswerTokens, 9U);
    EXPECT_EQ(routed.arrival.promptTokens, 4U)
        << "the prompt is \"user\", a line feed, eight characters and a line feed";
    EXPECT_EQ(routed.arrival.idempotencyKey, "k");
    EXPECT_TRUE(routed.exchange->stream);
    EXPECT_TRUE(routed.exchange->chat);
    EXPECT_TRUE(routed.exchange->outlivesCaller());
}

TEST(RequestRouter, EachBodyErrorHasItsOwnCode)
{
    EXPECT_EQ(codeForBody(""), ResultCode::MalformedJson);
    EXPECT_EQ(codeForBody("{\"model\":"), ResultCode::MalformedJson);
    EXPECT_EQ(codeForBody("{\"model\":\"m1\"} x"), ResultCode::MalformedJson);
    EXPECT_EQ(codeForBody("{\"model\":\"\xC3\x28\"}"), ResultCode::InvalidUtf8);
    EXPECT_EQ(codeForBody("{\"model\":\"\xED\xA0\x80\"}"), ResultCode::InvalidUtf8);
    EXPECT_EQ(codeForBody("[]"), ResultCode::InvalidRequest);
    EXPECT_EQ(codeForBody("{}"), ResultCode::MissingModel);
    EXPECT_EQ(codeForBody(R"({"model":""})"), ResultCode::MissingModel);
    EXPECT_EQ(codeForBody(R"({"model":5})"), ResultCode::InvalidRequest);
    EXPECT_EQ(codeForBody(R"({"model":"nobody's","messages":[{"role":"user","content":"x"}]})"),
        ResultCode::UnknownModel);
    EXPECT_EQ(codeForBody(R"({"model":"stock","messages":[{"role":"user","content":"x"}]})"),
        ResultCode::UnknownModel);
}

TEST(RequestRouter, MembersOfWrongTypeAreRejected)
{
    for (const auto* members : { R"("messages":5)", R"("messages":[])", R"("messages":[5])",
             R"("messages":[{"content":"x"}])", R"("messages":[{"role":5,"content":"x"}])",
             R"("messages":[{"role":"user","content":5}])", R"("messages":[{"role":"user","content":[5]}])",
             R"("messages":[{"role":"user","content":[{"text":5}]}])",
             R"("stream":"yes","messages":[{"role":"user","content":"x"}])",
             R"("max_tokens":0,"messages":[{"role":"user","content":"x"}])",
             R"("max_tokens":-1,"messages":[{"role":"user","content":"x"}])",
             R"("max_tokens":1.5,"messages":[{"role":"user","content":"x"}])",
             R"("max_tokens":18446744073709551615,"messages":[{"role":"user","content":"x"}])",
             R"("n":2,"messages":[{"role":"user","content":"x"}])" })
        EXPECT_EQ(codeForBody(std::string(R"({"model":"m1",)") + members + "}"), ResultCode::InvalidRequest)
            << members;
    EXPECT_EQ(route(testRequest("POST", "/v1/completions", R"({"model":"m1","prompt":["a"]})")).code,
        ResultCode::InvalidRequest);
}

TEST(RequestRouter, EachHeaderErrorHasItsOwnCode)
{
    for (const auto* value : { "", "0", "-5", "1.5", "soon", "999999999999", "5ms", " 5" })
        EXPECT_EQ(codeForHeader("lentilbay-deadline", value), ResultCode::InvalidDeadline) << value;
    EXPECT_EQ(codeForHeader("lentilbay-tier", "best"), ResultCode::TierNotAllowed);
    for (const auto& value :
        { std::string(), std::string("a b"), std::string("\x01"), std::string(256, 'x') })
        EXPECT_EQ(codeForHeader("idempotency-key", value.c_str()), ResultCode::InvalidIdempotencyKey)
            << value;
}

TEST(RequestRouter, RejectsUnknownPathsAndMethods)
{
    EXPECT_EQ(route(testRequest("GET", "/v1/chat/completions")).code, ResultCode::MethodNotAllowed);
    EXPECT_EQ(route(testRequest("POST", "/v1/models")).code, ResultCode::MethodNotAllowed);
    EXPECT_EQ(route(testRequest("GET", "/")).code, ResultCode::UnknownPath);
    EXPECT_EQ(route(testRequest("GET", "/v1/chat/completions/")).code, ResultCode::UnknownPath);
    EXPECT_EQ(route(testRequest("GET", "/services/")).code, ResultCode::UnknownService);
    EXPECT_EQ(route(testRequest("GET", "/services/m1/x")).code, ResultCode::UnknownService);
    EXPECT_EQ(route(testRequest("CONNECT", "/services/stock/x")).code, ResultCode::MethodNotAllowed);
}

TEST(RequestRouter, EachLimitHasItsOwnCode)
{
    const RequestLimits limits { .maxBodyBytes = 10, .maxFieldBytes = 100, .maxFields = 3 };
    EXPECT_EQ(route(testRequest("POST", "/services/stock/x", std::string(11, 'x')), limits).code,
        ResultCode::BodyTooLarge);
    EXPECT_EQ(
        route(testRequest("POST", "/services/stock/x", std::string(10, 'x')), limits).code, ResultCode::Ok);
    EXPECT_EQ(route(testRequest("GET", "/services/stock/" + std::string(100, 'x')), limits).code,
        ResultCode::HeadersTooLarge);
    EXPECT_EQ(
        route(testRequest("GET", "/services/stock/x", "", { { "a", std::string(100, 'x') } }), limits).code,
        ResultCode::HeadersTooLarge);
    EXPECT_EQ(
        route(testRequest("GET", "/services/stock/x", "", { { "a", "" }, { "b", "" }, { "c", "" } }), limits)
            .code,
        ResultCode::HeadersTooLarge);
}

TEST(RequestRouter, ServiceRequestIsForwardedUnchanged)
{
    auto request = testRequest("PATCH", "/services/stock/a%20b/../c", "body",
        { { "x-lot", "7" }, { "x-request-id", "theirs" }, { "connection", "close" },
            { "content-type", "text/plain" }, { "lentilbay-tier", "low" } });
    request.query = "q=1&r=%2F";
    const auto routed = route(std::move(request));
    ASSERT_EQ(routed.code, ResultCode::Ok);
    EXPECT_EQ(routed.exchange->method, "PATCH");
    EXPECT_EQ(routed.exchange->target, "/a%20b/../c?q=1&r=%2F");
    EXPECT_EQ(*routed.exchange->body, "body");
    EXPECT_THAT(routed.exchange->fields,
        testing::ElementsAre(HttpField { "x-lot", "7" }, HttpField { "content-type", "text/plain" }))
        << "credentials and hop-by-hop fields must not be forwarded";
}

TEST(RequestRouter, NonIdempotentServiceRequiresKey)
{
    EXPECT_EQ(route(testRequest("POST", "/services/books/lots")).code, ResultCode::IdempotencyKeyRequired);
    EXPECT_EQ(route(testRequest("POST", "/services/books/lots", "", { { "idempotency-key", "k1" } })).code,
        ResultCode::Ok);
    EXPECT_EQ(route(testRequest("POST", "/services/notes/lots")).code, ResultCode::Ok);
}

TEST(RequestRouter, BodyHashCoversPathAndBody)
{
    const auto hash = [](const char* path, const char* body) {
        return route(testRequest("POST", path, body, { { "idempotency-key", "k" } })).arrival.bodyHash;
    };
    EXPECT_EQ(hash("/services/books/a", "x"), hash("/services/books/a", "x"));
    EXPECT_NE(hash("/services/books/a", "x"), hash("/services/books/a", "y"));
    EXPECT_NE(hash("/services/books/a", "x"), hash("/services/books/b", "x"));
}

TEST(Authenticator, FindsOrganisationOfValidKeysOnly)
{
    Authenticator authenticator;
    auto configuration = testConfiguration(1, 2);
    for (int i = 0; i < 2; ++i) {
        EXPECT_EQ(authenticator.find(configuration, testKey)->name, OrganisationId("press"));
        EXPECT_EQ(authenticator.find(configuration, "sk-coop")->name, OrganisationId("coop"));
        EXPECT_EQ(authenticator.find(configuration, "sk-coop "), nullptr);
        EXPECT_EQ(authenticator.find(configuration, ""), nullptr);
    }
    configuration.version = 2;
    configuration.organisations[0].keys.clear();
    EXPECT_EQ(authenticator.find(configuration, testKey), nullptr) << "revoked key";
}

TEST(RequestParser, AcceptsBearerKeysOnly)
{
    for (const auto* value : { "", "Bearer", "Bearer ", "Basic abc", "abc" }) {
        const CallerRequest request { .fields = { { "authorization", value } } };
        const auto outcome = outcomeOf<std::string>([&] { return parseBearerKey(request); });
        ASSERT_TRUE(std::holds_alternative<Failure>(outcome)) << value;
        EXPECT_EQ(std::get<Failure>(outcome).code, ResultCode::MissingKey);
    }
    const CallerRequest request { .fields = { { "authorization", "bearer k" } } };
    EXPECT_EQ(std::get<std::string>(outcomeOf<std::string>([&] { return parseBearerKey(request); })), "k");
}

TEST(ErrorBody, ContainsCodeTypeAndExecutionState)
{
    const auto answer
        = errorAnswer({ .failure = { .code = ResultCode::RequestRateLimit, .detail = "Now \xff." },
                          .ran = Executed::No,
                          .retryAfter = std::chrono::milliseconds { 1200 } },
            RequestId("r1"));
    EXPECT_EQ(answer.status, 429);
    const auto error = nlohmann::json::parse(*answer.body)["error"];
    EXPECT_EQ(error["code"], "LB-2001");
    EXPECT_EQ(error["type"], "rate_limit_error");
    EXPECT_EQ(error["ran"], "no");
    EXPECT_EQ(error["request_id"], "r1");
    EXPECT_THAT(answer.fields, testing::Contains(HttpField { "Retry-After", "2" }));
}

TEST(ErrorBody, PermanentErrorHasNoRetryAfter)
{
    const auto answer = errorAnswer({ .failure = { .code = ResultCode::MalformedJson } }, RequestId("r1"));
    EXPECT_THAT(answer.fields, testing::Not(testing::Contains(testing::Key("Retry-After"))));
}

FinishedRequest makeFinishedRequest(const std::string& id, size_t bytes, TimePoint at)
{
    return { .outcome = { .id = RequestId(id) },
        .answer = CallerAnswer { .status = 200, .body = std::make_shared<std::string>(bytes, 'x') },
        .finishedAt = at };
}

TEST(AnswerStore, EvictsOldestAnswersButKeepsOutcomes)
{
    AnswerStore store({ .maxRequests = 3, .maxAnswerBytes = 100 });
    store.add(makeFinishedRequest("a", 60, TimePoint {}));
    store.add(makeFinishedRequest("b", 60, TimePoint {}));
    EXPECT_FALSE(store.find(RequestId("a"))->answer);
    EXPECT_TRUE(store.find(RequestId("b"))->answer);
    EXPECT_EQ(store.answerBytes(), 60U);
    store.add(makeFinishedRequest("c", 10, TimePoint {}));
    store.add(makeFinishedRequest("d", 200, TimePoint {}));
    EXPECT_EQ(store.find(RequestId("a")), nullptr);
    EXPECT_FALSE(store.find(RequestId("d"))->answer) << "larger than the whole budget";
    EXPECT_EQ(store.answerBytes(), 0U);
    EXPECT_EQ(store.size(), 3U);
}

TEST(AnswerStore, EvictsAfterRetentionPeriod)
{
    using std::chrono::seconds;
    AnswerStore store({ .retentionPeriod = seconds { 10 } });
    store.add(makeFinishedRequest("a", 1, TimePoint { seconds { 1 } }));
    store.add(makeFinishedRequest("b", 1, TimePoint { seconds { 5 } }));
    store.expire(TimePoint { seconds { 11 } });
    EXPECT_EQ(store.find(RequestId("a")), nullptr);
    EXPECT_NE(store.find(RequestId("b")), nullptr);
    EXPECT_EQ(store.answerBytes(), 1U);
}

} // namespace
} // namespace lentilbay
