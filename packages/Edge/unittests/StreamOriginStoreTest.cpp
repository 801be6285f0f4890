// Tests that the origins of streams are written to the store in few calls and found there after a restart.
#include "lentilbay/Edge/StreamOriginStore.h"

#include "RawServer.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

std::string httpAnswer(int status, const std::string& body)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
}

std::string fieldAfter(const std::string& text, size_t from, const std::string& name)
{
    const auto begin = text.find("\"" + name + "\":\"", from) + name.size() + 4;
    return text.substr(begin, text.find('"', begin) - begin);
}

/// A store that keeps the written rows and answers reads from them.
class StreamOriginStoreTest : public testing::Test {
protected:
    StreamOriginStoreTest()
    {
        server.setResponder([this](const std::string& request) { return respond(request); });
    }

    ScriptedResponse respond(const std::string& request)
    {
        if (isAway)
            return { .bytes = httpAnswer(503, "{}") };
        if (request.starts_with("POST")) {
            const auto deletions = request.find("\"Delete\"");
            for (auto at = request.find("\"Key\""); at != std::string::npos;
                 at = request.find("\"Key\"", at + 1)) {
                const auto key = fieldAfter(request, at, "Key");
                if (at > deletions && at < request.find("\"ExpectedRev\""))
                    rows.erase(key);
                else
                    rows[key] = fieldAfter(request, at, "Value");
            }
            return { .bytes = httpAnswer(200, "{}") };
        }
        const auto from = request.find("From=") + 5;
        const auto it = rows.find(request.substr(from, request.find('&', from) - from));
        return { .bytes = httpAnswer(200,
                     it == rows.end()
                         ? R"({"Rows":[],"Ver":1,"HasMore":false})"
                         : fmt::format(
                             R"({{"Rows":[{{"Table":"streams","part":"","Key":"{}","Value":"{}","Ver":1}}],)"
                             R"("Ver":1,"HasMore":false}})",
                             it->first, it->second)) };
    }

    void run(Duration time)
    {
        context.restart();
        context.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(time));
    }

    /// Runs until the call that is in progress has been answered; the test fails if that takes very long.
    void awaitCall(const StreamOriginStore& store)
    {
        constexpr int maxSteps = 1000;
        for (int i = 0; i < maxSteps && store.isWriting(); ++i)
            run(10ms);
        EXPECT_FALSE(store.isWriting());
    }

    std::optional<StreamOrigin> found(StreamOriginStore& store, uint64_t stream)
    {
        std::optional<StreamOrigin> out;
        size_t answers = 0;
        store.find(
            stream,
            [&](const auto& origin) {
                out = origin;
                ++answers;
            },
            bootNow());
        run(600ms);
        EXPECT_EQ(answers, 1U);
        return out;
    }

    asio::io_context context;
    RawServer server { context };
    asio::ip::tcp::endpoint address { asio::ip::make_address("127.0.0.1"), server.port() };
    std::map<std::string, std::string> rows;
    bool isAway = false;
    TimePoint now = bootNow();
};

TEST_F(StreamOriginStoreTest, StreamIsResumableAfterAllDaemonsWereRestarted)
{
    // Guards against refusing every stream that is resumed after a loss of all daemons while two software
    // versions serve: none of 157 went on (site djspu-edit, scenario rejoined).
    {
        StreamOriginStore before(context, address);
        before.record(7, { .service = 3, .version = 4 });
        before.record(8, { .service = 3, .version = UINT64_MAX });
        before.poll(8, now);
        awaitCall(before);
        EXPECT_EQ(before.unwritten(), 0U);
    }
    StreamOriginStore after(context, address);
    EXPECT_EQ(found(after, 7), (StreamOrigin { .service = 3, .version = 4 }));
    EXPECT_EQ(found(after, 8), (StreamOrigin { .service = 3, .version = UINT64_MAX }));
    EXPECT_EQ(found(after, 9), std::nullopt) << "an origin that was not written stays unknown";
}

TEST_F(StreamOriginStoreTest, WritesManyOriginsInOneCall)
{
    StreamOriginStore store(context, address);
    for (uint64_t i = 0; i < 40; ++i)
        store.record(i, { .service = 1, .version = 2 });
    store.poll(8, now);
    store.poll(8, now);
    awaitCall(store);
    EXPECT_EQ(store.calls(), 1U);
    EXPECT_EQ(rows.size(), 40U);
    store.record(99, { .service = 1, .version = 2 });
    store.poll(8, now + 100ms);
    run(50ms);
    EXPECT_EQ(store.calls(), 1U) << "the next call is not due";
    store.poll(8, now + 300ms);
    awaitCall(store);
    EXPECT_EQ(rows.size(), 41U);
}

TEST_F(StreamOriginStoreTest, WritesAgainWhatTheStoreDidNotAcknowledge)
{
    StreamOriginStore store(context, address);
    isAway = true;
    store.record(7, { .service = 3, .version = 4 });
    store.poll(8, now);
    awaitCall(store);
    EXPECT_EQ(store.unwritten(), 1U);
    EXPECT_EQ(store.failures(), 1U);
    EXPECT_EQ(found(store, 7), std::nullopt) << "a store that is away knows nothing";
    isAway = false;
    store.poll(8, now + 2s);
    awaitCall(store);
    EXPECT_EQ(store.unwritten(), 0U);
    EXPECT_TRUE(found(store, 7));
}

TEST_F(StreamOriginStoreTest, RemovesRowsOfStreamsThatHaveEnded)
{
    StreamOriginStore store(context, address);
    for (uint64_t i = 0; i < 3; ++i)
        store.record(i, { .service = 1, .version = 2 });
    store.poll(8, now);
    awaitCall(store);
    EXPECT_EQ(rows.size(), 3U);
    store.poll(8, now + 30s);
    run(100ms);
    EXPECT_EQ(rows.size(), 3U);
    store.poll(8, now + 46s);
    awaitCall(store);
    EXPECT_EQ(rows.size(), 0U);
}

TEST_F(StreamOriginStoreTest, UnreadableRowIsNoOrigin)
{
    StreamOriginStore store(context, address);
    for (const std::string value : { "", "3", "3,", "x,y", "3,4,5" }) {
        rows["0000000000000007"] = "";
        store.record(7, { .service = 3, .version = 4 });
        store.poll(8, now += 1s);
        awaitCall(store);
        ASSERT_TRUE(rows.contains("0000000000000007"));
        // "Myw=" is "3,", "Mw==" is "3", "eCx5" is "x,y", "Myw0LDU=" is "3,4,5".
        const std::map<std::string, std::string> encoded { { "", "" }, { "3", "Mw==" }, { "3,", "Myw=" },
            { "x,y", "eCx5" }, { "3,4,5", "Myw0LDU=" } };
        rows["0000000000000007"] = encoded.at(value);
        EXPECT_EQ(found(store, 7), std::nullopt) << value;
    }
}

TEST_F(StreamOriginStoreTest, StoreThatDoesNotAnswerEndsTheSearch)
{
    StreamOriginStore store(context, address);
    server.setResponder([](const std::string&) { return ScriptedResponse {}; });
    EXPECT_EQ(found(store, 7), std::nullopt);
    EXPECT_EQ(store.failures(), 1U);
}

} // namespace
} // namespace lentilbay::edge
