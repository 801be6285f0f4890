// Tests of HttpServer on an event loop that is late: what has arrived on a connection is answered before the
// connection is closed, whether or not the loop has come to it.
#include "lentilbay/Http/Server.h"

#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <list>
#include <thread>

namespace lentilbay::http {
namespace {

using namespace std::chrono_literals;

const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// A client that records what it receives and how its connection ends.
struct Client {
    Client(asio::io_context& context, uint16_t port)
        : socket(context)
    {
        socket.connect({ asio::ip::make_address("127.0.0.1"), port });
        socket.non_blocking(true);
    }

    void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }

    void readSome(size_t most = maxRead)
    {
        std::array<char, maxRead> buf;
        std::error_code ec;
        received.append(buf.data(), socket.read_some(asio::buffer(buf.data(), most), ec));
        if (ec && ec != asio::error::would_block)
            end = ec;
    }

    size_t answers(std::string_view statusLine) const
    {
        size_t n = 0;
        for (size_t at = received.find(statusLine); at != std::string::npos;
             at = received.find(statusLine, at + 1))
            ++n;
        return n;
    }

    static constexpr size_t maxRead = 65'536;

    asio::ip::tcp::socket socket;
    std::string received;
    std::error_code end;
};

class LateServerTest : public testing::Test {
protected:
    LateServerTest()
    {
        server = std::make_unique<HttpServer>(context,
            HttpServerOptions { .address = { asio::ip::make_address("127.0.0.1"), 0 },
                .limits = [this] { return limits; },
                .handler =
                    [this](const std::shared_ptr<Exchange>& it) {
                        targets.push_back(it->request().target);
                        if (respondsAtOnce)
                            it->respond(200, "OK", {}, answer);
                        else
                            open.push_back(it);
                    },
                .malformed = {},
                .closed = [this](const ConnectionEnd& it) { ends.push_back(it); } });
    }

    Client& connect() { return clients.emplace_back(context, server->port()); }

    /// A client whose first request has been answered.
    Client& connectIdle()
    {
        auto& client = connect();
        client.send(get);
        runUntil([&] { return client.answers("HTTP/1.1 200") == 1; });
        client.received.clear();
        return client;
    }

    void runFor(Duration time)
    {
        const auto end = bootNow() + time;
        while (bootNow() < end) {
            context.run_for(1ms);
            context.restart();
            for (auto& it : clients)
                it.readSome();
        }
    }

    void runUntil(const std::function<bool()>& done)
    {
        const auto end = bootNow() + 5s;
        while (!done() && bootNow() < end)
            runFor(2ms);
        ASSERT_TRUE(done());
    }

    /// Lets the event loop be late: it comes to everything that is due or has arrived after `delay` in one
    /// turn, in which `action` comes first.
    void runLate(Duration delay, const std::function<void()>& action)
    {
        asio::steady_timer first(context, 1us);
        first.async_wait([&](std::error_code) { action(); });
        std::this_thread::sleep_for(delay);
        runFor(50ms);
    }

