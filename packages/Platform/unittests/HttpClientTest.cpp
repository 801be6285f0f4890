// HttpClient: the handler is asked before the first byte is written, and no failure leads to a second write.
#include "lentilbay/Platform/HttpClient.h"

#include "RawServer.h"

#include <gtest/gtest.h>
#include <optional>

namespace lentilbay {
namespace {

using Then = ScriptedResponse::Then;

struct Recorder : HttpHandler {
    bool mayWrite() override
    {
        ++mayWriteCalls;
        return allowWrite;
    }
    void headArrived(const HttpHead& arrived) override { head = arrived; }
    bool bytesArrived(std::string_view bytes) override
    {
        if (pausesLeft > 0) {
            --pausesLeft;
            return false;
        }
        body += bytes;
        return true;
    }
    void ended(HttpEnd how, const std::string&) override
    {
        EXPECT_FALSE(end) << "ended() is called once per call";
        end = how;
    }

    int mayWriteCalls = 0;
    bool allowWrite = true;
    int pausesLeft = 0;
    HttpHead head;
    std::string body;
    std::optional<HttpEnd> end;
};

struct HttpClientTest : testing::Test {
    std::shared_ptr<Recorder> begin(const std::string& path, Duration timeout = {})
    {
        auto handler = std::make_shared<Recorder>();
        lastCall = client.start({ .method = "POST",
                                    .url = server.url(path),
                                    .body = std::make_shared<std::string>("{}"),
                                    .timeout = timeout },
            handler);
        return handler;
    }

    void runUntilEnded(const Recorder& handler)
    {
        while (!handler.end)
            context.run_one();
    }

    std::shared_ptr<Recorder> call(const std::string& path, Duration timeout = {})
    {
        auto handler = begin(path, timeout);
        runUntilEnded(*handler);
        return handler;
    }

