// Tests with real connections: each caller gets its own complete responses on pipelined and reused
// connections, malformed input causes no crash, and a slow reader does not make buffers grow. Also run this
// test in a build with LENTILBAY_SANITIZE.
#include "lentilbay/Gateway/CallerServer.h"

#include "GatewayFixtures.h"
#include "RawServer.h"
#include "lentilbay/Gateway/Gateway.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

/// A client connection that sends raw bytes and collects the received bytes.
class RawCaller {
public:
    RawCaller(asio::io_context& context, uint16_t port)
        : m_state(std::make_shared<State>(context))
    {
        m_state->socket.connect({ asio::ip::make_address("127.0.0.1"), port });
        m_state->read();
    }
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;
    ~RawCaller() { close(); }

    void send(std::string bytes)
    {
        auto buf = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(m_state->socket, asio::buffer(*buf), [buf](const auto&, size_t) {});
    }

    void finishSending()
    {
        asio::error_code ec;
        m_state->socket.shutdown(asio::socket_base::shutdown_send, ec);
    }

    void close()
    {
        asio::error_code ec;
        m_state->socket.close(ec);
    }

    bool isClosed() const { return m_state->closed; }
    const std::string& received() const { return m_state->received; }

private:
    /// Kept alive by the pending read, which may end after the RawCaller is destroyed.
    struct State : std::enable_shared_from_this<State> {
        explicit State(asio::io_context& context)
            : socket(context)
        {
        }

        void read()
        {
            socket.async_read_some(
                asio::buffer(buf), [self = shared_from_this()](const asio::error_code& ec, size_t n) {
                    self->closed = static_cast<bool>(ec);
                    self->received.append(self->buf.data(), n);
                    if (!ec)
                        self->read();
                });
        }

        asio::ip::tcp::socket socket;
        std::array<char, 16384> buf {};
        std::string received;
        bool closed = false;
    };

    std::shared_ptr<State> m_state;
};

