// Tests the routing and authentication of the admin server, and the metrics text format.
#include "lentilbay/Gateway/AdminServer.h"
#include "lentilbay/Gateway/Metrics.h"
#include "lentilbay/Platform/HttpClient.h"
#include "lentilbay/Support/Secret.h"

#include <asio/io_context.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <optional>

namespace lentilbay {
namespace {

using testing::HasSubstr;

struct ResponseCollector final : HttpHandler {
    void headArrived(const HttpHead& head) override { status = head.status; }
    bool bytesArrived(std::string_view bytes) override
    {
        body += bytes;
        return true;
    }
    void ended(HttpEnd how, const std::string&) override { end = how; }

    int status = 0;
    std::string body;
    std::optional<HttpEnd> end;
};

struct AdminServerTest : testing::Test {
    AdminServerTest()
    {
        const auto page = [](const char* text) {
            return
                [text](const CallerRequest&, const AdminServer::Answer& answer) { answer({ .body = text }); };
        };
        server.add("GET", "/healthz", page("ok"));
        server.add("GET", "/admin/configuration", page("document"));
        server.add("POST", "/admin/configuration", page("accepted"));
        server.add("GET", "/admin/configuration/", page("version"));
        server.open();
    }

    std::string call(const std::string& method, const std::string& path, const std::string& token = "secret")
    {
        auto collector = std::make_shared<ResponseCollector>();
        client.start({ .method = method,
                         .url = "http://127.0.0.1:" + std::to_string(server.port()) + path,
                         .fields = { { "Authorization", "Bearer " + token } } },
            collector);
        while (!collector->end)
            context.run_one();
        return std::to_string(collector->status) + " " + collector->body;
    }

    asio::io_context context;
    HttpClient client { context, {} };
    AdminServer server { context, { .tokenHash = hashKey("secret") } };
};

TEST_F(AdminServerTest, LongestMatchingPathWins)
{
    EXPECT_EQ(call("GET", "/admin/configuration"), "200 document");
    EXPECT_EQ(call("POST", "/admin/configuration"), "200 accepted");
    EXPECT_EQ(call("GET", "/admin/configuration/7"), "200 version");
    EXPECT_THAT(call("DELETE", "/admin/configuration"), HasSubstr("LB-1015"));
    EXPECT_THAT(call("GET", "/admin/other"), HasSubstr("LB-1014"));
}

TEST_F(AdminServerTest, AdminPathsRequireToken)
{
    EXPECT_EQ(call("GET", "/healthz", "wrong"), "200 ok");
    EXPECT_THAT(call("GET", "/admin/configuration", "wrong"), HasSubstr("LB-9002"));
    EXPECT_THAT(call("GET", "/admin/other", "wrong"), HasSubstr("LB-9002"))
        << "unauthenticated requests must not reveal which pages exist";
}

TEST(AdminServer, MissingTokenHashRejectsAllAdminRequests)
{
    asio::io_context context;
    HttpClient client(context, {});
    AdminServer server(context, {});
    server.add(
        "GET", "/admin/status", [](const CallerRequest&, const AdminServer::Answer& answer) { answer({}); });
    server.open();
    auto collector = std::make_shared<ResponseCollector>();
    client.start({ .url = "http://127.0.0.1:" + std::to_string(server.port()) + "/admin/status",
                     .fields = { { "Authorization", "Bearer x" } } },
        collector);
    while (!collector->end)
        context.run_one();
    EXPECT_EQ(collector->status, 401);
}

TEST(Metrics, CountOutcomesAndLatenciesByTier)
{
    Metrics metrics;
    const auto outcome = [](const char* tier, ResultCode code, Duration total) {
        return RequestOutcome { .code = code,
            .tier = TierId(tier),
            .answerTokens = 5,
            .total = total,
            .inTime = code == ResultCode::Ok };
    };
    metrics.observe(outcome("high", ResultCode::Ok, std::chrono::milliseconds { 500 }));
    metrics.observe(outcome("high", ResultCode::Ok, std::chrono::hours { 1 }));
    metrics.observe(outcome("low", ResultCode::NoCapacity, Duration {}));
    const auto text = metrics.text();
    EXPECT_THAT(
        text, HasSubstr("lentilbay_requests_total{tier=\"high\",code=\"LB-1000\",in_time=\"yes\"} 2\n"));
    EXPECT_THAT(
        text, HasSubstr("lentilbay_requests_total{tier=\"low\",code=\"LB-3001\",in_time=\"no\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("lentilbay_request_seconds_bucket{tier=\"high\",le=\"600\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("lentilbay_request_seconds_bucket{tier=\"high\",le=\"+Inf\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("lentilbay_request_seconds_sum{tier=\"high\"} 3600.5\n"));
    EXPECT_THAT(text, HasSubstr("lentilbay_request_seconds_bucket{tier=\"low\",le=\"0.00144712\"} 1\n"))
        << "a duration below the first bin counts in all buckets";
    EXPECT_THAT(text, HasSubstr("lentilbay_answer_tokens_total{tier=\"high\"} 10\n"));
}

} // namespace
} // namespace lentilbay