    asio::io_context context;
    RawServer server { context };
    HttpClient client { context, {} };
    HttpCallId lastCall = 0;
};

TEST_F(HttpClientTest, ACompleteResponseArrives)
{
    server.script({ .bytes = httpResponse(200, "hello", "X-Field: a\r\n") });
    const auto handler = call("/v1/x");
    EXPECT_EQ(*handler->end, HttpEnd::Complete);
    EXPECT_EQ(handler->body, "hello");
    EXPECT_EQ(handler->head.status, 200);
    ASSERT_NE(handler->head.find("x-field"), nullptr);
    EXPECT_EQ(*handler->head.find("x-field"), "a");
    EXPECT_TRUE(server.requests().at(0).starts_with("POST /v1/x HTTP/1.1\r\n"));
    EXPECT_EQ(client.runningCalls(), 0U);
}

TEST_F(HttpClientTest, AConnectionIsReused)
{
    for (int i = 0; i < 5; ++i) {
        server.script({ .bytes = httpResponse(200, "x") });
        EXPECT_EQ(*call("/")->end, HttpEnd::Complete);
    }
    EXPECT_EQ(server.connections(), 1U);
}

TEST_F(HttpClientTest, ARefusedConnectionWritesNothing)
{
    server.stopListening();
    auto handler = std::make_shared<Recorder>();
    client.start({ .url = "http://127.0.0.1:1/" }, handler);
    runUntilEnded(*handler);
    EXPECT_EQ(*handler->end, HttpEnd::ConnectFailed);
    EXPECT_EQ(handler->mayWriteCalls, 0);
}

TEST_F(HttpClientTest, AHandlerThatRefusesWritesNothing)
{
    auto handler = std::make_shared<Recorder>();
    handler->allowWrite = false;
    client.start({ .url = server.url("/") }, handler);
    runUntilEnded(*handler);
    EXPECT_EQ(*handler->end, HttpEnd::CancelledBeforeWrite);
    EXPECT_EQ(handler->mayWriteCalls, 1);
    EXPECT_TRUE(server.requests().empty());
}

TEST_F(HttpClientTest, ARequestIsNotResentWhenAReusedConnectionResets)
{
    server.script({ .bytes = httpResponse(200, "x"), .resetOnNextRequest = true });
    server.script({ .bytes = httpResponse(200, "must not be reached") });
    EXPECT_EQ(*call("/first")->end, HttpEnd::Complete);
    const auto second = call("/second");
    EXPECT_EQ(*second->end, HttpEnd::Incomplete);
    EXPECT_EQ(second->mayWriteCalls, 1);
    EXPECT_EQ(server.requests().size(), 2U) << "one write per call";
    EXPECT_EQ(second->body, "");
}

TEST_F(HttpClientTest, AClosedIdleConnectionIsReplaced)
{
    server.script({ .bytes = httpResponse(200, "x"), .then = Then::Close });
    server.script({ .bytes = httpResponse(200, "y") });
    EXPECT_EQ(*call("/first")->end, HttpEnd::Complete);
    const auto second = call("/second");
    EXPECT_LE(second->mayWriteCalls, 1);
    EXPECT_LE(server.requests().size(), 2U);
}

struct Failure {
    const char* name;
    ScriptedResponse answer;
    HttpEnd end;
};

class HttpClientFailures : public HttpClientTest, public testing::WithParamInterface<Failure> { };

TEST_P(HttpClientFailures, NeverWritesTwice)
{
    server.script(GetParam().answer);
    server.script({ .bytes = httpResponse(200, "second answer") });
    const auto handler = call("/");
    EXPECT_EQ(*handler->end, GetParam().end);
    EXPECT_EQ(handler->mayWriteCalls, 1);
    context.poll();
    EXPECT_EQ(server.requests().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(All, HttpClientFailures,
    testing::Values(Failure { "ResetBeforeAnswer", { "", Then::Reset }, HttpEnd::Incomplete },
        Failure { "CloseBeforeAnswer", { "", Then::Close }, HttpEnd::Incomplete },
        Failure { "Truncated", { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", Then::Close },
            HttpEnd::Incomplete },
        Failure { "TruncatedChunks",
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", Then::Close },
            HttpEnd::Incomplete },
        Failure { "GarbageChunks",
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Then::Close },
            HttpEnd::Incomplete },
        Failure { "Garbage", { "this is no HTTP\r\n\r\n", Then::Close }, HttpEnd::Incomplete },
        Failure { "ServerError", { httpResponse(500, "x"), Then::Close }, HttpEnd::Complete },
        Failure { "Redirect", { httpResponse(307, "", "Location: /elsewhere\r\n"), Then::KeepOpen },
            HttpEnd::Complete },
        Failure { "Unavailable", { httpResponse(503, "", "Retry-After: 0\r\n"), Then::KeepOpen },
            HttpEnd::Complete },
        Failure { "AuthenticationAsked",
            { httpResponse(401, "", "WWW-Authenticate: Basic\r\n"), Then::KeepOpen }, HttpEnd::Complete },
        Failure { "Misdirected", { httpResponse(421, ""), Then::Close }, HttpEnd::Complete },
        Failure { "RequestTimeout", { httpResponse(408, "", "Connection: close\r\n"), Then::Close },
            HttpEnd::Complete }),
    [](const auto& info) { return info.param.name; });

TEST_F(HttpClientTest, AStalledResponseTimesOutOnce)
{
    const auto handler = call("/", std::chrono::milliseconds { 50 });
    EXPECT_EQ(*handler->end, HttpEnd::TimedOut);
    EXPECT_EQ(server.requests().size(), 1U);
}

TEST_F(HttpClientTest, AStoppedCallEndsOnce)
{
    auto handler = begin("/");
    while (server.requests().empty())
        context.run_one();
    client.stop(lastCall);
    EXPECT_EQ(*handler->end, HttpEnd::CancelledAfterWrite);
    client.stop(lastCall);
    EXPECT_EQ(client.runningCalls(), 0U);
}

TEST_F(HttpClientTest, ACallStoppedBeforeItConnectsWritesNothing)
{
    auto handler = begin("/");
    client.stop(lastCall);
    EXPECT_EQ(*handler->end, HttpEnd::CancelledBeforeWrite);
    EXPECT_EQ(handler->mayWriteCalls, 0);
    context.poll();
    EXPECT_TRUE(server.requests().empty());
}

TEST_F(HttpClientTest, APausedCallResumesWhereItPaused)
{
    server.script({ .bytes = httpResponse(200, "abcdef") });
    auto handler = begin("/");
    handler->pausesLeft = 1;
    while (handler->pausesLeft > 0)
        context.run_one();
    context.poll();
    EXPECT_FALSE(handler->end);
    client.resume(lastCall);
    runUntilEnded(*handler);
    EXPECT_EQ(handler->body, "abcdef");
    EXPECT_EQ(*handler->end, HttpEnd::Complete);
}

TEST_F(HttpClientTest, HeaderFieldsAreSentAsGiven)
{
    server.script({ .bytes = httpResponse(200, "") });
    auto handler = std::make_shared<Recorder>();
    client.start({ .method = "POST",
                     .url = server.url("/"),
                     .fields = { { "X-Empty", "" }, { "X-Request-Id", "r1" } },
                     .body = std::make_shared<std::string>("abc") },
        handler);
    runUntilEnded(*handler);
    const auto& request = server.requests().at(0);
    EXPECT_NE(request.find("X-Empty:\r\n"), std::string::npos) << request;
    EXPECT_NE(request.find("X-Request-Id: r1\r\n"), std::string::npos) << request;
    EXPECT_EQ(request.find("Expect"), std::string::npos);
    EXPECT_EQ(request.find("Content-Type"), std::string::npos);
}

} // namespace
} // namespace lentilbay