std::string httpRequest(const std::string& method, const std::string& path, const std::string& body,
    const std::string& fields = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the bodies of the complete responses, in order. All responses must have a Content-Length.
std::vector<std::string> bodiesOf(std::string_view received)
{
    std::vector<std::string> out;
    while (true) {
        const auto end = received.find("\r\n\r\n");
        const auto at = received.find("Content-Length: ");
        if (end == std::string_view::npos || at > end)
            return out;
        const auto length = std::stoul(std::string(received.substr(at + 16, 12)));
        if (received.size() < end + 4 + length)
            return out;
        out.emplace_back(received.substr(end + 4, length));
        received.remove_prefix(end + 4 + length);
    }
}

struct ServerFixture {
    explicit ServerFixture(CallerServerOptions options = {})
        : server(
            context, options,
            [this](CallerRequest request, std::shared_ptr<CallerChannel> channel) {
                gateway.arrive(std::move(request), std::move(channel));
            },
            [this](ConnectionId connection) { gateway.callerLeft(connection); })
    {
        applyConfiguration(
            blackboard, std::make_shared<Configuration>(testConfiguration(engine.port(), service.port())));
        for (auto& it : blackboard.endpoints)
            it.grant = { .slots = it.endpoint.slots, .expiresAt = steadyNow() + std::chrono::hours { 1 } };
        server.open();
    }

    void pump()
    {
        entry.step(steadyNow());
        gateway.executeCommands();
        context.poll();
        context.run_one_for(std::chrono::milliseconds { 1 });
    }

    template <class F> bool runUntil(F&& condition, int rounds = 20'000)
    {
        for (int i = 0; i < rounds && !condition(); ++i)
            pump();
        return condition();
    }

    asio::io_context context;
    RawServer engine { context };
    RawServer service { context };
    Blackboard blackboard { .self = DaemonId("d1") };
    HttpClient client { context, {} };
    EntryController entry { blackboard, {} };
    Gateway gateway { blackboard, entry, client,
        { .limits = { .maxBodyBytes = 4096, .maxFieldBytes = 1024, .maxFields = 20 } },
        { .wake = [] {},
            .claim
            = [this](const RequestIdentity& it) { entry.claimed(it.id, ClaimResult::Held, steadyNow()); },
            .callAfter =
                [this](Duration delay, std::function<void()> function) {
                    auto timer = std::make_shared<asio::steady_timer>(context, delay);
                    timer->async_wait([timer, function](const asio::error_code&) { function(); });
                } } };
    CallerServer server;
};

/// Echoes the request's body after a varying delay, so that responses arrive out of order.
ScriptedResponse echoWithDelay(const std::string& request)
{
    const auto body = request.substr(request.find("\r\n\r\n") + 4);
    return { .bytes = httpResponse(200, body),
        .delay = std::chrono::milliseconds { std::hash<std::string> {}(body) % 4 } };
}

RC_GTEST_PROP(CallerServer, EachCallerGetsItsOwnCompleteAnswers, ())
{
    ServerFixture fixture;
    fixture.service.setResponder(echoWithDelay);
    const auto connections = *rc::gen::inRange<size_t>(1, 6);
    const auto perConnection = *rc::gen::inRange<size_t>(1, 12);
    std::vector<std::unique_ptr<RawCaller>> callers;
    std::vector<std::vector<std::string>> expected(connections);
    for (size_t i = 0; i < connections; ++i) {
        callers.push_back(std::make_unique<RawCaller>(fixture.context, fixture.server.port()));
        for (size_t n = 0; n < perConnection; ++n) {
            const auto size = *rc::gen::inRange<size_t>(0, 2000);
            auto body
                = std::to_string(i) + "/" + std::to_string(n) + std::string(size, static_cast<char>('a' + n));
            callers.back()->send(httpRequest("POST", "/services/stock/echo", body));
            expected[i].push_back(std::move(body));
        }
    }
    const auto isDone = [&] {
        for (const auto& it : callers) {
            if (bodiesOf(it->received()).size() < perConnection)
                return false;
        }
        return true;
    };
    RC_ASSERT(fixture.runUntil(isDone));
    for (size_t i = 0; i < connections; ++i)
        RC_ASSERT(bodiesOf(callers[i]->received()) == expected[i]);
    RC_ASSERT(fixture.service.requests().size() == connections * perConnection);
}

TEST(CallerServer, DisconnectCancelsRequest)
{
    ServerFixture fixture;
    RawCaller caller(fixture.context, fixture.server.port());
    caller.send(httpRequest("POST", "/v1/completions", R"({"model":"m1","prompt":"x"})"));
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.engine.requests().size() == 1; }));
    fixture.engine.script({ .bytes = httpResponse(200, "{}") });
    caller.close();
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.gateway.openExchanges() == 0; }));
    EXPECT_EQ(fixture.engine.requestsStartingWith("POST /v1/cancel"), 1U);
}

TEST(CallerServer, OversizedRequestsGetSpecificErrors)
{
    ServerFixture fixture({ .maxBodyBytes = 4096, .maxFieldBytes = 1024, .maxFields = 20 });
    RawCaller body(fixture.context, fixture.server.port());
    body.send(httpRequest("POST", "/services/stock/x", std::string(5000, 'x')));
    ASSERT_TRUE(fixture.runUntil([&] { return body.received().find("LB-1003") != std::string::npos; }));
    EXPECT_TRUE(body.received().starts_with("HTTP/1.1 413 "));
    RawCaller field(fixture.context, fixture.server.port());
    field.send(httpRequest("GET", "/services/stock/x", "", "X-Long: " + std::string(2000, 'x') + "\r\n"));
    ASSERT_TRUE(fixture.runUntil([&] { return field.received().find("LB-1004") != std::string::npos; }));
    EXPECT_TRUE(field.received().starts_with("HTTP/1.1 431 "));
    RawCaller huge(fixture.context, fixture.server.port());
    huge.send(httpRequest("POST", "/services/stock/x", std::string(1 << 20U, 'x')));
    ASSERT_TRUE(fixture.runUntil([&] { return huge.isClosed(); }))
        << "the connection is closed if the body far exceeds the limit";
}

