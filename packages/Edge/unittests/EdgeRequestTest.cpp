// Tests a request through the daemon: what callers and endpoints receive for each way in which an endpoint
// can answer or fail.
#include "lentilbay/Edge/EdgeRequest.h"

#include "RawServer.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <openssl/evp.h>
#include <set>
#include <thread>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const std::string signatureFields = "X-Request-Id: {id}\r\nX-Served-By-Sig: s\r\n";

std::string eventOf(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

std::string streamAnswer(const std::vector<std::string>& events, bool isWhole = true)
{
    std::string out = "HTTP/1.1 200 OK\r\n" + signatureFields
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& it : events) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", it.size());
        out += size + it + "\r\n";
    }
    return isWhole ? out + "0\r\n\r\n" : out;
}

platform::ProcessSettings settings()
{
    platform::ProcessSettings out;
    out.daemon = DaemonId("d");
    out.dataCentre = DataCentreId("a");
    out.isFirstStart = true;
    out.bounds.retrySlack = 50;
    return out;
}

Route routeOf(const std::string& prefix, ExecutionSemantics executionSemantics, int attempts, bool isStream)
{
    return { .name = prefix,
        .host = "h",
        .prefix = prefix,
        .executionSemantics = executionSemantics,
        .isStream = isStream,
        .isResumable = isStream && executionSemantics == ExecutionSemantics::Idempotent,
        .timeout = 3s,
        .objective = 400ms,
        .maxAttempts = attempts,
        .targets = { { .service = ServiceId("s") } } };
}

RouteTable::Parts routes()
{
    RouteTable::Parts parts;
    parts.version = 1;
    parts.routes = { routeOf("/safe/", ExecutionSemantics::Idempotent, 2, false),
        routeOf("/once/", ExecutionSemantics::AtMostOnce, 1, false),
        routeOf("/stream/", ExecutionSemantics::Idempotent, 2, true),
        routeOf("/streamonce/", ExecutionSemantics::AtMostOnce, 1, true) };
    parts.services = { { .name = ServiceId("s"),
        .engine = EngineTraits { .slots = 4, .kvTokens = 100'000, .tokensPerEvent = 6 } } };
    parts.organisations
        = { { .name = OrganisationId("o"),
                .quota = TokenQuota { .tokensPerSecond = 1000, .burstTokens = 2000, .defaultTokens = 200 } },
              { .name = OrganisationId("other") } };
    parts.keys = { { "k", 0 }, { "other-key", 1 } };
    return parts;
}

/// An answer that ends with its connection.
const std::string unframedHead
    = "HTTP/1.1 200 OK\r\n" + signatureFields + "Content-Type: text/event-stream\r\n\r\n";

ScriptedResponse unframedEnd() { return { .bytes = unframedHead, .then = ScriptedResponse::Then::Close }; }

/// Of a caller that resumes a stream after its fourth event.
const std::string resumedFields = "Authorization: Token k\r\nLast-Event-Id: 4\r\n";

struct CallerAnswer {
    int status = 0;
    std::string body;
    http::Headers headers;
    bool isWhole = false;
    bool isBroken = false;
    /// Bytes that are no part of the answer followed its begin.
    bool isFollowedByOtherBytes = false;

    bool hasEnded() const { return isWhole || isBroken; }
};

class EdgeRequestTest : public testing::Test {
protected:
    EdgeRequestTest()
    {
        state.routes = std::make_shared<const RouteTable>(routes());
        state.routesConfirmedAt = bootNow();
        state.endpointsConfirmedAt = bootNow();
        state.knowsDaemons = true;
        state.setEndpointReader([this](TimePoint) {
            asio::post(context, [this] {
                if (isListReadable)
                    state.confirmEndpoints(bootNow(), bootNow());
            });
        });
        list("e1", first);
        front = std::make_unique<http::HttpServer>(context,
            http::HttpServerOptions { .address = { asio::ip::make_address("127.0.0.1"), 0 },
                .limits = [] { return http::ServerLimits {}; },
                .handler =
                    [this](std::shared_ptr<http::Exchange> exchange) {
                        auto forwarded = acceptsForwarded ? forwardedRequestOf(exchange->request().headers)
                                                          : std::nullopt;
                        std::make_shared<EdgeRequest>(state, std::move(exchange), std::move(forwarded))
                            ->admit(bootNow());
                        if (afterAdmission)
                            afterAdmission();
                    },
                .malformed = {},
                .repeated =
                    [](const http::HttpRequest& request, int status) {
                        ADD_FAILURE() << "second response to " << request.target << ": " << status;
                    } });
    }

    void list(const std::string& id, const RawServer& server, const std::string& version = "",
        bool isDraining = false)
    {
        state.endpointRegistry.list({ .id = EndpointId(id),
            .service = ServiceId("s"),
            .host = "127.0.0.1",
            .port = server.port(),
            .dataCentre = DataCentreId("a"),
            .slots = 4,
            .softwareVersion = version,
            .isDraining = isDraining });
        state.versions.update(state.endpointRegistry, bootNow());
    }

    /// Ends the endpoint's suspension; its connections are kept.
    void relist(const std::string& id, const RawServer& server)
    {
        state.endpointRegistry.unlist(EndpointId(id));
        list(id, server);
    }

    void runUntil(const std::function<bool()>& done)
    {
        constexpr int maxSteps = 2000;
        for (int i = 0; i < maxSteps && !done(); ++i) {
            context.run_for(5ms);
            context.restart();
        }
        ASSERT_TRUE(done());
    }

    std::shared_ptr<http::ClientConnection> send(const std::string& path, CallerAnswer& answer,
        const std::string& fields = "Authorization: Token k\r\n")
    {
        auto connection = std::make_shared<http::ClientConnection>(context);
        const auto id = requestId.empty() ? std::to_string(nextRequestId++) : requestId;
        connection->connect({ asio::ip::make_address("127.0.0.1"), front->port() }, 5s,
            [this, &answer, connection, path, fields, id](bool connected) {
                ASSERT_TRUE(connected);
                connection->exchange(fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}\r\n{}"
                                                 "Content-Length: {}\r\n\r\n{}",
                                         path, id, fields, requestBody.size(), requestBody),
                    false,
                    { .head =
                            [&](const http::HttpResponseHead& head) {
                                answer.status = head.status;
                                answer.headers = head.headers;
                                return true;
                            },
                        .body = [&](std::string_view piece) { answer.body += piece; },
                        .complete = [&] { answer.isWhole = true; },
                        .failed =
                            [&](http::FailurePoint at) {
                                answer.isBroken = true;
                                answer.isFollowedByOtherBytes = at == http::FailurePoint::InvalidResponse;
                            } });
            });
        return connection;
    }

    CallerAnswer call(const std::string& path, const std::string& fields = "Authorization: Token k\r\n")
    {
        CallerAnswer answer;
        const auto connection = send(path, answer, fields);
        runUntil([&] { return answer.hasEnded(); });
        connection->close();
        return answer;
    }

    /// For endpoints that crash: their stand-ins live on, and keep the connection of the check after a break.
    void ignoreAliveChecks() { state.pools.setAliveObserver({}); }

    size_t receivedRequests() const { return first.requests().size() + second.requests().size(); }

    /// Of the next calls; each gets its own one if this is empty.
    std::string requestId;
    int nextRequestId = 7;
    std::string requestBody = "ok";
    /// Whether requests may come from peers.
    bool acceptsForwarded = false;
    platform::ProcessSettings settingsWithStore() const
    {
        auto out = settings();
        out.store = { .host = "127.0.0.1", .port = store.port() };
        return out;
    }

    asio::io_context context;
    /// Does not answer unless it has a script.
    RawServer store { context };
    EdgeState state { context, settingsWithStore(), 1 };
    RawServer first { context };
    RawServer second { context };
    std::unique_ptr<http::HttpServer> front;
    /// Whether the platform's store answers when the list of endpoints is read.
    bool isListReadable = true;
    /// Runs while the connection to the endpoint is being established.
    std::function<void()> afterAdmission;
};

TEST_F(EdgeRequestTest, ForwardsAnAnswerUnchanged)
{
    first.script({ .bytes = httpResponse(201, "hello", signatureFields + "X-Own: 1\r\n") });
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "hello");
    ASSERT_TRUE(answer.headers.find("X-Served-By-Sig"));
    EXPECT_TRUE(answer.headers.contains("X-Own"));
    ASSERT_EQ(first.requests().size(), 1U);
    const auto& seen = first.requests()[0];
    EXPECT_NE(seen.find("X-Tenant: o\r\n"), std::string::npos);
    EXPECT_NE(seen.find("X-Expect-Instance: e1\r\n"), std::string::npos);
    EXPECT_EQ(seen.find("Token k"), std::string::npos);
    EXPECT_TRUE(state.requests.empty());
}

TEST_F(EdgeRequestTest, RefusesRequestsThatTheConfigurationDoesNotAllow)
{
    EXPECT_EQ(call("/unknown/x").status, 404);
    EXPECT_EQ(call("/safe/x", "").status, 401);
    EXPECT_EQ(call("/safe/x", "Authorization: Token other\r\n").status, 401);
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(EdgeRequestTest, DeniesNothingWithoutARecentConfiguration)
{
    state.routesConfirmedAt = bootNow() - 3s;
    EXPECT_EQ(call("/unknown/x").status, 503);
    EXPECT_EQ(call("/safe/x", "Authorization: Token other\r\n").status, 503);
    state.routes = nullptr;
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("Retry-After"));
}

TEST_F(EdgeRequestTest, OldVersionServedRequestsAlthoughANewerOneWasKnown)
{
    state.isConfigurationOutdated = true;
    const auto refused = call("/once/x");
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.body.starts_with("LB-3014")) << refused.body;
    EXPECT_TRUE(refused.headers.contains("Retry-After"));
    EXPECT_EQ(receivedRequests(), 0U);
    state.isConfigurationOutdated = false;
    first.script({ .bytes = httpResponse(200, "a", signatureFields) });
    EXPECT_EQ(call("/once/x").status, 200);
}

TEST_F(EdgeRequestTest, WaitingRequestOfACallerThatHadLeftWasSent)
{
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e1"), .inFlight = 4 } }, bootNow());
    CallerAnswer answer;
    const auto connection = send("/safe/x", answer);
    runUntil([&] { return state.queue.size() == 1; });
    // A slot becomes free before the event loop comes to the end of the caller's connection.
    std::this_thread::sleep_for(150ms);
    connection->close();
    state.endpointRegistry.updatePeerLoads("peer", {}, bootNow());
    state.dispatchWaiting(bootNow());
    EXPECT_TRUE(state.requests.empty());
    context.run_for(50ms);
    context.restart();
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(EdgeRequestTest, RequestOfACallerThatClosedItsSendingSideWasNotAnswered)
{
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields) };
    });
    asio::ip::tcp::socket caller(context);
    caller.connect({ asio::ip::make_address("127.0.0.1"), front->port() });
    asio::write(caller,
        asio::buffer(std::string(
            "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nAuthorization: Token k\r\n\r\n")));
    // The end of the input is noticed right before the request is sent to the endpoint.
    afterAdmission = [&] {
        std::this_thread::sleep_for(150ms);
        caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    };
    runUntil([&] { return receivedRequests() == 1; });
    runUntil([&] { return front->connections() == 0; });
    std::string received;
    std::error_code ec;
    asio::read(caller, asio::dynamic_buffer(received), ec);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 ")) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\na")) << received;
}

TEST_F(EdgeRequestTest, RefusesKeyedRequestsBeforeARevokedKeyCouldBeUsed)
{
    state.routesConfirmedAt = bootNow() - 4700ms;
    EXPECT_EQ(call("/safe/x").status, 503);
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(EdgeRequestTest, QuotaCountsTokens)
{
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields) };
    });
    const std::string fields = "Authorization: Token k\r\nX-Token-Usage: 1000,900\r\n";
    EXPECT_EQ(call("/safe/x", fields).status, 200);
    const auto refused = call("/safe/x", fields);
    EXPECT_EQ(refused.status, 429);
    EXPECT_TRUE(refused.headers.contains("Retry-After"));
    EXPECT_EQ(call("/safe/x").status, 200) << "a small request still fits";
}

TEST_F(EdgeRequestTest, RefusalByQuotaStatesWhenItAdmits)
{
    // Guards against 0.6 s in each refusal, whatever the state of the quota.
    const auto retryAfter = [&](const std::string& fields) {
        const auto refused = call("/safe/x", "Authorization: Token k\r\n" + fields);
        EXPECT_EQ(refused.status, 429);
        const auto* value = refused.headers.find("Retry-After");
        return value ? std::stod(*value) : -1;
    };
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields) };
    });
    const std::string large = "X-Token-Usage: 1000,1900\r\n";
    EXPECT_EQ(call("/safe/x", "Authorization: Token k\r\n" + large).status, 200);
    const double alone = retryAfter("X-Token-Usage: 200,300\r\n");
    EXPECT_GT(alone, 0);
    EXPECT_GT(retryAfter("X-Token-Usage: 200,300\r\n"), alone) << "the next part of the quota";
    const double cut = retryAfter(large + "X-Deadline-Ms: 600\r\n");
    EXPECT_LE(cut, 0.2) << "a third of what the caller has left";
    EXPECT_GE(cut, 0.05);
}

TEST_F(EdgeRequestTest, SharedPartsOfAPromptCountAsCachedWhereAResponseHasBegun)
{
    int answers = 0;
    first.setResponder([&](const std::string&) {
        return ScriptedResponse { .bytes
            = ++answers == 1 ? httpResponse(503, "", signatureFields) : streamAnswer({ eventOf(1) }) };
    });
    const auto expectedTokens = [&](const std::string& last) {
        call("/streamonce/x",
            "Authorization: Token other-key\r\nX-Token-Usage: 1000,10\r\nX-Prefix-Hash: aa:500,bb:300," + last
                + "\r\n");
        const auto text = state.metrics.text({});
        const std::string name = "\nlentilbay_prompt_tokens_expected_cached ";
        const auto at = text.find(name);
        return at == std::string::npos ? -1 : std::stoi(text.substr(at + name.size()));
    };
    EXPECT_EQ(expectedTokens("1:200"), 0);
    EXPECT_EQ(expectedTokens("1:200"), 0) << "the first response was an error";
    EXPECT_EQ(expectedTokens("2:200"), 800);
    EXPECT_EQ(expectedTokens("2:200"), 1800) << "the same prompt again";
    const auto endpoint = state.endpointRegistry.find(EndpointId("e1"));
    EXPECT_EQ(endpoint->pendingPromptTokens(), 0) << "what is subtracted equals what was added";
    EXPECT_EQ(endpoint->ownInFlight(), 0U);
}

TEST_F(EdgeRequestTest, StreamGoesOnOnlyAtTheSoftwareVersionThatBeganIt)
{
    RawServer third(context);
    const ScriptedResponse interrupted { .bytes = streamAnswer({ eventOf(1) }, false),
        .then = ScriptedResponse::Then::Reset };
    list("e1", first, "v1");
    first.script(interrupted);
    EXPECT_TRUE(call("/stream/x").isBroken) << "no other endpoint";
    list("e2", second, "v2");
    first.script(interrupted);
    state.endpointRegistry.unlist(EndpointId("e2"));
    list("e1", first, "v1");
    // The stream begins at v1; only v2 is left to go on with it.
    afterAdmission = [&] { list("e2", second, "v2"); };
    EXPECT_TRUE(call("/stream/x").isBroken);
    EXPECT_EQ(first.requests().size(), 2U);
    EXPECT_EQ(second.requests().size(), 0U);
    // The caller resumes it, and another endpoint of v1 has room.
    afterAdmission = {};
    state.endpointRegistry.unlist(EndpointId("e1"));
    list("e3", third, "v1");
    third.script({ .bytes = streamAnswer({ eventOf(2), eventOf(3) }) });
    const auto resumed = call("/stream/x", "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: 7\r\n");
    EXPECT_EQ(resumed.status, 200);
    EXPECT_TRUE(resumed.isWhole);
    EXPECT_EQ(third.requests().size(), 1U);
    EXPECT_EQ(second.requests().size(), 0U);
}

TEST_F(EdgeRequestTest, StreamOfAVersionThatThisDaemonHadNotReadWentOnAtAnotherOne)
{
    // An endpoint of v2 has joined and begun a stream through another daemon; this one's list is a second
    // old.
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = streamAnswer({ eventOf(2), eventOf(3) }) };
    });
    state.endpointsConfirmedAt = bootNow() - 1s;
    const std::string resume = "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: 6\r\n";
    isListReadable = false;
    const auto refused = call("/stream/x", resume);
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.headers.contains("Retry-After"));
    EXPECT_EQ(receivedRequests(), 0U);
    // The store answers, and shows that there is no other version.
    isListReadable = true;
    EXPECT_TRUE(call("/stream/x", resume).isWhole);
    EXPECT_EQ(receivedRequests(), 1U);
    // It shows the other version.
    state.endpointsConfirmedAt = bootNow() - 1s;
    state.setEndpointReader([this](TimePoint) {
        asio::post(context, [this] {
            list("e2", second, "v2");
            state.confirmEndpoints(bootNow(), bootNow());
        });
    });
    EXPECT_EQ(call("/stream/x", "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: 5\r\n").status, 503);
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(EdgeRequestTest, ResumedStreamWasRefusedByAListThatLackedTheEndpointsOfItsVersion)
{
    // Guards against refusing a stream whose version another daemon knows endpoints of: this one has not read
    // yet that they joined (SoakSecondAnswers).
    const auto stream = hashOf("6", hashOf("o"));
    state.streams.record(stream, { .service = hashOf("s"), .version = hashOf("v2") }, false, bootNow());
    const std::string resume = "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: 6\r\n";
    second.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = streamAnswer({ eventOf(2), eventOf(3) }) };
    });
    int reads = 0;
    state.setEndpointReader([&](TimePoint) {
        ++reads;
        asio::post(context, [this] {
            list("e2", second, "v2");
            state.confirmEndpoints(bootNow(), bootNow());
        });
    });
    state.endpointsConfirmedAt = bootNow();
    EXPECT_TRUE(call("/stream/x", resume).body.starts_with("LB-3007"));
    EXPECT_EQ(reads, 0) << "a recent list is not read again while a version leaves";
    state.endpointsConfirmedAt = bootNow() - 1s;
    EXPECT_TRUE(call("/stream/x", resume).isWhole);
    EXPECT_EQ(reads, 1);
    EXPECT_EQ(second.requests().size(), 1U);
}

