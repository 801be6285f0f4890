// Tests the engine stand-in against the calls listed in docs/design/Interfaces.md.
#include "EngineService.h"
#include "PromptText.h"
#include "RunningStandIn.h"
#include "lentilbay/Fakes/AnswerText.h"
#include "lentilbay/Model/PromptPrefix.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::fakes;
using namespace lentilbay::standins;
using nlohmann::json;

namespace {

using RunningEngine = RunningStandIn<EngineService>;

EngineOptions fastEngineOptions()
{
    return { .prefillTokensPerSecond = 1e6, .decodeStep = std::chrono::microseconds(200) };
}

std::vector<HttpHeader> withId(const std::string& id) { return { { .name = "X-Request-Id", .value = id } }; }

json chatBody(const std::string& text, bool stream)
{
    return { { "model", "m" }, { "max_tokens", 20 }, { "stream", stream },
        { "messages", { { { "role", "user" }, { "content", text } } } } };
}

/// The data field of each SSE event.
std::vector<std::string> eventsOf(const std::string& body)
{
    std::vector<std::string> events;
    constexpr std::string_view begin = "data: ";
    constexpr std::string_view end = "\n\n";
    for (size_t at = 0; body.compare(at, begin.size(), begin) == 0;) {
        const auto stop = body.find(end, at);
        events.push_back(body.substr(at + begin.size(), stop - at - begin.size()));
        at = stop + end.size();
    }
    return events;
}

} // namespace

TEST(EngineService, answerIsDeterminedByPrompt)
{
    RunningEngine engine(fastEngineOptions());
    const auto body = chatBody("line edit", false);
    const auto reply = engine.post("/v1/chat/completions", body, withId("r1"));
    EXPECT_EQ(reply.status, 200);
    const auto answer = json::parse(reply.body);
    const auto digest = promptDigest(promptTextOf(body));
    const auto tokens = answerLength(digest, 20);
    EXPECT_EQ(answer["choices"][0]["message"]["content"], wholeAnswer(digest, tokens));
    EXPECT_EQ(answer["usage"]["completion_tokens"], tokens);
    const auto records = engine.getJson("/records")["records"];
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0]["request_id"], "r1");
    EXPECT_EQ(records[0]["digest"], digest);
    EXPECT_EQ(records[0]["end"], "whole");
}

TEST(EngineService, streamsIndexedTokensUsageAndDoneMarker)
{
    RunningEngine engine(fastEngineOptions());
    const json body { { "model", "m" }, { "max_tokens", 20 }, { "stream", true }, { "prompt", "line edit" } };
    const auto events = eventsOf(engine.post("/v1/completions", body, withId("r1")).body);
    const auto digest = promptDigest("line edit");
    const auto tokens = answerLength(digest, 20);
    ASSERT_EQ(events.size(), tokens + 1);
    for (uint32_t n = 0; n < tokens; ++n) {
        const auto chunk = json::parse(events[n]);
        EXPECT_EQ(chunk["token_index"], n);
        EXPECT_EQ(chunk["choices"][0]["text"], answerToken(digest, n));
        EXPECT_EQ(chunk.contains("usage"), n + 1 == tokens);
    }
    EXPECT_EQ(events.back(), "[DONE]");
}

TEST(EngineService, resumesBrokenStream)
{
    RunningEngine engine(fastEngineOptions());
    engine.post("/control", { { "reset_after_tokens", 3 } });
    const auto broken = engine.post("/v1/chat/completions", chatBody("line edit", true), withId("r1"));
    EXPECT_NE(broken.error, "");
    const auto before = eventsOf(broken.body);
    ASSERT_EQ(before.size(), 3U);
    const auto after = eventsOf(engine.post("/v1/resume", { { "request_id", "r1" }, { "from", 3 } }).body);
    EXPECT_EQ(json::parse(after.front())["token_index"], 3);
    EXPECT_EQ(after.back(), "[DONE]");
    EXPECT_EQ(engine.getJson("/records")["records"].size(), 1U);
    const auto past = engine.getJson("/records")["records"][0]["answer_tokens"].get<uint32_t>();
    const auto end = eventsOf(engine.post("/v1/resume", { { "request_id", "r1" }, { "from", past } }).body);
    ASSERT_EQ(end.size(), 2U);
    EXPECT_TRUE(json::parse(end[0])["choices"].empty());
    EXPECT_EQ(engine.post("/v1/resume", { { "request_id", "r9" }, { "from", 0 } }).status, 404);
}

