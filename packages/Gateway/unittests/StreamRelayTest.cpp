// However the bytes of a stream are split and wherever it breaks, the caller gets each token once and in
// order.
#include "lentilbay/Gateway/StreamRelay.h"
#include "lentilbay/Gateway/AnswerAssembler.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

std::string eventOf(uint32_t index, uint32_t count)
{
    nlohmann::json chunk { { "id", "r" }, { "token_index", index },
        { "choices",
            { { { "index", 0 }, { "delta", { { "content", "t" + std::to_string(index) + " " } } } } } } };
    if (index + 1 == count) {
        chunk["choices"][0]["finish_reason"] = "stop";
        chunk["usage"] = { { "prompt_tokens", 5 }, { "completion_tokens", count } };
    }
    return "data: " + chunk.dump() + "\n\n";
}

std::string streamFrom(uint32_t first, uint32_t count)
{
    std::string out;
    for (auto i = first; i < count; ++i)
        out += eventOf(i, count);
    return out + "data: [DONE]\n\n";
}

/// Hands the bytes over in pieces of the sizes given, over and over.
template <class Taker>
bool takeInPieces(Taker&& take, std::string_view bytes, const std::vector<uint8_t>& sizes)
{
    for (size_t i = 0; !bytes.empty(); ++i) {
        const auto n = std::min<size_t>(bytes.size(), sizes.empty() ? 7 : 1 + sizes[i % sizes.size()]);
        if (!take(bytes.substr(0, n)))
            return false;
        bytes.remove_prefix(n);
    }
    return true;
}

std::string expectedEvents(uint32_t count)
{
    auto out = streamFrom(0, count);
    out.resize(out.size() - StreamRelay::doneEvent.size());
    return out;
}

RC_GTEST_PROP(StreamRelay, NoTokenIsLostOrDoubled, (std::vector<uint8_t> sizes, std::vector<uint16_t> breaks))
{
    const auto count = *rc::gen::inRange<uint32_t>(1, 40);
    StreamRelay relay;
    std::string out;
    const auto take = [&](std::string_view bytes) { return relay.take(bytes, out); };
    for (const auto at : breaks) {
        if (relay.isWhole())
            break;
        const auto stream = streamFrom(relay.nextToken(), count);
        RC_ASSERT(takeInPieces(take, std::string_view(stream).substr(0, at % stream.size()), sizes));
        relay.beginResumed();
    }
    if (!relay.isWhole())
        RC_ASSERT(takeInPieces(take, streamFrom(relay.nextToken(), count), sizes));
    RC_ASSERT(relay.isWhole());
    RC_ASSERT(out == expectedEvents(count));
    RC_ASSERT(relay.usage()->completionTokens == count);
}

RC_GTEST_PROP(StreamRelay, AnEngineThatResumesTooEarlyDoublesNothing, ())
{
    const auto count = *rc::gen::inRange<uint32_t>(2, 30);
    const auto broken = *rc::gen::inRange<uint32_t>(1, count);
    const auto again = *rc::gen::inRange<uint32_t>(0, broken);
    StreamRelay relay;
    std::string out;
    for (uint32_t i = 0; i < broken; ++i)
        RC_ASSERT(relay.take(eventOf(i, count), out));
    relay.beginResumed();
    RC_ASSERT(relay.take(streamFrom(again, count), out));
    RC_ASSERT(out == expectedEvents(count));
}

TEST(StreamRelay, ATokenThatIsMissingIsNotPassedOver)
{
    StreamRelay relay;
    std::string out;
    EXPECT_TRUE(relay.take(eventOf(0, 9), out));
    EXPECT_FALSE(relay.take(eventOf(2, 9), out));
    EXPECT_EQ(out, eventOf(0, 9));
    EXPECT_EQ(relay.nextToken(), 1U);
}

TEST(StreamRelay, AnEndBeforeTheLastTokenIsNoEnd)
{
    StreamRelay relay;
    std::string out;
    EXPECT_TRUE(relay.take(eventOf(0, 9), out));
    EXPECT_FALSE(relay.take("data: [DONE]\n\n", out));
    EXPECT_FALSE(relay.isWhole());
}

