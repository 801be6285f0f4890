// Tests that daemons together respect the rate that an endpoint states, and when a statement applies.
#include "lentilbay/Edge/EndpointSignalTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr uint64_t endpoint = 7;
constexpr Duration window = 4s;

std::vector<SendingDaemon> daemonsOf(size_t n)
{
    std::vector<SendingDaemon> out;
    for (size_t i = 0; i < n; ++i)
        out.push_back({ .name = fmt::format("d{}", i), .dataCentre = DataCentreId(i % 3 == 0 ? "a" : "b") });
    return out;
}

EndpointIncarnation instance(uint64_t startedAt = 1)
{
    return { .endpoint = endpoint, .startedAtMilliseconds = startedAt, .dataCentre = DataCentreId("a") };
}

SignalAnswer answer(std::optional<double> rate, TimePoint sentAt)
{
    return { .endpoint = instance(),
        .signals = { .maxRequestsPerSecond = rate },
        .isConclusive = true,
        .sentAt = sentAt };
}

/// What an endpoint that states a rate may get in a window without a rule being broken.
double mostIn(Duration period, double rate) { return 1.5 * rate * toSeconds(period) + 5; }

size_t mostInAnyWindow(const std::vector<TimePoint>& sends)
{
    size_t out = 0;
    for (size_t i = 0, first = 0; i < sends.size(); ++i) {
        while (sends[i] - sends[first] >= window)
            ++first;
        out = std::max(out, i - first + 1);
    }
    return out;
}

TEST(EndpointSignalTable, AllowsEverythingWithoutAStatement)
{
    EndpointSignalTable table;
    EXPECT_TRUE(table.maySend(endpoint, TimePoint(1s), TimePoint(1s)));
    EXPECT_FALSE(table.recordAnswer(answer(std::nullopt, TimePoint(1s)), TimePoint(2s)));
    EXPECT_TRUE(table.empty());
}

TEST(EndpointSignalTable, SingleDaemonSendsAtTheStatedRate)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(1), TimePoint());
    EXPECT_TRUE(table.recordAnswer(answer(2, TimePoint(1s)), TimePoint(1s)));
    EXPECT_FALSE(table.maySend(endpoint, TimePoint(1s), TimePoint(1400ms)));
    EXPECT_TRUE(table.maySend(endpoint, TimePoint(1s), TimePoint(1500ms)));
    EXPECT_TRUE(table.maySend(endpoint + 1, TimePoint(1s), TimePoint(1s))) << "another endpoint";
}

TEST(EndpointSignalTable, OnlyALaterRequestWithdrawsAStatement)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(1), TimePoint());
    table.recordAnswer(answer(2, TimePoint(1s)), TimePoint(2s));
    EXPECT_FALSE(table.recordAnswer(answer(std::nullopt, TimePoint(1900ms)), TimePoint(3s)))
        << "the answer may have been written before the statement";
    auto inconclusive = answer(std::nullopt, TimePoint(2100ms));
    inconclusive.isConclusive = false;
    EXPECT_FALSE(table.recordAnswer(inconclusive, TimePoint(3s)));
    EXPECT_FALSE(table.recordAnswer(answer(std::nullopt, TimePoint(2100ms)), TimePoint(3s)))
        << "the first one";
    EXPECT_TRUE(table.recordAnswer(answer(std::nullopt, TimePoint(2100ms)), TimePoint(3s)));
    EXPECT_TRUE(table.maySend(endpoint, TimePoint(3s), TimePoint(3s)));
    table.dropOld(TimePoint(9s));
    EXPECT_TRUE(table.empty());
}

TEST(EndpointSignalTable, OneAnswerEndsAStatementThatNoneHasRepeatedForLong)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(1), TimePoint());
    table.recordAnswer(answer(0.2, TimePoint(1s)), TimePoint(2s));
    EXPECT_TRUE(table.recordAnswer(answer(std::nullopt, TimePoint(2100ms)), TimePoint(5s)));
}

TEST(EndpointSignalTable, AnswerThatWasOvertakenDoesNotRaiseTheLimit)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(1), TimePoint());
    table.recordAnswer(answer(2, TimePoint(2s)), TimePoint(3s));
    EXPECT_FALSE(table.recordAnswer(answer(8, TimePoint(1s)), TimePoint(4s)));
    EXPECT_EQ(table.signalsOf(endpoint).maxRequestsPerSecond, 2);
    EXPECT_TRUE(table.recordAnswer(answer(1, TimePoint(1s)), TimePoint(4s))) << "the lower one may be newer";
    EXPECT_TRUE(table.recordAnswer(answer(8, TimePoint(4100ms)), TimePoint(5s)));
}

