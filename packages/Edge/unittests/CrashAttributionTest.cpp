// Tests the attribution of crashes to parts of prompts, with fleets of tables in virtual time.
#include "lentilbay/Edge/CrashAttribution.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;
using Verdict = CrashAttribution::Verdict;

constexpr uint64_t first = 0xa1;
constexpr uint64_t subject = 0x51;
constexpr uint64_t bad = 0xbad;
constexpr uint64_t caller = 7;
constexpr Duration heartbeatInterval = 200ms;

TimePoint at(Duration since) { return TimePoint {} + 1h + since; }

AttributedRequest promptOf(std::vector<uint64_t> parts, uint64_t organisation = caller)
{
    return { .triggers = std::move(parts), .organisation = organisation };
}

/// A request that comes again unchanged, and the parts of its prompt.
AttributedRequest requestOf(uint64_t fingerprint, std::vector<uint64_t> parts = {})
{
    parts.push_back(triggerOfRequest(fingerprint));
    return { .triggers = std::move(parts), .organisation = caller };
}

EndpointIncarnation engine(int n) { return { .endpoint = hashOf("e" + std::to_string(n)) }; }

BrokenRequest brokenOff(
    std::string name, const EndpointIncarnation& endpoint, const AttributedRequest& request, TimePoint now)
{
    return { .name = std::move(name), .endpoint = endpoint, .request = request, .at = now };
}

/// Daemons that exchange their reports with every heartbeat.
class Fleet {
public:
    explicit Fleet(size_t n)
    {
        for (size_t i = 0; i < n; ++i)
            m_daemons.push_back(std::make_unique<CrashAttribution>());
        m_isCut.resize(n);
    }

    CrashAttribution& operator[](size_t i) { return *m_daemons[i]; }
    size_t size() const { return m_daemons.size(); }
    void restart(size_t i) { m_daemons[i] = std::make_unique<CrashAttribution>(); }
    void setCut(size_t i, bool isCut) { m_isCut[i] = isCut; }
    TimePoint now() const { return at(m_now); }
    size_t reports() const { return m_reports; }

    void advance(Duration by)
    {
        for (const auto end = m_now + by; m_now < end;) {
            m_now += heartbeatInterval;
            std::vector<std::string> names;
            for (size_t i = 0; i < size(); ++i)
                names.push_back("d" + std::to_string(i));
            for (size_t i = 0; i < size(); ++i) {
                m_daemons[i]->setDaemons(names[i], names, heartbeatInterval * 2);
                m_daemons[i]->update(now());
            }
            for (size_t from = 0; from < size(); ++from) {
                const auto reports = m_daemons[from]->reports(now());
                for (size_t to = 0; to < size(); ++to) {
                    if (from == to || m_isCut[from] || m_isCut[to])
                        continue;
                    for (const auto& it : reports) {
                        if (!m_daemons[from]->isAddressedTo(it, names[to]))
                            continue;
                        ++m_reports;
                        m_daemons[to]->applyReport(it, now(), now());
                    }
                }
            }
        }
    }

    bool isBlockedEverywhere(const AttributedRequest& prompt) const
    {
        return std::ranges::all_of(
            m_daemons, [&](const auto& it) { return it->judge(prompt, now()) == Verdict::Blocked; });
    }
    bool isAllowedEverywhere(const AttributedRequest& prompt) const
    {
        return std::ranges::all_of(
            m_daemons, [&](const auto& it) { return it->judge(prompt, now()) == Verdict::Allowed; });
    }

    /// An engine crashes under a request that one daemon sent.
    void crash(size_t daemon, const AttributedRequest& prompt)
    {
        ++m_crashes;
        m_daemons[daemon]->recordRequest(prompt);
        m_daemons[daemon]->recordBreak(
            brokenOff("e" + std::to_string(m_crashes), engine(m_crashes), prompt, now()));
    }
    /// The same engine breaks off the request of another daemon.
    void breakOff(size_t daemon, const AttributedRequest& prompt)
    {
        m_daemons[daemon]->recordRequest(prompt);
        m_daemons[daemon]->recordBreak(
            brokenOff("e" + std::to_string(m_crashes), engine(m_crashes), prompt, now()));
    }

private:
    std::vector<std::unique_ptr<CrashAttribution>> m_daemons;
    std::vector<bool> m_isCut;
    Duration m_now {};
    int m_crashes = 0;
    size_t m_reports = 0;
};

