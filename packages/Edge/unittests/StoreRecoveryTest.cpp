// Tests how soon a daemon's view of the store is current again after it could not reach the store. The times
// are those of the default bounds of the platform.
#include "lentilbay/Edge/StoreFollower.h"

#include "RawServer.h"
#include "lentilbay/Support/SteadyClock.h"

#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

/// From this long after an outage a daemon must act on what the store says.
constexpr Duration contactBound = 3s;
/// An endpoint that is leaving must get nothing from this long after the store has announced it.
constexpr Duration drainBound = 2500ms;
/// The time until a daemon that reads the store has told its peers of a change.
constexpr Duration untilPeerReports = 900ms;
/// The period within which entries that expired in an outage are written again, and a margin.
constexpr Duration lapsedEntryDelay = 2100ms;
/// Two heartbeats of an endpoint.
constexpr Duration minOutageToExpire = 2400ms;

std::string row(const std::string& key, int version, bool isDeleted = false)
{
    return R"({"Table":"t","part":"","Key":")" + key + R"(","Ver":)" + std::to_string(version)
        + (isDeleted ? R"(,"Deleted":true})" : R"(,"Value":"eA=="})");
}

std::string answer(const std::string& rows, int version)
{
    return httpResponse(
        200, R"({"Rows":[)" + rows + R"(],"HasMore":false,"Ver":)" + std::to_string(version) + "}");
}

class StoreRecovery : public testing::Test {
protected:
    void start(ScriptedResponse snapshot = { .bytes = answer(row("a", 3) + "," + row("b", 4), 7) })
    {
        server.script(std::move(snapshot));
        follower = std::make_unique<StoreFollower>(context,
            StoreFollowerOptions { .store = { asio::ip::make_address("127.0.0.1"), server.port() },
                .table = "t",
                .wait = 750ms,
                .spacing = 200ms,
                .replica = { .deletionDelay = lapsedEntryDelay, .minOutageToExpire = minOutageToExpire } },
            StoreFollower::Callbacks { .changed = [this](const auto& it) { seen += "+" + it.key; },
                .deleted = [this](const auto& key) { seen += "-" + key; },
                .confirmed = [](TimePoint) {},
                .skipPollingFor
                = [this](TimePoint) { return maySkipPolling ? Duration(1h) : Duration::zero(); },
                .hasOtherReader = [] { return true; } });
        follower->start();
        runUntil([this] { return seen == "+a+b"; });
    }