TEST(EndpointSignalTable, EndpointThatWasListedAgainGotItsLastRequestTwice)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(1), TimePoint());
    table.recordAnswer(answer(0.5, TimePoint(1s)), TimePoint(1s));
    table.keepLastSend(endpoint, TimePoint(5s));
    EXPECT_FALSE(table.maySend(endpoint, TimePoint(), TimePoint(6s)));
    EXPECT_TRUE(table.maySend(endpoint, TimePoint(), TimePoint(7s)));
}

TEST(EndpointSignalTable, NewestOfPeersAndOwnStatementsApplies)
{
    EndpointSignalTable table;
    const auto a = instance();
    table.setDaemons("d0", daemonsOf(2), TimePoint());
    const auto report = [](std::optional<double> rate, Duration age) {
        return SignalReport { .endpoint = endpoint,
            .startedAtMilliseconds = 1,
            .signals = { .maxRequestsPerSecond = rate },
            .ageMicroseconds = age.count(),
            .sentAgeMicroseconds = age.count() };
    };
    EXPECT_TRUE(table.applyReport(report(2, 100ms), a, TimePoint(5s), TimePoint(5s)));
    EXPECT_FALSE(table.applyReport(report(std::nullopt, 200ms), a, TimePoint(5s), TimePoint(5s))) << "older";
    EXPECT_FALSE(table.applyReport(report(-1, Duration {}), a, TimePoint(6s), TimePoint(6s))) << "invalid";
    EXPECT_TRUE(table.applyReport(report(std::nullopt, Duration {}), a, TimePoint(6s), TimePoint(6s)));
    EXPECT_EQ(table.signalsOf(endpoint), EndpointSignals {});
    table.recordAnswer(answer(3, TimePoint(6s)), TimePoint(7s));
    EXPECT_FALSE(table.applyReport(report(std::nullopt, Duration {}), a, TimePoint(6500ms), TimePoint(8s)));
    EXPECT_EQ(table.signalsOf(endpoint).maxRequestsPerSecond, 3);
    ASSERT_EQ(table.reports(TimePoint(9s)).size(), 1U);
    EXPECT_EQ(table.reports(TimePoint(9s))[0].ageMicroseconds, Duration(2s).count());
}

TEST(EndpointSignalTable, LeavingEndpointStaysSoUntilItIsStartedAgain)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(1), TimePoint());
    auto leaving = answer(std::nullopt, TimePoint(1s));
    leaving.signals.isLeaving = true;
    EXPECT_TRUE(table.recordAnswer(leaving, TimePoint(2s)));
    EXPECT_FALSE(table.recordAnswer(answer(std::nullopt, TimePoint(3s)), TimePoint(4s)));
    EXPECT_TRUE(table.isLeaving(endpoint));
    EXPECT_FALSE(table.maySend(endpoint, TimePoint(), TimePoint(5s)));
    table.endpointListed(instance(0));
    EXPECT_TRUE(table.isLeaving(endpoint)) << "an older entry, or one without the time of the start";
    table.endpointListed(instance(2));
    EXPECT_FALSE(table.isLeaving(endpoint));
    EXPECT_FALSE(table.applyReport(
        { .endpoint = endpoint, .startedAtMilliseconds = 1, .signals = { .isLeaving = true } }, instance(2),
        TimePoint(6s), TimePoint(6s)))
        << "a peer's report on the earlier start";
}

TEST(EndpointSignalTable, AnotherDaemonSendsIfTheSelectedOneHasNoRequests)
{
    // Without this a limit would never end for daemons that are not selected.
    const auto daemons = daemonsOf(4);
    size_t allowedAtOnce = 0;
    size_t allowedLater = 0;
    for (const auto& it : daemons) {
        EndpointSignalTable table;
        table.setDaemons(it.name, daemons, TimePoint());
        table.recordAnswer(answer(0.5, TimePoint(1s)), TimePoint(1s));
        allowedAtOnce += table.maySend(endpoint, TimePoint(), TimePoint(3s));
        allowedLater += table.maySend(endpoint, TimePoint(), TimePoint(7s));
    }
    EXPECT_EQ(allowedAtOnce, 1U);
    EXPECT_EQ(allowedLater, 2U);
}

