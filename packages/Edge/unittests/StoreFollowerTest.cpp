// Tests reading and following of a store table, through outages, lost history and expired entries.
#include "lentilbay/Edge/StoreFollower.h"

#include "RawServer.h"
#include "lentilbay/Support/SteadyClock.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

/// A row as the store prints it; the value is "x" in base64.
std::string row(const std::string& key, int version, bool isDeleted = false)
{
    return R"({"Table":"t","part":"","Key":")" + key + R"(","Ver":)" + std::to_string(version)
        + (isDeleted ? R"(,"Deleted":true})" : R"(,"Value":"eA=="})");
}

std::string answer(const std::string& rows, int version, bool hasMore = false)
{
    return httpResponse(200,
        R"({"Rows":[)" + rows + R"(],"HasMore":)" + (hasMore ? "true" : "false") + R"(,"Ver":)"
            + std::to_string(version) + R"(,"NowMs":1})");
}

std::string answerOfEra(uint64_t era, const std::string& rows, int version)
{
    return httpResponse(200,
        R"({"Rows":[)" + rows + R"(],"HasMore":false,"Ver":)" + std::to_string(version) + "}",
        "Store-Era: " + std::to_string(era) + "\r\n");
}

class StoreFollowerTest : public testing::Test {
protected:
    void start(Duration deletionDelay = Duration::zero())
    {
        follower = std::make_unique<StoreFollower>(context,
            StoreFollowerOptions { .store = { asio::ip::make_address("127.0.0.1"), server.port() },
                .table = "t",
                .wait = 100ms,
                .spacing = spacing,
                .spacingWhilePassive = spacingWhilePassive,
                .replica = { .deletionDelay = deletionDelay } },
            StoreFollower::Callbacks { .changed =
                                           [this](const auto& it) {
                                               seen += "+" + it.key + std::to_string(it.version.number);
                                               held[it.key] = follower->heldSince();
                                           },
                .deleted = [this](const auto& key) { seen += "-" + key; },
                .confirmed = [this](TimePoint at) { confirmedAt = at; },
                .skipPollingFor =
                    [this](TimePoint now) {
                        ++checks;
                        return maySkipPolling ? skippedUntil - now : Duration::zero();
                    },
                .hasOtherReader = [this] { return hasOtherReader; },
                .eraChanged = [this](uint64_t it) { era = it; } });
        follower->start();
    }

    void runUntil(const std::function<bool()>& done)
    {
        constexpr int maxSteps = 4000;
        for (int i = 0; i < maxSteps && !done(); ++i) {
            context.run_for(5ms);
            context.restart();
            follower->applyDueChanges(bootNow());
        }
        ASSERT_TRUE(done()) << seen;
    }

    asio::io_context context;
    RawServer server { context };
    std::unique_ptr<StoreFollower> follower;
    std::string seen;
    std::map<std::string, std::optional<TimePoint>> held;
    TimePoint confirmedAt {};
    Duration spacing = 1ms;
    uint64_t era = 0;
    bool maySkipPolling = false;
    TimePoint skippedUntil = bootNow() + 1h;
    int checks = 0;
    bool hasOtherReader = false;
    Duration spacingWhilePassive = 1ms;
};

TEST_F(StoreFollowerTest, ReadsAllPagesThenFollowsChanges)
{
    server.script({ .bytes = answer(row("a", 3), 7, true) });
    server.script({ .bytes = answer(row("b", 5), 8) });
    server.script({ .bytes = answer(row("a", 9) + "," + row("b", 10, true), 10) });
    start();
    runUntil([&] { return seen == "+a3+b5+a9-b"; });
    ASSERT_GE(server.requests().size(), 3U);
    EXPECT_NE(server.requests()[1].find("From=a%00"), std::string::npos);
    EXPECT_NE(server.requests()[2].find("After=7"), std::string::npos) << "the version of the first page";
    EXPECT_GT(confirmedAt, TimePoint());
}