TEST_F(EdgeRequestTest, ResumedStreamWasRefusedBehindNewOnes)
{
    // Guards against refusing streams by the predicted start of a queue of new ones, which may begin at any
    // version (SoakSecondAnswers): a resumed one has few endpoints, and its caller has waited for its begin.
    const auto stream = hashOf("6", hashOf("other"));
    state.streams.record(stream, { .service = hashOf("s"), .version = hashOf("") }, false, bootNow());
    const auto setLoad = [&](uint16_t n) {
        state.endpointRegistry.updatePeerLoads(
            "peer", { { .endpoint = hashOf("e1"), .inFlight = n } }, bootNow());
    };
    setLoad(4);
    const std::string fields = "Authorization: Token other-key\r\nX-Token-Usage: 100,1000\r\n";
    std::array<CallerAnswer, 4> begun;
    std::vector<std::shared_ptr<http::ClientConnection>> connections;
    connections.reserve(begun.size() + 1);
    for (auto& it : begun)
        connections.push_back(send("/stream/x", it, fields));
    runUntil([&] { return std::ranges::any_of(begun, &CallerAnswer::hasEnded); });
    CallerAnswer resumed;
    connections.push_back(send("/stream/x", resumed, fields + "Last-Event-Id: 1\r\nResumes: 6\r\n"));
    first.setResponder(
        [](const std::string&) { return ScriptedResponse { .bytes = streamAnswer({ eventOf(2) }) }; });
    runUntil(
        [&] { return resumed.hasEnded() || std::ranges::count_if(begun, &CallerAnswer::hasEnded) == 2; });
    ASSERT_FALSE(resumed.hasEnded()) << resumed.body;
    setLoad(3);
    state.dispatchWaiting(bootNow());
    runUntil([&] { return !first.requests().empty(); });
    EXPECT_NE(first.requests()[0].find("Last-Event-Id: 1\r\n"), std::string::npos);
    for (const auto& it : connections)
        it->close();
}

TEST_F(EdgeRequestTest, StreamWasRefusedAlthoughTheListCameALittleLate)
{
    // Guards against refusing resumed streams while the store answers slowly: nobody else knows where they
    // began.
    state.endpointsConfirmedAt = bootNow() - 1s;
    isListReadable = false;
    asio::steady_timer late(context, 300ms);
    late.async_wait([&](std::error_code) {
        isListReadable = true;
        state.confirmEndpoints(bootNow(), bootNow());
    });
    store.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, R"({"Rows":[],"Ver":1})") };
    });
    first.setResponder(
        [](const std::string&) { return ScriptedResponse { .bytes = streamAnswer({ eventOf(2) }) }; });
    const auto answer = call("/stream/x", "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: other\r\n");
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(answer.body, eventOf(2));
}

TEST_F(EdgeRequestTest, WaiterForTheListWasUsedAfterItsTimeoutHadExpired)
{
    state.setEndpointReader([](TimePoint) {});
    std::vector<bool> called;
    state.awaitEndpoints(
        bootNow() + 1ms, [&](bool isCurrent) { called.push_back(isCurrent); }, bootNow());
    // Both the timeout and the answer are due when the event loop comes to them.
    std::this_thread::sleep_for(200ms);
    asio::post(context, [&] { state.confirmEndpoints(bootNow(), bootNow()); });
    context.run_for(50ms);
    context.restart();
    EXPECT_EQ(called.size(), 1U);
}

TEST_F(EdgeRequestTest, StreamGoesOnAtItsVersionAfterAllDaemonsWereRestarted)
{
    // Guards against joining the events of two software versions, and against refusing every stream, when no
    // daemon knows where it began: both versions serve, and the row in the store names the second.
    list("e1", first, "v1");
    list("e2", second, "v2");
    const std::string resume = "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: 6\r\n";
    const auto key = fmt::format("{:016x}", hashOf("6", hashOf("o")));
    const auto origin = fmt::format("{:x},{:x}", hashOf("s"), hashOf("v2"));
    std::string encoded(4 * ((origin.size() + 2) / 3) + 1, '\0');
    encoded.resize(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
        reinterpret_cast<const unsigned char*>(origin.data()), static_cast<int>(origin.size())));
    store.script({ .bytes = httpResponse(200,
                       fmt::format(R"({{"Rows":[{{"Table":"streams","Key":"{}","Value":"{}","Ver":3}}],)"
                                   R"("Ver":3,"HasMore":false}})",
                           key, encoded)) });
    second.script({ .bytes = streamAnswer({ eventOf(2), eventOf(3) }) });
    const auto resumed = call("/stream/x", resume);
    EXPECT_EQ(resumed.status, 200);
    EXPECT_TRUE(resumed.isWhole);
    EXPECT_EQ(first.requests().size(), 0U);
    EXPECT_EQ(second.requests().size(), 1U);
    // Without a row, nothing is sent.
    store.script({ .bytes = httpResponse(200, R"({"Rows":[],"Ver":3,"HasMore":false})") });
    const auto unknown = call("/stream/x", "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: 5\r\n");
    EXPECT_EQ(unknown.status, 503);
    EXPECT_TRUE(unknown.body.starts_with("LB-3016")) << unknown.body;
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(EdgeRequestTest, StreamThatEndsWithItsConnectionIsWholeOnlyAfterAnEvent)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + signatureFields + "Connection: close\r\n\r\n";
    const auto close = ScriptedResponse::Then::Close;
    first.script({ .bytes = head + eventOf(1) + eventOf(2), .then = close });
    const auto whole = call("/stream/x");
    EXPECT_TRUE(whole.isWhole);
    EXPECT_EQ(whole.body, eventOf(1) + eventOf(2));
    // The second endpoint ends before it has written anything.
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([&](const std::string&) {
            return receivedRequests() == 2
                ? ScriptedResponse { .bytes = head + eventOf(1) + "id: 2", .then = close }
                : ScriptedResponse { .bytes = head, .then = close };
        });
    const auto broken = call("/stream/x");
    EXPECT_EQ(receivedRequests(), 3U);
    EXPECT_EQ(broken.body, eventOf(1));
    EXPECT_TRUE(broken.isBroken);
    EXPECT_FALSE(broken.isWhole);
}

TEST_F(EdgeRequestTest, AnswerWithoutEndIsBrokenOff)
{
    const std::string junk(12 << 20, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\n" + signatureFields;
    const std::string length = "Content-Length: 99999999\r\n\r\n";
    const std::string chunk = "Transfer-Encoding: chunked\r\n\r\nbebc200\r\n";
    const std::pair<std::string, std::string> cases[] = { { "/once/x", head + "X-Own: " + junk },
        { "/once/x", head + length + junk }, { "/once/x", head + chunk + junk },
        { "/once/x", head + "\r\n" + junk }, { "/streamonce/x", head + chunk + "data: " + junk },
        { "/streamonce/x", head + "\r\ndata: " + junk } };
    for (const auto& [path, bytes] : cases) {
        state.endpointRegistry.unlist(EndpointId("e1"));
        list("e1", first);
        first.script({ .bytes = bytes });
        const auto begunAt = bootNow();
        const auto answer = call(path);
        EXPECT_EQ(answer.status, 502) << path;
        EXPECT_TRUE(answer.body.starts_with("LB-500")) << answer.body;
        EXPECT_LT(bootNow() - begunAt, 2s) << "sooner than the timeout";
        EXPECT_EQ(state.answerMemory->usedBytes(), 0U);
    }
    first.script({ .bytes = httpResponse(200, "served", signatureFields) });
    state.endpointRegistry.unlist(EndpointId("e1"));
    list("e1", first);
    EXPECT_EQ(call("/safe/x").body, "served");
}

TEST_F(EdgeRequestTest, BufferedAnswersShareABound)
{
    state.answerMemory->setLimit(1 << 20);
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, std::string(3 << 19, 'x'), signatureFields) };
    });
    EXPECT_EQ(call("/once/x").status, 502);
    state.answerMemory->setLimit(16 << 20);
    EXPECT_EQ(call("/once/x").status, 200);
    EXPECT_EQ(state.answerMemory->usedBytes(), 0U);
}

TEST_F(EdgeRequestTest, HeadOfManySmallFieldsTookMoreMemoryThanItsBytes)
{
    std::string fields;
    for (size_t i = 0; i < http::maxHeaderFields; ++i)
        fields += "A:\r\n";
    first.script({ .bytes = "HTTP/1.1 200 OK\r\n" + signatureFields + fields });
    const auto begunAt = bootNow();
    EXPECT_EQ(call("/once/x").status, 502);
    EXPECT_LT(bootNow() - begunAt, 1s) << "sooner than the timeout";
    EXPECT_EQ(state.answerMemory->usedBytes(), 0U);
}

TEST_F(EdgeRequestTest, InterimResponseWithoutEndWasReadUntilTheTimeout)
{
    first.script({ .bytes = "HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\nbebc200\r\n"
            + std::string(1 << 20, 'x') });
    const auto begunAt = bootNow();
    EXPECT_EQ(call("/once/x").status, 502);
    EXPECT_LT(bootNow() - begunAt, 1s);
}

/// Statuses that no valid response has. 101 answers a request to change the protocol, which is never made.
const std::vector<std::string> invalidStatuses { "000", "00", "099", "101", "600", "999" };

std::string answerWithStatus(const std::string& status)
{
    return "HTTP/1.1 " + status + " Text\r\n" + signatureFields + "Content-Length: 2\r\n\r\nok";
}

/// Answers 200 at the first bytes of a request whose body is longer than the sockets hold, and resets the
/// connection while the body is being written.
class EarlyAnswer {
public:
    EarlyAnswer(asio::io_context& context, std::string bytes)
        : m_bytes(std::move(bytes))
        , m_acceptor(context)
        , m_timer(context)
    {
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(16'384));
        m_acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
        m_acceptor.listen();
        accept();
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept()
    {
        m_acceptor.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            auto peer = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            peer->async_wait(asio::ip::tcp::socket::wait_read, [this, peer](std::error_code) {
                asio::write(*peer, asio::buffer(m_bytes));
                m_timer.expires_after(30ms);
                m_timer.async_wait([peer](std::error_code) {
                    peer->set_option(asio::socket_base::linger(true, 0));
                    peer->close();
                });
            });
            accept();
        });
    }

    std::string m_bytes;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
};

TEST_F(EdgeRequestTest, InvalidStatusWasReadUntilTheTimeoutOrReachedTheCaller)
{
    const std::string withoutQuota = "Authorization: Token other-key\r\n";
    for (const auto& status : invalidStatuses) {
        for (const auto* path : { "/once/x", "/safe/x", "/streamonce/x", "/stream/x" }) {
            for (const auto* fields : { "", "Expect: 100-continue\r\n" }) {
                first.script({ .bytes = answerWithStatus(status) });
                const auto begunAt = bootNow();
                const auto answer = call(path, withoutQuota + fields);
                EXPECT_EQ(answer.status, 502) << status << path << fields;
                EXPECT_LT(bootNow() - begunAt, 1s) << status << path << fields;
                relist("e1", first);
                state.crashes.dropBreaksAt(hashOf("e1"));
            }
        }
    }
}

TEST_F(EdgeRequestTest, RequestWithAnInvalidAnswerIsSentToAnotherEndpoint)
{
    const std::string withoutQuota = "Authorization: Token other-key\r\n";
    for (const auto& status : invalidStatuses) {
        int sends = 0;
        const auto respond = [&](const std::string&) {
            return ScriptedResponse { .bytes
                = sends++ == 0 ? answerWithStatus(status) : httpResponse(200, "served", signatureFields) };
        };
        first.setResponder(respond);
        second.setResponder(respond);
        list("e2", second);
        EXPECT_EQ(call("/safe/x", withoutQuota).body, "served") << status;
        EXPECT_EQ(sends, 2) << status;
        relist("e1", first);
        relist("e2", second);
    }
}

TEST_F(EdgeRequestTest, InterimResponsesPrecedeTheFinalOne)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    for (const auto* fields : { "", "Expect: 100-continue\r\n" }) {
        first.script({ .bytes = interim + httpResponse(200, "served", signatureFields) });
        const auto answer = call("/once/x", std::string("Authorization: Token other-key\r\n") + fields);
        EXPECT_EQ(answer.body, "served") << fields;
        EXPECT_FALSE(answer.headers.contains("Link"));
    }
    first.script({ .bytes = interim + streamAnswer({ eventOf(1) }) });
    EXPECT_EQ(call("/streamonce/x").body, eventOf(1));
}

TEST_F(EdgeRequestTest, AnswerThatIsResetDuringTheUploadIsNeverWhole)
{
    requestBody = std::string(4'000'000, 'u');
    const auto head = "HTTP/1.1 200 OK\r\n" + signatureFields;
    for (const auto& bytes : { head + "\r\npart", head + "Content-Length: 900\r\n\r\npart",
             head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" }) {
        EarlyAnswer early(context, bytes);
        state.endpointRegistry.unlist(EndpointId("e1"));
        state.endpointRegistry.list({ .id = EndpointId("e1"),
            .service = ServiceId("s"),
            .host = "127.0.0.1",
            .port = early.port(),
            .dataCentre = DataCentreId("a"),
            .slots = 4 });
        const auto answer = call("/once/x", "Authorization: Token other-key\r\n");
        EXPECT_EQ(answer.status, 502) << bytes;
        EXPECT_EQ(answer.body.find("part"), std::string::npos) << bytes;
    }
}

TEST_F(EdgeRequestTest, AnswerWithoutEndEndedASoundOneBesideIt)
{
    state.answerMemory->setLimit(1'000'000);
    list("e2", second);
    const std::string sound(400'000, 's');
    for (auto* it : { &first, &second })
        it->setResponder([&](const std::string& request) {
            if (request.starts_with("POST /once/flood"))
                return ScriptedResponse { .bytes
                    = "HTTP/1.1 200 OK\r\n" + signatureFields + "\r\n" + std::string(900'000, 'x') };
            return ScriptedResponse { .bytes = httpResponse(200, sound, signatureFields) };
        });
    CallerAnswer flood;
    const auto connection = send("/once/flood", flood);
    runUntil([&] { return state.answerMemory->usedBytes() >= 900'000; });
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.body == sound);
    runUntil([&] { return flood.hasEnded(); });
    EXPECT_EQ(flood.status, 502);
    EXPECT_EQ(state.answerMemory->evictions(), 1U);
    EXPECT_EQ(state.answerMemory->usedBytes(), 0U);
    connection->close();
}

TEST_F(EdgeRequestTest, UnfinishedEventsShareTheBoundOfAnswers)
{
    state.answerMemory->setLimit(100'000);
    first.script({ .bytes = "HTTP/1.1 200 OK\r\n" + signatureFields
            + "Content-Type: text/event-stream\r\n\r\ndata: " + std::string(200'000, 'x') });
    const auto begunAt = bootNow();
    EXPECT_EQ(call("/streamonce/x").status, 502);
    EXPECT_LT(bootNow() - begunAt, 1s);
    EXPECT_EQ(state.answerMemory->usedBytes(), 0U);
}

TEST_F(EdgeRequestTest, AnswerThatStatesTooGreatALengthWasRead)
{
    first.script(
        { .bytes = "HTTP/1.1 200 OK\r\n" + signatureFields + "Content-Length: 99999999\r\n\r\nabc" });
    const auto begunAt = bootNow();
    EXPECT_EQ(call("/once/x").status, 502);
    EXPECT_LT(bootNow() - begunAt, 1s);
}

TEST_F(EdgeRequestTest, NewStreamDoesNotChangeTheOriginOfAnother)
{
    list("e1", first, "v1");
    list("e2", second, "v2");
    for (auto* it : { &first, &second })
        it->setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = streamAnswer({ eventOf(1), eventOf(2) }) };
        });
    EXPECT_EQ(call("/stream/x", "Authorization: Token k\r\nResumes: other\r\n").status, 200);
    EXPECT_FALSE(state.streams.known(hashOf("other", hashOf("o"))));
    EXPECT_TRUE(state.streams.known(hashOf("7", hashOf("o"))));
}

TEST_F(EdgeRequestTest, StreamOfUnknownOriginIsNotResumedWhileThereAreSeveralVersions)
{
    const std::string resume = "Authorization: Token k\r\nLast-Event-Id: 1\r\n";
    first.setResponder(
        [](const std::string&) { return ScriptedResponse { .bytes = streamAnswer({ eventOf(2) }) }; });
    for (const auto* header : { "", "Resumes: other\r\n", "Resumes: \r\n" })
        EXPECT_EQ(call("/stream/x", resume + header).status, 200) << "no version is named: " << header;
    list("e2", second, "v2");
    const size_t before = receivedRequests();
    for (const auto& header : { std::string(), std::string("Resumes: unheard\r\n"),
             std::string("Resumes: \r\n"), "Resumes: " + std::string(5000, 'x') + "\r\n" }) {
        const auto refused = call("/stream/x", resume + header);
        EXPECT_EQ(refused.status, 503) << header.substr(0, 30);
        EXPECT_TRUE(refused.body.starts_with("LB-3016"));
        EXPECT_TRUE(refused.headers.contains("Retry-After"));
    }
    EXPECT_EQ(receivedRequests(), before);
    // A new stream is not affected.
    second.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = streamAnswer({ eventOf(1), eventOf(2) }) };
    });
    EXPECT_EQ(call("/stream/x").status, 200);
}

TEST_F(EdgeRequestTest, PromptThatCrashesEndpointsIsRefused)
{
    ignoreAliveChecks();
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = "HTTP/1.1 200 OK\r\n", .then = ScriptedResponse::Then::Reset };
    });
    const std::string key = "Authorization: Token k\r\n";
    for (int i = 0; i < 3; ++i) {
        state.endpointRegistry.unlist(EndpointId(fmt::format("e{}", i + 1)));
        list(fmt::format("e{}", i + 2), first);
        EXPECT_EQ(
            call("/streamonce/x", key + fmt::format("X-Prefix-Hash: a1:60,bad:40,9{}:7\r\n", i)).status, 502);
        state.crashes.update(bootNow() + 1s);
    }
    EXPECT_EQ(receivedRequests(), 3U);
    const auto refused = call("/streamonce/x", key + "X-Prefix-Hash: b2:60,bad:40,94:7\r\n");
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(refused.headers.contains("Retry-After"));
    EXPECT_TRUE(refused.body.starts_with("LB-3015"));
    EXPECT_EQ(receivedRequests(), 3U);
    // The same part does no harm at the end of a prompt.
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = streamAnswer({ eventOf(1), eventOf(2) }) };
    });
    EXPECT_EQ(call("/streamonce/x", key + "X-Prefix-Hash: b2:60,bad:40\r\n").status, 200);
}