    asio::io_context context;
    ServerLimits limits;
    std::vector<std::string> targets;
    std::vector<std::shared_ptr<Exchange>> open;
    std::vector<ConnectionEnd> ends;
    bool respondsAtOnce = true;
    std::string answer = "answer";
    std::unique_ptr<HttpServer> server;
    std::list<Client> clients;
};

TEST_F(LateServerTest, RequestThatLayUnreadWasResetWithItsIdleConnection)
{
    auto& client = connectIdle();
    client.send(get);
    server->closeAfterResponses();
    server->closeIdle(bootNow());
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_EQ(client.answers("HTTP/1.1 200"), 1U);
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    EXPECT_EQ(client.end, asio::error::eof);
}

TEST_F(LateServerTest, HeadOfWhichAPartLayUnreadWasResetWithItsIdleConnection)
{
    auto& client = connectIdle();
    client.send("GET /a HTTP/1.1\r\nHo");
    server->closeAfterResponses();
    server->closeIdle(bootNow());
    runFor(10ms);
    client.send("st: h\r\n\r\n");
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_EQ(client.answers("HTTP/1.1 200"), 1U);
}

TEST_F(LateServerTest, RequestThatCrossedTheCloseOfItsConnectionCausedAReset)
{
    auto& client = connectIdle();
    server->closeAfterResponses();
    server->closeIdle(bootNow());
    client.send(get);
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_EQ(client.end, asio::error::eof);
    EXPECT_EQ(targets.size(), 1U) << "the client has been told that the connection ends";
}

TEST_F(LateServerTest, RequestThatLayUnreadWasResetAtTheIdleTimeout)
{
    limits.idleTimeout = 400ms;
    auto& client = connectIdle();
    runLate(500ms, [&] { client.send(get); });
    EXPECT_EQ(client.answers("HTTP/1.1 200"), 1U);
}

TEST_F(LateServerTest, HeadWhoseRestLayUnreadTimedOut)
{
    limits.headerTimeout = 400ms;
    auto& client = connect();
    client.send("GET /a HTTP/1.1\r\nHo");
    runFor(5ms);
    runLate(500ms, [&] { client.send("st: h\r\n\r\n"); });
    EXPECT_EQ(client.answers("HTTP/1.1 200"), 1U);
    EXPECT_EQ(client.answers("HTTP/1.1 408"), 0U);
}

TEST_F(LateServerTest, TimerThatExpiredAsARequestWasReadClosedItsConnection)
{
    limits.idleTimeout = 400ms;
    auto& client = connectIdle();
    client.send(get);
    std::this_thread::sleep_for(500ms);
    limits.idleTimeout = 10s;
    runFor(20ms);
    EXPECT_EQ(client.answers("HTTP/1.1 200"), 1U);
    EXPECT_EQ(client.end, std::error_code());
}

TEST_F(LateServerTest, ConnectionWasClosedByAnIdleTimeoutThatIsNoLongerInForce)
{
    limits.idleTimeout = 300ms;
    auto& client = connectIdle();
    limits.idleTimeout = 3s;
    runFor(600ms);
    EXPECT_EQ(client.end, std::error_code());
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_EQ(client.end, asio::error::eof);
}

TEST_F(LateServerTest, RequestsThatWaitedToBeAcceptedWereResetWithTheListener)
{
    constexpr size_t n = 100;
    for (size_t i = 0; i < n; ++i)
        connect().send(get);
    server->closeAfterResponses();
    server->stopAccepting();
    server->closeIdle(bootNow());
    runUntil([&] { return std::ranges::all_of(clients, [](const auto& it) { return !!it.end; }); });
    EXPECT_EQ(targets.size(), n);
    for (const auto& it : clients) {
        ASSERT_EQ(it.answers("HTTP/1.1 200"), 1U);
        EXPECT_EQ(it.end, asio::error::eof);
    }
}

TEST_F(LateServerTest, PipelinedRequestWasDroppedWithTheLastResponse)
{
    respondsAtOnce = false;
    auto& client = connect();
    client.send(get + get);
    runUntil([&] { return open.size() == 1; });
    server->closeAfterResponses();
    respondsAtOnce = true;
    open[0]->respond(200, "OK", {}, "answer");
    server->closeIdle(bootNow());
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_EQ(client.answers("HTTP/1.1 200"), 2U);
    EXPECT_TRUE(client.received.ends_with("answer"));
}

TEST_F(LateServerTest, RequestThatArrivedDuringAStreamWasDroppedWithItsEnd)
{
    respondsAtOnce = false;
    auto& client = connect();
    client.send(get);
    runUntil([&] { return open.size() == 1; });
    server->closeAfterResponses();
    respondsAtOnce = true;
    open[0]->begin(200, "OK", {});
    open[0]->write("event");
    runFor(5ms);
    client.send(get);
    runFor(5ms);
    open[0]->finish();
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_EQ(client.answers("HTTP/1.1 200"), 2U);
    EXPECT_TRUE(client.received.ends_with("answer"));
}

TEST_F(LateServerTest, ConnectionOfAStreamIsClosedByAStopOnceItIsIdle)
{
    respondsAtOnce = false;
    auto& client = connect();
    client.send(get);
    runUntil([&] { return open.size() == 1; });
    server->closeAfterResponses();
    open[0]->begin(200, "OK", {});
    server->closeIdle(bootNow());
    open[0]->finish();
    server->closeIdle(bootNow());
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_TRUE(client.received.ends_with("0\r\n\r\n"));
    EXPECT_EQ(client.end, asio::error::eof);
}

TEST_F(LateServerTest, ClientThatPipelinesWithoutEndDoesNotKeepAStoppingServer)
{
    auto& client = connectIdle();
    server->closeAfterResponses();
    const auto end = bootNow() + 5s;
    while (!client.end && bootNow() < end) {
        std::error_code ec;
        for (int i = 0; i < 100 && !ec; ++i)
            asio::write(client.socket, asio::buffer(get), ec);
        runFor(2ms);
        server->closeIdle(bootNow());
    }
    EXPECT_TRUE(client.end);
    runUntil([&] { return server->connections() == 0; });
    EXPECT_LT(targets.size(), 200U);
}

TEST_F(LateServerTest, IdleConnectionIsClosedByAStopAndReportsIt)
{
    auto& client = connectIdle();
    server->closeAfterResponses();
    server->closeIdle(bootNow());
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_EQ(client.end, asio::error::eof);
    client.socket.close();
    runUntil([&] { return server->connections() == 0; });
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].reason, CloseReason::Stop);
    EXPECT_EQ(ends[0].unansweredBytes, 0U);
}

