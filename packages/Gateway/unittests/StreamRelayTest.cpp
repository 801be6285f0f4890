// Tests that the caller gets each token exactly once and in order, however the stream is split and wherever
// it breaks.
#include "lentilbay/Gateway/StreamRelay.h"
#include "lentilbay/Gateway/AnswerAssembler.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

std::string makeEvent(uint32_t index, uint32_t count)
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
        out += makeEvent(i, count);
    return out + "data: [DONE]\n\n";
}

/// Passes the bytes to consume() in pieces. The piece sizes are repeated cyclically.
template <class Consumer>
bool consumeInPieces(Consumer&& consume, std::string_view bytes, const std::vector<uint8_t>& sizes)
{
    for (size_t i = 0; !bytes.empty(); ++i) {
        const auto n = std::min<size_t>(bytes.size(), sizes.empty() ? 7 : 1 + sizes[i % sizes.size()]);
        if (!consume(bytes.substr(0, n)))
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

RC_GTEST_PROP(
    StreamRelay, NoTokenIsLostOrDuplicated, (std::vector<uint8_t> sizes, std::vector<uint16_t> breaks))
{
    const auto count = *rc::gen::inRange<uint32_t>(1, 40);
    StreamRelay relay;
    std::string out;
    const auto consume = [&](std::string_view bytes) { return relay.consume(bytes, out); };
    for (const auto at : breaks) {
        if (relay.isComplete())
            break;
        const auto stream = streamFrom(relay.nextToken(), count);
        RC_ASSERT(consumeInPieces(consume, std::string_view(stream).substr(0, at % stream.size()), sizes));
        relay.beginResumedStream();
    }
    if (!relay.isComplete())
        RC_ASSERT(consumeInPieces(consume, streamFrom(relay.nextToken(), count), sizes));
    RC_ASSERT(relay.isComplete());
    RC_ASSERT(out == expectedEvents(count));
    RC_ASSERT(relay.usage()->completionTokens == count);
}

RC_GTEST_PROP(StreamRelay, EarlyResumeDuplicatesNoToken, ())
{
    const auto count = *rc::gen::inRange<uint32_t>(2, 30);
    const auto tokensBeforeBreak = *rc::gen::inRange<uint32_t>(1, count);
    const auto resumedFrom = *rc::gen::inRange<uint32_t>(0, tokensBeforeBreak);
    StreamRelay relay;
    std::string out;
    for (uint32_t i = 0; i < tokensBeforeBreak; ++i)
        RC_ASSERT(relay.consume(makeEvent(i, count), out));
    relay.beginResumedStream();
    RC_ASSERT(relay.consume(streamFrom(resumedFrom, count), out));
    RC_ASSERT(out == expectedEvents(count));
}

TEST(StreamRelay, MissingTokenIsRejected)
{
    StreamRelay relay;
    std::string out;
    EXPECT_TRUE(relay.consume(makeEvent(0, 9), out));
    EXPECT_FALSE(relay.consume(makeEvent(2, 9), out));
    EXPECT_EQ(out, makeEvent(0, 9));
    EXPECT_EQ(relay.nextToken(), 1U);
}

TEST(StreamRelay, DoneEventBeforeLastTokenIsRejected)
{
    StreamRelay relay;
    std::string out;
    EXPECT_TRUE(relay.consume(makeEvent(0, 9), out));
    EXPECT_FALSE(relay.consume("data: [DONE]\n\n", out));
    EXPECT_FALSE(relay.isComplete());
}

TEST(StreamRelay, CompleteAnswerRequiresMatchingTokenCount)
{
    StreamRelay relay;
    std::string out;
    EXPECT_TRUE(relay.consume(makeEvent(0, 9), out));
    EXPECT_TRUE(relay.consume("data: {\"token_index\":1,\"usage\":{\"completion_tokens\":3}}\n\n", out));
    EXPECT_FALSE(relay.isComplete());
}

TEST(StreamRelay, MalformedEventsAreNotRelayed)
{
    for (const auto* bytes : { "data: {\"token_index\": 0\n\n", "data: 17\n\n", "data: [1]\n\n", "data: \n\n",
             "data: {\"error\": {\"message\": \"out of memory\"}}\n\n", "data: \xff\xfe\n\n" }) {
        StreamRelay relay;
        std::string out;
        EXPECT_FALSE(relay.consume(bytes, out)) << bytes;
        EXPECT_EQ(out, "");
    }
}

TEST(SseParser, HandlesCommentsCarriageReturnsAndMultipleDataLines)
{
    SseParser parser;
    std::vector<std::string> events;
    const auto record = [&](std::string_view data) {
        events.emplace_back(data);
        return true;
    };
    EXPECT_TRUE(parser.consume(": ping\n\ndata: a\r\n\r\nevent: x\ndata:b\ndata: c\n\ndata: d", record));
    EXPECT_EQ(events, (std::vector<std::string> { "a", "b\nc" }));
    EXPECT_TRUE(parser.consume("\n\n", record));
    EXPECT_EQ(events.back(), "d");
}

TEST(SseParser, UnterminatedEventIsRejected)
{
    SseParser parser;
    const auto ignore = [](std::string_view) { return true; };
    const std::string bytes(SseParser::maxEventBytes / 2 + 1, 'x');
    EXPECT_TRUE(parser.consume(bytes, ignore));
    EXPECT_FALSE(parser.consume(bytes, ignore));
}

RC_GTEST_PROP(AnswerAssembler, ReturnsCompleteTextAndUsage, (std::vector<uint8_t> sizes))
{
    const auto count = *rc::gen::inRange<uint32_t>(1, 30);
    AnswerAssembler assembler;
    RC_ASSERT(consumeInPieces(
        [&](std::string_view it) { return assembler.consume(it); }, streamFrom(0, count), sizes));
    const auto answer = nlohmann::json::parse(assembler.answer(true).value());
    std::string text;
    for (uint32_t i = 0; i < count; ++i)
        text += "t" + std::to_string(i) + " ";
    RC_ASSERT(answer["choices"][0]["message"]["content"] == text);
    RC_ASSERT(answer["choices"][0]["finish_reason"] == "stop");
    RC_ASSERT(answer["usage"]["completion_tokens"] == count);
    RC_ASSERT(answer["object"] == "chat.completion");
}

TEST(AnswerAssembler, IncompleteStreamGivesNoAnswer)
{
    AnswerAssembler assembler;
    EXPECT_TRUE(assembler.consume(makeEvent(0, 2)));
    EXPECT_FALSE(assembler.answer(true));
    EXPECT_TRUE(assembler.consume(makeEvent(1, 2)));
    EXPECT_FALSE(assembler.answer(false)) << "the chunks belong to a chat completion";
}

TEST(ChunkFields, OnlyTopLevelMembersCount)
{
    const auto fields
        = parseChunk(R"({"choices":[{"token_index":7,"usage":{"prompt_tokens":1}}],"token_index":2,)"
                     R"("x":{"error":1},"usage":{"prompt_tokens":3,"deep":{"completion_tokens":9},)"
                     R"("completion_tokens":4,"cached_tokens":1}})");
    ASSERT_TRUE(fields);
    EXPECT_EQ(fields->tokenIndex, 2U);
    EXPECT_EQ(fields->usage, (Usage { .promptTokens = 3, .completionTokens = 4, .cachedTokens = 1 }));
    EXPECT_FALSE(fields->hasError);
}

} // namespace
} // namespace lentilbay
