// Tests of HttpServer: pipelining, streaming, disconnects, timeouts, and aborted responses, which a client
// must be able to tell from complete ones.
#include "lentilbay/Http/Server.h"

#include "lentilbay/Support/SteadyClock.h"

#include <array>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace lentilbay::http {
namespace {

using namespace std::chrono_literals;

class ServerTest : public testing::Test {
protected:
    ServerTest()
    {
        limits.parser = { .headerBytes = 2000, .bodyBytes = 1000 };
        server = std::make_unique<HttpServer>(context,
            HttpServerOptions { .address = { asio::ip::make_address("127.0.0.1"), 0 },
                .limits = [this] { return limits; },
                .handler = [this](std::shared_ptr<Exchange> it) { exchanges.push_back(std::move(it)); },
                .malformed = [this](ParseError) { ++malformed; },
                .repeated = [this](const HttpRequest& it,
                                int status) { repeated.push_back(it.target + ' ' + std::to_string(status)); },
                .closed = [this](const ConnectionEnd& it) { ends.push_back(it); },
                .requestMemory = requestMemory,
                .responseMemory = responseMemory });
        client.connect({ asio::ip::make_address("127.0.0.1"), server->port() });
        client.non_blocking(true);
    }

    void runUntil(const std::function<bool()>& done)
    {
        constexpr int maxSteps = 4000;
        for (int i = 0; i < maxSteps && !done(); ++i) {
            context.run_for(2ms);
            context.restart();
            readSome();
        }
        ASSERT_TRUE(done()) << received;
    }

    void readSome()
    {
        std::array<char, 4096> buf {};
        std::error_code ec;
        const size_t n = client.read_some(asio::buffer(buf), ec);
        received.append(buf.data(), n);
        if (ec && ec != asio::error::would_block)
            isClosed = true;
    }

    void send(const std::string& text) { asio::write(client, asio::buffer(text)); }

    /// Another client, which has sent this.
    asio::ip::tcp::socket clientThatSent(const std::string& text)
    {
        asio::ip::tcp::socket out(context);
        out.connect({ asio::ip::make_address("127.0.0.1"), server->port() });
        asio::write(out, asio::buffer(text));
        return out;
    }

    asio::io_context context;
    std::shared_ptr<MemoryBudget> requestMemory = std::make_shared<MemoryBudget>();
    std::shared_ptr<MemoryBudget> responseMemory = std::make_shared<MemoryBudget>();
    ServerLimits limits;
    std::vector<ConnectionEnd> ends;
    std::unique_ptr<HttpServer> server;
    asio::ip::tcp::socket client { context };
    std::vector<std::shared_ptr<Exchange>> exchanges;
    std::string received;
    bool isClosed = false;
    int malformed = 0;
    /// Target and status of each response that was dropped because another one had begun.
    std::vector<std::string> repeated;
};

const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_F(ServerTest, HandlesPipelinedRequestsInOrder)
{
    send(get + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return exchanges.size() == 1; });
    context.run_for(10ms);
    context.restart();
    EXPECT_EQ(exchanges.size(), 1U) << "the second request waits for the first response";
    exchanges[0]->respond(200, "OK", {}, "first");
    runUntil([&] { return exchanges.size() == 2; });
    EXPECT_EQ(exchanges[1]->request().target, "/b");
    exchanges[1]->respond(503, "Service Unavailable", {}, "");
    runUntil([&] { return received.find("503") != std::string::npos; });
    EXPECT_NE(received.find("Content-Length: 5\r\n\r\nfirst"), std::string::npos);
    EXPECT_FALSE(isClosed);
}

TEST_F(ServerTest, ReportsAClientDisconnectOnce)
{
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    int disconnects = 0;
    exchanges[0]->onClientDisconnect([&] { ++disconnects; });
    client.close();
    runUntil([&] { return disconnects > 0; });
    EXPECT_EQ(disconnects, 1);
    EXPECT_TRUE(exchanges[0]->isDone());
    exchanges[0]->respond(200, "OK", {}, "goes nowhere");
    EXPECT_EQ(server->connections(), 0U);
}