TEST_F(LateServerTest, ClientThatIgnoresTheEndOfItsConnectionDoesNotKeepAStoppingServer)
{
    connectIdle();
    server->closeAfterResponses();
    server->closeIdle(bootNow());
    const auto since = bootNow();
    runUntil([&] { return server->connections() == 0; });
    EXPECT_LT(bootNow() - since, 1500ms);
}

TEST_F(LateServerTest, ClientThatStoppedReadingWasNotClosedAtTheIdleTimeout)
{
    limits.idleTimeout = 30ms;
    answer.assign(32'000'000, 'x');
    auto& client = clients.emplace_back(context, server->port());
    client.send(get);
    const auto end = bootNow() + 4s;
    while (ends.empty() && bootNow() < end) {
        context.run_for(5ms);
        context.restart();
    }
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].reason, CloseReason::IdleTimeout);
    EXPECT_GT(ends[0].unsentBytes, 0U);
}

TEST_F(LateServerTest, ClientThatReadsNothingHeldAStopUp)
{
    answer.assign(4'000'000, 'x');
    auto& client = clients.emplace_back(context, server->port());
    server->closeAfterResponses();
    client.send(get);
    const auto since = bootNow();
    while ((targets.empty() || server->connections() > 0) && bootNow() < since + 6s) {
        context.run_for(5ms);
        context.restart();
    }
    EXPECT_LT(bootNow() - since, 4500ms);
}

TEST_F(LateServerTest, ClientThatStoppedReadingForAMomentLostTheEndOfItsAnswer)
{
    answer.assign(32'000'000, 'x');
    auto& client = clients.emplace_back(context, server->port());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto since = bootNow();
    while (bootNow() < since + 2500ms) {
        context.run_for(5ms);
        context.restart();
    }
    while (!client.end && bootNow() < since + 20s) {
        for (int i = 0; i < 100 && !client.end; ++i)
            client.readSome();
        context.run_for(1ms);
        context.restart();
    }
    EXPECT_TRUE(client.received.ends_with(answer));
}