TEST(CrashAttribution, OneCrashForEachDaemonBlocksThePartEverywhere)
{
    Fleet fleet(8);
    for (size_t i = 0; i < 3; ++i) {
        fleet.crash(i, promptOf({ first, subject + i, bad }));
        fleet.breakOff(i + 4, promptOf({ first, subject }));
        fleet[7].recordAnswer(promptOf({ first, subject, subject + 1, subject + 2 }), fleet.now() + 1ms);
        fleet.advance(1s);
    }
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ first, bad })));
    EXPECT_TRUE(fleet.isAllowedEverywhere(promptOf({ first, subject })));
}

TEST(CrashAttribution, PartsInTheSamePromptsAsABlockedPartAreNotBlamed)
{
    Fleet fleet(4);
    fleet[0].recordAnswer(promptOf({ first, subject }), fleet.now());
    for (size_t d = 0; d < fleet.size(); ++d) {
        for (int i = 0; i < 40; ++i)
            fleet[d].recordRequest(promptOf({ first, subject }));
    }
    for (size_t i = 0; i < 8; ++i) {
        fleet.crash(i % 2, promptOf({ first, subject, bad, 0x900 + i }));
        fleet.advance(200ms);
    }
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ bad })));
    for (size_t i = 0; i < fleet.size(); ++i)
        EXPECT_EQ(fleet[i].blockedTriggers(), 1U) << i;
}

TEST(CrashAttribution, TwoPartsAtOnceAreToldApart)
{
    Fleet fleet(4);
    for (size_t i = 0; i < 4; ++i) {
        fleet.crash(i, promptOf({ first, subject, bad }));
        fleet[3].recordAnswer(promptOf({ first, subject }), fleet.now() + 1ms);
        fleet.advance(200ms);
        fleet.crash(3 - i, promptOf({ first, subject, bad + 1 }));
        if (i == 0)
            fleet.breakOff(i, promptOf({ first, bad }));
        fleet[3].recordAnswer(promptOf({ first, subject }), fleet.now() + 1ms);
        fleet.advance(200ms);
    }
    fleet.advance(400ms);
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ bad })));
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ bad + 1 })));
    EXPECT_TRUE(fleet.isAllowedEverywhere(promptOf({ first, subject })));
}

TEST(CrashAttribution, AllEndpointsThatEndAtOnceBlameNoSoundPart)
{
    Fleet fleet(4);
    for (size_t i = 0; i < fleet.size(); ++i)
        fleet[i].recordAnswer(promptOf({ first, subject }), fleet.now());
    fleet.advance(200ms);
    for (size_t i = 0; i < 18; ++i)
        fleet.crash(i % 4, promptOf({ first, subject }));
    fleet.advance(2s);
    EXPECT_TRUE(fleet.isAllowedEverywhere(promptOf({ first, subject })));
}

TEST(CrashAttribution, SharedPartsAreServedAfterAllDaemonsAndEndpointsWereRestarted)
{
    // No daemon has seen an answer, and each engine crashes under sound requests and one with the bad part.
    Fleet fleet(3);
    for (size_t i = 0; i < 6; ++i) {
        fleet.crash(i % 3, promptOf({ first, subject + i % 2, bad }));
        for (size_t d = 0; d < fleet.size(); ++d) {
            fleet.breakOff(d, promptOf({ first, subject }));
            fleet.breakOff(d, promptOf({ first, subject + 1 }));
        }
    }
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ first, bad })));
    // Requests are counted while they are refused.
    for (size_t d = 0; d < fleet.size(); ++d) {
        for (size_t i = 0; i < 40; ++i)
            fleet[d].recordRequest(promptOf({ first, subject + i % 2 }));
    }
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ first, bad })));
    EXPECT_TRUE(fleet.isAllowedEverywhere(promptOf({ first, subject })));
}