TEST(CallerServer, SlowReaderDoesNotGrowBacklog)
{
    ServerFixture fixture;
    // The caller reads nothing of a 32 MB stream, so the gateway must stop reading from the engine.
    std::vector<std::string> parts;
    for (uint32_t i = 0; i < 64; ++i)
        parts.push_back("data: {\"token_index\":" + std::to_string(i) + ",\"x\":\""
            + std::string(500'000, 'x') + "\"}\n\n");
    fixture.engine.script({ .bytes = chunkedResponse(parts) });
    asio::ip::tcp::socket socket(fixture.context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), fixture.server.port() });
    const auto request
        = httpRequest("POST", "/v1/completions", R"({"model":"m1","stream":true,"prompt":"x"})");
    asio::write(socket, asio::buffer(request));
    size_t backlog = 0;
    for (int i = 0; i < 300; ++i) {
        fixture.pump();
        for (const auto& [id, it] : fixture.gateway.exchanges()) {
            if (it->channel)
                backlog = std::max(backlog, it->channel->backlog());
        }
    }
    EXPECT_GT(backlog, 0U);
    EXPECT_LT(backlog, 2U << 20U) << "at most one event above the limit of 256 KiB";
    socket.close();
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.server.connections() == 0; }));
}

/// Returns one or two requests with random mutations: bytes changed, removed, duplicated, inserted or cut
/// off.
std::string mutatedRequest(Random& random)
{
    static const std::vector<std::string> seeds {
        httpRequest(
            "POST", "/v1/chat/completions", R"({"model":"m1","messages":[{"role":"user","content":"hi"}]})"),
        httpRequest("POST", "/v1/completions", R"({"model":"m1","stream":true,"max_tokens":5,"prompt":"x"})"),
        httpRequest(
            "POST", "/services/books/a?b=c", "lot", "Idempotency-Key: k1\r\nLentilbay-Deadline: 50\r\n"),
        httpRequest("GET", "/v1/requests/d1-0-1/answer", "",
            "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"),
        httpRequest("PUT", "/services/stock/x", "5\r\nabcde\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"),
        httpRequest("CONNECT", "h:1", ""),
        httpRequest("POST", "/v1/completions", std::string(3000, '[')),
        httpRequest(
            "POST", "/v1/completions", R"({"model":"m1","prompt":")" + std::string(1000, '\xFE') + "\"}"),
    };
    auto text = seeds[random.below(seeds.size())];
    if (random.chance(0.3))
        text += seeds[random.below(seeds.size())];
    for (auto n = random.below(8); n > 0; --n) {
        const auto at = random.below(text.size());
        switch (random.below(5)) {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(at, 1 + random.below(20));
            break;
        case 2:
            text.insert(at, text.substr(at / 2, random.below(40)));
            break;
        case 3:
            text.insert(at, random.below(6), "\r\n\0:/{"[random.below(6)]);
            break;
        default:
            if (random.chance(0.3))
                text.resize(at + 1);
        }
        if (text.empty())
            text = "\n";
    }
    return text;
}

TEST(CallerServer, MalformedInputDoesNotCrashOrLeak)
{
    constexpr int rounds = 250;
    constexpr int concurrentCallers = 20;
    ServerFixture fixture({ .maxBodyBytes = 4096, .maxFieldBytes = 1024, .maxFields = 20 });
    fixture.service.setResponder(
        [](const std::string&) { return ScriptedResponse { .bytes = httpResponse(200, "x") }; });
    fixture.engine.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, R"({"usage":{"completion_tokens":1}})") };
    });
    Random random(17);
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int i = 0; i < concurrentCallers; ++i) {
            callers.push_back(std::make_unique<RawCaller>(fixture.context, fixture.server.port()));
            callers.back()->send(mutatedRequest(random));
        }
        for (int i = 0; i < 3; ++i)
            fixture.pump();
        for (const auto& it : callers)
            it->finishSending();
        fixture.pump();
    }
    EXPECT_TRUE(fixture.runUntil(
        [&] { return fixture.gateway.openExchanges() == 0 && fixture.entry.openRequests() == 0; }));
    EXPECT_TRUE(fixture.runUntil([&] { return fixture.server.connections() == 0; }));
    EXPECT_EQ(fixture.server.unwrittenAnswers(), 0U);
    RawCaller caller(fixture.context, fixture.server.port());
    caller.send(httpRequest("POST", "/services/stock/x", "sound"));
    EXPECT_TRUE(fixture.runUntil([&] { return bodiesOf(caller.received()).size() == 1; }))
        << "the server must still handle requests";
}

} // namespace
} // namespace lentilbay