TEST_F(LateServerTest, ClientThatEndedItsInputLostTheEndOfItsLastAnswer)
{
    answer.assign(32'000'000, 'x');
    auto& client = clients.emplace_back(context, server->port());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    runUntil([&] { return !client.received.empty(); });
    client.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_TRUE(client.received.ends_with(answer));
}

TEST_F(LateServerTest, SlowReaderReceivesItsWholeAnswer)
{
    answer.assign(8'000'000, 'x');
    auto& client = clients.emplace_back(context, server->port());
    server->closeAfterResponses();
    client.send(get);
    const auto since = bootNow();
    while (!client.end && bootNow() < since + 9s) {
        context.run_for(5ms);
        context.restart();
        // About 2.5 MB a second.
        for (int i = 0; i < 3; ++i)
            client.readSome(4096);
    }
    EXPECT_GT(bootNow() - since, 1500ms);
    EXPECT_EQ(client.end, asio::error::eof);
    EXPECT_TRUE(client.received.ends_with(answer));
}

TEST_F(LateServerTest, RefusalFollowedAnAbortedResponse)
{
    respondsAtOnce = false;
    auto& client = connect();
    client.send(get + "GET /b");
    runUntil([&] { return open.size() == 1; });
    open[0]->begin(200, "OK", {});
    open[0]->write("piece");
    server->closeAfterResponses();
    open[0]->abort();
    server->refuseUnfinished({}, bootNow());
    server->closeIdle(bootNow());
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_TRUE(client.received.ends_with("5\r\npiece\r\n")) << client.received;
    EXPECT_EQ(targets.size(), 1U);
}

TEST_F(LateServerTest, RequestWasHandledAfterAnAbortedResponse)
{
    respondsAtOnce = false;
    auto& client = connect();
    client.send(get + get);
    runUntil([&] { return open.size() == 1; });
    client.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    runFor(5ms);
    respondsAtOnce = true;
    open[0]->begin(200, "OK", {});
    open[0]->write("piece");
    server->closeAfterResponses();
    open[0]->abort();
    server->refuseUnfinished({}, bootNow());
    server->closeIdle(bootNow());
    runUntil([&] { return client.end != std::error_code(); });
    EXPECT_TRUE(client.received.ends_with("5\r\npiece\r\n")) << client.received;
    EXPECT_EQ(targets.size(), 1U);
}

TEST_F(LateServerTest, ClientThatReadsNothingOfAFormerAnswerHeldAStopUp)
{
    answer.assign(4'000'000, 'x');
    auto& client = clients.emplace_back(context, server->port());
    client.send(get);
    const auto since = bootNow();
    while ((targets.empty() || server->connections() > 0) && bootNow() < since + 6s) {
        context.run_for(5ms);
        context.restart();
        if (!targets.empty()) {
            server->closeAfterResponses();
            server->closeIdle(bootNow());
        }
    }
    EXPECT_LT(bootNow() - since, 4500ms);
}

TEST_F(LateServerTest, UnfinishedRequestIsRefusedAndACompleteOneHandled)
{
    auto& unfinished = connect();
    unfinished.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    runFor(10ms);
    auto& complete = connect();
    complete.send("GET /a HTTP/1.1\r\nHo");
    runFor(10ms);
    complete.send("st: h\r\n\r\n");
    server->closeAfterResponses();
    Headers headers;
    headers.add("Retry-After", "0.02");
    server->refuseUnfinished(headers, bootNow());
    runUntil([&] { return unfinished.end && complete.end; });
    EXPECT_EQ(unfinished.answers("HTTP/1.1 503"), 1U);
    EXPECT_NE(unfinished.received.find("Retry-After: 0.02"), std::string::npos);
    EXPECT_EQ(complete.answers("HTTP/1.1 200"), 1U);
    EXPECT_EQ(targets, std::vector<std::string> { "/a" });
}

} // namespace
} // namespace lentilbay::http