TEST_F(ServerTest, RequestOfAClientThatHadLeftWasHandled)
{
    send(get);
    client.close();
    for (int i = 0; i < 50; ++i) {
        context.run_for(2ms);
        context.restart();
    }
    EXPECT_EQ(exchanges.size(), 0U);
    EXPECT_EQ(server->connections(), 0U);
}

TEST_F(ServerTest, DisconnectIsDetectedBeforeTheEventLoopReportsIt)
{
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    int disconnects = 0;
    exchanges[0]->onClientDisconnect([&] { ++disconnects; });
    exchanges[0]->detectDisconnect(bootNow() + 1s);
    EXPECT_EQ(disconnects, 0);
    client.close();
    exchanges[0]->detectDisconnect(bootNow() + 2s);
    EXPECT_EQ(disconnects, 1);
    exchanges[0]->detectDisconnect(bootNow() + 3s);
    EXPECT_EQ(disconnects, 1);
}

TEST_F(ServerTest, ConnectionsWereAcceptedOnePerTurnOfABusyEventLoop)
{
    // Something else is always ready, as at a host with too little processor time.
    std::function<void()> spin = [&] { asio::post(context, spin); };
    spin();
    std::vector<asio::ip::tcp::socket> clients;
    constexpr size_t n = 40;
    for (size_t i = 0; i < n; ++i) {
        clients.emplace_back(context);
        clients.back().connect({ asio::ip::make_address("127.0.0.1"), server->port() });
    }
    int turns = 0;
    for (; turns < 100 && server->connections() < n + 1; ++turns)
        context.poll_one();
    EXPECT_EQ(server->connections(), n + 1);
    EXPECT_LT(turns, 20);
    spin = [] {};
}

TEST_F(ServerTest, RequestThatWaitedForTheEventLoopCountedAsJustSent)
{
    constexpr auto stall = 400ms;
    constexpr auto clockTick = 20ms;
    // On a new connection, which waits to be accepted as well, and on one that is open.
    for (size_t n = 1; n <= 2; ++n) {
        send("GET /a HTTP/1.1\r\n\r\n");
        const auto sentAt = bootNow();
        std::this_thread::sleep_for(stall);
        runUntil([&] { return exchanges.size() == n; });
        EXPECT_LE(exchanges.back()->arrival().earliest, sentAt + clockTick);
        EXPECT_GE(exchanges.back()->arrival().earliest, sentAt - clockTick);
        exchanges.back()->respond(200, "OK", {}, "");
    }
}

TEST_F(ServerTest, RequestThatTheEventLoopReadsInTimeCountsAsJustSent)
{
    // The connection is idle for a while before each request.
    for (size_t n = 1; n <= 2; ++n) {
        std::this_thread::sleep_for(400ms);
        context.run_for(5ms);
        context.restart();
        const auto before = bootNow();
        send("GET /a HTTP/1.1\r\n\r\n");
        runUntil([&] { return exchanges.size() == n; });
        EXPECT_GE(exchanges.back()->arrival().earliest, before - 20ms);
        exchanges.back()->respond(200, "OK", {}, "");
    }
}

TEST_F(ServerTest, KernelIsNotAskedWhileTheEventLoopIsOnTime)
{
    std::vector<TimePoint> arrivedAt;
    HttpServer timely(context,
        { .address = { asio::ip::make_address("127.0.0.1"), 0 },
            .maxInputAge = [](TimePoint) { return Duration(200ms); },
            .handler =
                [&](const std::shared_ptr<Exchange>& it) {
                    arrivedAt.push_back(it->arrival().earliest);
                    it->respond(200, "OK", {}, "");
                } });
    asio::ip::tcp::socket other(context);
    other.connect({ asio::ip::make_address("127.0.0.1"), timely.port() });
    context.run_for(5ms);
    context.restart();
    asio::write(other, asio::buffer(std::string("GET /a HTTP/1.1\r\n\r\n")));
    std::this_thread::sleep_for(250ms);
    const auto before = bootNow();
    runUntil([&] { return arrivedAt.size() == 1; });
    EXPECT_GE(arrivedAt[0], before);
}