TEST_F(EdgeRequestTest, RequestThatCrashesEndpointsIsRefusedWhenItComesAgain)
{
    ignoreAliveChecks();
    const std::string key = "Authorization: Token k\r\n";
    for (const std::string body : { "", "x", "a longer body" }) {
        requestBody = body;
        first.setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Reset };
        });
        const auto received = receivedRequests();
        for (int i = 0; i < 3; ++i) {
            for (const auto& it : { "e1", "e2", "e3", "e4" })
                state.endpointRegistry.unlist(EndpointId(it));
            list(fmt::format("e{}", i + 2), first);
            EXPECT_EQ(call("/once/x", key).status, 502) << body;
            state.crashes.update(bootNow() + 1s);
        }
        const auto refused = call("/once/x", key);
        EXPECT_EQ(refused.status, 503);
        EXPECT_TRUE(refused.headers.contains("Retry-After"));
        EXPECT_TRUE(refused.body.starts_with("LB-3015"));
        EXPECT_EQ(receivedRequests(), received + 3);
        first.setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields) };
        });
        EXPECT_EQ(call("/once/y", key).status, 200) << "another path";
        EXPECT_EQ(call("/once/x", "Authorization: Token other-key\r\n").status, 200) << "another caller";
        requestBody = body + "!";
        EXPECT_EQ(call("/once/x", key).status, 200) << "another body";
    }
}

TEST_F(EdgeRequestTest, PromptThatEndsAnswersWithTheirConnectionsIsRefused)
{
    ignoreAliveChecks();
    const std::string head = "HTTP/1.1 200 OK\r\n" + signatureFields + "Connection: close\r\n\r\n";
    first.setResponder([&](const std::string&) {
        return ScriptedResponse { .bytes = head, .then = ScriptedResponse::Then::Close };
    });
    const std::string fields = "Authorization: Token k\r\nX-Prefix-Hash: a1:60,bad:40,9:7\r\n";
    for (int i = 0; i < 3; ++i) {
        state.endpointRegistry.unlist(EndpointId(fmt::format("e{}", i + 1)));
        list(fmt::format("e{}", i + 2), first);
        EXPECT_EQ(call("/streamonce/x", fields).status, 502);
        state.crashes.update(bootNow() + 1s);
    }
    EXPECT_EQ(call("/streamonce/x", fields).status, 503);
    EXPECT_EQ(receivedRequests(), 3U);
}

TEST_F(EdgeRequestTest, RequestThatBrokeTwoEndpointsIsNotSentToAThird)
{
    auto parts = routes();
    parts.routes[2].maxAttempts = 4;
    state.routes = std::make_shared<const RouteTable>(std::move(parts));
    RawServer third(context);
    list("e2", second);
    list("e3", third);
    for (auto* it : { &first, &second, &third })
        it->setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Reset };
        });
    EXPECT_EQ(call("/stream/x", "Authorization: Token k\r\nX-Prefix-Hash: a1:60,bad:40,9:7\r\n").status, 502);
    EXPECT_EQ(receivedRequests() + third.requests().size(), 2U);
}

TEST_F(EdgeRequestTest, IdempotentRequestIsRetriedOnAnotherEndpoint)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([this](const std::string&) {
            return receivedRequests() == 1
                ? ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Reset }
                : ScriptedResponse { .bytes = httpResponse(200, "second", signatureFields) };
        });
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "second");
    EXPECT_EQ(first.requests().size(), 1U);
    EXPECT_EQ(second.requests().size(), 1U);
}

TEST_F(EdgeRequestTest, AtMostOnceRequestIsNotResentAfterAReset)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Reset };
        });
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.status, 502) << "503 would state that the request was not executed";
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(EdgeRequestTest, RequestThatWasNotExecutedIsSentToAnotherEndpoint)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([this](const std::string&) {
            return receivedRequests() == 1
                ? ScriptedResponse { .bytes = httpResponse(503, "", "X-Not-Executed: 1\r\n") }
                : ScriptedResponse { .bytes = httpResponse(200, "ran", signatureFields) };
        });
    EXPECT_EQ(call("/once/x").status, 200);
    EXPECT_EQ(receivedRequests(), 2U);
}

TEST_F(EdgeRequestTest, RequestThatAllEndpointsRejectedWasRefusedAtOnce)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([this](const std::string&) {
            return receivedRequests() <= 5
                ? ScriptedResponse { .bytes
                      = httpResponse(503, "", "X-Not-Executed: 1\r\nX-Request-Id: {id}\r\n") }
                : ScriptedResponse { .bytes = httpResponse(200, "ran", signatureFields) };
        });
    CallerAnswer answer;
    const auto connection = send("/once/x", answer);
    runUntil([&] {
        state.dispatchWaiting(bootNow());
        return answer.hasEnded();
    });
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(receivedRequests(), 6U) << "four sends were the limit";
    connection->close();
}

TEST_F(EdgeRequestTest, RejectedRequestEndsWithTheRetryBudget)
{
    list("e2", second);
    state.settings.bounds.retryRatio = 0;
    state.settings.bounds.retrySlack = 5;
    for (auto* it : { &first, &second })
        it->setResponder([](const std::string&) {
            return ScriptedResponse { .bytes
                = httpResponse(503, "", "X-Not-Executed: 1\r\nX-Request-Id: {id}\r\n") };
        });
    CallerAnswer answer;
    const auto connection = send("/once/x", answer);
    runUntil([&] {
        state.dispatchWaiting(bootNow());
        return answer.hasEnded();
    });
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(receivedRequests(), 5U) << "the first send, and four fifths of the budget";
    connection->close();
}

TEST_F(EdgeRequestTest, EndpointThatStatedALimitGotMoreRequests)
{
    list("e2", second);
    state.endpointRegistry.updateSignals(
        "d", { { .name = "d", .dataCentre = DataCentreId("a") } }, bootNow());
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes
            = httpResponse(200, "a", signatureFields + "Server-Limit: 0.5\r\n") };
    });
    second.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "b", signatureFields) };
    });
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i)
        EXPECT_EQ(call("/safe/x", "Authorization: Token k\r\nX-Token-Usage: 10,10\r\n").status, 200);
    EXPECT_EQ(first.requests().size(), 1U);
    EXPECT_EQ(second.requests().size(), requests - 1U);
}

TEST_F(EdgeRequestTest, RejectionWithoutTheLimitEndedIt)
{
    state.endpointRegistry.updateSignals(
        "d", { { .name = "d", .dataCentre = DataCentreId("a") } }, bootNow());
    const std::string small = "Authorization: Token k\r\nX-Token-Usage: 10,10\r\n";
    first.script({ .bytes = httpResponse(200, "a", signatureFields + "Server-Limit: 1000\r\n") });
    for (int i = 0; i < 3; ++i)
        first.script({ .bytes = httpResponse(503, "", "X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n") });
    for (int i = 0; i < 4; ++i) {
        call("/safe/x", small);
        // An endpoint that has rejected a request gets the next one a little later.
        context.run_for(100ms);
        context.restart();
    }
    EXPECT_EQ(first.requests().size(), 4U);
    const auto& endpoint = *state.endpointRegistry.find(EndpointId("e1"));
    EXPECT_EQ(state.endpointRegistry.signalsOf(endpoint).maxRequestsPerSecond, 1000);
}

TEST_F(EdgeRequestTest, EndpointThatStatedThatItLeavesGotAnotherRequest)
{
    // An older row of the store does not bring it back; a later start under the same id does.
    list("e2", second);
    const std::string small = "Authorization: Token k\r\nX-Token-Usage: 10,10\r\n";
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes
            = httpResponse(200, "a", signatureFields + "Server-Leaving: 1\r\n") };
    });
    second.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "b", signatureFields) };
    });
    constexpr int requests = 30;
    for (int i = 0; i < requests; ++i)
        EXPECT_EQ(call("/safe/x", small).status, 200);
    EXPECT_EQ(first.requests().size(), 1U);
    auto entry = state.endpointRegistry.find(EndpointId("e1"))->entry();
    state.endpointRegistry.unlist(entry.id);
    state.endpointRegistry.list(entry);
    state.endpointRegistry.unlist(EndpointId("e2"));
    EXPECT_EQ(call("/safe/x", small).status, 503);
    EXPECT_EQ(first.requests().size(), 1U);
    entry.startedAtMilliseconds = 1;
    state.endpointRegistry.list(entry);
    EXPECT_EQ(call("/safe/x", small).status, 200);
}

TEST_F(EdgeRequestTest, EndpointThatAskedForAPauseGotMoreRequests)
{
    first.script({ .bytes = httpResponse(503, "", "X-Not-Executed: 1\r\nRetry-After: 1.5\r\n") });
    first.script({ .bytes = httpResponse(200, "a", signatureFields) });
    EXPECT_EQ(call("/once/x").status, 503);
    const auto rejectedAt = bootNow();
    CallerAnswer answer;
    const auto connection = send("/once/x", answer);
    runUntil([&] {
        state.dispatchWaiting(bootNow());
        return answer.hasEnded();
    });
    EXPECT_EQ(answer.status, 200) << "it waits, as it can still be served in time";
    EXPECT_GE(bootNow() - rejectedAt, 1400ms);
    EXPECT_EQ(first.requests().size(), 2U);
    connection->close();
}

TEST_F(EdgeRequestTest, UnreadableLimitChangesNothing)
{
    for (const std::string value : { "many", "-1", "nan", "inf", "", "2 per second" }) {
        first.setResponder([&](const std::string&) {
            return ScriptedResponse { .bytes
                = httpResponse(200, "a", fmt::format("{}Server-Limit: {}\r\n", signatureFields, value)) };
        });
        EXPECT_EQ(call("/safe/x").status, 200) << value;
        EXPECT_FALSE(state.endpointRegistry.hasSignals()) << value;
    }
    EXPECT_NE(state.metrics.text({}).find("lentilbay_endpoint_headers_unreadable 6"), std::string::npos);
}

TEST_F(EdgeRequestTest, EndpointThatLeftWhileItWasConnectedGotTheRequest)
{
    // The request is sent to another endpoint, also if it may run only once.
    afterAdmission = [this] {
        auto entry = state.endpointRegistry.find(EndpointId("e1"))->entry();
        entry.isDraining = true;
        state.endpointRegistry.list(entry);
        list("e2", second);
    };
    second.script({ .bytes = httpResponse(200, "second", signatureFields) });
    EXPECT_EQ(call("/once/x").status, 200);
    EXPECT_EQ(first.requests().size(), 0U);
    EXPECT_EQ(second.requests().size(), 1U);
}

TEST_F(EdgeRequestTest, EndpointThatWasRemovedWhileItWasConnectedGotTheRequest)
{
    afterAdmission = [this] { state.endpointRegistry.unlist(EndpointId("e1")); };
    EXPECT_EQ(call("/once/x").status, 503);
    EXPECT_EQ(first.requests().size(), 0U);
}

TEST_F(EdgeRequestTest, EntryAtTheAddressOfAnotherEndpointTookMostRequests)
{
    list("another", first);
    first.setResponder([](const std::string& request) {
        // The entry looks faster than the endpoint, because nothing is in flight there.
        const bool isMeant = request.find("X-Expect-Instance: e1\r\n") != std::string::npos;
        return isMeant ? ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields), .delay = 100ms }
                       : ScriptedResponse { .bytes = httpResponse(421, "", "X-Instance-Id: e1\r\n") };
    });
    constexpr int requests = 12;
    for (int i = 0; i < requests; ++i)
        EXPECT_EQ(call("/once/x").status, 200) << i;
    EXPECT_LE(receivedRequests(), requests + 2U);
}

TEST_F(EdgeRequestTest, CallersThatExpectOtherWeightsTookEndpointsFromOthers)
{
    // Guards against the suspension of sound endpoints for what one client asks for.
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([](const std::string& request) {
            const bool expectsWeights = request.find("X-Expect-Version: 9\r\n") != std::string::npos;
            return ScriptedResponse { .bytes = expectsWeights
                    ? httpResponse(421, "", "X-Request-Id: {id}\r\n")
                    : httpResponse(200, "a", signatureFields) };
        });
    const std::string key = "Authorization: Token other-key\r\n";
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(call("/once/x", key + "X-Expect-Version: 9\r\n").status, 503);
        EXPECT_EQ(call("/once/x", key).status, 200);
    }
    for (const auto* id : { "e1", "e2" })
        EXPECT_FALSE(state.endpointRegistry.find(EndpointId(id))->isOnProbation()) << id;
}

TEST_F(EdgeRequestTest, AnswerWrittenTwiceWasTakenForThatToTheNextRequest)
{
    // The endpoint writes an answer without a request id once more while it runs the next request.
    state.endpointRegistry.unlist(EndpointId("e1"));
    for (const auto& answer :
        { httpResponse(503, "", "X-Not-Executed: 1\r\n"), httpResponse(421, "", "X-Instance-Id: e2\r\n"),
            httpResponse(500, "error"), httpResponse(502, "error"), httpResponse(404, "") }) {
        RawServer endpoint(context);
        const auto id = fmt::format("e{}", endpoint.port());
        list(id, endpoint);
        endpoint.setResponder([&](const std::string&) {
            const bool isRepeated = endpoint.requests().size() > 1 && endpoint.connections() == 1;
            const auto served = httpResponse(200, "served", signatureFields);
            return ScriptedResponse { .bytes = endpoint.requests().size() == 1 ? answer
                    : isRepeated                                               ? answer + served
                                                                               : served };
        });
        EXPECT_NE(call("/once/x").status, 200);
        relist(id, endpoint);
        EXPECT_EQ(call("/once/x").body, "served") << answer;
        state.endpointRegistry.unlist(EndpointId(id));
    }
}

/// An endpoint that rejects each request once, unless it has been told to serve, and counts those that it
/// runs.
class RejectingEndpoint {
public:
    RejectingEndpoint(asio::io_context& context, bool repeatsAnswers, int status = 503)
        : server(context)
    {
        server.setResponder([this, repeatsAnswers, status](const std::string& request) {
            const auto begin = request.find("X-Request-Id: ");
            const auto idField = request.substr(begin, request.find("\r\n", begin) + 2 - begin);
            if (!isServing && rejected.insert(idField).second) {
                const auto rejection = httpResponse(status, "", idField + "X-Not-Executed: 1\r\n");
                return ScriptedResponse { .bytes = rejection,
                    .beforeNextResponse = repeatsAnswers ? rejection : std::string() };
            }
            ++runs[idField];
            const auto served = httpResponse(200, "served " + idField, idField + "X-Served-By-Sig: s\r\n");
            return ScriptedResponse {
                .bytes = served, .delay = 20ms, .beforeNextResponse = repeatsAnswers ? served : std::string()
            };
        });
    }

    std::string id() const { return fmt::format("e{}", server.port()); }

    RawServer server;
    std::set<std::string> rejected;
    std::map<std::string, int> runs;
    bool isServing = false;
};

/// Many of them stay within the quota.
const std::string smallRequestFields = "Authorization: Token k\r\nX-Token-Usage: 1,1\r\n";