TEST(CrashAttribution, DaemonThatHadCountedFewRequestsFreedACrashingPart)
{
    // To a restarted daemon a sound part that is at the same crashes seems to be the rarer one.
    Fleet fleet(2);
    for (int i = 0; i < 3; ++i)
        fleet.crash(0, promptOf({ subject, bad }));
    fleet[1].recordRequest(promptOf({ subject }));
    for (int i = 0; i < 4; ++i)
        fleet[1].recordRequest(promptOf({ bad }));
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ bad })));
    for (int i = 0; i < 40; ++i)
        fleet[1].recordRequest(promptOf({ subject }));
    fleet.advance(400ms);
    EXPECT_EQ(fleet[1].judge(promptOf({ subject }), fleet.now()), Verdict::Allowed);
}

TEST(CrashAttribution, RestartedDaemonLearnsWhichPartsAreSound)
{
    Fleet fleet(3);
    for (size_t i = 0; i < fleet.size(); ++i)
        fleet[i].recordAnswer(promptOf({ subject }), fleet.now());
    fleet.advance(1s);
    fleet.restart(2);
    for (size_t i = 0; i < 6; ++i)
        fleet.crash(2, promptOf({ subject }));
    for (int i = 0; i < 20; ++i) {
        fleet.advance(200ms);
        EXPECT_TRUE(fleet.isAllowedEverywhere(promptOf({ subject }))) << i;
    }
}

TEST(CrashAttribution, PartBlamedWronglyIsFreedByATrial)
{
    Fleet fleet(4);
    for (size_t i = 0; i < 3; ++i)
        fleet.crash(i, promptOf({ subject }));
    fleet.advance(1s);
    ASSERT_TRUE(fleet.isBlockedEverywhere(promptOf({ subject })));
    const auto prompt = promptOf({ subject });
    size_t trials = 0;
    for (int i = 0; i < 20 && !fleet.isAllowedEverywhere(prompt); ++i) {
        for (size_t d = 0; d < fleet.size(); ++d) {
            if (fleet[d].judge(prompt, fleet.now()) != Verdict::Trial)
                continue;
            ++trials;
            fleet[d].recordTrial(prompt, fleet.now());
            fleet[d].recordAnswer(prompt, fleet.now() + 1ms);
        }
        fleet.advance(200ms);
    }
    EXPECT_EQ(trials, 1U);
    EXPECT_TRUE(fleet.isAllowedEverywhere(prompt));
}

TEST(CrashAttribution, TrialsWaitUntilEndpointsStopCrashing)
{
    Fleet fleet(1);
    const auto prompt = promptOf({ subject });
    for (int i = 0; i < 3; ++i)
        fleet.crash(0, prompt);
    // Endpoints crash under requests without the part.
    Duration wait {};
    for (; wait < 10s && fleet[0].judge(prompt, fleet.now()) != Verdict::Trial; wait += 400ms) {
        fleet.crash(0, promptOf({ 0x700U + static_cast<uint64_t>(wait / 1ms) }));
        fleet.advance(400ms);
    }
    EXPECT_GT(wait, 4s);
    EXPECT_LT(wait, 7s) << "endpoints that crash all the time do not prevent trials";
}