TEST_F(ServerTest, StreamsInChunks)
{
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    exchanges[0]->begin(200, "OK", {});
    exchanges[0]->write("ab");
    exchanges[0]->write("c");
    exchanges[0]->finish();
    runUntil([&] { return received.find("0\r\n\r\n") != std::string::npos; });
    EXPECT_NE(received.find("\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(ServerTest, AnAbortedResponseIsTruncated)
{
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    exchanges[0]->begin(200, "OK", {});
    exchanges[0]->write("ab");
    exchanges[0]->abort();
    runUntil([&] { return isClosed; });
    EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(ServerTest, SecondResponseWasWrittenIntoABegunOne)
{
    const std::function<void(Exchange&)> misuses[] = { [](Exchange& it) { it.respond(503, "No", {}, "no"); },
        [](Exchange& it) {
            it.begin(503, "No", {});
            it.write("no");
            it.finish();
        } };
    for (const auto& misuse : misuses) {
        received.clear();
        isClosed = false;
        client = asio::ip::tcp::socket(context);
        client.connect({ asio::ip::make_address("127.0.0.1"), server->port() });
        client.non_blocking(true);
        const auto n = exchanges.size();
        send(get);
        runUntil([&] { return exchanges.size() == n + 1; });
        exchanges[n]->begin(200, "OK", {});
        exchanges[n]->write("ab");
        misuse(*exchanges[n]);
        EXPECT_TRUE(exchanges[n]->isDone());
        runUntil([&] { return isClosed; });
        EXPECT_TRUE(received.ends_with("\r\n\r\n2\r\nab\r\n")) << received;
        ASSERT_EQ(repeated.size(), n + 1);
        EXPECT_EQ(repeated[n], "/a 503");
    }
}

TEST_F(ServerTest, ResponseAfterACompleteOneIsDropped)
{
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    exchanges[0]->respond(200, "OK", {}, "a");
    exchanges[0]->respond(503, "No", {}, "no");
    runUntil([&] { return received.ends_with("\r\n\r\na"); });
    send(get);
    runUntil([&] { return exchanges.size() == 2; });
    EXPECT_EQ(received.find("503"), std::string::npos);
}

TEST_F(ServerTest, RejectsAMalformedRequest)
{
    send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n");
    runUntil([&] { return isClosed; });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(exchanges.empty());
    EXPECT_EQ(malformed, 1);
}

TEST_F(ServerTest, RejectsABodyBeyondTheLimit)
{
    send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
    runUntil([&] { return isClosed; });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 413 "));
}

/// A request with a body of 100,000 bytes, of which this many follow.
std::string unfinishedPost(size_t bytes)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(bytes, 'x');
}

TEST_F(ServerTest, UnfinishedRequestsTookMemoryWithoutABound)
{
    limits.parser.bodyBytes = 100'000;
    requestMemory->setLimit(50'000);
    const auto smaller = clientThatSent(unfinishedPost(20'000));
    runUntil([&] { return requestMemory->usedBytes() >= 20'000; });
    const auto larger = clientThatSent(unfinishedPost(40'000));
    runUntil([&] { return malformed == 1; });
    EXPECT_TRUE(exchanges.empty());
    EXPECT_GE(requestMemory->usedBytes(), 20'000U) << "the smaller one is kept";
    EXPECT_LE(requestMemory->usedBytes(), 21'000U);
}

TEST_F(ServerTest, RequestRefusedForWantOfMemoryMayBeRepeated)
{
    limits.parser.bodyBytes = 100'000;
    requestMemory->setLimit(50'000);
    client = clientThatSent(unfinishedPost(60'000));
    client.non_blocking(true);
    runUntil([&] { return received.ends_with("\r\n\r\n"); });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
    EXPECT_NE(received.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(exchanges.empty());
}

TEST_F(ServerTest, RequestThatIsHandledOutlastsUnfinishedOnes)
{
    limits.parser.bodyBytes = 100'000;
    requestMemory->setLimit(50'000);
    client = clientThatSent(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'x'));
    client.non_blocking(true);
    runUntil([&] { return exchanges.size() == 1; });
    const auto other = clientThatSent(unfinishedPost(30'000));
    runUntil([&] { return requestMemory->evictions() == 1; });
    exchanges[0]->respond(200, "OK", {}, "done");
    runUntil([&] { return received.ends_with("done"); });
    EXPECT_EQ(exchanges[0]->request().body.size(), 20'000U);
}

TEST_F(ServerTest, RequestOfManySmallFieldsIsRejected)
{
    limits.parser.headerBytes = 16'384;
    std::string fields;
    for (size_t i = 0; i <= maxHeaderFields; ++i)
        fields += "A:\r\n";
    client = clientThatSent("GET /a HTTP/1.1\r\nHost: h\r\n" + fields);
    client.non_blocking(true);
    runUntil([&] { return received.ends_with("\r\n\r\n"); });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 431 ")) << received;
}

TEST_F(ServerTest, UnreadResponsesTookMemoryWithoutABound)
{
    responseMemory->setLimit(1'000'000);
    auto other = clientThatSent(get);
    runUntil([&] { return exchanges.size() == 1; });
    // More than the buffers of the connection hold.
    exchanges[0]->respond(200, "OK", {}, std::string(64 << 20, 'x'));
    EXPECT_EQ(responseMemory->usedBytes(), 0U);
    EXPECT_EQ(responseMemory->evictions(), 1U);
    runUntil([&] { return server->connections() == 1; });
    send(get);
    runUntil([&] { return exchanges.size() == 2; });
    exchanges[1]->respond(200, "OK", {}, "read");
    runUntil([&] { return received.ends_with("read"); });
}

TEST_F(ServerTest, TimesOutASlowHeader)
{
    limits.headerTimeout = 20ms;
    send("GET /a HTTP/1.1\r\nHos");
    runUntil([&] { return isClosed; });
    EXPECT_TRUE(received.starts_with("HTTP/1.1 408 "));
}

TEST_F(ServerTest, ClosesOnlyIdleConnections)
{
    limits.idleTimeout = 30ms;
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    context.run_for(100ms);
    context.restart();
    readSome();
    EXPECT_FALSE(isClosed) << "a connection with a request is not idle";
    exchanges[0]->respond(200, "OK", {}, "late");
    runUntil([&] { return isClosed; });
    EXPECT_NE(received.find("late"), std::string::npos);
}

TEST_F(ServerTest, EndOfAConnectionStatesItsReasonAndWhatWasLeft)
{
    limits.idleTimeout = 30ms;
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    exchanges[0]->respond(200, "OK", {}, "answer");
    runUntil([&] { return !ends.empty(); });
    EXPECT_EQ(ends[0].reason, CloseReason::IdleTimeout);
    EXPECT_EQ(ends[0].requests, 1U);
    EXPECT_EQ(ends[0].unansweredBytes, 0U);

    const auto aborted = clientThatSent(get + "GET /b");
    runUntil([&] { return exchanges.size() == 2; });
    exchanges[1]->abort();
    runUntil([&] { return ends.size() == 2; });
    EXPECT_EQ(ends[1].reason, CloseReason::Aborted);
    EXPECT_EQ(ends[1].unansweredBytes, std::string("GET /b").size());

    const auto gone = clientThatSent(get);
    runUntil([&] { return exchanges.size() == 3; });
    server.reset();
    ASSERT_EQ(ends.size(), 3U);
    EXPECT_EQ(ends[2].reason, CloseReason::Stop);
    EXPECT_TRUE(ends[2].hadOpenRequest);
}

TEST_F(ServerTest, AStoppingServerAnnouncesTheCloseAndStillResponds)
{
    send(get);
    runUntil([&] { return exchanges.size() == 1; });
    server->closeAfterResponses();
    server->closeIdle(bootNow());
    exchanges[0]->respond(200, "OK", {}, "last");
    runUntil([&] { return isClosed; });
    EXPECT_NE(received.find("Connection: close\r\n"), std::string::npos);
    EXPECT_NE(received.find("last"), std::string::npos);
}

TEST_F(ServerTest, SendsContinueToAClientThatExpectsIt)
{
    send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    runUntil([&] { return received.find("100 Continue") != std::string::npos; });
    send("ok");
    runUntil([&] { return exchanges.size() == 1; });
    EXPECT_EQ(exchanges[0]->request().body, "ok");
}

} // namespace
} // namespace lentilbay::http
