// Tests that checkpoints of the quotas are written to the store at the right rate and restored after a
// restart of all daemons.
#include "lentilbay/Edge/QuotaCheckpoints.h"

#include "RawServer.h"
#include "lentilbay/Support/Hash.h"
#include "lentilbay/Support/SteadyClock.h"

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

std::string fieldAfter(const std::string& text, const std::string& name)
{
    const auto begin = text.find("\"" + name + "\":\"") + name.size() + 4;
    return text.substr(begin, text.find('"', begin) - begin);
}

constexpr TokenQuota quota { .tokensPerSecond = 1000, .burstTokens = 2000, .defaultTokens = 200 };

/// A store that keeps the written rows, and daemons that use it.
class QuotaCheckpointsTest : public testing::Test {
protected:
    QuotaCheckpointsTest()
    {
        server.setResponder([this](const std::string& request) { return respond(request); });
    }

    ScriptedResponse respond(const std::string& request)
    {
        if (isAway)
            return { .bytes = httpAnswer(503, "{}") };
        // Days ahead of the daemons' clocks.
        const auto nowMs = (bootNow() - TimePoint()) / 1ms + 1'000'000'000;
        if (request.starts_with("POST")) {
            const auto key = fieldAfter(request, "Key");
            if (expectedVersion(request) != versionOf(key)) {
                ++refused;
                return { .bytes = rowsAnswer(412, nowMs, key) };
            }
            ++writes;
            if (request.find("\"Write\":[]") == std::string::npos)
                put(key, fieldAfter(request, "Value"));
            else
                rows.erase(key);
            if (losesNextAnswer) {
                losesNextAnswer = false;
                return { .bytes = "", .then = ScriptedResponse::Then::Reset };
            }
            return { .bytes = httpAnswer(200, fmt::format(R"({{"Ver":{},"NowMs":{}}})", version, nowMs)) };
        }
        ++reads;
        return { .bytes = rowsAnswer(200, nowMs, "") };
    }

    void put(const std::string& key, const std::string& value) { rows[key] = { value, ++version }; }
    uint64_t versionOf(const std::string& key) const
    {
        const auto it = rows.find(key);
        return it == rows.end() ? 0 : it->second.version;
    }
    /// std::nullopt for a write without a condition.
    static std::optional<uint64_t> expectedVersion(const std::string& request)
    {
        const auto begin = request.find("\"Ver\":");
        return begin == std::string::npos ? std::nullopt
                                          : std::optional<uint64_t>(std::stoull(request.substr(begin + 6)));
    }
    /// @param onlyKey the rows to answer; empty: all
    std::string rowsAnswer(int status, int64_t nowMs, const std::string& onlyKey) const
    {
        std::string list;
        for (const auto& [key, row] : rows) {
            if (onlyKey.empty() || key == onlyKey)
                list += fmt::format(R"({}{{"Table":"quotas","part":"","Key":"{}","Value":"{}","Ver":{}}})",
                    list.empty() ? "" : ",", key, row.value, row.version);
        }
        return httpAnswer(
            status, fmt::format(R"({{"Rows":[{}],"Ver":{},"NowMs":{}}})", list, version, nowMs));
    }
    /// The base64 form of a checkpoint, as in a row.
    static std::string encoded(const QuotaCheckpoint& checkpoint)
    {
        return fieldAfter(
            platform::writeRowRequest("s", "t", "k", encodeQuotaCheckpoint(checkpoint)), "Value");
    }
    static Duration storeTime() { return bootNow() - TimePoint() + 1'000'000s; }

    std::unique_ptr<EdgeState> makeState(bool isFirstStart)
    {
        platform::ProcessSettings settings;
        settings.daemon = DaemonId("d");
        settings.dataCentre = DataCentreId("a");
        settings.isFirstStart = isFirstStart;
        settings.store = { .host = "127.0.0.1", .port = server.port() };
        settings.bounds.quotaWindow = 8s;
        auto out = std::make_unique<EdgeState>(context, settings, 1);
        RouteTable::Parts parts;
        parts.version = 1;
        parts.organisations = { { .name = OrganisationId("o"), .quota = quota } };
        out->routes = std::make_shared<const RouteTable>(std::move(parts));
        return out;
    }