TEST(StreamRelay, AWholeAnswerNeedsTheEnginesOwnCount)
{
    StreamRelay relay;
    std::string out;
    EXPECT_TRUE(relay.take(eventOf(0, 9), out));
    EXPECT_TRUE(relay.take("data: {\"token_index\":1,\"usage\":{\"completion_tokens\":3}}\n\n", out));
    EXPECT_FALSE(relay.isWhole());
}

TEST(StreamRelay, GarbageIsNotRelayed)
{
    for (const auto* bytes : { "data: {\"token_index\": 0\n\n", "data: 17\n\n", "data: [1]\n\n", "data: \n\n",
             "data: {\"error\": {\"message\": \"out of memory\"}}\n\n", "data: \xff\xfe\n\n" }) {
        StreamRelay relay;
        std::string out;
        EXPECT_FALSE(relay.take(bytes, out)) << bytes;
        EXPECT_EQ(out, "");
    }
}

TEST(SseParser, CommentsCarriageReturnsAndJoinedLines)
{
    SseParser parser;
    std::vector<std::string> events;
    const auto note = [&](std::string_view data) {
        events.emplace_back(data);
        return true;
    };
    EXPECT_TRUE(parser.take(": ping\n\ndata: a\r\n\r\nevent: x\ndata:b\ndata: c\n\ndata: d", note));
    EXPECT_EQ(events, (std::vector<std::string> { "a", "b\nc" }));
    EXPECT_TRUE(parser.take("\n\n", note));
    EXPECT_EQ(events.back(), "d");
}

TEST(SseParser, AnEventWithoutEndIsRefused)
{
    SseParser parser;
    const auto ignore = [](std::string_view) { return true; };
    const std::string bytes(SseParser::maxEventBytes / 2 + 1, 'x');
    EXPECT_TRUE(parser.take(bytes, ignore));
    EXPECT_FALSE(parser.take(bytes, ignore));
}

RC_GTEST_PROP(AnswerAssembler, GivesTheWholeTextAndUsage, (std::vector<uint8_t> sizes))
{
    const auto count = *rc::gen::inRange<uint32_t>(1, 30);
    AnswerAssembler assembler;
    RC_ASSERT(
        takeInPieces([&](std::string_view it) { return assembler.take(it); }, streamFrom(0, count), sizes));
    const auto answer = nlohmann::json::parse(assembler.answer(true).value());
    std::string text;
    for (uint32_t i = 0; i < count; ++i)
        text += "t" + std::to_string(i) + " ";
    RC_ASSERT(answer["choices"][0]["message"]["content"] == text);
    RC_ASSERT(answer["choices"][0]["finish_reason"] == "stop");
    RC_ASSERT(answer["usage"]["completion_tokens"] == count);
    RC_ASSERT(answer["object"] == "chat.completion");
}

TEST(AnswerAssembler, AStreamThatIsNotWholeGivesNoAnswer)
{
    AnswerAssembler assembler;
    EXPECT_TRUE(assembler.take(eventOf(0, 2)));
    EXPECT_FALSE(assembler.answer(true));
    EXPECT_TRUE(assembler.take(eventOf(1, 2)));
    EXPECT_FALSE(assembler.answer(false)) << "the chunks are those of a chat";
}

TEST(ChunkFacts, OnlyMembersOfTheTopCount)
{
    const auto facts
        = parseChunk(R"({"choices":[{"token_index":7,"usage":{"prompt_tokens":1}}],"token_index":2,)"
                     R"("x":{"error":1},"usage":{"prompt_tokens":3,"deep":{"completion_tokens":9},)"
                     R"("completion_tokens":4,"cached_tokens":1}})");
    ASSERT_TRUE(facts);
    EXPECT_EQ(facts->tokenIndex, 2U);
    EXPECT_EQ(facts->usage, (Usage { .promptTokens = 3, .completionTokens = 4, .cachedTokens = 1 }));
    EXPECT_FALSE(facts->hasError);
}

} // namespace
} // namespace lentilbay
