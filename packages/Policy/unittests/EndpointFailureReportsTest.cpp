// Tests which endpoints are excluded because of reports, and by whom.
#include "lentilbay/Policy/EndpointFailureReports.h"

#include <algorithm>
#include <ctime>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t endpoint = 11;
constexpr uint64_t started = 5;

/// Daemons that exchange reports directly, as those of a small fleet do.
class EndpointFailureReportsTest : public testing::Test {
protected:
    using Daemon = EndpointFailureReports::Daemon;

    EndpointFailureReportsTest()
    {
        for (const auto* dataCentre : { "x", "y", "z" }) {
            for (const auto* number : { "1", "2", "3", "4" })
                all.push_back({ .name = std::string(dataCentre) + number, .dataCentre = dataCentre });
        }
        for (const auto& it : all)
            daemons[it.name].setDaemons(it, all);
    }

    /// Each daemon sends its reports to all others.
    void exchange(Duration delay = 20ms)
    {
        std::map<std::string, std::vector<EndpointFailureReport>> sent;
        for (const auto& it : all)
            sent[it.name] = daemons[it.name].reports(ReportScope::Daemon, now);
        now += delay;
        for (const auto& from : all) {
            for (const auto& to : all) {
                if (from.name != to.name)
                    daemons[to.name].apply(from, ReportScope::Daemon, sent[from.name], now);
            }
        }
    }

    /// The daemons that are to check the endpoint do so; those in `unable` cannot connect to it.
    size_t check(const std::set<std::string>& unable)
    {
        size_t n = 0;
        for (const auto& it : all) {
            for (const auto hash : daemons[it.name].nextProbes(now)) {
                ++n;
                if (unable.contains(it.name))
                    fail(it.name, hash);
                else
                    daemons[it.name].recordHeard(hash, started, now);
            }
        }
        return n;
    }

    void fail(const std::string& daemon, uint64_t hash = endpoint)
    {
        daemons[daemon].recordFailure(hash, started, now);
    }

    std::set<std::string> excludedAt() const
    {
        std::set<std::string> out;
        for (const auto& [name, it] : daemons) {
            if (it.use(endpoint, started, now) == EndpointUse::Excluded)
                out.insert(name);
        }
        return out;
    }

    std::set<std::string> namesIn(const std::string& dataCentres) const
    {
        std::set<std::string> out;
        for (const auto& it : all) {
            if (dataCentres.find(it.dataCentre) != std::string::npos)
                out.insert(it.name);
        }
        return out;
    }

    std::vector<Daemon> all;
    std::map<std::string, EndpointFailureReports> daemons;
    TimePoint now { 10s };
};

TEST_F(EndpointFailureReportsTest, EachDaemonFoundAFailureForItself)
{
    // One failed send is enough: the others check the endpoint by connecting to it.
    const auto everybody = namesIn("xyz");
    fail("x1");
    exchange();
    EXPECT_EQ(check(everybody), 6U) << "two daemons of each data centre";
    exchange();
    EXPECT_EQ(excludedAt(), everybody);
}

TEST_F(EndpointFailureReportsTest, DaemonWithoutItsOwnLinkExcludesTheEndpointForNobody)
{
    for (int round = 0; round < 30; ++round) {
        if (round % 4 == 0)
            fail("x1");
        exchange();
        check({ "x1" });
        exchange();
        EXPECT_TRUE(excludedAt().empty()) << round;
        now += 160ms;
    }
    EXPECT_EQ(daemons["y1"].use(endpoint, started, now), EndpointUse::Usable);
}

TEST_F(EndpointFailureReportsTest, DataCentreThatIsCutOffExcludesTheEndpointForItselfOnly)
{
    const auto cutOff = namesIn("x");
    fail("x1");
    for (int round = 0; round < 30; ++round) {
        exchange();
        check(cutOff);
        exchange();
        if (round > 0) {
            EXPECT_EQ(excludedAt(), cutOff) << round;
        }
        now += 160ms;
    }
}