    SharedQuota& quotaOf(EdgeState& state)
    {
        return state.quota(state.routes->organisations().front(), bootNow());
    }
    bool admit(EdgeState& state, double tokens)
    {
        return quotaOf(state).admit(tokens, state.quotaLimits(quota), {}, bootNow());
    }

    /// Lets the daemon work, with heartbeats every 100 ms.
    void run(QuotaCheckpoints& checkpoints, Duration time, bool countsAllUse = false, bool isWriter = true)
    {
        for (const auto until = bootNow() + time; bootNow() < until;) {
            checkpoints.update(countsAllUse, isWriter, bootNow());
            context.restart();
            context.run_for(100ms);
        }
    }

    asio::io_context context;
    RawServer server { context };
    struct Row {
        std::string value;
        uint64_t version = 0;
    };
    std::map<std::string, Row> rows;
    uint64_t version = 0;
    size_t reads = 0;
    /// Applied, and refused because of the row's version.
    size_t writes = 0;
    size_t refused = 0;
    /// The store applies the next write and its answer is lost.
    bool losesNextAnswer = false;
    bool isAway = false;
};

TEST_F(QuotaCheckpointsTest, UseIsRestoredAfterAllDaemonsWereRestarted)
{
    // Guards against a fleet that knows nothing of what was admitted before all daemons were killed.
    {
        const auto before = makeState(true);
        QuotaCheckpoints checkpoints(*before, 1, bootNow());
        EXPECT_FALSE(before->awaitsQuotaHistory);
        EXPECT_TRUE(admit(*before, 2500));
        run(checkpoints, 3s, true);
        EXPECT_GE(writes, 1U);
    }
    ASSERT_TRUE(rows.contains("use/a"));
    const auto after = makeState(false);
    QuotaCheckpoints checkpoints(*after, 2, bootNow());
    EXPECT_TRUE(after->awaitsQuotaHistory);
    run(checkpoints, 300ms);
    EXPECT_FALSE(after->awaitsQuotaHistory);
    EXPECT_TRUE(checkpoints.isRestored());
    EXPECT_GE(quotaOf(*after).admittedInWindow(bootNow()), 2500) << "also for a quota first used later";
}

TEST_F(QuotaCheckpointsTest, DaemonsOfTheSameRestartRestoreTheSame)
{
    // Guards against a daemon that writes what it has restored before the others of its restart have read the
    // row: each of them would add the most that may have been admitted unseen once more.
    {
        const auto before = makeState(true);
        QuotaCheckpoints checkpoints(*before, 1, bootNow());
        EXPECT_TRUE(admit(*before, 2500));
        run(checkpoints, 3s, true);
    }
    const auto written = writes;
    const auto after = makeState(false);
    QuotaCheckpoints checkpoints(*after, 2, bootNow());
    quotaOf(*after);
    run(checkpoints, 500ms);
    EXPECT_TRUE(checkpoints.isRestored());
    EXPECT_EQ(writes, written);
    run(checkpoints, 2500ms);
    EXPECT_GT(writes, written);
}

TEST_F(QuotaCheckpointsTest, CheckpointFromBeforeAnOutageRefusedAllUseForAWindow)
{
    // Guards against a fleet that counts 5 s of the greatest possible use, because the store was away before
    // all daemons were killed, and refuses organisations far below their quota.
    {
        const auto before = makeState(true);
        QuotaCheckpoints checkpoints(*before, 1, bootNow());
        EXPECT_TRUE(admit(*before, 2500));
        run(checkpoints, 3s, true);
    }
    ASSERT_TRUE(rows.contains("use/a"));
    const auto after = makeState(false);
    QuotaCheckpoints checkpoints(*after, 2, bootNow() + 5s);
    run(checkpoints, 300ms);
    EXPECT_FALSE(after->awaitsQuotaHistory);
    EXPECT_FALSE(checkpoints.isRestored());
    EXPECT_EQ(quotaOf(*after).admittedInWindow(bootNow()), 0);
}