// Guards against a deadline that counts from too early, or from when there was already an order: a row that
// the store held the call for was written after the call.
TEST_F(StoreFollowerTest, KnowsWhenARowWasAbsent)
{
    server.script({ .bytes = answer(row("a", 3), 7), .delay = 150ms });
    server.script({ .bytes = answer(row("b", 8), 8) });
    server.script({ .bytes = answer(row("c", 9), 9), .delay = 150ms });
    start();
    runUntil([&] { return seen == "+a3+b8"; });
    const auto before = confirmedAt;
    runUntil([&] { return seen == "+a3+b8+c9"; });
    EXPECT_FALSE(held["a"]) << "a snapshot";
    EXPECT_FALSE(held["b"]) << "an answer at once";
    ASSERT_TRUE(held["c"]);
    EXPECT_GT(*held["c"], before) << "the call that follows the one for b";
    EXPECT_LE(*held["c"], bootNow() - 100ms);
    EXPECT_FALSE(follower->heldSince());
}

TEST_F(StoreFollowerTest, PollsBeforeTheNextCallIsDueWhenAsked)
{
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.script({ .bytes = answer(row("b", 8), 8) });
    spacing = 60s;
    start();
    runUntil([&] { return seen == "+a3"; });
    follower->pollNow();
    runUntil([&] { return seen == "+a3+b8"; });
}

TEST_F(StoreFollowerTest, IgnoresAnOlderRow)
{
    server.script({ .bytes = answer(row("a", 5), 7) });
    server.script({ .bytes = answer(row("a", 4), 8) });
    server.script({ .bytes = answer(row("b", 9), 9) });
    start();
    runUntil([&] { return seen == "+a5+b9"; });
}

TEST_F(StoreFollowerTest, ReadsASnapshotAgainIfTheHistoryIsLost)
{
    server.script({ .bytes = answer(row("a", 3) + "," + row("b", 4), 7) });
    server.script({ .bytes = httpResponse(410, "") });
    server.script({ .bytes = answer(row("a", 8), 20) });
    start();
    runUntil([&] { return seen == "+a3+b4+a8-b"; });
}

TEST_F(StoreFollowerTest, RecoversAfterAnOutage)
{
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.script({ .bytes = "", .then = ScriptedResponse::Then::Reset });
    server.script({ .bytes = httpResponse(503, "") });
    server.script({ .bytes = httpResponse(200, "not json") });
    server.script({ .bytes = answer(row("a", 8), 8) });
    start();
    runUntil([&] { return seen == "+a3+a8"; });
    EXPECT_EQ(follower->failures(), 3U);
}

TEST_F(StoreFollowerTest, AbandonsACallThatTimesOut)
{
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.script({ .bytes = "", .delay = 60s });
    start();
    runUntil([&] { return seen == "+a3" && server.requests().size() == 2; });
    server.script({ .bytes = answer(row("a", 8), 8) });
    runUntil([&] { return seen == "+a3+a8"; });
}

/// An answer that takes about 2 s to arrive.
ScriptedResponse slowAnswer(const std::string& rows, int version)
{
    constexpr size_t padding = 4000;
    const auto bytes = answer(rows + std::string(padding, ' '), version);
    return { .bytes = bytes, .pieceBytes = bytes.size() / 10, .pieceDelay = 200ms };
}

TEST_F(StoreFollowerTest, LargeAnswerWasAbandonedWhileItArrived)
{
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.script(slowAnswer(row("a", 8), 8));
    start();
    runUntil([&] { return seen == "+a3+a8"; });
    EXPECT_EQ(follower->failures(), 0U);
    EXPECT_LE(server.requests().size(), 3U) << "the third one asks for what follows";
}

TEST_F(StoreFollowerTest, LargeAnswersArrivedSideBySideAfterAnOutage)
{
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.script({ .bytes = "", .then = ScriptedResponse::Then::Reset });
    for (int i = 0; i < 20; ++i)
        server.script(slowAnswer(row("a", 8), 8));
    start();
    runUntil([&] { return seen == "+a3+a8"; });
    // One call, and at most another one that began before the first bytes arrived.
    EXPECT_LE(server.requests().size(), 4U);
}

TEST_F(StoreFollowerTest, AnswerThatStopsHalfwayIsAbandoned)
{
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.script({ .bytes = answer(row("a", 8), 8).substr(0, 60) });
    server.script({ .bytes = answer(row("a", 9), 9) });
    start();
    const auto begunAt = bootNow();
    runUntil([&] { return seen == "+a3+a9"; });
    EXPECT_LT(bootNow() - begunAt, 2500ms);
}