TEST(CrashAttribution, TrialsOfACrashingPartStayWithinTheBound)
{
    // Requests come at every daemon all the time, for three minutes after the fifth crash.
    for (const size_t n : { 1, 3, 8, 30, 88 }) {
        Fleet fleet(n);
        const auto prompt = promptOf({ first, bad });
        fleet[0].recordAnswer(promptOf({ first }), fleet.now());
        size_t sent = 0;
        for (int i = 0; i < 900; ++i) {
            for (size_t d = 0; d < n; ++d) {
                const auto verdict = fleet[d].judge(prompt, fleet.now());
                // Before the part is blocked, one request reaches an engine in each heartbeat interval.
                const bool isTurn = d == static_cast<size_t>(i) % n;
                if (verdict == Verdict::Blocked || (verdict == Verdict::Allowed && !isTurn))
                    continue;
                if (verdict == Verdict::Trial)
                    fleet[d].recordTrial(prompt, fleet.now());
                ++sent;
                fleet.crash(d, prompt);
            }
            fleet.advance(200ms);
        }
        EXPECT_GE(sent, 4U) << n;
        EXPECT_LE(sent, 5U + 3U) << n;
    }
}

TEST(CrashAttribution, RestartedOrReturnedDaemonLearnsTheBlock)
{
    Fleet fleet(4);
    const auto prompt = promptOf({ bad });
    fleet.setCut(3, true);
    for (size_t i = 0; i < 3; ++i)
        fleet.crash(i, prompt);
    fleet.advance(20s);
    EXPECT_EQ(fleet[3].judge(prompt, fleet.now()), Verdict::Allowed);
    fleet.setCut(3, false);
    for (size_t i = 0; i < 3; ++i) {
        fleet.restart(i);
        fleet.advance(400ms);
    }
    EXPECT_TRUE(fleet.isBlockedEverywhere(prompt));
}

TEST(CrashAttribution, FormerBlockIsRestoredAfterAllDaemonsWereRestarted)
{
    Fleet fleet(3);
    const auto prompt = promptOf({ bad });
    for (size_t i = 0; i < 3; ++i)
        fleet.crash(i, prompt);
    fleet.advance(5s);
    for (size_t i = 0; i < 3; ++i) {
        if (fleet[i].judge(prompt, fleet.now()) != Verdict::Trial)
            continue;
        fleet[i].recordTrial(prompt, fleet.now());
        fleet.crash(i, prompt);
        fleet.advance(1s);
    }
    std::map<uint64_t, BlockedTrigger> stored;
    for (size_t i = 0; i < 3; ++i)
        stored.merge(fleet[i].ownedBlockedTriggers());
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored.begin()->second.trials, 1U);
    for (size_t i = 0; i < 3; ++i) {
        fleet.restart(i);
        fleet[i].restore(stored.begin()->first, stored.begin()->second, fleet.now());
    }
    fleet.advance(5s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(prompt));
    fleet[0].release(bad, fleet.now());
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isAllowedEverywhere(prompt));
}

TEST(CrashAttribution, PartThatHadNoTrialBeforeARestartSoonGetsOne)
{
    CrashAttribution daemon;
    daemon.setDaemons("d", { "d" }, heartbeatInterval);
    daemon.restore(subject, { .organisation = caller }, at(0s));
    daemon.restore(bad, { .organisation = caller, .trials = 1 }, at(0s));
    EXPECT_EQ(daemon.judge(promptOf({ subject }), at(1s)), Verdict::Blocked);
    EXPECT_EQ(daemon.judge(promptOf({ subject }), at(3s)), Verdict::Trial);
    EXPECT_EQ(daemon.judge(promptOf({ bad }), at(3s)), Verdict::Blocked);
}

TEST(CrashAttribution, DaemonWithoutPeersKeepsItsOwnCount)
{
    Fleet fleet(1);
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(fleet[0].judge(promptOf({ bad }), fleet.now()), Verdict::Allowed);
        fleet.crash(0, promptOf({ bad }));
        fleet.advance(2s);
    }
    EXPECT_EQ(fleet[0].judge(promptOf({ bad }), fleet.now() - 1s), Verdict::Blocked);
}

TEST(CrashAttribution, EndpointThatGoesOnAnsweringHasNotCrashed)
{
    Fleet fleet(1);
    for (int i = 0; i < 9; ++i) {
        fleet[0].recordBreak(brokenOff("e", engine(i), promptOf({ subject }), fleet.now()));
        fleet[0].recordAlive(engine(i).endpoint, fleet.now() - 1s);
        fleet.advance(400ms);
    }
    EXPECT_EQ(fleet[0].blockedTriggers(), 0U);
}