TEST_F(QuotaCheckpointsTest, IsReadWhenTheStoreIsBack)
{
    {
        const auto writer = makeState(true);
        QuotaCheckpoints checkpoints(*writer, 1, bootNow());
        EXPECT_TRUE(admit(*writer, 2500));
        run(checkpoints, 3s, true);
    }
    isAway = true;
    const auto state = makeState(false);
    auto& quota = quotaOf(*state);
    QuotaCheckpoints checkpoints(*state, 2, bootNow());
    run(checkpoints, 500ms);
    EXPECT_FALSE(state->awaitsQuotaHistory) << "requests are not refused for as long as the store is away";
    EXPECT_FALSE(checkpoints.isRestored());
    EXPECT_GE(checkpoints.failures(), 1U);
    isAway = false;
    run(checkpoints, 1500ms);
    EXPECT_TRUE(checkpoints.isRestored());
    EXPECT_GE(quota.admittedInWindow(bootNow()), 2500);
}

TEST_F(QuotaCheckpointsTest, NothingIsWrittenWithoutUseOrHistoryOrByOthers)
{
    const auto idle = makeState(true);
    QuotaCheckpoints checkpoints(*idle, 1, bootNow());
    run(checkpoints, 500ms, true);
    EXPECT_EQ(checkpoints.calls(), 0U) << "without use";
    EXPECT_TRUE(admit(*idle, 100));
    run(checkpoints, 500ms, true, false);
    EXPECT_EQ(checkpoints.calls(), 0U) << "by a daemon that is not the writer";
    const auto restarted = makeState(false);
    QuotaCheckpoints unknowing(*restarted, 1, bootNow());
    quotaOf(*restarted).applyUse(100, bootNow());
    run(unknowing, 500ms);
    EXPECT_EQ(writes, 0U) << "a daemon without history would replace a better row";
    EXPECT_EQ(unknowing.calls(), 1U) << "one read is enough if the store has no row";
}

TEST_F(QuotaCheckpointsTest, DaemonThatWasSuspendedReplacesNoNewerRow)
{
    // Guards against a checkpoint of before a suspension, or of a daemon that no longer is the writer, that
    // replaces the one of the present writer.
    const auto state = makeState(true);
    QuotaCheckpoints checkpoints(*state, 1, bootNow());
    EXPECT_TRUE(admit(*state, 2500));
    run(checkpoints, 1s, true);
    ASSERT_TRUE(rows.contains("use/a"));
    EXPECT_EQ(refused, 0U);
    const auto newer = encoded({ .takenAt = storeTime(), .incarnation = 2 });
    put("use/a", newer);
    for (int i = 0; i < 40 && refused == 0; ++i)
        run(checkpoints, 100ms, true);
    EXPECT_EQ(refused, 1U);
    EXPECT_EQ(rows["use/a"].value, newer);
    run(checkpoints, 300ms, true);
    EXPECT_EQ(checkpoints.conflicts(), 1U);
    EXPECT_EQ(rows["use/a"].value, newer) << "not before the next period";
    run(checkpoints, 2500ms, true);
    EXPECT_NE(rows["use/a"].value, newer) << "a daemon that still is the writer goes on";
}

TEST_F(QuotaCheckpointsTest, WriteWhoseAnswerIsLostIsFollowedByARead)
{
    // Guards against a writer that takes its own row for that of another daemon, and writes nothing for a
    // period.
    const auto state = makeState(true);
    QuotaCheckpoints checkpoints(*state, 1, bootNow());
    EXPECT_TRUE(admit(*state, 2500));
    losesNextAnswer = true;
    run(checkpoints, 1s, true);
    EXPECT_EQ(writes, 1U);
    EXPECT_EQ(reads, 1U);
    run(checkpoints, 3s, true);
    EXPECT_GE(writes, 2U);
    EXPECT_EQ(reads, 2U);
    EXPECT_EQ(refused, 0U);
    EXPECT_EQ(checkpoints.failures(), 1U);
}