TEST_F(EndpointFailureReportsTest, FormerIncarnationExcludesNoNewOne)
{
    fail("x1");
    exchange();
    check(namesIn("xyz"));
    exchange();
    ASSERT_EQ(excludedAt().size(), all.size());
    for (auto& [name, it] : daemons)
        EXPECT_EQ(it.use(endpoint, started + 1, now), EndpointUse::Usable) << name;
}

TEST_F(EndpointFailureReportsTest, EndpointThatIsBackIsUsedWithinASecond)
{
    const auto everybody = namesIn("xyz");
    fail("x1");
    for (int round = 0; round < 20; ++round) {
        exchange();
        check(everybody);
        now += 180ms;
    }
    ASSERT_EQ(excludedAt(), everybody);
    const auto backAt = now;
    while (!excludedAt().empty() && now - backAt < 5s) {
        check({});
        exchange();
        now += 180ms;
    }
    EXPECT_LE(now - backAt, 1s);
    EXPECT_TRUE(daemons["x1"].hasRecovered(endpoint, started, backAt - 300ms))
        << "the daemon's own suspension must end, too";
}

TEST_F(EndpointFailureReportsTest, ExclusionEndsIfNobodyChecksTheEndpoint)
{
    fail("x1");
    exchange();
    check(namesIn("xyz"));
    exchange();
    ASSERT_FALSE(excludedAt().empty());
    now += 2100ms;
    EXPECT_TRUE(excludedAt().empty());
}

TEST_F(EndpointFailureReportsTest, FailuresOfADaemonsOwnLinksAreForgotten)
{
    // Guards against reporting what failed before the daemon noticed that its links were lost.
    fail("x1");
    now += 300ms;
    daemons["x1"].forgetFailuresSince(now - 2s);
    EXPECT_TRUE(daemons["x1"].reports(ReportScope::Daemon, now).empty());
    EXPECT_TRUE(daemons["x1"].empty());
}

TEST_F(EndpointFailureReportsTest, BadAnswersLimitOthersToOneRequestAndAreTakenBack)
{
    // Guards against excluding an endpoint for failures that requests have caused.
    daemons["x1"].recordBadAnswers(endpoint, started, now);
    exchange();
    EXPECT_EQ(daemons["y1"].use(endpoint, started, now), EndpointUse::ProbeOnly);
    daemons["x1"].forgetBadAnswers();
    exchange();
    EXPECT_EQ(daemons["y1"].use(endpoint, started, now), EndpointUse::Usable);
}

TEST_F(EndpointFailureReportsTest, CalmDaemonReportsNothing)
{
    daemons["x1"].recordHeard(endpoint, started, now);
    EXPECT_TRUE(daemons["x1"].empty());
    fail("x1");
    daemons["x1"].recordHeard(endpoint, started, now + 1s);
    daemons["x1"].dropOld(now + 20s);
    EXPECT_TRUE(daemons["x1"].empty());
}

TEST_F(EndpointFailureReportsTest, NewestReportsAreKept)
{
    // Guards against heartbeats that do not fit into a datagram.
    for (uint64_t i = 0; i < 200; ++i) {
        now += 1ms;
        fail("x1", i);
    }
    const auto reports = daemons["x1"].reports(ReportScope::Daemon, now);
    ASSERT_EQ(reports.size(), EndpointFailureReports::maxReports);
    EXPECT_EQ(reports.front().endpoint, 199U);
    EXPECT_TRUE(std::ranges::all_of(reports, [](const auto& it) { return it.endpoint >= 136; }));
}