class RejectingEndpointsTest : public EdgeRequestTest {
protected:
    RejectingEndpointsTest() { state.endpointRegistry.unlist(EndpointId("e1")); }

    /// Lists two of them in place of the former ones.
    void listRejecting(bool repeatAnswers, int status = 503)
    {
        for (const auto& it : endpoints)
            state.endpointRegistry.unlist(EndpointId(it->id()));
        endpoints.clear();
        for (int i = 0; i < 2; ++i) {
            endpoints.push_back(std::make_unique<RejectingEndpoint>(context, repeatAnswers, status));
            list(endpoints.back()->id(), endpoints.back()->server);
        }
    }

    CallerAnswer callAs(const std::string& id, const std::string& fields = smallRequestFields)
    {
        requestId = id;
        CallerAnswer answer;
        const auto connection = send("/once/x", answer, fields);
        runUntilEnded(answer);
        connection->close();
        return answer;
    }

    /// Dispatches waiting requests as the daemon does, because an endpoint that was full gets room again.
    void runUntilEnded(const CallerAnswer& answer)
    {
        runUntil([&] {
            state.dispatchWaiting(bootNow());
            return answer.hasEnded();
        });
    }

    int runsOf(const std::string& id) const
    {
        int out = 0;
        for (const auto& it : endpoints) {
            const auto found = it->runs.find("X-Request-Id: " + id + "\r\n");
            out += found == it->runs.end() ? 0 : found->second;
        }
        return out;
    }

    size_t connections() const
    {
        size_t out = 0;
        for (const auto& it : endpoints)
            out += it->server.connections();
        return out;
    }

    std::vector<std::unique_ptr<RejectingEndpoint>> endpoints;
};

TEST_F(RejectingEndpointsTest, SecondCopyOfARejectionWasTakenForTheAnswerToTheNextSend)
{
    // Guards against requests that ran twice, or were refused though they ran (review/6).
    for (const int status : { 503, 429, 400 }) {
        listRejecting(true, status);
        for (const std::string id : { "7", "8", "9" }) {
            EXPECT_EQ(callAs(id).body, "served X-Request-Id: " + id + "\r\n") << status;
            EXPECT_EQ(runsOf(id), 1) << status;
        }
    }
}

TEST_F(RejectingEndpointsTest, SecondCopyOfARejectionWasTakenForTheAnswerToTheSameRequestOfAnotherPeer)
{
    // Guards against the same failure where each send is a request of its own to this daemon.
    acceptsForwarded = true;
    listRejecting(true);
    state.endpointRegistry.unlist(EndpointId(endpoints.back()->id()));
    const auto fields = [](const std::string& daemon) {
        return "Lentilbay-Forwarded-By: " + daemon + "\r\nLentilbay-Service: s\r\nAuthorization: Token k\r\n";
    };
    EXPECT_EQ(callAs("7", fields("d2")).status, 503);
    relist(endpoints.front()->id(), endpoints.front()->server);
    EXPECT_EQ(callAs("7", fields("d3")).status, 200);
    EXPECT_EQ(runsOf("7"), 1);
}

TEST_F(RejectingEndpointsTest, OtherRequestsUseTheConnectionOfARejection)
{
    for (const bool repeatAnswers : { false, true }) {
        listRejecting(repeatAnswers);
        auto& endpoint = *endpoints.front();
        state.endpointRegistry.unlist(EndpointId(endpoints.back()->id()));
        EXPECT_EQ(callAs("7").status, 503);
        endpoint.isServing = true;
        // The last one may be sent on the connection once more, because the copy has been read.
        for (const std::string id : { "8", "9", "7" }) {
            relist(endpoint.id(), endpoint.server);
            EXPECT_EQ(callAs(id).body, "served X-Request-Id: " + id + "\r\n");
            EXPECT_EQ(runsOf(id), 1);
        }
        EXPECT_EQ(endpoint.server.connections(), 1U);
    }
}

TEST_F(EdgeRequestTest, SecondCopyStatedThatTheEndpointLeaves)
{
    // What the endpoint stated before is no statement of the time at which the copy is read.
    const auto rejection = httpResponse(503, "", "X-Not-Executed: 1\r\nX-Request-Id: {id}\r\n");
    first.script({ .bytes = rejection,
        .beforeNextResponse = httpResponse(503, "",
            "X-Not-Executed: 1\r\nX-Request-Id: {id}\r\nServer-Leaving: 1\r\nServer-Limit: 0.1\r\n"
            "Server-Brittle: 1\r\nRetry-After: 30\r\n") });
    for (int i = 0; i < 3; ++i)
        first.script({ .bytes = httpResponse(200, "served", signatureFields) });
    EXPECT_EQ(call("/once/x").status, 503);
    relist("e1", first);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(call("/once/x").body, "served");
    EXPECT_FALSE(state.endpointRegistry.isBrittle(ServiceId("s")));
    EXPECT_EQ(first.connections(), 1U);
}

TEST_F(RejectingEndpointsTest, RepeatedSendsDoNotOpenAConnectionEach)
{
    listRejecting(false);
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) {
        const auto id = std::to_string(100 + i);
        EXPECT_EQ(callAs(id).status, 200);
        EXPECT_EQ(runsOf(id), 1);
    }
    EXPECT_LE(connections(), 4U);
}

TEST_F(RejectingEndpointsTest, SpareConnectionIsKeptBetweenRepeatedSends)
{
    listRejecting(false);
    auto& endpoint = *endpoints.front();
    state.endpointRegistry.unlist(EndpointId(endpoints.back()->id()));
    for (int round = 0; round < 4; ++round) {
        const auto id = fmt::format("rejected-{}", round);
        endpoint.isServing = false;
        EXPECT_EQ(callAs(id).status, 503);
        endpoint.isServing = true;
        relist(endpoint.id(), endpoint.server);
        EXPECT_EQ(callAs(id).status, 200);
        // Longer than a connection may be idle before an at-most-once request is sent on it.
        const auto end = bootNow() + 800ms;
        for (int i = 0; bootNow() < end; ++i)
            EXPECT_EQ(callAs(fmt::format("{}-{}", round, i)).status, 200);
    }
    EXPECT_EQ(endpoint.server.connections(), 2U);
}

TEST_F(RejectingEndpointsTest, RequestWasRefusedBecauseAnEndpointAcceptedNoFurtherConnection)
{
    // The idle connections of both endpoints are withheld from the request, and neither accepts another one.
    listRejecting(false);
    CallerAnswer answer;
    requestId = "7";
    const auto connection = send("/once/x", answer, smallRequestFields);
    runUntil([&] {
        return std::ranges::all_of(
            endpoints, [](const auto& it) { return it->server.requests().size() == 1; });
    });
    for (auto& it : endpoints)
        it->server.stopListening();
    const auto end = bootNow() + 400ms;
    runUntil([&] {
        state.dispatchWaiting(bootNow());
        return bootNow() >= end;
    });
    EXPECT_FALSE(answer.hasEnded());
    EXPECT_EQ(runsOf("7"), 0);
    connection->close();
    runUntil([&] { return state.requests.empty(); });
}

TEST_F(EdgeRequestTest, AnswerWithTheRequestIdKeepsTheConnection)
{
    first.script({ .bytes = httpResponse(503, "", "X-Not-Executed: 1\r\nX-Request-Id: {id}\r\n") });
    first.script({ .bytes = httpResponse(200, "served", signatureFields) });
    EXPECT_EQ(call("/once/x").status, 503);
    relist("e1", first);
    EXPECT_EQ(call("/once/x").status, 200);
    EXPECT_EQ(first.connections(), 1U);
}

TEST_F(EdgeRequestTest, EndOfAResumedStreamWasTakenForABrokenAnswer)
{
    // Guards against a failure of the endpoint, and a 502, where the caller had got all events before its
    // daemon was killed (review/4).
    list("e2", second);
    const std::string resumes = "Authorization: Token k\r\nLast-Event-Id: 4\r\n";
    const auto head = "HTTP/1.1 200 OK\r\n" + signatureFields;
    for (const auto& end :
        { streamAnswer({}), head + "Content-Length: 0\r\n\r\n", streamAnswer({ ": done\n\n" }) }) {
        const auto before = receivedRequests();
        for (auto* it : { &first, &second })
            it->setResponder([&](const std::string&) { return ScriptedResponse { .bytes = end }; });
        const auto answer = call("/stream/x", resumes);
        EXPECT_EQ(answer.status, 200) << end;
        EXPECT_TRUE(answer.isWhole) << end;
        EXPECT_EQ(answer.body, end.find(": done") == std::string::npos ? "" : ": done\n\n") << end;
        EXPECT_TRUE(answer.headers.contains("X-Served-By-Sig")) << end;
        EXPECT_EQ(receivedRequests(), before + 1) << end;
    }
    // Without the end of the framing, the answer was broken off.
    for (auto* server : { &first, &second })
        server->setResponder([&](const std::string&) {
            return ScriptedResponse { .bytes = streamAnswer({}, false),
                .then = ScriptedResponse::Then::Close };
        });
    EXPECT_EQ(call("/stream/x", resumes).status, 502);
}

TEST_F(EdgeRequestTest, WholeStreamWithoutEventsWasTakenForABrokenAnswer)
{
    // Guards against 502 for an answer that the endpoint has signed and ended, and against the suspension of
    // all endpoints by one client's requests: another endpoint is asked, and says the same.
    list("e2", second);
    const auto head = "HTTP/1.1 200 OK\r\n" + signatureFields;
    const std::string small = "Authorization: Token k\r\nX-Token-Usage: 10,10\r\n";
    for (const auto& empty : { streamAnswer({}), head + "Content-Length: 0\r\n\r\n" }) {
        for (auto* it : { &first, &second })
            it->setResponder([&](const std::string&) { return ScriptedResponse { .bytes = empty }; });
        for (int i = 0; i < 6; ++i) {
            const auto answer = call("/stream/x", small);
            EXPECT_EQ(answer.status, 200) << empty;
            EXPECT_TRUE(answer.isWhole) << empty;
            EXPECT_EQ(answer.body, "") << empty;
            EXPECT_TRUE(answer.headers.contains("X-Served-By-Sig")) << empty;
        }
    }
    for (const auto* id : { "e1", "e2" })
        EXPECT_FALSE(state.endpointRegistry.find(EndpointId(id))->isSuspended(bootNow())) << id;
    for (auto* it : { &first, &second })
        it->setResponder([&](const std::string&) { return ScriptedResponse { .bytes = streamAnswer({}) }; });
    const auto before = receivedRequests();
    EXPECT_EQ(call("/streamonce/x", small).status, 200);
    EXPECT_EQ(receivedRequests(), before + 1) << "it may not be sent twice";
}

TEST_F(EdgeRequestTest, EndpointThatAnswersWithoutEventsAloneIsFound)
{
    list("e2", second);
    first.setResponder([&](const std::string&) { return ScriptedResponse { .bytes = streamAnswer({}) }; });
    second.setResponder(
        [&](const std::string&) { return ScriptedResponse { .bytes = streamAnswer({ eventOf(1) }) }; });
    for (int i = 0; i < 12; ++i) {
        const auto answer = call("/stream/x", "Authorization: Token k\r\nX-Token-Usage: 10,10\r\n");
        EXPECT_EQ(answer.body, eventOf(1));
        EXPECT_TRUE(answer.isWhole);
    }
    EXPECT_LE(first.requests().size(), 3U);
}

TEST_F(EdgeRequestTest, RequestsThatFailAtAnyEndpointTookAllEndpointsFromOthers)
{
    // Guards against suspended endpoints, blocked parts and refused requests because some requests always
    // fail in the same way.
    list("e2", second);
    const auto head = "HTTP/1.1 200 OK\r\n" + signatureFields;
    using enum ScriptedResponse::Then;
    const ScriptedResponse failures[] = { { .bytes = "", .then = Close }, { .bytes = "", .then = Reset },
        { .bytes = streamAnswer({}, false), .then = Close }, { .bytes = "HTTP/1.1", .then = Close },
        { .bytes = "no answer\r\n\r\n" }, { .bytes = httpResponse(500, "e", signatureFields) },
        { .bytes = httpResponse(200, "x", "X-Request-Id: {id}\r\n") } };
    const std::string sound = "Authorization: Token other-key\r\nX-Prefix-Hash: a:10,b:1\r\n";
    for (const auto& failure : failures) {
        relist("e1", first);
        relist("e2", second);
        for (auto* it : { &first, &second })
            it->setResponder([&](const std::string& request) {
                const bool isStream = request.starts_with("POST /stream/");
                if (request.find("X-Odd") != std::string::npos)
                    return failure;
                return ScriptedResponse { .bytes
                    = isStream ? streamAnswer({ eventOf(1) }) : httpResponse(200, "a", signatureFields) };
            });
        for (int i = 0; i < 8; ++i) {
            for (const auto* path : { "/stream/x", "/safe/x", "/once/x" }) {
                EXPECT_GE(call(path, sound + "X-Odd: 1\r\n").status, 500) << path << i << failure.bytes;
                EXPECT_EQ(call(path, sound).status, 200) << path << i << failure.bytes;
            }
        }
        context.run_for(200ms);
        context.restart();
        EXPECT_TRUE(state.crashes.update(bootNow()).empty()) << failure.bytes;
    }
    EXPECT_EQ(state.crashes.blockedTriggers(), 0U);
}

TEST_F(EdgeRequestTest, LostEndpointsWereTakenForFailuresOfRequests)
{
    // Guards against requests to processes that are gone behind a proxy, which accepts connections and closes
    // them: several of them fail a request alike.
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([it](const std::string&) {
            it->stopListening();
            return ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Close };
        });
    EXPECT_EQ(call("/safe/x").status, 502);
    const auto isUnusable
        = [&](const char* id) { return state.endpointRegistry.find(EndpointId(id))->isUnusable(bootNow()); };
    runUntil([&] { return isUnusable("e1") && isUnusable("e2"); });
    // One that lives is not suspended for a single break.
    RawServer third(context);
    list("e3", third);
    third.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Close };
    });
    EXPECT_EQ(call("/once/x").status, 502);
    context.run_for(100ms);
    context.restart();
    EXPECT_FALSE(state.endpointRegistry.find(EndpointId("e3"))->isSuspended(bootNow()));
}

TEST_F(EdgeRequestTest, CrashWasForgottenWhenAProxyAcceptedAnotherConnection)
{
    // Guards against requests that crash endpoints behind a proxy, which accepts connections for those that
    // are gone and closes them: the next request to the same endpoint cleared the one that had crashed it.
    asio::ip::tcp::acceptor proxy(context, { asio::ip::make_address("127.0.0.1"), 0 });
    std::function<void()> accept = [&] {
        proxy.async_accept([&](std::error_code ec, asio::ip::tcp::socket socket) {
            if (ec)
                return;
            // The first one reaches the endpoint, which crashes as it reads the request.
            auto shared = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            auto timer = std::make_shared<asio::steady_timer>(context, 10ms);
            timer->async_wait([shared, timer](std::error_code) { shared->close(); });
            accept();
        });
    };
    accept();
    const RoutedEndpoint entry { .id = EndpointId("e1"),
        .service = ServiceId("s"),
        .host = "127.0.0.1",
        .port = proxy.local_endpoint().port(),
        .dataCentre = DataCentreId("a"),
        .slots = 4 };
    state.endpointRegistry.unlist(entry.id);
    state.endpointRegistry.list(entry);
    EXPECT_EQ(call("/once/x").status, 502);
    // Another request.
    state.pools.probe(entry);
    context.run_for(150ms);
    context.restart();
    state.crashes.update(bootNow());
    EXPECT_EQ(state.crashes.suspiciousCrashes(), 1U);
}

TEST_F(EdgeRequestTest, ServerErrorsMadeAnEndpointLookSlow)
{
    // The prompt of a request that has ended is not processed any more.
    for (const int status : { 500, 404 }) {
        first.setResponder([&](const std::string&) {
            return ScriptedResponse { .bytes = httpResponse(status, "", signatureFields) };
        });
        EXPECT_EQ(call("/stream/x", "Authorization: Token k\r\nX-Token-Usage: 100,10\r\n").status, status);
        EXPECT_EQ(state.endpointRegistry.find(EndpointId("e1"))->pendingPromptTokens(), 0) << status;
    }
}

TEST_F(EdgeRequestTest, ResumedStreamWithoutABodyWasTakenForABrokenAnswer)
{
    // Guards against a 502 and suspended endpoints where the endpoint has nothing left and says so by 204.
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([&](const std::string&) {
            return ScriptedResponse { .bytes = "HTTP/1.1 204 No Content\r\n" + signatureFields + "\r\n" };
        });
    const auto answer = call("/stream/x", resumedFields);
    EXPECT_EQ(answer.status, 204);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_FALSE(answer.headers.contains("Transfer-Encoding"));
    EXPECT_TRUE(answer.headers.contains("X-Served-By-Sig"));
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(EdgeRequestTest, EndOfAResumedStreamWithoutFramingWasTakenForABrokenAnswer)
{
    // Guards against 502 for a stream of which only the end was missing, and against the suspension of sound
    // endpoints for it: nothing is left, and each endpoint says so by closing the connection.
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([&](const std::string&) { return unframedEnd(); });
    for (int i = 0; i < 4; ++i) {
        const auto before = receivedRequests();
        const auto answer = call("/stream/x", resumedFields);
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.isWhole);
        EXPECT_EQ(answer.body, "");
        EXPECT_TRUE(answer.headers.contains("X-Served-By-Sig"));
        EXPECT_EQ(receivedRequests(), before + 2) << "another endpoint has to confirm it";
    }
    for (const auto* id : { "e1", "e2" })
        EXPECT_FALSE(state.endpointRegistry.find(EndpointId(id))->isOnProbation()) << id;
    // The parts of these requests are not blamed for crashes.
    context.run_for(1s);
    context.restart();
    EXPECT_TRUE(state.crashes.update(bootNow()).empty());
    EXPECT_EQ(state.crashes.suspiciousCrashes(), 0U);
}

