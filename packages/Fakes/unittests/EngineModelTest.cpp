// Tests of the fake engine: batching, slowdown past the knee, prefix cache, resumption, cancellation and
// faults.
#include "lentilbay/Fakes/EngineModel.h"
#include "lentilbay/Fakes/AnswerText.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::fakes;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

EngineRequest requestOf(const std::string& id, uint32_t promptTokens, uint32_t answerTokens)
{
    return { .id = RequestId(id), .model = "m", .promptTokens = promptTokens, .answerTokens = answerTokens };
}

std::vector<uint64_t> blocksFrom(uint64_t first, size_t count)
{
    std::vector<uint64_t> hashes;
    for (size_t n = 0; n < count; ++n)
        hashes.push_back(first + n);
    return hashes;
}

/// The token indexes of one stream and how it closed, if it has.
struct StreamOutput {
    std::vector<uint32_t> tokens;
    std::optional<EngineOutput::Kind> closed;
};

StreamOutput readStream(const std::vector<EngineOutput>& outputs, uint64_t stream)
{
    StreamOutput read;
    for (const auto& it : outputs) {
        if (it.stream != stream)
            continue;
        EXPECT_FALSE(read.closed) << "output after the stream's end";
        if (it.kind == EngineOutput::Kind::Token)
            read.tokens.push_back(it.index);
        else
            read.closed = it.kind;
    }
    return read;
}

std::vector<uint32_t> indexes(uint32_t from, uint32_t to)
{
    std::vector<uint32_t> result;
    for (auto index = from; index < to; ++index)
        result.push_back(index);
    return result;
}

} // namespace