TEST_F(EndpointFailureReportsTest, SumsOfAggregatorsGiveTheSameDecisions)
{
    // x1 and y1 sum up; x2 hears only x1. Guards against a data centre that counts a cut of another one.
    for (const auto* it : { "y1", "y2" })
        fail(it);
    daemons["y1"].apply(all[5], ReportScope::Daemon, daemons["y2"].reports(ReportScope::Daemon, now), now);
    ASSERT_EQ(daemons["y1"].use(endpoint, started, now), EndpointUse::Excluded);
    daemons["x1"].apply(
        all[4], ReportScope::DataCentre, daemons["y1"].reports(ReportScope::DataCentre, now), now);
    daemons["x2"].apply(all[0], ReportScope::Fleet, daemons["x1"].reports(ReportScope::Fleet, now), now);
    EXPECT_EQ(daemons["x1"].use(endpoint, started, now), EndpointUse::ProbeOnly);
    EXPECT_EQ(daemons["x2"].use(endpoint, started, now), EndpointUse::ProbeOnly);
    now += 50ms;
    daemons["x3"].recordFailure(endpoint, started, now);
    daemons["x1"].apply(all[2], ReportScope::Daemon, daemons["x3"].reports(ReportScope::Daemon, now), now);
    daemons["x2"].apply(all[0], ReportScope::Fleet, daemons["x1"].reports(ReportScope::Fleet, now), now);
    EXPECT_EQ(daemons["x2"].use(endpoint, started, now), EndpointUse::Excluded) << "two data centres";
    now += 400ms;
    daemons["x4"].apply(all[0], ReportScope::Fleet, daemons["x1"].reports(ReportScope::Fleet, now), now);
    daemons["x4"].recordHeard(endpoint, started, now);
    EXPECT_EQ(daemons["x4"].use(endpoint, started, now), EndpointUse::Usable) << "it has heard the endpoint";
}

TEST_F(EndpointFailureReportsTest, SenderOfWildNumbersDoesNoHarm)
{
    EndpointWitness wild { .daemons = UINT32_MAX,
        .dataCentres = UINT32_MAX,
        .failureAge = INT64_MAX,
        .streakAge = INT64_MIN,
        .heardAge = INT64_MAX,
        .badAnswerAge = INT64_MIN };
    daemons["x1"].apply(all[1], ReportScope::Fleet,
        { { .endpoint = endpoint, .startedAtMilliseconds = started, .nearby = wild, .elsewhere = wild } },
        now);
    EXPECT_EQ(daemons["x1"].use(endpoint, started, now), EndpointUse::Usable);
}

/// A daemon that many others send reports to.
class ManyReportsTest : public testing::Test {
protected:
    static constexpr uint64_t reported = 1000;

    ManyReportsTest() { reports.setDaemons(sender(-1), { sender(-1) }); }

    void applyFrom(int source, uint64_t firstEndpoint)
    {
        std::vector<EndpointFailureReport> sent;
        for (uint64_t i = 0; i < 20; ++i)
            sent.push_back({ .endpoint = firstEndpoint + i,
                .startedAtMilliseconds = started,
                .nearby = { .daemons = 1, .dataCentres = 1, .failureAge = 10, .streakAge = 20 } });
        reports.apply(sender(source), ReportScope::Daemon, sent, now);
    }
    static EndpointFailureReports::Daemon sender(int source)
    {
        return { .name = "x" + std::to_string(source), .dataCentre = "x" };
    }
    EndpointUse useOf(uint64_t hash) const { return reports.use(hash, started, now); }
    /// The processor time of 200 requests, each of which considers 200 endpoints that nobody reports, and of
    /// as many events of their answers. A report arrives before each request.
    std::clock_t timeOfRequests()
    {
        const auto from = std::clock();
        for (int i = 0; i < 200; ++i) {
            applyFrom(0, reported);
            for (uint64_t hash = 0; hash < 200; ++hash) {
                EXPECT_EQ(useOf(hash), EndpointUse::Usable);
                reports.recordHeard(hash, started, now);
            }
        }
        return std::clock() - from;
    }

    EndpointFailureReports reports;
    TimePoint now { 100s };
};

TEST_F(ManyReportsTest, EndpointsThatNobodyReportsCostTheSameHoweverManyDaemonsReportOthers)
{
    // Guards against requests that search the reports of all daemons for each endpoint: 12 times the work
    // here.
    const auto ofOne = timeOfRequests();
    for (int i = 1; i < 60; ++i)
        applyFrom(i, reported);
    EXPECT_LT(timeOfRequests(), 5 * ofOne);
}