    /// Leaves calls unanswered until several have failed, and answers from the next failed call on.
    void passOutage(const std::string& rowsAfterwards)
    {
        server.setResponder([](const std::string&) { return ScriptedResponse { .delay = 1h }; });
        runUntil([this] { return follower->failures() >= 3; });
        // The call that is sent last before the store returns is lost.
        const auto calls = server.requests().size();
        runUntil([&] { return server.requests().size() > calls; });
        server.setResponder([rowsAfterwards](const std::string&) {
            return ScriptedResponse { .bytes = answer(rowsAfterwards, 9), .delay = 4ms };
        });
        returnedAt = bootNow();
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
    bool maySkipPolling = false;
    TimePoint returnedAt {};
};

TEST_F(StoreRecovery, ChangeMadeDuringASilentOutageWasReadLate)
{
    // Requests went to an endpoint that had announced during the outage that it was leaving.
    start();
    passOutage(row("a", 8));
    runUntil([this] { return seen == "+a+b+a"; });
    EXPECT_LT(bootNow() - returnedAt, contactBound);
}

TEST_F(StoreRecovery, EntryRemovedDuringASilentOutageStayedInUse)
{
    // Requests went to an endpoint whose entry had been removed during the outage.
    start();
    passOutage(row("a", 8, true));
    runUntil([this] { return seen == "+a+b-a"; });
    EXPECT_GE(bootNow() - returnedAt, 2s) << "its endpoint may still write the entry again";
    EXPECT_LT(bootNow() - returnedAt, contactBound);
}

TEST_F(StoreRecovery, RetriesAtOnceWhenAPeerHasReachedTheStore)
{
    start();
    passOutage(row("a", 8));
    follower->peerConfirmed({ .number = 9 }, { .number = 8 }, bootNow());
    runUntil([this] { return seen == "+a+b+a"; });
    EXPECT_LT(bootNow() - returnedAt, 200ms);
}

TEST_F(StoreRecovery, ChangeSeenByAPeerWaitedForADeadConnection)
{
    // The idle connection of a daemon that leaves reading to a peer had died without a reset.
    maySkipPolling = true;
    start();
    server.script({ .bytes = "", .delay = 1h });
    server.script({ .bytes = answer(row("a", 8), 9) });
    const auto reportedAt = bootNow();
    follower->peerConfirmed({ .number = 9 }, { .number = 8 }, reportedAt);
    runUntil([this] { return seen == "+a+b+a"; });
    EXPECT_LT(bootNow() - reportedAt, drainBound - untilPeerReports);
}

TEST_F(StoreRecovery, DeadConnectionDelayedTheRemovalOfAnEntry)
{
    // One reset connection was taken for an outage, in which entries may expire.
    start({ .bytes = answer(row("a", 3) + "," + row("b", 4), 7), .resetOnNextRequest = true });
    server.setResponder([](const std::string& request) {
        const bool isNews = request.find("After=7") != std::string::npos;
        return ScriptedResponse { .bytes = answer(isNews ? row("a", 8, true) : "", 9), .delay = 20ms };
    });
    const auto readAt = bootNow();
    runUntil([this] { return seen == "+a+b-a"; });
    EXPECT_LT(bootNow() - readAt, drainBound - untilPeerReports);
}

TEST_F(StoreRecovery, DeadConnectionDelayedARemovalWhilePeersReadTheStore)
{
    // The daemon had not called the store for long, which was taken for an outage of that length.
    maySkipPolling = true;
    start();
    const auto startedAt = bootNow();
    runUntil([&] {
        follower->peerConfirmed({ .number = 7 }, { .number = 7 }, bootNow());
        return bootNow() - startedAt > minOutageToExpire;
    });
    server.script({ .bytes = "", .delay = 1h });
    server.script({ .bytes = answer(row("a", 8, true), 9) });
    server.script({ .bytes = answer("", 9) });
    const auto reportedAt = bootNow();
    follower->peerConfirmed({ .number = 9 }, { .number = 8 }, reportedAt);
    runUntil([this] { return seen == "+a+b-a"; });
    EXPECT_LT(bootNow() - reportedAt, drainBound - untilPeerReports);
}

TEST_F(StoreRecovery, ConnectionThatHadBeenIdleForLongWasUsedAgain)
{
    // It had died unnoticed, which delayed the next read by the answer timeout.
    maySkipPolling = true;
    start();
    const auto startedAt = bootNow();
    runUntil([&] { return bootNow() - startedAt > 1200ms; });
    server.script({ .bytes = answer(row("a", 8), 9) });
    follower->peerConfirmed({ .number = 9 }, { .number = 8 }, bootNow());
    runUntil([this] { return seen == "+a+b+a"; });
    EXPECT_EQ(server.connections(), 2U);
}

TEST_F(StoreRecovery, RemovalConfirmedByAPeerWasNotApplied)
{
    // The store was lost again before the delayed deletion was due, and a peer read it from then on.
    start();
    passOutage(row("a", 8, true));
    runUntil([this] { return follower->coveredVersion() == StoreVersion { .number = 9 }; });
    server.setResponder(
        [](const std::string&) { return ScriptedResponse { .bytes = httpResponse(503, "") }; });
    const auto failures = follower->failures();
    runUntil([&] { return follower->failures() > failures; });
    maySkipPolling = true;
    runUntil([this] {
        follower->peerConfirmed({ .number = 9 }, { .number = 8 }, bootNow());
        return seen == "+a+b-a" || bootNow() - returnedAt > contactBound;
    });
    EXPECT_EQ(seen, "+a+b-a");
}

TEST_F(StoreRecovery, RemovalWasDelayedAfterAnOutageOfOneDaemon)
{
    // Peers had read the store all the while, so no entry had expired.
    start();
    server.setResponder([](const std::string&) { return ScriptedResponse { .delay = 1h }; });
    const auto lostAt = bootNow();
    runUntil([&] {
        follower->peerConfirmed({ .number = 8 }, { .number = 8 }, bootNow());
        return bootNow() - lostAt > minOutageToExpire + 1s && follower->failures() >= 2;
    });
    server.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = answer(row("a", 8, true), 9), .delay = 4ms };
    });
    returnedAt = bootNow();
    runUntil([this] { return seen == "+a+b-a"; });
    EXPECT_LT(bootNow() - returnedAt, 1s);
}

TEST_F(StoreRecovery, OutageThatAPeerSawEndFirstDelaysRemovals)
{
    // This daemon left reading to a peer, and finds out only after the outage that its connection is dead.
    maySkipPolling = true;
    start();
    const auto startedAt = bootNow();
    follower->peerConfirmed({ .number = 7 }, { .number = 7 }, startedAt);
    runUntil([&] { return bootNow() - startedAt > minOutageToExpire + 100ms; });
    server.script({ .bytes = "", .delay = 1h });
    server.script({ .bytes = answer(row("a", 8, true), 9) });
    server.script({ .bytes = answer("", 9) });
    const auto endedAt = bootNow();
    follower->peerConfirmed({ .number = 9 }, { .number = 8 }, endedAt);
    runUntil([this] { return seen == "+a+b-a"; });
    EXPECT_GE(bootNow() - endedAt, lapsedEntryDelay);
}

TEST_F(StoreRecovery, RemovalAfterAnOutageOfAllDaemonsIsDelayedFromItsEnd)
{
    start();
    server.setResponder([](const std::string&) { return ScriptedResponse { .delay = 1h }; });
    runUntil([this] { return follower->failures() >= 3; });
    runUntil([lostAt = bootNow()] { return bootNow() - lostAt > minOutageToExpire; });
    // A peer is the first that reaches the store.
    const auto endedAt = bootNow();
    follower->peerConfirmed({ .number = 8 }, { .number = 8 }, endedAt - untilPeerReports);
    runUntil([&] { return bootNow() - endedAt > 600ms; });
    server.setResponder([](const std::string&) {
        return ScriptedResponse { .bytes = answer(row("a", 8, true), 9), .delay = 4ms };
    });
    runUntil([this] { return seen == "+a+b-a"; });
    EXPECT_GE(bootNow() - endedAt, lapsedEntryDelay);
    EXPECT_LT(bootNow() - endedAt, lapsedEntryDelay + 300ms) << "not from the first answer to this daemon";
}

} // namespace
} // namespace lentilbay::edge