TEST(CrashAttribution, BlockAppliesOnlyToTheOrganisationWhoseRequestsCrashedEndpoints)
{
    Fleet fleet(2);
    // The caller names another organisation's part beside its own.
    for (int i = 0; i < 3; ++i) {
        fleet.crash(i % 2, promptOf({ subject, bad }));
        fleet.advance(400ms);
    }
    fleet.advance(400ms);
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ subject, bad })));
    EXPECT_TRUE(fleet.isAllowedEverywhere(promptOf({ subject }, caller + 1)));
    // A crash under a request of another organisation extends the block to all.
    fleet.crash(0, promptOf({ bad }, caller + 1));
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ bad }, caller + 2)));
}

TEST(CrashAttribution, OneCrashOfASoundPartIsNotReported)
{
    Fleet fleet(2);
    fleet[0].recordAnswer(promptOf({ first, subject }), fleet.now());
    fleet.crash(0, promptOf({ first, subject, bad }));
    fleet.advance(200ms);
    const auto reports = fleet[0].reports(fleet.now());
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].trigger, bad);
    fleet.advance(5s);
    EXPECT_TRUE(fleet[0].reports(fleet.now()).empty());
}

TEST(CrashAttribution, TablesAndReportsStayBounded)
{
    Fleet fleet(2);
    uint64_t part = 1;
    for (int i = 0; i < 200; ++i) {
        AttributedRequest prompt = promptOf({});
        for (int n = 0; n < 100; ++n)
            prompt.triggers.push_back(++part);
        if (i % 4 == 0)
            fleet.crash(0, prompt);
        else
            fleet[0].recordAnswer(prompt, fleet.now());
        fleet.advance(200ms);
        EXPECT_LE(fleet[0].reports(fleet.now()).size(), 32U);
    }
    for (size_t i = 0; i < 3; ++i)
        fleet.crash(i % 2, promptOf({ bad }));
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(promptOf({ bad })));
}

TEST(CrashAttribution, RequestThatCameAgainUnchangedCrashedOneEndpointAfterTheOther)
{
    Fleet fleet(8);
    for (size_t i = 0; i < 3; ++i) {
        fleet.crash(i, requestOf(bad));
        fleet.breakOff(i + 4, requestOf(0x700 + i));
        fleet.advance(200ms);
    }
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(requestOf(bad)));
    EXPECT_TRUE(fleet.isAllowedEverywhere(requestOf(bad + 1)));
    for (size_t i = 0; i < fleet.size(); ++i)
        EXPECT_EQ(fleet[i].blockedTriggers(), 1U) << i;
}

TEST(CrashAttribution, RetriedVictimsOfACrashingRequestWereBlocked)
{
    // A sound request that its client repeats is at three of the crashes, a lookup that comes often at all.
    Fleet fleet(4);
    const auto lookup = requestOf(0x10);
    fleet[0].recordAnswer(lookup, fleet.now());
    for (size_t i = 0; i < 5; ++i) {
        fleet.crash(i % 4, requestOf(bad));
        fleet.breakOff(0, lookup);
        if (i < 3)
            fleet.breakOff((i + 1) % 4, requestOf(0x20));
        fleet.advance(200ms);
    }
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(requestOf(bad)));
    EXPECT_TRUE(fleet.isAllowedEverywhere(lookup));
    EXPECT_TRUE(fleet.isAllowedEverywhere(requestOf(0x20)));
}