TEST(EngineService, injectsDroppedAnswersRefusalsAndOutage)
{
    RunningEngine engine(fastEngineOptions());
    engine.post("/control", { { "drop_answers", true } });
    const auto dropped = engine.post("/v1/chat/completions", chatBody("a", false), withId("r1"));
    EXPECT_EQ(dropped.status, 0);
    EXPECT_NE(dropped.error, "");
    engine.post("/control", { { "drop_answers", false }, { "refuse", true } });
    EXPECT_EQ(engine.post("/v1/chat/completions", chatBody("b", false), withId("r2")).status, 503);
    const auto records = engine.getJson("/records")["records"];
    EXPECT_EQ(records[0]["end"], "whole");
    EXPECT_EQ(records[1]["end"], "refused");
    engine.post("/control", { { "outage", true } });
    EXPECT_EQ(engine.get("/load").status, 0);
}

TEST(EngineService, cancelsRequestsAndReportsLoad)
{
    RunningEngine engine(EngineOptions { .decodeStep = std::chrono::seconds(10) });
    engine.post("/control", { { "load_lag_ms", 0 }, { "leaving", true } });
    HttpClient caller;
    std::thread waiting([&] {
        const auto reply = caller.call({ .method = "POST",
            .url = engine.url("/v1/chat/completions"),
            .headers = withId("r1"),
            .body = chatBody("a", true).dump() });
        EXPECT_NE(reply.error, "");
    });
    while (engine.getJson("/load")["running"] != 1)
        std::this_thread::yield();
    EXPECT_EQ(engine.getJson("/load")["leaving"], true);
    EXPECT_EQ(engine.post("/v1/cancel", { { "request_id", "r1" } }).status, 200);
    waiting.join();
    EXPECT_EQ(engine.getJson("/load")["running"], 0);
    EXPECT_EQ(engine.getJson("/records")["records"][0]["end"], "cancelled");
    EXPECT_EQ(engine.post("/v1/cancel", { { "request_id", "unknown" } }).status, 200);
}

TEST(EngineService, publishesCacheEventsAndTransfersPrefixes)
{
    RunningEngine from(fastEngineOptions());
    RunningEngine to(fastEngineOptions());
    const std::string prompt(prefixBlockTokens * bytesPerToken * 2, 'x');
    const json body { { "model", "m" }, { "max_tokens", 1 }, { "prompt", prompt } };
    from.post("/v1/completions", body, withId("r1"));
    const auto events = from.getJson("/cache/events?after=0");
    ASSERT_EQ(events["events"].size(), 2U);
    EXPECT_EQ(events["events"][1]["prefix_hash"], prefixHashesOf(prompt)[1]);
    EXPECT_TRUE(from.getJson("/cache/events?after=2")["events"].empty());
    const auto exported = from.post("/kv/export", { { "prefix_hash", prefixHashesOf(prompt)[1] } });
    ASSERT_EQ(exported.status, 200);
    EXPECT_EQ(to.post("/kv/import", json::parse(exported.body)).status, 200);
    const auto answer = json::parse(to.post("/v1/completions", body, withId("r2")).body);
    EXPECT_EQ(answer["usage"]["cached_tokens"], 2 * prefixBlockTokens - 1);
    EXPECT_EQ(from.post("/kv/export", { { "prefix_hash", 1 } }).status, 404);
}

TEST(EngineService, refusesOrdersWithStaleFencingToken)
{
    auto options = fastEngineOptions();
    options.checksFencing = true;
    RunningEngine engine(options);
    json order { { "fencing", 5 }, { "action", "load" }, { "model", "m" }, { "version", "2" } };
    EXPECT_EQ(engine.post("/orders", order).status, 200);
    order["fencing"] = 4;
    const auto refused = engine.post("/orders", order);
    EXPECT_EQ(refused.status, 409);
    EXPECT_EQ(json::parse(refused.body)["fencing"], 5);
    EXPECT_EQ(engine.getJson("/models")["models"][0]["version"], "2");
}

TEST(EngineService, rejectsInvalidInputAndUnknownFaults)
{
    RunningEngine engine(fastEngineOptions());
    EXPECT_EQ(engine.post("/v1/completions", json::object()).status, 400);
    EXPECT_EQ(engine.post("/control", { { "no_such_fault", 1 } }).status, 400);
    EXPECT_EQ(engine.get("/nowhere").status, 404);
    EXPECT_TRUE(engine.getJson("/records")["records"].empty());
}