TEST_F(QuotaCheckpointsTest, RowsOfRemovedDataCentresAreDeleted)
{
    // Guards against rows that each daemon which starts reads for ever.
    const auto old = encoded({ .takenAt = storeTime() - 2h, .incarnation = 9 });
    const auto recent = encoded({ .takenAt = storeTime() - 10min, .incarnation = 9 });
    put("use/a", old);
    put("use/removed", old);
    put("use/removed2", old);
    put("use/idle", recent);
    const auto state = makeState(false);
    QuotaCheckpoints checkpoints(*state, 1, bootNow());
    run(checkpoints, 300ms, false, false);
    EXPECT_EQ(rows.size(), 4U) << "by a daemon that is not the writer";
    put("use/removed2", recent);
    run(checkpoints, 500ms);
    EXPECT_FALSE(rows.contains("use/removed"));
    EXPECT_TRUE(rows.contains("use/a")) << "its own row";
    EXPECT_TRUE(rows.contains("use/idle"));
    EXPECT_TRUE(rows.contains("use/removed2")) << "written again since it was read";
    EXPECT_EQ(refused, 1U);
}

TEST_F(QuotaCheckpointsTest, RowsOfRemovedDataCentresAreDeletedByADaemonThatHearsAPeerFirst)
{
    // Guards against abandoned rows that stay because daemons hear a peer before the store has answered them.
    put("use/removed", encoded({ .takenAt = storeTime() - 2h, .incarnation = 9 }));
    const auto state = makeState(false);
    QuotaCheckpoints checkpoints(*state, 1, bootNow());
    checkpoints.update(false, true, bootNow());
    ASSERT_TRUE(checkpoints.isCalling());
    run(checkpoints, 500ms, true);
    EXPECT_FALSE(rows.contains("use/removed"));
    EXPECT_FALSE(checkpoints.isRestored());
    EXPECT_EQ(reads, 1U);
}

TEST_F(QuotaCheckpointsTest, CallThatWasOutstandingAtTheEndChangesNothing)
{
    // Guards against a handler of the connection that uses the checkpoints after they were destroyed.
    const auto state = makeState(false);
    {
        QuotaCheckpoints checkpoints(*state, 1, bootNow());
        checkpoints.update(false, false, bootNow());
        ASSERT_TRUE(checkpoints.isCalling());
    }
    context.restart();
    context.run_for(100ms);
    EXPECT_TRUE(state->awaitsQuotaHistory);
}

TEST_F(QuotaCheckpointsTest, PeerThatCountsAllUseReplacesTheCheckpoint)
{
    const auto state = makeState(false);
    QuotaCheckpoints checkpoints(*state, 1, bootNow());
    checkpoints.update(true, false, bootNow());
    EXPECT_FALSE(state->awaitsQuotaHistory);
    EXPECT_TRUE(checkpoints.hasHistory());
    EXPECT_FALSE(checkpoints.isRestored());
}

TEST(QuotaCheckpointsEncoding, IsReadBack)
{
    QuotaCheckpoint checkpoint { .takenAt = 123'456ms, .incarnation = UINT64_MAX };
    checkpoint.uses[UINT64_MAX] = { .level = 3, .parts = { 1, 2, 3, 4, 5, 6, 7, 8'000'000 } };
    checkpoint.uses[7] = { .level = 0, .parts = {} };
    const auto text = encodeQuotaCheckpoint(checkpoint);
    EXPECT_EQ(decodeQuotaCheckpoint(text), checkpoint);
    checkpoint.uses.clear();
    EXPECT_EQ(decodeQuotaCheckpoint(encodeQuotaCheckpoint(checkpoint)), checkpoint);
    for (const auto* invalid : { "", "1", "2 5 5\n", "1 5 5\n7", "1 5 5\n7 1 1 1", "1 5 5\nx", "1 -5 5\n",
             "1 7fffffffffffffff 5\n" })
        EXPECT_EQ(decodeQuotaCheckpoint(invalid), std::nullopt) << invalid;
}

} // namespace
} // namespace lentilbay::edge