TEST(CrashAttribution, RestoredRequestWasFreedByACrashOfAnotherOne)
{
    // Its trial crashed an endpoint at which the other one was running as well.
    Fleet fleet(3);
    for (size_t i = 0; i < fleet.size(); ++i)
        fleet[i].restore(triggerOfRequest(bad), { .organisation = caller }, fleet.now());
    for (size_t i = 0; i < 3; ++i) {
        fleet.crash(i, requestOf(bad + 1));
        fleet.advance(200ms);
    }
    fleet.advance(1s);
    fleet.crash(0, requestOf(bad));
    fleet.breakOff(1, requestOf(bad + 1));
    fleet.advance(2s);
    for (size_t i = 0; i < fleet.size(); ++i)
        EXPECT_EQ(fleet[i].blockedTriggers(), 2U) << i;
}

TEST(CrashAttribution, RestartedDaemonDidNotAdoptTheSecondOfTwoBlockedRequests)
{
    Fleet fleet(3);
    for (size_t i = 0; i < 3; ++i) {
        fleet.crash(i, requestOf(bad + 1));
        fleet.advance(200ms);
    }
    fleet.advance(5s);
    fleet.restart(0);
    // It has seen one crash of the one that it adopts first.
    fleet.crash(0, requestOf(bad));
    fleet.setCut(0, true);
    for (size_t i = 0; i < 3; ++i) {
        fleet.crash(1 + i % 2, requestOf(bad));
        fleet.advance(200ms);
    }
    fleet.advance(5s);
    fleet.setCut(0, false);
    fleet.advance(1s);
    EXPECT_EQ(fleet[0].blockedTriggers(), 2U);
}

TEST(CrashAttribution, LookupIsNotBlockedWhileEndpointsEndForOtherReasons)
{
    // All endpoints are reclaimed at once, then one after the other, while the same request comes all the
    // time.
    Fleet fleet(4);
    const auto lookup = requestOf(0x10);
    fleet[1].recordAnswer(lookup, fleet.now());
    fleet.advance(1s);
    for (int i = 0; i < 6; ++i)
        fleet.crash(1, lookup);
    for (int i = 0; i < 5; ++i) {
        fleet.advance(1s);
        fleet[2].recordAnswer(lookup, fleet.now());
        fleet.advance(400ms);
        fleet.crash(1, lookup);
        EXPECT_TRUE(fleet.isAllowedEverywhere(lookup)) << i;
    }
}

TEST(CrashAttribution, RequestThatIsBlockedWronglyIsFreedByATrial)
{
    Fleet fleet(3);
    for (size_t i = 0; i < 3; ++i) {
        fleet.crash(i, requestOf(0x10));
        fleet.advance(200ms);
    }
    fleet.advance(1s);
    ASSERT_TRUE(fleet.isBlockedEverywhere(requestOf(0x10)));
    size_t trials = 0;
    for (int step = 0; step < 20 && trials == 0; ++step) {
        fleet.advance(200ms);
        for (size_t i = 0; i < fleet.size(); ++i) {
            if (fleet[i].judge(requestOf(0x10), fleet.now()) != Verdict::Trial)
                continue;
            fleet[i].recordTrial(requestOf(0x10), fleet.now());
            fleet[i].recordAnswer(requestOf(0x10), fleet.now());
            ++trials;
            break;
        }
    }
    EXPECT_EQ(trials, 1U);
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isAllowedEverywhere(requestOf(0x10)));
}

TEST(CrashAttribution, CrashingPartIsBlockedAlthoughItsRequestsComeAgain)
{
    // Each request with the part is repeated, and is at as many crashes as the part.
    Fleet fleet(4);
    for (uint64_t i = 0; i < 2; ++i) {
        for (size_t d = 0; d < 2; ++d) {
            fleet.crash(d + i, requestOf(0x900 + i, { first, bad }));
            fleet.advance(200ms);
        }
    }
    fleet[0].recordAnswer(promptOf({ first }), fleet.now());
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(requestOf(0x990, { first, bad })));
}