TEST(EngineModel, prefillsThenDecodesStepByStep)
{
    EngineModel engine({ .prefillTokensPerSecond = 1'000, .decodeStep = 10ms });
    const auto stream = engine.submit(requestOf("a", 500, 3), start);
    ASSERT_TRUE(stream);
    engine.advance(start + 500ms);
    EXPECT_EQ(engine.takeOutputs().size(), 1U);
    engine.advance(start + 520ms);
    const auto read = readStream(engine.takeOutputs(), *stream);
    EXPECT_EQ(read.tokens, indexes(1, 3));
    EXPECT_EQ(read.closed, EngineOutput::Kind::End);
    const auto& record = engine.records().at(0);
    EXPECT_EQ(record.firstTokenAt, start + 500ms);
    EXPECT_EQ(record.endedAt, start + 520ms);
    EXPECT_EQ(record.prefillComputed, 500U);
    EXPECT_EQ(record.end, EngineEnd::Whole);
    EXPECT_FALSE(engine.nextWake());
}

TEST(EngineModel, decodesSlowerPastKnee)
{
    const auto timeOf = [](uint32_t requests) {
        EngineModel engine({ .prefillTokensPerSecond = 1e9, .decodeStep = 10ms, .knee = 4 });
        for (uint32_t n = 0; n < requests; ++n)
            engine.submit(requestOf("r" + std::to_string(n), 1, 11), start);
        engine.advance(start + 10s);
        return *engine.records().back().endedAt - start;
    };
    // Requests submitted during a step join at the next one.
    EXPECT_LE(timeOf(4), timeOf(1) + 20ms);
    EXPECT_GE(timeOf(8), timeOf(4) + 30ms);
}

TEST(EngineModel, queuesRequestsBeyondMaxRunning)
{
    EngineModel engine({ .maxRunning = 2 });
    engine.setFaults({ .loadLag = 0ms }, start);
    for (const auto* id : { "a", "b", "c" })
        engine.submit(requestOf(id, 100, 10), start);
    engine.advance(start + 20ms);
    EXPECT_EQ(engine.reportedLoad(start + 20ms).waiting, 1U);
    engine.advance(start + 10s);
    EXPECT_EQ(engine.records()[2].end, EngineEnd::Whole);
    EXPECT_GE(*engine.records()[2].firstTokenAt, *engine.records()[0].endedAt);
}

TEST(EngineModel, reportsLoadWithLag)
{
    EngineModel engine({});
    engine.setFaults({ .loadLag = 200ms }, start);
    engine.submit(requestOf("a", 100, 1'000), start);
    EXPECT_EQ(engine.reportedLoad(start + 100ms).running, 0U);
    EXPECT_EQ(engine.reportedLoad(start + 300ms).running, 1U);
    EXPECT_EQ(engine.reportedLoad(start + 300ms).at, start + 100ms);
}

TEST(EngineModel, skipsPrefillOfCachedPrefix)
{
    EngineModel engine({});
    auto request = requestOf("a", 1'000, 1);
    request.prefixHashes = blocksFrom(1, 3);
    engine.submit(request, start);
    engine.advance(start + 1s);
    request.id = RequestId("b");
    engine.submit(request, start + 1s);
    engine.advance(start + 2s);
    EXPECT_EQ(engine.records()[0].prefillCached, 0U);
    EXPECT_EQ(engine.records()[1].prefillCached, 3 * 256U);
    EXPECT_EQ(engine.records()[1].prefillComputed, 1'000 - 3 * 256U);
}

TEST(EngineModel, evictsPrefixesWhenKvMemoryIsFull)
{
    EngineModel engine({ .kvTokens = 1'024 });
    for (uint64_t n = 0; n < 3; ++n) {
        auto request = requestOf("r" + std::to_string(n), 600, 1);
        request.prefixHashes = blocksFrom(100 * (n + 1), 2);
        engine.submit(request, start + n * 1s);
        engine.advance(start + n * 1s + 900ms);
    }
    EXPECT_FALSE(engine.exportPrefix(101));
    EXPECT_TRUE(engine.exportPrefix(301));
    uint32_t evicted = 0;
    for (const auto& it : engine.events(0, start + 10s))
        evicted += it.kind == CacheEvent::Kind::Evicted ? 1 : 0;
    EXPECT_GE(evicted, 2U);
}

TEST(EngineModel, publishesEventsWithDelayAndGaps)
{
    EngineModel engine({});
    engine.setFaults({ .eventDelay = 500ms, .eventGap = 2 }, start);
    engine.importPrefix(blocksFrom(1, 4), start);
    EXPECT_TRUE(engine.events(0, start + 499ms).empty());
    const auto events = engine.events(0, start + 500ms);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].sequence, 1U);
    EXPECT_EQ(events[1].sequence, 3U);
    EXPECT_EQ(engine.events(1, start + 500ms).size(), 1U);
}

TEST(EngineModel, exportsPrefixToAnotherEngine)
{
    EngineModel from({});
    EngineModel to({});
    from.importPrefix(blocksFrom(1, 4), start);
    const auto chain = from.exportPrefix(3);
    ASSERT_TRUE(chain);
    EXPECT_EQ(*chain, blocksFrom(1, 3));
    to.importPrefix(*chain, start);
    auto request = requestOf("a", 4 * 256, 1);
    request.prefixHashes = blocksFrom(1, 4);
    to.submit(request, start);
    to.advance(start + 10s);
    EXPECT_EQ(to.records()[0].prefillCached, 3 * 256U);
}

TEST(EngineModel, resumesBrokenStreamWithoutLosingOrRepeatingTokensOrWork)
{
    EngineModel engine({});
    engine.setFaults({ .resetAfterTokens = 4 }, start);
    const auto first = engine.submit(requestOf("a", 100, 10), start);
    engine.advance(start + 10s);
    const auto before = readStream(engine.takeOutputs(), *first);
    EXPECT_EQ(before.tokens, indexes(0, 4));
    EXPECT_EQ(before.closed, EngineOutput::Kind::Break);
    const auto second = engine.resume(RequestId("a"), 4, start + 11s);
    ASSERT_TRUE(second);
    const auto after = readStream(engine.takeOutputs(), *second);
    EXPECT_EQ(after.tokens, indexes(4, 10));
    EXPECT_EQ(after.closed, EngineOutput::Kind::End);
    ASSERT_EQ(engine.records().size(), 1U);
    EXPECT_EQ(engine.records()[0].prefillComputed, 100U);
}

TEST(EngineModel, evictsFinishedRequestsBeyondLimit)
{
    EngineModel engine({ .maxRetainedFinished = 1 });
    for (const auto* id : { "a", "b" })
        engine.submit(requestOf(id, 1, 1), start);
    engine.advance(start + 1s);
    EXPECT_FALSE(engine.resume(RequestId("a"), 0, start + 1s));
    EXPECT_TRUE(engine.resume(RequestId("b"), 0, start + 1s));
    EXPECT_FALSE(engine.resume(RequestId("unknown"), 0, start + 1s));
}

TEST(EngineModel, cancelStopsWorkAndBreaksStream)
{
    EngineModel engine({ .decodeStep = 10ms });
    const auto stream = engine.submit(requestOf("a", 100, 1'000), start);
    engine.cancel(RequestId("a"), start + 100ms);
    engine.cancel(RequestId("unknown"), start + 100ms);
    const auto read = readStream(engine.takeOutputs(), *stream);
    EXPECT_EQ(read.closed, EngineOutput::Kind::Break);
    EXPECT_EQ(engine.records()[0].end, EngineEnd::Cancelled);
    EXPECT_FALSE(engine.nextWake());
    EXPECT_FALSE(engine.resume(RequestId("a"), 0, start + 1s));
}

TEST(EngineModel, dropsEndOfAnswerAfterExecution)
{
    EngineModel engine({});
    engine.setFaults({ .dropAnswers = true }, start);
    const auto stream = engine.submit(requestOf("a", 10, 3), start);
    engine.advance(start + 1s);
    const auto read = readStream(engine.takeOutputs(), *stream);
    EXPECT_EQ(read.tokens, indexes(0, 2));
    EXPECT_EQ(read.closed, EngineOutput::Kind::Break);
    EXPECT_EQ(engine.records()[0].end, EngineEnd::Whole);
}

TEST(EngineModel, resumesAfterStall)
{
    EngineModel engine({ .decodeStep = 10ms });
    engine.submit(requestOf("a", 1, 10), start);
    engine.setFaults({ .stalled = true }, start + 20ms);
    engine.advance(start + 10s);
    EXPECT_EQ(engine.records()[0].end, EngineEnd::Running);
    engine.setFaults({}, start + 10s);
    engine.advance(start + 11s);
    EXPECT_EQ(engine.records()[0].end, EngineEnd::Whole);
}

TEST(EngineModel, refusesWithoutExecuting)
{
    EngineModel engine({});
    engine.setFaults({ .refuse = true }, start);
    EXPECT_FALSE(engine.submit(requestOf("a", 10, 3), start));
    EXPECT_EQ(engine.records()[0].end, EngineEnd::Refused);
    EXPECT_EQ(engine.records()[0].prefillComputed, 0U);
}

TEST(EngineModel, rejectsStaleFencingTokensOnlyIfChecked)
{
    for (const bool checks : { true, false }) {
        EngineModel engine({ .checksFencing = checks });
        EXPECT_TRUE(engine.order({ .fencing = 5, .model = "m", .version = "2" }, start));
        EXPECT_EQ(engine.order({ .fencing = 4, .model = "m", .version = "1" }, start), !checks);
        EXPECT_EQ(engine.models().at("m").version, checks ? "2" : "1");
        EXPECT_EQ(engine.orderRecords().size(), 2U);
    }
}

TEST(AnswerText, identifiesPromptAndTokenIndex)
{
    const auto digest = promptDigest("line edit");
    EXPECT_NE(digest, promptDigest("line edit."));
    EXPECT_EQ(wholeAnswer(digest, 2), answerToken(digest, 0) + answerToken(digest, 1));
    EXPECT_NE(answerToken(digest, 0), answerToken(digest, 1));
    for (const uint32_t maxTokens : { 1U, 2U, 7U, 5'000U }) {
        EXPECT_GE(answerLength(digest, maxTokens), 1U);
        EXPECT_LE(answerLength(digest, maxTokens), maxTokens);
    }
}