TEST_F(EdgeRequestTest, TruncatedResumedStreamWithoutFramingAppearedWhole)
{
    // The first endpoint closes the connection although events are left.
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([&](const std::string&) {
            return receivedRequests() == 1 ? unframedEnd()
                                           : ScriptedResponse { .bytes = unframedHead + eventOf(5),
                                                 .then = ScriptedResponse::Then::Close };
        });
    const auto answer = call("/stream/x", resumedFields);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, eventOf(5));
    EXPECT_EQ(receivedRequests(), 2U);
}

TEST_F(EdgeRequestTest, RequestThatCrashesEndpointsAppearedAsAWholeResumedStream)
{
    // Each endpoint ends while it begins the answer, as its process does, and accepts no connection any more.
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([it](const std::string&) {
            it->stopListening();
            return unframedEnd();
        });
    const auto answer = call("/stream/x", resumedFields);
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(receivedRequests(), 2U);
    runUntil([&] {
        state.crashes.update(bootNow());
        return state.crashes.suspiciousCrashes() == 2;
    });
}

TEST_F(EdgeRequestTest, ResumedStreamThatNobodyConfirmsAppearedWhole)
{
    first.setResponder([&](const std::string&) { return unframedEnd(); });
    EXPECT_EQ(call("/stream/x", resumedFields).status, 502) << "there is no other endpoint";
    // Nothing came before.
    list("e2", second);
    relist("e1", first);
    second.setResponder([&](const std::string&) { return unframedEnd(); });
    EXPECT_EQ(call("/stream/x").status, 502);
    // A comment is no event.
    for (auto* it : { &first, &second })
        it->setResponder([&](const std::string&) {
            return ScriptedResponse { .bytes = unframedHead + ": ping\n\n",
                .then = ScriptedResponse::Then::Close };
        });
    relist("e1", first);
    relist("e2", second);
    EXPECT_TRUE(call("/stream/x").isBroken);
}

TEST_F(EdgeRequestTest, EventsThatTheCallerHadWereRelayedAgain)
{
    first.script({ .bytes = streamAnswer({ eventOf(3), eventOf(4), eventOf(5) }) });
    const auto resumed = call("/stream/x", resumedFields);
    EXPECT_EQ(resumed.body, eventOf(5));
    EXPECT_TRUE(resumed.isWhole);
    // Nothing but the end is left.
    first.script({ .bytes = streamAnswer({ eventOf(4) }) });
    const auto ended = call("/stream/x", resumedFields);
    EXPECT_EQ(ended.status, 200);
    EXPECT_EQ(ended.body, "");
    EXPECT_TRUE(ended.isWhole);
    // Where a stream cannot be resumed, the field means nothing.
    first.script({ .bytes = streamAnswer({ eventOf(1), eventOf(2) }) });
    EXPECT_EQ(call("/streamonce/x", resumedFields).body, eventOf(1) + eventOf(2));
}

TEST_F(EdgeRequestTest, ErrorOfTheNextEndpointAppearedInAResumedStream)
{
    using enum ScriptedResponse::Then;
    const std::string head = "HTTP/1.1 200 OK\r\n" + signatureFields;
    const std::string id = "X-Request-Id: {id}\r\n";
    const ScriptedResponse errors[] = { { .bytes = httpResponse(500, "error\n\n", signatureFields) },
        { .bytes = httpResponse(404, "error\n\n", signatureFields) },
        { .bytes = httpResponse(503, "error\n\n", "X-Not-Executed: 1\r\n") },
        { .bytes = httpResponse(200, "error\n\n", signatureFields) },
        { .bytes = httpResponse(200, "event: error\ndata: error\n\n", signatureFields) },
        { .bytes = streamAnswer({ "event: error\ndata: error\n\n" }) },
        { .bytes = head + "\r\nerror\n\n", .then = Close },
        { .bytes = head + "\r\ndata: error\n\n", .then = Close },
        { .bytes = "HTTP/1.1 500 Error\r\n" + id + "\r\nerror\n\n", .then = Close } };
    for (const auto& error : errors) {
        state.endpointRegistry.unlist(EndpointId("e1"));
        state.endpointRegistry.unlist(EndpointId("e2"));
        list("e1", first);
        list("e2", second);
        const auto before = receivedRequests();
        for (auto* it : { &first, &second })
            it->setResponder([&](const std::string&) {
                return receivedRequests() == before + 1
                    ? ScriptedResponse { .bytes = streamAnswer({ eventOf(1), eventOf(2) }, false),
                          .then = Close }
                    : error;
            });
        const auto answer = call("/stream/x");
        EXPECT_EQ(receivedRequests(), before + 2);
        EXPECT_EQ(answer.body, eventOf(1) + eventOf(2)) << error.bytes;
        EXPECT_TRUE(answer.isBroken) << error.bytes;
        EXPECT_FALSE(answer.isWhole) << error.bytes;
    }
}

TEST_F(EdgeRequestTest, BegunStreamWaitedForAVersionThatHadLeft)
{
    // The caller can resume the stream only once its connection is closed.
    list("e1", first, "v1");
    list("e2", second, "v1");
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e2"), .inFlight = 4 } }, bootNow());
    first.script({ .bytes = streamAnswer({ eventOf(1) }, false), .then = ScriptedResponse::Then::Close });
    CallerAnswer answer;
    const auto begunAt = bootNow();
    const auto connection = send("/stream/x", answer);
    runUntil([&] { return state.queue.size() == 1; });
    list("e2", second, "v2");
    state.dispatchWaiting(bootNow());
    runUntil([&] { return answer.hasEnded(); });
    EXPECT_LT(bootNow() - begunAt, 1s);
    EXPECT_TRUE(answer.isBroken);
    EXPECT_FALSE(answer.isFollowedByOtherBytes);
    EXPECT_EQ(answer.body, eventOf(1));
    connection->close();
}

TEST_F(EdgeRequestTest, StreamOfAnEndpointThatStatedItDidNotRunWasRefusedAfterItsBegin)
{
    auto contradiction = streamAnswer({ eventOf(1), eventOf(2) });
    contradiction.insert(contradiction.find("Content-Type"), "X-Not-Executed: 1\r\n");
    first.script({ .bytes = contradiction });
    const auto answer = call("/stream/x");
    EXPECT_FALSE(answer.isFollowedByOtherBytes);
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.isWhole);
}

TEST_F(EdgeRequestTest, RequestThatMayHaveRunWasRefusedAsNotRun)
{
    // The endpoint breaks off, and nothing else is left when the request is about to be sent again.
    list("e2", second);
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e2"), .inFlight = 4 } }, bootNow());
    first.script({ .bytes = "", .then = ScriptedResponse::Then::Close });
    CallerAnswer answer;
    const auto connection = send("/safe/x", answer);
    runUntil([&] { return state.queue.size() == 1; });
    state.endpointRegistry.unlist(EndpointId("e1"));
    state.endpointRegistry.unlist(EndpointId("e2"));
    state.dispatchWaiting(bootNow());
    runUntil([&] { return answer.hasEnded(); });
    EXPECT_EQ(answer.status, 502);
    connection->close();
}

TEST_F(EdgeRequestTest, Status503WithoutTheHeaderMayHaveBeenExecuted)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = httpResponse(503, "no", signatureFields) };
        });
    const auto answer = call("/once/x");
    EXPECT_EQ(receivedRequests(), 1U);
    EXPECT_NE(answer.status, 429);
}

TEST_F(EdgeRequestTest, ForeignAnswerIsNotForwarded)
{
    first.script({ .bytes = httpResponse(200, "foreign", "X-Request-Id: 6\r\nX-Served-By-Sig: s\r\n")
            + httpResponse(200, "own", signatureFields) });
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.body, "own");
}

TEST_F(EdgeRequestTest, UnsignedSuccessIsNotForwarded)
{
    first.script({ .bytes = httpResponse(200, "forged", "X-Request-Id: {id}\r\n") });
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(answer.body.find("forged"), std::string::npos);
}

TEST_F(EdgeRequestTest, TruncatedAnswerIsAFailure)
{
    first.script({ .bytes = "HTTP/1.1 200 OK\r\n" + signatureFields + "Content-Length: 9\r\n\r\nhel",
        .then = ScriptedResponse::Then::Close });
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.status, 502);
}

TEST_F(EdgeRequestTest, HeadThatBreaksOffWasForwardedAsAWholeAnswer)
{
    const std::string withoutQuota = "Authorization: Token other-key\r\n";
    const auto begun = streamAnswer({ eventOf(1) }, false);
    for (const auto& head : { "HTTP/1.1 200 OK\r\n" + signatureFields + "Content-Length: 12\r\n\r\n",
             "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + signatureFields + "\r\n",
             streamAnswer({}, false) }) {
        // Where a line ends, within a line, and before the last character.
        for (const auto n :
            { head.find("\r\n") + 2, head.find("X-Served"), head.size() - 5, head.size() - 1 }) {
            for (const auto end : { ScriptedResponse::Then::Close, ScriptedResponse::Then::Reset }) {
                const ScriptedResponse broken { .bytes = head.substr(0, n), .then = end };
                int sends = 0;
                const auto respond = [&](const std::string& request) {
                    const bool begins = request.find("/stream/") != std::string::npos && sends == 0;
                    ++sends;
                    return begins ? ScriptedResponse { .bytes = begun, .then = end } : broken;
                };
                first.setResponder(respond);
                second.setResponder(respond);
                list("e2", second);
                EXPECT_EQ(call("/once/x", withoutQuota).status, 502) << broken.bytes;
                EXPECT_EQ(call("/streamonce/x", withoutQuota).status, 502) << broken.bytes;
                relist("e1", first);
                relist("e2", second);
                // The stream is resumed at the other endpoint.
                sends = 0;
                const auto resumed = call("/stream/x", withoutQuota);
                EXPECT_EQ(sends, 2);
                EXPECT_TRUE(resumed.isBroken) << broken.bytes;
                EXPECT_EQ(resumed.body, eventOf(1)) << broken.bytes;
                relist("e1", first);
                relist("e2", second);
            }
        }
    }
}

TEST_F(EdgeRequestTest, GaugesThatDifferInLabelsShareOneTypeLine)
{
    const auto text
        = state.metrics.text({ { "x", 1 }, { "y{service=\"a\"}", 2 }, { "y{service=\"b\"}", 3 } });
    EXPECT_NE(text.find("# TYPE lentilbay_x gauge\nlentilbay_x 1\n# TYPE lentilbay_y gauge\n"
                        "lentilbay_y{service=\"a\"} 2\nlentilbay_y{service=\"b\"} 3\n"),
        std::string::npos);
}

TEST_F(EdgeRequestTest, RestartedDaemonAdmitsNoQuotaBeforeItKnowsTheOthers)
{
    state.knowsDaemons = false;
    EXPECT_EQ(call("/safe/x").status, 503);
    EXPECT_EQ(first.requests().size(), 0U);
}

TEST_F(EdgeRequestTest, UnreadableHeaderIsIgnoredAndCounted)
{
    first.script({ .bytes = httpResponse(200, "mine", signatureFields) });
    const auto answer
        = call("/safe/x", "Authorization: Token k\r\nX-Deadline-Ms: soon\r\nX-Token-Usage: 5\r\n");
    EXPECT_EQ(answer.status, 200);
    EXPECT_NE(state.metrics.text({}).find("lentilbay_headers_unreadable 2\n"), std::string::npos);
}

TEST_F(EdgeRequestTest, ForwardsAnErrorResponseOfTheEndpoint)
{
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(500, "mine", signatureFields) };
    });
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 500);
    EXPECT_EQ(answer.body, "mine");
}

TEST_F(EdgeRequestTest, ForwardsAnErrorResponseIfNoOtherEndpointHasRoom)
{
    list("e2", second);
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e2"), .inFlight = 4 } }, bootNow());
    first.script({ .bytes = httpResponse(500, "mine", signatureFields) });
    const auto answer = call("/safe/x", "Authorization: Token k\r\nX-Deadline-Ms: 200\r\n");
    EXPECT_EQ(answer.status, 500);
    EXPECT_EQ(answer.body, "mine");
    EXPECT_EQ(second.requests().size(), 0U);
}

TEST_F(EdgeRequestTest, RelaysACompleteStream)
{
    first.script({ .bytes = streamAnswer({ eventOf(1), eventOf(2), eventOf(3) }) });
    const auto answer = call("/stream/x");
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, eventOf(1) + eventOf(2) + eventOf(3));
    EXPECT_NE(state.metrics.text({}).find("lentilbay_longest_pause_seconds_count{rank=\"0\"} 1\n"),
        std::string::npos);
}

TEST_F(EdgeRequestTest, BrokenStreamIsResumedOnAnotherEndpointAfterTheLastCompleteEvent)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([this](const std::string&) {
            return receivedRequests() == 1
                ? ScriptedResponse { .bytes = streamAnswer({ eventOf(1), eventOf(2), "id: 3\nda" }, false),
                      .then = ScriptedResponse::Then::Close }
                : ScriptedResponse { .bytes = streamAnswer({ eventOf(3), eventOf(4) }) };
        });
    const auto answer = call("/stream/x");
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, eventOf(1) + eventOf(2) + eventOf(3) + eventOf(4));
    const auto& resumed = first.requests().empty() || second.requests().empty()
        ? std::string()
        : (first.requests()[0].find("Last-Event-Id") != std::string::npos ? first.requests()[0]
                                                                          : second.requests()[0]);
    EXPECT_NE(resumed.find("Last-Event-Id: 2\r\n"), std::string::npos);
}

TEST_F(EdgeRequestTest, BrokenStreamThatMayNotBeResumedDoesNotLookComplete)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = streamAnswer({ eventOf(1), eventOf(2) }, false),
                .then = ScriptedResponse::Then::Close };
        });
    const auto answer = call("/streamonce/x");
    EXPECT_TRUE(answer.isBroken);
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(EdgeRequestTest, ConnectionFailureMeansNotExecuted)
{
    first.stopListening();
    const auto begin = bootNow();
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.status, 503);
    EXPECT_LT(bootNow() - begin, Duration(3s))
        << "with no endpoint left to try, the request does not wait for its timeout";
    EXPECT_TRUE(answer.headers.contains("Retry-After"));
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(EdgeRequestTest, TimeoutAnswersTheCallerAndStopsTheEndpoint)
{
    // A server without a script does not answer.
    const auto answer = call("/once/x", "Authorization: Token k\r\nX-Deadline-Ms: 150\r\n");
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(receivedRequests(), 1U);
    EXPECT_EQ(state.endpointRegistry.find(EndpointId("e1"))->ownInFlight(), 0U);
}

TEST_F(EdgeRequestTest, RequestThatExpiresWhileWaitingIsRefusedAsNotExecuted)
{
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e1"), .inFlight = 4 } }, bootNow());
    const auto answer = call("/once/x", "Authorization: Token k\r\nX-Deadline-Ms: 200\r\n");
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(EdgeRequestTest, CallerDisconnectStopsTheEndpoint)
{
    CallerAnswer answer;
    const auto connection = send("/safe/x", answer);
    runUntil([&] { return first.requests().size() == 1; });
    EXPECT_EQ(state.endpointRegistry.find(EndpointId("e1"))->ownInFlight(), 1U);
    connection->close();
    runUntil([&] { return state.requests.empty(); });
    EXPECT_EQ(state.endpointRegistry.find(EndpointId("e1"))->ownInFlight(), 0U);
    EXPECT_EQ(state.pools.idleConnections(), 0U) << "the connection must be closed, which stops the work";
}

TEST_F(EdgeRequestTest, StalledStreamIsKeptIfNoOtherEndpointHasRoom)
{
    // An engine pauses while all others are at capacity (djspu-edit-grown scale-1).
    list("e2", second);
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e2"), .inFlight = 4 } }, bootNow());
    first.script({ .bytes = streamAnswer({ eventOf(1) }, false) });
    CallerAnswer answer;
    auto connection = send("/stream/x", answer);
    runUntil([&] { return answer.body == eventOf(1); });
    const auto stalledSince = bootNow();
    runUntil([&] {
        for (const auto& [number, request] : std::unordered_map(state.requests))
            request->checkProgress(bootNow());
        return bootNow() - stalledSince > 1500ms;
    });
    EXPECT_FALSE(answer.hasEnded());
    EXPECT_EQ(second.requests().size(), 0U);
    // Once another endpoint has room, the stream is resumed there.
    second.script({ .bytes = streamAnswer({ eventOf(2) }) });
    state.endpointRegistry.updatePeerLoads("peer", {}, bootNow());
    runUntil([&] {
        for (const auto& [number, request] : std::unordered_map(state.requests))
            request->checkProgress(bootNow());
        return answer.hasEnded();
    });
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, eventOf(1) + eventOf(2));
}