TEST(CrashAttribution, MadeUpRequestsDisplaceNothing)
{
    CrashAttribution table;
    table.setDaemons("d0", { "d0" }, heartbeatInterval);
    table.recordAnswer(promptOf({ subject }), at(0s));
    for (uint64_t i = 0; i < 100'000; ++i) {
        const auto request = requestOf(hashOf(std::to_string(i)));
        table.recordRequest(request);
        table.recordAnswer(request, at(Duration(static_cast<int64_t>(i))));
    }
    for (int i = 1; i <= 3; ++i) {
        table.recordBreak(brokenOff("e", engine(i), promptOf({ subject, bad }), at(1s + 100ms * i)));
        table.update(at(1s + 200ms * i));
    }
    table.update(at(4s));
    EXPECT_EQ(table.judge(promptOf({ subject }), at(4s)), Verdict::Allowed);
    EXPECT_EQ(table.judge(promptOf({ bad }), at(4s)), Verdict::Blocked);
    for (int i = 0; i < 10'000; ++i) {
        const auto now = at(5s + Duration(i));
        table.recordBreak(brokenOff("e", engine(i), requestOf(static_cast<uint64_t>(i)), now));
        table.update(now + 1s);
        EXPECT_LE(table.reports(at(7s)).size(), 32U);
    }
    EXPECT_EQ(table.judge(promptOf({ bad }), at(5s)), Verdict::Blocked);
}

TEST(CrashAttribution, LargeFleetWasToldOfEveryVictimOfACrash)
{
    Fleet fleet(66);
    fleet.advance(1s);
    for (uint64_t i = 0; i < 12; ++i)
        fleet.breakOff(i, requestOf(0x700 + i));
    fleet.advance(4s);
    EXPECT_LE(fleet.reports(), 12 * 3 * 16U);
    // One crash at each of three daemons still blocks a request at all of them.
    for (size_t i = 0; i < 3; ++i) {
        fleet.crash(20 * i, requestOf(bad));
        fleet.advance(200ms);
    }
    fleet.advance(1s);
    EXPECT_TRUE(fleet.isBlockedEverywhere(requestOf(bad)));
}

TEST(CrashAttribution, ConnectionsThatAreResetAtOnceBlameNoRequest)
{
    CrashAttribution it;
    for (int round = 0; round < 5; ++round) {
        const auto now = at(round * 3s);
        for (int n = 0; n < 5; ++n)
            it.recordBreak(brokenOff("e", engine(n), requestOf(1), now));
        it.recordConnected(hashOf("e3"), now + 20ms);
        it.update(now + 200ms);
    }
    EXPECT_TRUE(it.update(at(20s)).empty());
    EXPECT_EQ(it.judge(requestOf(1), at(20s)), Verdict::Allowed);
}

TEST(CrashAttribution, EndpointThatCanBeConnectedToHasNotCrashed)
{
    CrashAttribution it;
    for (int n = 0; n < 4; ++n) {
        const auto now = at(n * 3s);
        it.recordBreak(brokenOff("e", engine(n), requestOf(1), now));
        it.recordConnected(hashOf("e" + std::to_string(n)), now + 20ms);
        it.update(now + 200ms);
    }
    EXPECT_EQ(it.judge(requestOf(1), at(20s)), Verdict::Allowed);
}

TEST(CrashAttribution, LostLinksBlameNoRequest)
{
    CrashAttribution it;
    for (int n = 0; n < 4; ++n) {
        const auto now = at(n * 3s);
        it.recordBreak(brokenOff("e", engine(n), requestOf(1), now));
        it.update(now + 500ms, true);
        it.dropBreaksSince(now);
        it.update(now + 1500ms);
    }
    EXPECT_EQ(it.judge(requestOf(1), at(20s)), Verdict::Allowed);
    // Without that, it is blocked.
    for (int n = 0; n < 3; ++n) {
        it.recordBreak(brokenOff("e", engine(n), requestOf(1), at(20s + n * 3s)));
        it.update(at(20s + n * 3s + 500ms), true);
        it.update(at(20s + n * 3s + 1500ms), true);
    }
    EXPECT_EQ(it.judge(requestOf(1), at(28s)), Verdict::Blocked);
}

} // namespace
} // namespace lentilbay::edge