RC_GTEST_PROP(EndpointSignalTable, DaemonsTogetherRespectTheStatedRate, ())
{
    // Each daemon tries to send often; some are unknown to the others for a while, and answers reach all
    // daemons late.
    const auto n = *rc::gen::inRange<size_t>(1, 90);
    const double rate = *rc::gen::element(0.0, 0.3, 1.0, 2.0, 2.7, 7.5, 30.0);
    const auto restarted = *rc::gen::inRange<size_t>(0, n);
    const auto daemons = daemonsOf(n);
    struct Sender {
        EndpointSignalTable table;
        TimePoint lastSendAt {};
    };
    std::vector<Sender> senders(n);
    for (size_t i = 0; i < n; ++i) {
        senders[i].table.setDaemons(daemons[i].name, daemons, TimePoint());
        senders[i].table.recordAnswer(answer(rate, TimePoint(1s)), TimePoint(1s));
    }
    std::vector<TimePoint> sends;
    for (auto now = TimePoint(1s); now < TimePoint(21s); now += 20ms) {
        const bool isAway = n > 1 && now >= TimePoint(8s) && now < TimePoint(11s);
        for (size_t i = 0; i < n; ++i) {
            auto& it = senders[i];
            auto known = daemons;
            if (isAway && i != restarted)
                known.erase(known.begin() + static_cast<std::ptrdiff_t>(restarted));
            it.table.setDaemons(daemons[i].name, known, now);
            if (isAway && i == restarted)
                continue;
            if (!it.table.maySend(endpoint, it.lastSendAt, now))
                continue;
            it.lastSendAt = now;
            sends.push_back(now);
        }
        if (!sends.empty() && now - sends.back() == 100ms) {
            for (auto& it : senders)
                it.table.recordAnswer(answer(rate, sends.back()), now);
        }
    }
    RC_ASSERT(static_cast<double>(mostInAnyWindow(sends)) <= mostIn(window, rate));
    // The rate is also used: a selected daemon is replaced while it is away.
    RC_ASSERT(static_cast<double>(sends.size()) >= std::floor(0.8 * rate * 20));
}

SignalAnswer brittleAnswer(std::optional<double> rejections, TimePoint sentAt)
{
    return { .endpoint = instance(),
        .signals = { .maxRejectionsPerSecond = rejections },
        .isConclusive = true,
        .sentAt = sentAt };
}

RC_GTEST_PROP(EndpointSignalTable, DaemonsTogetherHoldTheSlotsOfABrittleEndpoint, ())
{
    const auto n = *rc::gen::inRange<size_t>(1, 90);
    const auto slots = *rc::gen::inRange<uint32_t>(1, 64);
    uint32_t sum = 0;
    uint32_t most = 0;
    uint32_t least = slots;
    for (size_t i = 0; i < n; ++i) {
        EndpointSignalTable table;
        table.setDaemons(fmt::format("d{}", i), daemonsOf(n), TimePoint());
        const auto share = table.slotShare(endpoint, slots);
        sum += share;
        most = std::max(most, share);
        least = std::min(least, share);
    }
    RC_ASSERT(sum == slots);
    RC_ASSERT(most - least <= 1U);
}

TEST(EndpointSignalTable, DaemonThatKnowsNoOthersHoldsAllSlots)
{
    EXPECT_EQ(EndpointSignalTable().slotShare(endpoint, 6), 6U);
}

TEST(EndpointSignalTable, BrittleEndpointIsKnownUntilItsAnswersDoNotStateIt)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(1), TimePoint());
    EXPECT_TRUE(table.recordAnswer(brittleAnswer(3, TimePoint(1s)), TimePoint(1s)));
    EXPECT_TRUE(table.isBrittle(endpoint));
    EXPECT_TRUE(table.maySend(endpoint, TimePoint(1s), TimePoint(1s))) << "it states no rate";
    // A statement of another kind is none about this one.
    table.recordAnswer(answer(2, TimePoint(2s)), TimePoint(2s));
    EXPECT_TRUE(table.isBrittle(endpoint));
    EXPECT_FALSE(table.recordAnswer(brittleAnswer(std::nullopt, TimePoint(500ms)), TimePoint(3s)));
    table.recordAnswer(brittleAnswer(std::nullopt, TimePoint(3s)), TimePoint(3s));
    table.recordAnswer(brittleAnswer(std::nullopt, TimePoint(3s)), TimePoint(3s));
    EXPECT_FALSE(table.isBrittle(endpoint));
}

TEST(EndpointSignalTable, PeersReportBrittleEndpointsAndTheirRejections)
{
    EndpointSignalTable table;
    table.setDaemons("d0", daemonsOf(2), TimePoint());
    table.recordAnswer(brittleAnswer(3, TimePoint(10s)), TimePoint(10s));
    auto rejection = brittleAnswer(3, TimePoint(11s));
    rejection.isRejection = true;
    rejection.isConclusive = false;
    table.recordAnswer(rejection, TimePoint(11s));
    EXPECT_TRUE(table.isOverloaded(endpoint, TimePoint(12s)));
    EXPECT_FALSE(table.isOverloaded(endpoint, TimePoint(14s)));

    EndpointSignalTable peer;
    peer.setDaemons("d1", daemonsOf(2), TimePoint());
    const auto reports = table.reports(TimePoint(12s));
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_TRUE(peer.applyReport(reports[0], instance(), TimePoint(12s), TimePoint(12s)));
    EXPECT_TRUE(peer.isBrittle(endpoint));
    EXPECT_TRUE(peer.isOverloaded(endpoint, TimePoint(12s)));
    EXPECT_FALSE(peer.isBrittle(endpoint + 1));
}

} // namespace
} // namespace lentilbay::edge