TEST_F(EdgeRequestTest, RequestIsMovedAwayFromAStalledEndpoint)
{
    first.setResponder([](const std::string&) { return ScriptedResponse { .bytes = "", .delay = 10s }; });
    CallerAnswer answer;
    const auto connection = send("/safe/x", answer);
    runUntil([&] { return first.requests().size() == 1; });
    list("e2", second);
    second.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "second", signatureFields) };
    });
    runUntil([&] {
        for (const auto& requests = state.requests; const auto& [number, it] : std::unordered_map(requests))
            it->checkProgress(bootNow());
        return answer.hasEnded();
    });
    EXPECT_EQ(answer.body, "second");
    connection->close();
}

TEST_F(EdgeRequestTest, EndpointThatSendsBytesButNoCompleteEventIsStalled)
{
    // Bytes of an event arrive all the time, but the event never ends.
    const auto bytes = streamAnswer({ eventOf(1), "id: 2\ndata: " + std::string(10'000, 'x') });
    const auto begin = streamAnswer({ eventOf(1) }, false).size();
    first.setResponder([&](const std::string&) {
        return ScriptedResponse { .bytes = bytes, .pieceBytes = begin, .pieceDelay = 100ms };
    });
    CallerAnswer answer;
    const auto connection = send("/stream/x", answer);
    runUntil([&] { return answer.body == eventOf(1); });
    list("e2", second);
    second.script({ .bytes = streamAnswer({ eventOf(2) }) });
    runUntil([&] {
        for (const auto& [number, request] : std::unordered_map(state.requests))
            request->checkProgress(bootNow());
        return answer.hasEnded();
    });
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, eventOf(1) + eventOf(2));
    connection->close();
}

TEST_F(EdgeRequestTest, SlowStreamIsNotCut)
{
    list("e2", second);
    const auto bytes = streamAnswer({ eventOf(1), eventOf(2), eventOf(3), eventOf(4) });
    const auto event = bytes.size() - streamAnswer({ eventOf(1), eventOf(2), eventOf(3) }).size();
    first.setResponder([&](const std::string&) {
        return ScriptedResponse {
            .bytes = bytes, .pieceBytes = bytes.size() - 3 * event, .pieceDelay = 600ms
        };
    });
    second.setResponder([](const std::string&) { return ScriptedResponse { .bytes = "", .delay = 10s }; });
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e2"), .inFlight = 4 } }, bootNow());
    CallerAnswer answer;
    const auto connection = send("/stream/x", answer);
    runUntil([&] { return answer.body == eventOf(1); });
    state.endpointRegistry.updatePeerLoads("peer", {}, bootNow());
    runUntil([&] {
        for (const auto& [number, request] : std::unordered_map(state.requests))
            request->checkProgress(bootNow());
        return answer.hasEnded();
    });
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, eventOf(1) + eventOf(2) + eventOf(3) + eventOf(4));
    EXPECT_EQ(second.requests().size(), 0U);
    connection->close();
}

TEST_F(EdgeRequestTest, StreamWasCutBeforeItsDeadlineAsItsArrivalWasKnownInBoundsOnly)
{
    const auto bytes = streamAnswer({ eventOf(1), eventOf(2) });
    first.setResponder([&](const std::string&) {
        return ScriptedResponse {
            .bytes = bytes, .pieceBytes = bytes.size() - eventOf(2).size(), .pieceDelay = 600ms
        };
    });
    const auto callAt = [&](http::ArrivalTime arrival) {
        http::HttpRequest request { .method = "POST", .target = "/stream/x" };
        request.headers.add("Host", "h");
        request.headers.add("X-Request-Id", "7");
        request.headers.add("Authorization", "Token k");
        request.headers.add("X-Deadline-Ms", "800");
        const auto exchange = std::make_shared<http::Exchange>(nullptr, std::move(request), arrival);
        std::make_shared<EdgeRequest>(state, exchange)->admit(bootNow());
        runUntil([&] { return exchange->isDone(); });
        return bootNow();
    };
    const auto served = [&] {
        const auto text = state.metrics.text({});
        return text.find(printed(ResultCode::Ok)) != std::string::npos;
    };
    const auto now = bootNow();
    EXPECT_LT(callAt({ .earliest = now - 350ms, .latest = now - 350ms }), now + 600ms);
    EXPECT_FALSE(served()) << "the deadline has passed";
    const auto later = bootNow();
    callAt({ .earliest = later - 350ms, .latest = later });
    EXPECT_TRUE(served());
    ASSERT_EQ(first.requests().size(), 2U);
    const auto& sent = first.requests()[1];
    const auto at = sent.find("X-Deadline-Ms: ");
    ASSERT_NE(at, std::string::npos) << sent;
    EXPECT_GT(std::stoi(sent.substr(at + std::string("X-Deadline-Ms: ").size())), 700);
}

TEST_F(EdgeRequestTest, BegunStreamWasCutByATimeoutThatEndsNoSoonerThanItsDeadline)
{
    const auto bytes = streamAnswer({ eventOf(1), eventOf(2) });
    first.setResponder([&](const std::string&) {
        return ScriptedResponse {
            .bytes = bytes, .pieceBytes = bytes.size() - eventOf(2).size(), .pieceDelay = 2500ms
        };
    });
    // The timeout of the route is 3 s.
    const auto timeOf = [&](const std::string& deadline) {
        http::HttpRequest request { .method = "POST", .target = "/stream/x" };
        request.headers.add("Host", "h");
        request.headers.add("X-Request-Id", "7");
        request.headers.add("Authorization", "Token k");
        request.headers.add("X-Deadline-Ms", deadline);
        const auto begin = bootNow();
        const auto exchange = std::make_shared<http::Exchange>(
            nullptr, std::move(request), http::ArrivalTime { .earliest = begin - 1200ms, .latest = begin });
        std::make_shared<EdgeRequest>(state, exchange)->admit(bootNow());
        runUntil([&] { return exchange->isDone(); });
        return bootNow() - begin;
    };
    EXPECT_GT(timeOf("3000"), 2450ms);
    EXPECT_NE(state.metrics.text({}).find(printed(ResultCode::Ok)), std::string::npos);
    // The opposite: a caller that would wait for longer than the timeout is not kept.
    EXPECT_LT(timeOf("9000"), 2350ms);
}

TEST_F(EdgeRequestTest, BegunStreamWasCutBeforeItsDeadlineAsItsArrivalWasHardlyKnown)
{
    const auto bytes = streamAnswer({ eventOf(1), eventOf(2) });
    first.setResponder([&](const std::string& request) {
        const bool isSilent = request.find("/stream/silent") != std::string::npos;
        return ScriptedResponse { .bytes = bytes,
            .delay = isSilent ? 1500ms : 0ms,
            .pieceBytes = bytes.size() - eventOf(2).size(),
            .pieceDelay = 1200ms };
    });
    const auto call = [&](const std::string& target) {
        http::HttpRequest request { .method = "POST", .target = target };
        request.headers.add("Host", "h");
        request.headers.add("X-Request-Id", "7");
        request.headers.add("Authorization", "Token k");
        request.headers.add("X-Deadline-Ms", "1700");
        const auto begin = bootNow();
        const auto exchange = std::make_shared<http::Exchange>(
            nullptr, std::move(request), http::ArrivalTime { .earliest = begin - 1200ms, .latest = begin });
        std::make_shared<EdgeRequest>(state, exchange)->admit(bootNow());
        runUntil([&] { return exchange->isDone(); });
        return bootNow() - begin;
    };
    const auto served = [&] {
        const auto text = state.metrics.text({});
        return text.find(printed(ResultCode::Ok)) != std::string::npos;
    };
    call("/stream/x");
    EXPECT_TRUE(served());
    // The opposite: an answer that has not begun ends by the earliest arrival.
    EXPECT_LT(call("/stream/silent"), 1300ms);
    first.setResponder([](const std::string&) { return ScriptedResponse { .bytes = "" }; });
    EXPECT_LT(call("/safe/x"), 1300ms);
    ASSERT_EQ(first.requests().size(), 3U);
    const auto deadlineOf = [&](size_t i) {
        const auto& sent = first.requests()[i];
        const auto at = sent.find("X-Deadline-Ms: ");
        return at == std::string::npos ? -1
                                       : std::stoi(sent.substr(at + std::string("X-Deadline-Ms: ").size()));
    };
    EXPECT_GT(deadlineOf(0), 1300);
    EXPECT_LE(deadlineOf(0), 1700) << "no more than the caller has stated";
    EXPECT_GT(deadlineOf(2), 0);
    EXPECT_LE(deadlineOf(2), 900);
}

TEST_F(EdgeRequestTest, TimeoutOfTheRouteEndsABegunStreamWhoseArrivalIsHardlyKnown)
{
    const auto bytes = streamAnswer({ eventOf(1), eventOf(2) });
    first.setResponder([&](const std::string&) {
        return ScriptedResponse {
            .bytes = bytes, .pieceBytes = bytes.size() - eventOf(2).size(), .pieceDelay = 5s
        };
    });
    http::HttpRequest request { .method = "POST", .target = "/stream/x" };
    request.headers.add("Host", "h");
    request.headers.add("X-Request-Id", "7");
    request.headers.add("Authorization", "Token k");
    const auto begin = bootNow();
    const auto exchange = std::make_shared<http::Exchange>(
        nullptr, std::move(request), http::ArrivalTime { .earliest = begin - 1200ms, .latest = begin });
    std::make_shared<EdgeRequest>(state, exchange)->admit(bootNow());
    runUntil([&] { return exchange->isDone(); });
    EXPECT_LT(bootNow() - begin, 2600ms) << "the timeout is 3 s";
}

TEST_F(EdgeRequestTest, RequestThatMayHaveExpiredIsNotSent)
{
    http::HttpRequest request { .method = "POST", .target = "/safe/x" };
    request.headers.add("Host", "h");
    request.headers.add("X-Request-Id", "7");
    request.headers.add("Authorization", "Token k");
    request.headers.add("X-Deadline-Ms", "300");
    const auto now = bootNow();
    const auto exchange = std::make_shared<http::Exchange>(
        nullptr, std::move(request), http::ArrivalTime { .earliest = now - 350ms, .latest = now });
    std::make_shared<EdgeRequest>(state, exchange)->admit(now);
    EXPECT_TRUE(exchange->isDone());
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(EdgeRequestTest, EndOfAStopWasDatedByTheEventLoop)
{
    // The signal has waited for 2 s.
    state.settings.bounds.stopGrace = 8s;
    state.stopRequestedAt = bootNow();
    state.graceEndsAt = *state.stopRequestedAt + 6s;
    EXPECT_LE(*state.requestsEndAt(), *state.graceEndsAt - 500ms);
    state.graceEndsAt = *state.stopRequestedAt + 8s;
    EXPECT_GT(*state.requestsEndAt(), *state.stopRequestedAt + 7s);
}

TEST_F(EdgeRequestTest, RefusesNewRequestsLateInAShutdown)
{
    state.stopRequestedAt = bootNow() - 3s;
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(EdgeRequestTest, RequestThatOutlivesTheStopWasAccepted)
{
    // Requests may take 3 s on their routes, and 2.3 s are left for them.
    state.settings.bounds.stopGrace = 4s;
    state.stopRequestedAt = bootNow() - 1s;
    for (const auto* path : { "/once/x", "/streamonce/x" }) {
        const auto refused = call(path);
        EXPECT_EQ(refused.status, 503) << path;
        EXPECT_TRUE(refused.headers.contains("Retry-After")) << path;
    }
    EXPECT_EQ(receivedRequests(), 0U);
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields) };
    });
    EXPECT_EQ(call("/once/x", "Authorization: Token k\r\nX-Deadline-Ms: 2000\r\n").status, 200);
    EXPECT_EQ(call("/safe/x").status, 200);
    ASSERT_EQ(receivedRequests(), 2U);
    const auto& sent = first.requests()[1];
    const auto at = sent.find("X-Deadline-Ms: ");
    ASSERT_NE(at, std::string::npos) << sent;
    EXPECT_LE(std::stoi(sent.substr(at + std::string("X-Deadline-Ms: ").size())), 2300);
}

TEST_F(EdgeRequestTest, OpenRequestsWereCutWithoutAnAnswerAtTheEndOfAStop)
{
    first.setResponder([](const std::string& request) {
        return ScriptedResponse { .bytes
            = request.find("/stream/") == std::string::npos ? "" : streamAnswer({ eventOf(1) }, false),
            .then = ScriptedResponse::Then::KeepOpen };
    });
    std::array<CallerAnswer, 3> sent;
    std::vector<std::shared_ptr<http::ClientConnection>> connections { send("/once/x", sent[0]),
        send("/safe/x", sent[1]), send("/stream/x", sent[2]) };
    runUntil([&] { return receivedRequests() == 3 && !sent[2].body.empty(); });
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e1"), .inFlight = 4 } }, bootNow());
    std::array<CallerAnswer, 2> waiting;
    connections.push_back(send("/once/y", waiting[0]));
    connections.push_back(send("/safe/y", waiting[1]));
    runUntil([&] { return state.queue.size() == 2; });
    state.settings.bounds.stopGrace = 3300ms;
    state.stopRequestedAt = bootNow() - 2300ms;
    for (const auto& [number, request] : std::unordered_map(state.requests))
        request->handleStop(bootNow());
    runUntil([&] {
        return std::ranges::all_of(sent, &CallerAnswer::hasEnded)
            && std::ranges::all_of(waiting, &CallerAnswer::hasEnded);
    });
    EXPECT_LT(bootNow(), *state.requestsEndAt() + 300ms);
    EXPECT_TRUE(sent[0].isWhole && sent[1].isWhole);
    EXPECT_EQ(sent[0].status, 504);
    EXPECT_EQ(sent[1].status, 504);
    EXPECT_TRUE(sent[2].isBroken) << "a stream that has begun must not look complete";
    for (const auto& it : waiting) {
        EXPECT_EQ(it.status, 503);
        EXPECT_TRUE(it.headers.contains("Retry-After"));
    }
    EXPECT_EQ(receivedRequests(), 3U);
    for (const auto& it : connections)
        it->close();
}

/// A daemon that has lost its links to the endpoints and knows two peers.
class PartitionedDaemonTest : public EdgeRequestTest {
protected:
    PartitionedDaemonTest()
    {
        const auto now = bootNow();
        // Nobody listens at the endpoints.
        list("e2", second);
        first.stopListening();
        second.stopListening();
        hear("p1", nearPeer, now);
        hear("p2", farPeer, now);
        state.links.setEndpoints({ hashOf("e1"), hashOf("e2") });
        setPeers();
        loseLinks(now);
    }

    void hear(const std::string& daemon, const RawServer& server, TimePoint now)
    {
        PeerHeartbeat heartbeat { .daemon = daemon, .incarnation = 1, .sequence = 1 };
        heartbeat.dataCentre = daemon == "p1" ? "a" : "b";
        heartbeat.periodMilliseconds = 200;
        state.peers.recordHeartbeat(heartbeat, "127.0.0.1", server.port(), now);
    }

    void setPeers()
    {
        state.relays.update(state.peers);
        state.links.setPeers(state.relays.size());
    }

    void loseLinks(TimePoint now)
    {
        for (const auto* it : { "e1", "e2" })
            state.links.recordConnectFailed(hashOf(it), now);
        ASSERT_EQ(state.links.update(now), LinkState::Partitioned);
    }

    RawServer nearPeer { context };
    RawServer farPeer { context };
};

/// A daemon whose event loop comes to a request late.
class LateEventLoopTest : public EdgeRequestTest {
protected:
    LateEventLoopTest()
    {
        caller.connect({ asio::ip::make_address("127.0.0.1"), front->port() });
        for (auto* it : { &first, &second })
            it->setResponder([](const std::string&) {
                return ScriptedResponse { .bytes = httpResponse(200, "served", signatureFields) };
            });
    }

    /// Calls with this deadline; the daemon does nothing for `stall` after the request has arrived.
    std::string callLate(std::chrono::milliseconds deadline, std::chrono::milliseconds stall)
    {
        asio::write(caller,
            asio::buffer(fmt::format("GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\n"
                                     "Authorization: Token k\r\nX-Deadline-Ms: {}\r\n\r\n",
                deadline.count())));
        std::this_thread::sleep_for(stall);
        std::string out;
        caller.non_blocking(true);
        runUntil([&] {
            std::array<char, 4096> buf {};
            std::error_code ec;
            out.append(buf.data(), caller.read_some(asio::buffer(buf), ec));
            return out.find("\r\n\r\n") != std::string::npos;
        });
        return out;
    }

    asio::ip::tcp::socket caller { context };
};