TEST_F(StoreFollowerTest, SkipsPollingWhilePeersHaveNothingNewer)
{
    maySkipPolling = true;
    server.script({ .bytes = answer(row("a", 3), 7) });
    start();
    runUntil([&] { return seen == "+a3"; });
    EXPECT_EQ(follower->changedVersion().number, 7U)
        << "rows that were deleted before are not in the snapshot";
    const auto at = bootNow() + 1s;
    follower->peerConfirmed({ .number = 12 }, { .number = 7 }, at);
    EXPECT_EQ(confirmedAt, at);
    EXPECT_EQ(follower->coveredVersion(), StoreVersion { .number = 12 });
    context.run_for(400ms);
    context.restart();
    EXPECT_EQ(server.requests().size(), 1U);
    // A change that this view lacks must be read before the view is confirmed again.
    server.script({ .bytes = answer(row("a", 14), 15) });
    follower->peerConfirmed({ .number = 15 }, { .number = 14 }, at + 1s);
    EXPECT_EQ(confirmedAt, at);
    runUntil([&] { return seen == "+a3+a14"; });
    EXPECT_NE(server.requests()[1].find("After=12"), std::string::npos);
}

TEST_F(StoreFollowerTest, ChecksRarelyWhilePeersReadForIt)
{
    // Each passive follower of an idle fleet looked seven times a second whether it had to read.
    maySkipPolling = true;
    server.script({ .bytes = answer(row("a", 3), 7) });
    start();
    runUntil([&] { return seen == "+a3"; });
    checks = 0;
    context.run_for(2s);
    context.restart();
    EXPECT_LE(checks, 6);
    EXPECT_EQ(server.requests().size(), 1U);
}

TEST_F(StoreFollowerTest, ReadsBeforeTheViewFromPeersIsTooOld)
{
    maySkipPolling = true;
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.script({ .bytes = answer(row("a", 9), 9) });
    skippedUntil = bootNow() + 200ms;
    start();
    runUntil([&] { return seen == "+a3"; });
    runUntil([&] { return seen == "+a3+a9"; });
    EXPECT_GE(bootNow(), skippedUntil);
    EXPECT_LE(bootNow(), skippedUntil + 100ms);
}

TEST_F(StoreFollowerTest, ReadsChangesOfPeersNoMoreOftenThanItsSpacing)
{
    // While a fleet starts, entries change all the time, and each change would make every daemon call the
    // store.
    maySkipPolling = true;
    spacingWhilePassive = 1s;
    server.script({ .bytes = answer(row("a", 3), 7) });
    start();
    runUntil([&] { return seen == "+a3"; });
    server.script({ .bytes = answer(row("a", 9), 9) });
    const auto before = bootNow();
    for (uint64_t version = 8; version < 10; ++version) {
        follower->peerConfirmed({ .number = version }, { .number = version }, bootNow());
        context.run_for(250ms);
        context.restart();
    }
    EXPECT_EQ(server.requests().size(), 1U);
    runUntil([&] { return seen == "+a3+a9"; });
    EXPECT_GE(bootNow() - before, 900ms);
}

TEST_F(StoreFollowerTest, RetriesLessOftenIfAnotherDaemonReads)
{
    hasOtherReader = true;
    server.script({ .bytes = answer(row("a", 3), 7) });
    server.setResponder(
        [](const std::string&) { return ScriptedResponse { .bytes = httpResponse(503, "") }; });
    start();
    context.run_for(2s);
    context.restart();
    const auto failuresAsPassive = follower->failures();
    hasOtherReader = false;
    context.run_for(2s);
    context.restart();
    EXPECT_GT(failuresAsPassive, 0U);
    EXPECT_GT(follower->failures() - failuresAsPassive, failuresAsPassive);
}

TEST_F(StoreFollowerTest, OlderPeerViewDoesNotMoveTheViewBack)
{
    maySkipPolling = true;
    server.script({ .bytes = answer(row("a", 3), 7) });
    start();
    runUntil([&] { return seen == "+a3"; });
    const auto first = *follower->confirmedAt();
    follower->peerConfirmed({ .number = 5 }, { .number = 3 }, first - 1s);
    EXPECT_EQ(follower->coveredVersion(), StoreVersion { .number = 7 });
    EXPECT_EQ(follower->confirmedAt(), first);
}