TEST_F(ManyReportsTest, EndpointIsKnownAsLongAsADaemonReportsIt)
{
    for (int i = 0; i < 3; ++i)
        applyFrom(i, reported);
    EXPECT_EQ(useOf(reported), EndpointUse::Excluded);
    applyFrom(0, reported + 100);
    EXPECT_EQ(useOf(reported), EndpointUse::Excluded) << "two daemons still report it";
    EXPECT_EQ(useOf(reported + 100), EndpointUse::ProbeOnly);
    reports.apply(sender(1), ReportScope::Daemon, {}, now);
    EXPECT_EQ(useOf(reported), EndpointUse::ProbeOnly);
    now += 1900ms;
    applyFrom(3, reported);
    now += 200ms;
    reports.dropOld(now);
    EXPECT_EQ(useOf(reported), EndpointUse::ProbeOnly) << "the newest report is left";
    EXPECT_EQ(useOf(reported + 100), EndpointUse::Usable);
    now += 2100ms;
    reports.dropOld(now);
    EXPECT_TRUE(reports.empty());
    EXPECT_EQ(useOf(reported), EndpointUse::Usable);
}

TEST_F(EndpointFailureReportsTest, FailureOfAFormerIncarnationIsNotReportedOfTheLaterOne)
{
    // Guards against an endpoint that is excluded right after it was started again: a daemon that had failed
    // at the former incarnation, and had heard of the later one from another daemon, reported its failure as
    // one of the later one.
    fail("x1");
    fail("x2");
    now += 20ms;
    daemons["y1"].recordFailure(endpoint, started + 1, now);
    for (const auto* it : { "x1", "x2" })
        daemons[it].apply(all[4], ReportScope::Daemon, daemons["y1"].reports(ReportScope::Daemon, now), now);
    for (const auto* it : { "x1", "x2" }) {
        for (const auto& report : daemons[it].reports(ReportScope::Daemon, now))
            EXPECT_EQ(report.nearby.daemons, 0U) << report.startedAtMilliseconds;
    }
}

TEST_F(EndpointFailureReportsTest, LateFailureOfAFormerIncarnationChangesNothing)
{
    // Guards against a request to the former incarnation that ends late, and replaces what is known of the
    // later one.
    auto& own = daemons["x1"];
    own.recordFailure(endpoint, started + 1, now);
    ASSERT_EQ(own.use(endpoint, started + 1, now), EndpointUse::ProbeOnly);
    now += 30ms;
    fail("x1");
    own.recordBadAnswers(endpoint, started, now);
    own.recordHeard(endpoint, started, now);
    EXPECT_EQ(own.use(endpoint, started + 1, now), EndpointUse::ProbeOnly);
    EXPECT_EQ(own.use(endpoint, started, now), EndpointUse::Usable);
    fail("x2");
    (void)own.takeNews(true);
    own.apply(all[1], ReportScope::Daemon, daemons["x2"].reports(ReportScope::Daemon, now), now);
    EXPECT_FALSE(own.takeNews(true)) << "nothing to pass on";
}

TEST_F(EndpointFailureReportsTest, LateReportOfAFormerDaemonIsIgnored)
{
    // Guards against a datagram of the former incarnation of a daemon that is delayed beyond its restart, and
    // replaces what the later one reports.
    auto& own = daemons["x1"];
    const auto from = [&](uint64_t incarnation, std::optional<Duration> echoed) {
        return own.recordSender("x2", incarnation, echoed ? std::optional(now + *echoed) : std::nullopt, now);
    };
    EXPECT_TRUE(from(91, std::nullopt));
    EXPECT_TRUE(from(91, 10ms));
    fail("x2");
    own.apply(all[1], ReportScope::Daemon, daemons["x2"].reports(ReportScope::Daemon, now), now);
    ASSERT_EQ(own.use(endpoint, started, now), EndpointUse::ProbeOnly);
    EXPECT_TRUE(from(17, std::nullopt)) << "it has started again, and received nothing yet";
    EXPECT_EQ(own.use(endpoint, started, now), EndpointUse::Usable) << "the former one's reports have ended";
    EXPECT_FALSE(from(91, 10ms));
    EXPECT_TRUE(from(17, 20ms));
    EXPECT_FALSE(from(91, 15ms));
    EXPECT_TRUE(from(17, 15ms)) << "of the same incarnation; heartbeats have numbers";
    EXPECT_TRUE(from(44, 30ms));
}

} // namespace
} // namespace lentilbay