TEST_F(LateEventLoopTest, RequestWasSentAfterItsDeadline)
{
    const auto answer = callLate(300ms, 400ms);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(LateEventLoopTest, EndpointWasGivenMoreTimeThanWasLeft)
{
    const auto answer = callLate(2000ms, 600ms);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << "a request that can be answered in time: " << answer;
    ASSERT_EQ(receivedRequests(), 1U);
    const std::string name = "X-Deadline-Ms: ";
    const auto& seen = first.requests()[0];
    const auto at = seen.find(name);
    ASSERT_NE(at, std::string::npos) << seen;
    EXPECT_LE(std::stoi(seen.substr(at + name.size())), 1450);
}

TEST_F(LateEventLoopTest, RequestWasSentByAListThatWasToBeReadAgain)
{
    // The departure is in the store, which answers; the daemon has not come to read it.
    list("e2", second);
    int reads = 0;
    state.setEndpointReader([&](TimePoint) {
        ++reads;
        asio::post(context, [&] {
            list("e1", first, "", true);
            state.confirmEndpoints(bootNow(), bootNow());
        });
    });
    state.endpointsConfirmedAt = bootNow() - state.settings.bounds.endpointDrain;
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(call("/once/x").body, "served");
    EXPECT_EQ(first.requests().size(), 0U);
    EXPECT_EQ(second.requests().size(), 4U);
    EXPECT_EQ(reads, 1);
}

TEST_F(LateEventLoopTest, ServesByAnOutdatedListOnceTheStoreIsFoundUnreachable)
{
    state.endpointsConfirmedAt = bootNow() - state.settings.bounds.endpointDrain;
    bool isUnreachable = false;
    int reads = 0;
    state.setEndpointReader([&](TimePoint) { ++reads; });
    state.setStoreStatus([&] { return isUnreachable; });
    CallerAnswer answer;
    const auto connection = send("/once/x", answer);
    runUntil([&] { return reads > 1; });
    EXPECT_EQ(receivedRequests(), 0U);
    isUnreachable = true;
    runUntil([&] { return answer.hasEnded(); });
    EXPECT_EQ(answer.body, "served");
    connection->close();
    // The next ones do not wait.
    const auto before = reads;
    EXPECT_EQ(call("/once/x").body, "served");
    EXPECT_EQ(reads, before);
}

TEST_F(LateEventLoopTest, RequestThatWaitsForTheListEndsAtItsDeadline)
{
    state.endpointsConfirmedAt = bootNow() - state.settings.bounds.endpointDrain;
    state.setEndpointReader([](TimePoint) {});
    const auto answer = callLate(500ms, 0ms);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_EQ(receivedRequests(), 0U);
    EXPECT_TRUE(state.requests.empty());
}

TEST_F(EdgeRequestTest, DaemonWithAnOutdatedListSentByItAlthoughAPeerHadARecentOne)
{
    RawServer peer(context);
    PeerHeartbeat heartbeat { .daemon = "p", .incarnation = 1, .sequence = 1, .dataCentre = "a" };
    heartbeat.periodMilliseconds = 200;
    const auto hear = [&](bool isOutdated) {
        heartbeat.isOutdated = isOutdated;
        ++heartbeat.sequence;
        state.peers.recordHeartbeat(heartbeat, "127.0.0.1", peer.port(), bootNow());
        state.relays.update(state.peers);
    };
    const auto answer = [&](RawServer& server, const std::string& body) {
        server.setResponder([body](const std::string&) {
            return ScriptedResponse { .bytes = httpResponse(200, body, signatureFields) };
        });
    };
    answer(first, "endpoint");
    answer(peer, "peer");
    hear(false);
    EXPECT_EQ(call("/once/x").body, "endpoint");
    state.endpointsConfirmedAt = bootNow() - state.settings.bounds.endpointDrain - 10ms;
    EXPECT_EQ(call("/once/x").body, "peer");
    // Nobody knows more than this daemon.
    hear(true);
    EXPECT_EQ(call("/once/x").body, "endpoint");
}

TEST_F(PartitionedDaemonTest, SendsThroughAPeer)
{
    nearPeer.script(
        { .bytes = httpResponse(201, "hello", signatureFields + "Lentilbay-Endpoint: e1\r\nX-Own: 1\r\n") });
    const auto answer = call(
        "/safe/x", "Authorization: Token k\r\nX-Deadline-Ms: 2000\r\nLentilbay-Forwarded-By: caller\r\n");
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "hello");
    EXPECT_TRUE(answer.headers.contains("X-Own"));
    EXPECT_TRUE(answer.headers.contains("X-Served-By-Sig"));
    EXPECT_FALSE(answer.headers.contains("Lentilbay-Endpoint"));
    ASSERT_EQ(nearPeer.requests().size(), 1U);
    const auto& seen = nearPeer.requests()[0];
    for (const auto* it : { "Lentilbay-Forwarded-By: d\r\n", "Lentilbay-Service: s\r\n",
             "Authorization: Token k\r\n", "X-Request-Id: 7\r\n", "X-Deadline-Ms: " })
        EXPECT_NE(seen.find(it), std::string::npos) << it;
    EXPECT_EQ(seen.find("Lentilbay-Forwarded-By: caller"), std::string::npos);
    EXPECT_EQ(farPeer.requests().size(), 0U);
}

TEST_F(PartitionedDaemonTest, RelaysAStreamAndResumesItThroughAnotherPeer)
{
    const auto field = fmt::format("Lentilbay-Software-Version: {:x}\r\n", hashOf(""));
    auto begun = streamAnswer({ eventOf(1) }, false);
    begun.insert(begun.find("Content-Type"), field);
    nearPeer.script({ .bytes = begun, .then = ScriptedResponse::Then::Close });
    farPeer.script({ .bytes = streamAnswer({ eventOf(2), eventOf(3) }) });
    const auto answer = call("/stream/x");
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(answer.body, eventOf(1) + eventOf(2) + eventOf(3));
    ASSERT_EQ(farPeer.requests().size(), 1U);
    EXPECT_NE(farPeer.requests()[0].find("Last-Event-Id: 1\r\n"), std::string::npos);
    EXPECT_NE(farPeer.requests()[0].find(field), std::string::npos);
}

TEST_F(PartitionedDaemonTest, ErrorOfTheNextPeerAppearedInAResumedStream)
{
    auto begun = streamAnswer({ eventOf(1) }, false);
    begun.insert(begun.find("Content-Type"), fmt::format("Lentilbay-Software-Version: {:x}\r\n", hashOf("")));
    for (const auto& error : { httpResponse(500, "error\n\n", signatureFields),
             httpResponse(502, "LB-5002\n\n"), streamAnswer({ "event: error\ndata: error\n\n" }) }) {
        nearPeer.script({ .bytes = begun, .then = ScriptedResponse::Then::Close });
        farPeer.script({ .bytes = error });
        const auto answer = call("/stream/x");
        EXPECT_EQ(answer.body, eventOf(1)) << error;
        EXPECT_TRUE(answer.isBroken) << error;
    }
    EXPECT_EQ(farPeer.requests().size(), 3U);
}

TEST_F(PartitionedDaemonTest, SecondAnswerAppearedInABegunStream)
{
    // Guards against a refusal in the middle of an answer: the links were lost while the last endpoint of the
    // stream's software version was leaving (review/1).
    RawServer leaving(context);
    RawServer replacement(context);
    list("e1", leaving, "v1");
    state.links.recordConnected(hashOf("e1"), bootNow());
    ASSERT_EQ(state.links.update(bootNow()), LinkState::Up);
    leaving.script({ .bytes = streamAnswer({ eventOf(1) }, false) });
    CallerAnswer answer;
    const auto connection = send("/stream/x", answer);
    runUntil([&] { return answer.body == eventOf(1); });
    list("e2", replacement, "v2");
    list("e1", leaving, "v1", true);
    std::this_thread::sleep_for(310ms);
    loseLinks(bootNow());
    for (const auto requests = state.requests; const auto& [number, request] : requests)
        request->checkProgress(bootNow());
    EXPECT_TRUE(state.requests.empty()) << "the caller can resume the stream at once";
    runUntil([&] { return answer.hasEnded(); });
    EXPECT_TRUE(answer.isBroken);
    EXPECT_FALSE(answer.isFollowedByOtherBytes);
    EXPECT_EQ(answer.body, eventOf(1));
    connection->close();
}

TEST_F(PartitionedDaemonTest, InvalidStatusOfAPeerWasReadUntilTheTimeout)
{
    for (const auto& status : invalidStatuses) {
        for (const auto* path : { "/once/x", "/streamonce/x" }) {
            nearPeer.script({ .bytes = answerWithStatus(status) });
            const auto begunAt = bootNow();
            EXPECT_EQ(call(path, "Authorization: Token other-key\r\n").status, 502) << status << path;
            EXPECT_LT(bootNow() - begunAt, 1s) << status << path;
        }
    }
}

TEST_F(PartitionedDaemonTest, PeerThatDidNotExecuteTheRequestIsFollowedByAnother)
{
    nearPeer.script({ .bytes = httpResponse(503, "", "Lentilbay-Not-Executed: 1\r\nRetry-After: 2\r\n") });
    farPeer.script({ .bytes = httpResponse(200, "far", signatureFields) });
    EXPECT_EQ(call("/once/x").body, "far");
}

TEST_F(PartitionedDaemonTest, RefusalOfAPeerThatSentNothingTookTheRetriesOfOthers)
{
    // Guards against refusing requests while another peer could be used: those that met peers without links
    // had taken all retries (SoakPartitionedDaemons).
    state.settings.bounds.retryRatio = 0;
    state.settings.bounds.retrySlack = 0;
    const std::string refusal = "Lentilbay-Not-Executed: 1\r\n";
    for (int i = 0; i < 3; ++i) {
        nearPeer.script({ .bytes = httpResponse(503, "", refusal + "Lentilbay-Not-Sent: 1\r\n") });
        farPeer.script({ .bytes = httpResponse(200, "far", signatureFields) });
        EXPECT_EQ(call("/once/x").body, "far") << i;
    }
    // An endpoint may have received it, which counts as a retry.
    nearPeer.script({ .bytes = httpResponse(503, "", refusal) });
    EXPECT_EQ(call("/once/x").status, 503);
    EXPECT_EQ(farPeer.requests().size(), 3U);
}

TEST_F(PartitionedDaemonTest, RequestWasRefusedBeforeTheLinksWereKnownToBeLost)
{
    // Guards against refusing a stream because none of the endpoints of its version can be connected to,
    // while an established connection to another one hides that the links are lost (SoakSecondAnswers).
    RawServer heard(context);
    list("e3", heard, "v2");
    const auto now = bootNow();
    state.links.setEndpoints({ hashOf("e1"), hashOf("e2"), hashOf("e3") });
    state.links.recordConnected(hashOf("e1"), now);
    ASSERT_EQ(state.links.update(now), LinkState::Up);
    state.links.recordHeard(hashOf("e3"), now);
    state.streams.record(
        hashOf("6", hashOf("o")), { .service = hashOf("s"), .version = hashOf("") }, false, now);
    const std::string resume = "Authorization: Token k\r\nLast-Event-Id: 1\r\nResumes: 6\r\n";
    nearPeer.script({ .bytes = streamAnswer({ eventOf(2) }) });
    EXPECT_EQ(call("/stream/x", resume).body, eventOf(2));
    EXPECT_EQ(state.links.state(), LinkState::Up);
    // The endpoints may also be gone: then a second peer would do no better.
    for (const auto* it : { "e1", "e2" })
        state.endpointRegistry.find(EndpointId(it))->forgetFailures();
    nearPeer.script(
        { .bytes = httpResponse(503, "", "Lentilbay-Not-Executed: 1\r\nLentilbay-Not-Sent: 1\r\n") });
    EXPECT_EQ(call("/stream/x", resume).status, 503);
    EXPECT_EQ(farPeer.requests().size(), 0U);
}

TEST_F(PartitionedDaemonTest, RequestThatNoPeerExecutedIsRefusedAsNotRun)
{
    for (auto* it : { &nearPeer, &farPeer })
        it->script({ .bytes = httpResponse(401, "", "Lentilbay-Not-Executed: 1\r\n") });
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("Retry-After"));
}

TEST_F(PartitionedDaemonTest, PeerThatIsLostHalfWayMayHaveSentTheRequestOn)
{
    nearPeer.script({ .bytes = "", .then = ScriptedResponse::Then::Close });
    EXPECT_EQ(call("/once/x").status, 502);
    EXPECT_EQ(farPeer.requests().size(), 0U);
}

TEST_F(PartitionedDaemonTest, ErrorOfAPeerIsNotAnEndpointsAnswer)
{
    nearPeer.script({ .bytes = httpResponse(502, "LB-5002") });
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(answer.headers.find("X-Served-By-Sig"), nullptr);
    EXPECT_EQ(farPeer.requests().size(), 0U);
}

TEST_F(PartitionedDaemonTest, CallerThatLeavesEndsTheRequestAtThePeer)
{
    bool isClosed = false;
    http::HttpServer peer(context,
        { .address = { asio::ip::make_address("127.0.0.1"), 0 },
            .handler = [&](const std::shared_ptr<http::Exchange>& exchange) {
                exchange->onClientDisconnect([&] { isClosed = true; });
            } });
    state.peers = PeerTable("d");
    PeerHeartbeat heartbeat { .daemon = "p3", .incarnation = 1, .sequence = 1 };
    heartbeat.dataCentre = "a";
    heartbeat.periodMilliseconds = 200;
    state.peers.recordHeartbeat(heartbeat, "127.0.0.1", peer.port(), bootNow());
    setPeers();
    CallerAnswer answer;
    const auto connection = send("/safe/x", answer);
    runUntil([&] { return peer.connections() == 1; });
    connection->close();
    runUntil([&] { return isClosed; });
    EXPECT_TRUE(state.requests.empty());
}

TEST_F(PartitionedDaemonTest, RefusesAtOnceIfNoPeerReachesEndpoints)
{
    state.peers = PeerTable("d");
    setPeers();
    state.links.update(bootNow());
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("Retry-After"));
}

TEST_F(PartitionedDaemonTest, WaitingRequestsAreForwarded)
{
    state.links.recordConnected(hashOf("e1"), bootNow());
    ASSERT_EQ(state.links.update(bootNow()), LinkState::Up);
    state.endpointRegistry.updatePeerLoads("peer",
        { { .endpoint = hashOf("e1"), .inFlight = 4 }, { .endpoint = hashOf("e2"), .inFlight = 4 } },
        bootNow());
    CallerAnswer answer;
    const auto connection = send("/once/x", answer);
    runUntil([&] { return state.queue.size() > 0; });
    nearPeer.script({ .bytes = httpResponse(200, "near", signatureFields) });
    loseLinks(bootNow());
    state.queueAllAgain(bootNow());
    runUntil([&] { return answer.hasEnded(); });
    EXPECT_EQ(answer.body, "near");
    connection->close();
}

/// A daemon to which a peer forwards requests.
class ForwardedRequestTest : public EdgeRequestTest {
protected:
    ForwardedRequestTest()
    {
        front = std::make_unique<http::HttpServer>(context,
            http::HttpServerOptions { .address = { asio::ip::make_address("127.0.0.1"), 0 },
                .limits = [] { return http::ServerLimits {}; },
                .handler =
                    [this](std::shared_ptr<http::Exchange> exchange) {
                        std::make_shared<EdgeRequest>(state, std::move(exchange), forwarded)
                            ->admit(bootNow());
                    },
                .malformed = {},
                .repeated =
                    [](const http::HttpRequest& request, int status) {
                        ADD_FAILURE() << "second response to " << request.target << ": " << status;
                    } });
    }

    ForwardedRequest forwarded { .daemon = "p", .service = ServiceId("s") };
};

TEST_F(ForwardedRequestTest, AnswerNamesTheEndpoint)
{
    first.script({ .bytes = httpResponse(200, "hello", signatureFields) });
    const auto answer = call("/safe/x", "Authorization: Token k\r\nLentilbay-Forwarded-By: p\r\n");
    EXPECT_EQ(answer.body, "hello");
    ASSERT_TRUE(answer.headers.contains("Lentilbay-Endpoint"));
    EXPECT_EQ(*answer.headers.find("Lentilbay-Endpoint"), "e1");
    ASSERT_EQ(first.requests().size(), 1U);
    EXPECT_EQ(first.requests()[0].find("Lentilbay"), std::string::npos);
    EXPECT_NE(first.requests()[0].find("X-Tenant: o\r\n"), std::string::npos);
}

TEST_F(ForwardedRequestTest, OneEndpointExecutesItAtMost)
{
    list("e2", second);
    for (auto* it : { &first, &second })
        it->setResponder([](const std::string&) {
            return ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Close };
        });
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 502);
    EXPECT_FALSE(answer.headers.contains("Lentilbay-Not-Executed"));
    EXPECT_EQ(receivedRequests(), 1U) << "the peer sends it again";
}

TEST_F(ForwardedRequestTest, RefusalStatesThatItDidNotRun)
{
    const auto answer = call("/safe/x", "Authorization: Token unknown\r\n");
    EXPECT_EQ(answer.status, 401);
    EXPECT_TRUE(answer.headers.contains("Lentilbay-Not-Executed"));
}

TEST_F(ForwardedRequestTest, RefusalStatesWhetherAnEndpointReceivedTheRequest)
{
    EXPECT_TRUE(call("/safe/x", "Authorization: Token unknown\r\n").headers.contains("Lentilbay-Not-Sent"));
    first.script({ .bytes = httpResponse(503, "", "X-Not-Executed: 1\r\nX-Request-Id: {id}\r\n") });
    const auto answer = call("/safe/x", "Authorization: Token k\r\n");
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("Lentilbay-Not-Executed"));
    EXPECT_FALSE(answer.headers.contains("Lentilbay-Not-Sent"));
    EXPECT_EQ(receivedRequests(), 1U);
}