TEST_F(StoreFollowerTest, VersionOvertookTheOldOneBeforeTheStoreWasAskedAgain)
{
    // No 410 shows that the store came back from an older copy; row "a" was written again at a lower version.
    server.script({ .bytes = answerOfEra(1, row("a", 5) + "," + row("b", 6), 7) });
    server.script({ .bytes = answerOfEra(2, row("b", 9), 9) });
    server.script({ .bytes = answerOfEra(2, row("a", 4) + "," + row("b", 9) + "," + row("c", 6), 9) });
    start();
    runUntil([&] { return seen == "+a5+b6+c6"; });
    EXPECT_NE(server.requests()[2].find("rows-get"), std::string::npos);
    EXPECT_EQ(era, 2U);
    EXPECT_EQ(follower->coveredVersion(), (StoreVersion { .era = 2, .number = 9 }));
}

TEST_F(StoreFollowerTest, PeerOfTheFormerEraConfirmedAnIncompleteView)
{
    maySkipPolling = true;
    server.script({ .bytes = answerOfEra(1, row("a", 3), 7) });
    start();
    runUntil([&] { return seen == "+a3"; });
    const auto first = *follower->confirmedAt();
    server.script({ .bytes = answerOfEra(2, row("a", 3) + "," + row("b", 5), 6) });
    follower->enterEra(2, bootNow());
    // The peer has not seen the new era, in which this daemon has read nothing yet.
    follower->peerConfirmed({ .era = 1, .number = 9 }, { .era = 1, .number = 7 }, first + 1s);
    EXPECT_EQ(follower->confirmedAt(), first);
    runUntil([&] { return seen == "+a3+b5"; });
    follower->peerConfirmed({ .era = 1, .number = 9 }, { .era = 1, .number = 7 }, first + 60s);
    EXPECT_LT(*follower->confirmedAt(), first + 60s);
    follower->peerConfirmed({ .era = 2, .number = 8 }, { .era = 2, .number = 6 }, first + 60s);
    EXPECT_EQ(follower->confirmedAt(), first + 60s);
}

TEST_F(StoreFollowerTest, AnswerOfAFormerEraArrivedLate)
{
    server.script({ .bytes = answerOfEra(2, row("a", 3), 7) });
    server.script({ .bytes = answerOfEra(1, row("a", 9), 9) });
    server.script({ .bytes = answerOfEra(2, row("b", 8), 8) });
    start();
    runUntil([&] { return seen == "+a3+b8"; });
    EXPECT_EQ(follower->failures(), 1U);
}

TEST_F(StoreFollowerTest, ChangeThatOnlyPeersHaveReadIsLostWithTheFormerEra)
{
    // Until it has been written again, what the store says is not complete.
    maySkipPolling = true;
    server.script({ .bytes = answerOfEra(1, row("a", 3), 7) });
    start();
    runUntil([&] { return seen == "+a3"; });
    const auto first = *follower->confirmedAt();
    spacingWhilePassive = 60s;
    follower->peerConfirmed({ .era = 1, .number = 9 }, { .era = 1, .number = 9 }, bootNow());
    server.script({ .bytes = answerOfEra(2, row("a", 3) + "," + row("b", 5), 6) });
    follower->enterEra(2, bootNow());
    runUntil([&] { return seen == "+a3+b5"; });
    EXPECT_EQ(follower->confirmedAt(), first);
    const auto at = bootNow() + 3s;
    follower->peerConfirmed({ .era = 2, .number = 6 }, { .era = 2, .number = 6 }, at);
    EXPECT_EQ(follower->confirmedAt(), at);
}

TEST_F(StoreFollowerTest, EntryThatExpiredInAnOutageMayReturn)
{
    server.script({ .bytes = answer(row("a", 3) + "," + row("b", 4), 7) });
    server.script({ .bytes = "", .then = ScriptedResponse::Then::Reset });
    server.script({ .bytes = answer(row("a", 8, true) + "," + row("b", 9, true), 9) });
    server.script({ .bytes = answer(row("a", 10), 10) });
    start(300ms);
    runUntil([&] { return seen == "+a3+b4+a10-b"; });
}

} // namespace
} // namespace lentilbay::edge