TEST_F(ForwardedRequestTest, RequestsOfPeersTookAllEndpointsFromADaemonWithoutNewConnections)
{
    // Guards against suspending endpoints that answer on established connections, because requests of peers
    // need new ones: the daemon's own requests then waited for an endpoint until they were shed
    // (SoakPartitionedDaemons).
    first.stopListening();
    const std::vector<uint64_t> endpoints { hashOf("e1"), 2, 3, 4 };
    state.links.setEndpoints(endpoints);
    state.links.setPeers(1);
    const auto now = bootNow();
    for (const auto it : endpoints) {
        state.links.recordConnectFailed(it, now - 2ms);
        state.links.recordHeard(it, now - 1ms);
    }
    ASSERT_EQ(state.links.update(now), LinkState::NoNewConnections);
    EXPECT_EQ(call("/once/x").status, 503);
    const auto endpoint = state.endpointRegistry.find(EndpointId("e1"));
    bool isChecked = false;
    state.pools.checkAlive(endpoint->entry(), [&](bool) { isChecked = true; });
    runUntil([&] { return isChecked; });
    ASSERT_EQ(state.links.state(), LinkState::NoNewConnections);
    EXPECT_FALSE(endpoint->isSuspended(bootNow()));
}

TEST_F(ForwardedRequestTest, EndpointCannotStateForThisDaemonThatNothingRan)
{
    // Guards against a peer that sends a request again which an endpoint has run.
    first.script({ .bytes
        = httpResponse(200, "hello", std::string(signatureFields) + "Lentilbay-Not-Executed: 1\r\n") });
    const auto answer = call("/safe/x", "Authorization: Token k\r\n");
    EXPECT_EQ(answer.body, "hello");
    EXPECT_FALSE(answer.headers.contains("Lentilbay-Not-Executed"));
}

TEST_F(ForwardedRequestTest, QuotaIsCountedByThePeer)
{
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields) };
    });
    const std::string fields = "Authorization: Token k\r\nX-Token-Usage: 1000,900\r\n";
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(call("/safe/x", fields).status, 200);
}

TEST_F(ForwardedRequestTest, KeyAndQuotaOfAnUnverifiedRequestAreCheckedHere)
{
    // Guards against requests that count against no quota, because each daemon leaves it to the other.
    forwarded.isUnverified = true;
    first.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "a", signatureFields) };
    });
    const std::string usage = "X-Token-Usage: 1000,900\r\n";
    EXPECT_EQ(call("/safe/x", "Authorization: Token k\r\n" + usage).status, 200);
    const auto refused = call("/safe/x", "Authorization: Token k\r\n" + usage);
    EXPECT_EQ(refused.status, 429);
    EXPECT_TRUE(refused.headers.contains("Lentilbay-Not-Executed"));
    EXPECT_EQ(call("/safe/x", "Authorization: Token withdrawn\r\n").status, 401);
    EXPECT_EQ(receivedRequests(), 1U);
    state.routesConfirmedAt = bootNow() - 4700ms;
    const auto unverifiable = call("/safe/x", "Authorization: Token other-key\r\n");
    EXPECT_EQ(unverifiable.status, 503);
    EXPECT_TRUE(unverifiable.headers.contains("Lentilbay-Not-Executed"));
    EXPECT_EQ(unverifiable.body, "LB-3013\n");
    EXPECT_EQ(receivedRequests(), 1U);
}

/// A daemon whose configuration is too old to verify keys, with two peers.
class UnverifiedKeyTest : public EdgeRequestTest {
protected:
    UnverifiedKeyTest()
    {
        state.routesConfirmedAt = bootNow() - 4700ms;
        hear("p1", nearPeer, {});
        hear("p2", farPeer, {});
    }

    void hear(const std::string& daemon, const RawServer& server, PeerHeartbeat heartbeat)
    {
        heartbeat.daemon = daemon;
        heartbeat.incarnation = 1;
        heartbeat.sequence = ++sequence;
        heartbeat.dataCentre = daemon == "p1" ? "a" : "b";
        heartbeat.periodMilliseconds = 200;
        state.peers.recordHeartbeat(heartbeat, "127.0.0.1", server.port(), bootNow());
        state.relays.update(state.peers);
    }

    static ScriptedResponse refusal(int status, const std::string& code)
    {
        return { .bytes = httpResponse(status, code + "\n", "Lentilbay-Not-Executed: 1\r\n") };
    }

    RawServer nearPeer { context };
    RawServer farPeer { context };
    uint64_t sequence = 0;
};

TEST_F(UnverifiedKeyTest, RequestIsSentThroughAPeerThatVerifiesTheKey)
{
    nearPeer.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "served", signatureFields) };
    });
    // More than the quota: the peer counts it. A key that only a newer configuration contains.
    const std::string usage = "X-Token-Usage: 1000,900\r\n";
    for (const auto* key : { "k", "k", "k", "new" })
        EXPECT_EQ(
            call("/safe/x", std::string("Authorization: Token ") + key + "\r\n" + usage).body, "served");
    EXPECT_EQ(receivedRequests(), 0U) << "an endpoint got a request whose key was not verified";
    ASSERT_EQ(nearPeer.requests().size(), 4U);
    for (const auto* it : { "Lentilbay-Unverified: 1\r\n", "Authorization: Token new\r\n" })
        EXPECT_NE(nearPeer.requests()[3].find(it), std::string::npos) << nearPeer.requests()[3];
    // A key that this daemon verifies is not left to the peer.
    state.routesConfirmedAt = bootNow();
    first.script({ .bytes = httpResponse(200, "own", signatureFields) });
    EXPECT_EQ(call("/safe/x").body, "own");
}

TEST_F(UnverifiedKeyTest, RequestWithAnUnknownKeyWasRefusedAlthoughAPeerKnewIt)
{
    // A configuration of 3 s verifies the keys that it contains, and denies none.
    state.routesConfirmedAt = bootNow() - 3s;
    nearPeer.script({ .bytes = httpResponse(200, "served", signatureFields) });
    EXPECT_EQ(call("/safe/x", "Authorization: Token new\r\n").body, "served");
    first.script({ .bytes = httpResponse(200, "own", signatureFields) });
    EXPECT_EQ(call("/safe/x").body, "own");
}

TEST_F(UnverifiedKeyTest, VerdictOfThePeerIsFinal)
{
    for (const auto& [status, code] :
        { std::pair(401, ResultCode::UnknownKey), std::pair(429, ResultCode::TokenRateLimit) }) {
        nearPeer.script(refusal(status, printed(code)));
        const auto answer = call("/safe/x");
        EXPECT_EQ(answer.status, status);
        EXPECT_EQ(answer.body, printed(code) + "\n");
        EXPECT_FALSE(answer.headers.contains("Lentilbay-Not-Executed"));
    }
    EXPECT_EQ(farPeer.requests().size(), 0U);
}

TEST_F(UnverifiedKeyTest, PeerThatCannotVerifyTheKeyIsFollowedByAnother)
{
    nearPeer.script(refusal(503, printed(ResultCode::KeysUnverifiable)));
    farPeer.script({ .bytes = httpResponse(200, "far", signatureFields) });
    EXPECT_EQ(call("/once/x").body, "far");
    nearPeer.script(refusal(503, printed(ResultCode::KeysUnverifiable)));
    farPeer.script(refusal(503, printed(ResultCode::KeysUnverifiable)));
    const auto answer = call("/once/x");
    EXPECT_EQ(answer.body, printed(ResultCode::KeysUnverifiable) + "\n");
    EXPECT_EQ(receivedRequests(), 0U);
}

TEST_F(UnverifiedKeyTest, PeerThatIsCutOffOrCountsNoQuotaGetsNoSuchRequest)
{
    hear("p1", nearPeer, { .isOutdated = true });
    hear("p2", farPeer, { .revision = WireRevision::WindowParts });
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.body, printed(ResultCode::KeysUnverifiable) + "\n");
    EXPECT_EQ(nearPeer.requests().size() + farPeer.requests().size(), 0U);
}

TEST_F(UnverifiedKeyTest, RefusalStatesHalfOfTheTimeSinceTheStoreWasReached)
{
    hear("p1", nearPeer, { .isOutdated = true });
    hear("p2", farPeer, { .isOutdated = true });
    bool isUnreachable = true;
    Duration age = 1200ms;
    state.setStoreStatus([&] { return isUnreachable; });
    state.setStoreContact([&] { return bootNow() - age; });
    const auto retryAfter = [&] { return std::stod(*call("/safe/x").headers.find("Retry-After")); };
    EXPECT_NEAR(retryAfter(), 0.6, 0.06);
    age = 7s;
    EXPECT_DOUBLE_EQ(retryAfter(), 1);
    age = 20ms;
    EXPECT_NEAR(retryAfter(), 0.05, 0.01);
    // The daemon has stood still, and reads the store at once.
    age = 7s;
    isUnreachable = false;
    EXPECT_NEAR(retryAfter(), 0.05, 0.01);
}

TEST_F(ForwardedRequestTest, IsNotForwardedAgain)
{
    RawServer peer(context);
    PeerHeartbeat heartbeat { .daemon = "q", .incarnation = 1, .sequence = 1 };
    heartbeat.dataCentre = "a";
    heartbeat.periodMilliseconds = 200;
    state.peers.recordHeartbeat(heartbeat, "127.0.0.1", peer.port(), bootNow());
    state.relays.update(state.peers);
    state.links.setEndpoints({ hashOf("e1"), hashOf("e2") });
    state.links.setPeers(1);
    for (const auto* it : { "e1", "e2" })
        state.links.recordConnectFailed(hashOf(it), bootNow());
    ASSERT_EQ(state.links.update(bootNow()), LinkState::Partitioned);
    const auto answer = call("/safe/x");
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("Lentilbay-Not-Executed"));
    EXPECT_EQ(peer.requests().size(), 0U);
}

TEST_F(EdgeRequestTest, EndpointThatFailedUnderLoadDoesNotBlameTheRequest)
{
    int n = 0;
    first.setResponder([&](const std::string&) {
        // Each failure follows a rejection.
        const bool rejects = n++ % 2 == 0;
        return rejects ? ScriptedResponse { .bytes
            = httpResponse(503, "", "X-Not-Executed: 1\r\nX-Request-Id: {id}\r\nServer-Brittle: 1\r\n") }
                       : ScriptedResponse { .bytes = "", .then = ScriptedResponse::Then::Reset };
    });
    for (int i = 0; i < 10; ++i) {
        call("/once/x");
        // The endpoint is not suspended for the next request.
        context.run_for(450ms);
        context.restart();
        state.crashes.update(bootNow() + 10s);
    }
    EXPECT_EQ(state.crashes.blockedTriggers(), 0U);
    EXPECT_EQ(state.crashes.suspiciousCrashes(), 0U);
}

TEST_F(PartitionedDaemonTest, RequestWhoseOriginIsBeingLookedUpIsNotForwardedYet)
{
    // A second software version, so that the origin has to be asked for.
    list("e2", nearPeer, "v2");
    state.streams.setDaemons("d", { "p1", "p2" });
    state.streams.setSender([](const auto&, const auto&) {});
    state.versions.update(state.endpointRegistry, bootNow());
    CallerAnswer answer;
    const auto connection
        = send("/stream/x", answer, "Authorization: Token k\r\nLast-Event-Id: 4\r\nResumes: 6\r\n");
    runUntil([&] { return !state.requests.empty(); });
    ASSERT_EQ(state.streams.openQueries(), 1U);
    state.queueAllAgain(bootNow());
    context.run_for(20ms);
    context.restart();
    EXPECT_EQ(nearPeer.requests().size() + farPeer.requests().size(), 0U);
    connection->close();
}

// Guards against requests that reach a version which is being rolled out without a permit, that fail because
// a bad version failed, or that reach the former version after the new one was adopted.
TEST_F(EdgeRequestTest, RequestsGoToTheVersionsThatARolloutAllows)
{
    list("e1", first, "v1");
    list("e2", second, "v2");
    const auto respondWith = [](int status) {
        return [status](const std::string&) {
            return ScriptedResponse { .bytes = httpResponse(status, "x", signatureFields) };
        };
    };
    first.setResponder(respondWith(200));
    second.setResponder(respondWith(500));
    state.rollouts.applyOrderRow({ .table = "op",
                                     .key = "rollout/s",
                                     .value = R"({"Service":"s","To":"v2","DurationS":60})",
                                     .version = { .era = 1, .number = 5 } },
        bootNow());
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(call("/safe/x").status, 200);
    EXPECT_EQ(first.requests().size(), 5U);
    EXPECT_TRUE(second.requests().empty());
    const auto permit = [&](RolloutPhase phase) {
        const auto now = bootNow();
        state.rollouts.receive(
            encodeRolloutMessage(RolloutPermitMessage { .service = hashOf("s"),
                .incarnation = 1,
                .sentMicroseconds = now.time_since_epoch().count(),
                .permit = { .order = { .era = 1, .number = 5 }, .phase = phase, .share = 1 },
                .formerVersions = { hashOf("v1") } }),
            now);
    };
    permit(RolloutPhase::Canary);
    EXPECT_EQ(call("/safe/x").status, 200);
    EXPECT_EQ(second.requests().size(), 1U);
    EXPECT_EQ(first.requests().size(), 6U) << "the request that failed there went to the former version";
    second.setResponder(respondWith(200));
    permit(RolloutPhase::Complete);
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(call("/safe/x").status, 200);
    EXPECT_EQ(second.requests().size(), 4U);
    EXPECT_EQ(first.requests().size(), 6U);
    state.endpointRegistry.unlist(EndpointId("e2"));
    EXPECT_EQ(call("/safe/x").status, 503);
    EXPECT_EQ(first.requests().size(), 6U);
}

// Guards against a request that waits for an engine of the former version until its time is over, although
// the new version was adopted meanwhile.
TEST_F(EdgeRequestTest, WaitingRequestsGoToTheVersionThatWasAdopted)
{
    list("e1", first, "v1");
    list("e2", second, "v2");
    second.script({ .bytes = httpResponse(200, "x", signatureFields) });
    const RolloutOrderId order { .era = 1, .number = 5 };
    state.rollouts.applyOrderRow({ .table = "op",
                                     .key = "rollout/s",
                                     .value = R"({"Service":"s","To":"v2","DurationS":60})",
                                     .version = { .era = order.era, .number = order.number } },
        bootNow());
    state.rollouts.poll(bootNow());
    state.endpointRegistry.updatePeerLoads(
        "peer", { { .endpoint = hashOf("e1"), .inFlight = 4 } }, bootNow());
    CallerAnswer answer;
    const auto connection = send("/safe/x", answer);
    runUntil([&] { return state.queue.size() == 1; });
    const auto now = bootNow();
    state.rollouts.receive(encodeRolloutMessage(RolloutPermitMessage { .service = hashOf("s"),
                               .incarnation = 1,
                               .sentMicroseconds = now.time_since_epoch().count(),
                               .permit = { .order = order, .phase = RolloutPhase::Complete } }),
        now);
    ASSERT_TRUE(state.rollouts.poll(now));
    state.queueAllAgain(now);
    runUntil([&] { return answer.hasEnded(); });
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(first.requests().empty());
}

// Guards against a less urgent request that takes the only free slot of the new version, because the waiting
// requests are dispatched while more urgent ones are not queued again yet.
TEST_F(EdgeRequestTest, RequestsThatAreQueuedAgainAreDispatchedTogether)
{
    auto parts = routes();
    parts.routes[0].rank = 3;
    state.routes = std::make_shared<const RouteTable>(std::move(parts));
    list("e1", first, "v1");
    list("e2", second, "v2");
    second.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = httpResponse(200, "x", signatureFields) };
    });
    const RolloutOrderId order { .era = 1, .number = 5 };
    state.rollouts.applyOrderRow({ .table = "op",
                                     .key = "rollout/s",
                                     .value = R"({"Service":"s","To":"v2","DurationS":60})",
                                     .version = { .era = order.era, .number = order.number } },
        bootNow());
    state.rollouts.poll(bootNow());
    state.endpointRegistry.updatePeerLoads("peer",
        { { .endpoint = hashOf("e1"), .inFlight = 4 }, { .endpoint = hashOf("e2"), .inFlight = 3 } },
        bootNow());
    CallerAnswer lessUrgent;
    const auto firstConnection = send("/safe/x", lessUrgent);
    runUntil([&] { return state.queue.size() == 1; });
    CallerAnswer urgent;
    const auto secondConnection = send("/once/x", urgent);
    runUntil([&] { return state.queue.size() == 2; });
    // In whichever order the requests are queued again, the urgent one is not the first.
    CallerAnswer alsoLessUrgent;
    const auto thirdConnection = send("/safe/y", alsoLessUrgent);
    runUntil([&] { return state.queue.size() == 3; });
    const auto now = bootNow();
    state.rollouts.receive(encodeRolloutMessage(RolloutPermitMessage { .service = hashOf("s"),
                               .incarnation = 1,
                               .sentMicroseconds = now.time_since_epoch().count(),
                               .permit = { .order = order, .phase = RolloutPhase::Complete } }),
        now);
    state.rollouts.poll(now);
    state.queueAllAgain(now);
    runUntil([&] { return lessUrgent.hasEnded() && urgent.hasEnded() && alsoLessUrgent.hasEnded(); });
    EXPECT_EQ(lessUrgent.status, 200);
    EXPECT_EQ(urgent.status, 200);
    ASSERT_EQ(second.requests().size(), 3U);
    EXPECT_NE(second.requests().front().find("/once/x"), std::string::npos);
}

} // namespace
} // namespace lentilbay::edge
