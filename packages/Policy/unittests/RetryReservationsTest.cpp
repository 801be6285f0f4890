// Tests that callers which a quota refuses are told when it admits them.
#include "lentilbay/Policy/RetryReservations.h"

#include "lentilbay/Policy/SharedQuota.h"
#include "lentilbay/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

/// Of which 1000 tokens a second are assigned.
constexpr double rate = 1000 / RetryReservations::assignedFraction;

TEST(RetryReservations, CallersReturnOneAfterTheOther)
{
    // Guards against all refused callers returning at the same time, when one of them can be admitted.
    RetryReservations reservations;
    RefusedTokens refused { .tokens = 200, .earliest = 300ms, .tokensPerSecond = rate, .maxWait = 1s };
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), 300ms);
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), 500ms);
    EXPECT_EQ(reservations.reserve(refused, TimePoint(100ms)), 600ms);
    EXPECT_EQ(reservations.reserve(refused, TimePoint(100ms)), 800ms);
    EXPECT_EQ(reservations.reserve(refused, TimePoint(100ms)), 1s);
    EXPECT_EQ(reservations.reserve(refused, TimePoint(100ms)), 1s) << "cut, and nothing is assigned";
    EXPECT_EQ(reservations.reserve(refused, TimePoint(300ms)), 1s);
    EXPECT_EQ(reservations.reserve(refused, TimePoint(5s)), 300ms) << "what was assigned has passed";
}

TEST(RetryReservations, LowerRanksLineUpBehindHigherOnes)
{
    RetryReservations reservations;
    RefusedTokens refused { .tokens = 500, .rank = 1, .tokensPerSecond = rate, .maxWait = 9s };
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), RetryReservations::minWait);
    refused.rank = 0;
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), RetryReservations::minWait);
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), 500ms);
    refused.rank = 2;
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), 1s);
}

TEST(RetryReservations, AssignmentsFollowAReducedRate)
{
    // Guards against callers that are told to return while the quota still admits what was assigned before:
    // the operator had reduced it, or other daemons had got a part of it.
    RetryReservations reservations;
    RefusedTokens refused { .tokens = 400, .tokensPerSecond = rate, .maxWait = 9s };
    reservations.reserve(refused, TimePoint());
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), 400ms);
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), 800ms);
    refused.tokensPerSecond = rate / 4;
    EXPECT_EQ(reservations.reserve(refused, TimePoint(200ms)), 4s) << "1000 tokens are left, 250 a second";
    refused.tokensPerSecond = rate;
    EXPECT_EQ(reservations.reserve(refused, TimePoint(1200ms)), 1150ms) << "1150 of 1400 tokens are left";
}

TEST(RetryReservations, LowerRankLinesUpBehindAHigherOneAtAReducedRate)
{
    RetryReservations reservations;
    RefusedTokens refused { .tokens = 500, .rank = 0, .tokensPerSecond = rate, .maxWait = 9s };
    reservations.reserve(refused, TimePoint());
    refused.rank = 1;
    refused.tokensPerSecond = rate / 2;
    EXPECT_EQ(reservations.reserve(refused, TimePoint()), 1s);
}

TEST(RetryReservations, StatesAtLeastTheShortestTime)
{
    RetryReservations reservations;
    EXPECT_EQ(reservations.reserve({ .tokens = 1, .tokensPerSecond = rate, .maxWait = 1ms }, TimePoint()),
        RetryReservations::minWait);
    EXPECT_EQ(reservations.reserve({ .tokens = 1, .earliest = 3s, .maxWait = 2s }, TimePoint()), 2s);
}

/// Daemons whose callers retry once at a random daemon.
class RetryingFleet {
public:
    static constexpr size_t size = 85;
    static constexpr Duration step = 50ms;
    static constexpr QuotaPromise promise { .tokensPerSecond = 200'000,
        .burstTokens = 200'000,
        .window = 8s,
        .overshoot = 0.1,
        .slackTokens = 140'000 };

    /// @param hasReservations whether the times are those of RetryReservations, or 0.6 s or the time until
    /// the bucket and the window hold the tokens, whichever is later
    explicit RetryingFleet(bool hasReservations, double meanTokens = 3000)
        : m_hasReservations(hasReservations)
        , m_meanTokens(meanTokens)
        , m_daemons(size, SharedQuota(limits, true, participants, TimePoint()))
        , m_reservations(size)
    {
    }

    void run(double demand, TimePoint now)
    {
        exchangeReports(now);
        const auto due = m_retries.upper_bound(now);
        std::vector<Request> requests;
        for (auto it = m_retries.begin(); it != due; ++it)
            requests.push_back(it->second);
        m_retries.erase(m_retries.begin(), due);
        m_pending += demand * promise.tokensPerSecond * toSeconds(step) / m_meanTokens;
        for (; m_pending > 0; m_pending += std::log(1 - m_random.fraction()))
            requests.push_back({ .tokens = m_meanTokens * (0.5 + m_random.fraction()),
                .deadline = now + 5s + fromSeconds(25 * m_random.fraction()) });
        for (size_t i = requests.size(); i > 1; --i)
            std::swap(requests[i - 1], requests[m_random.below(i)]);
        for (const auto& it : requests)
            arrive(it, now);
    }

    size_t refused() const { return m_refused; }
    size_t retries() const { return m_retried; }
    double refusedAgain() const
    {
        return m_retried == 0 ? 0 : static_cast<double>(m_refusedAgain) / static_cast<double>(m_retried);
    }
    double admittedTokens() const { return m_admitted; }

private:
    struct Request {
        double tokens = 0;
        TimePoint deadline {};
        bool isRetry = false;
    };

    void arrive(const Request& request, TimePoint now)
    {
        const auto i = m_random.below(size);
        m_retried += request.isRetry ? 1 : 0;
        if (m_daemons[i].admit(request.tokens, limits, participants, now)) {
            m_admitted += request.tokens;
            return;
        }
        ++m_refused;
        if (request.isRetry) {
            ++m_refusedAgain;
            // The daemon does not know that its caller gives up.
            if (m_hasReservations)
                wait(i, request, now);
            return;
        }
        auto retry = request;
        retry.isRetry = true;
        m_retries.emplace(now + wait(i, request, now), retry);
    }

    Duration wait(size_t i, const Request& request, TimePoint now)
    {
        const auto maxWait = (request.deadline - now) / 3;
        const auto earliest = m_daemons[i].timeUntil(request.tokens, participants, now);
        if (!m_hasReservations)
            return std::min(maxWait, std::max<Duration>(600ms, earliest));
        return m_reservations[i].reserve(
            { .tokens = request.tokens,
                .earliest = earliest,
                .tokensPerSecond = m_daemons[i].ownTokensPerSecond(participants, now),
                .maxWait = maxWait },
            now);
    }

    void exchangeReports(TimePoint now)
    {
        for (size_t to = 0; to < size; ++to) {
            for (size_t from = 0; from < size; ++from) {
                const auto phase = step * static_cast<int64_t>((to * 7 + from * 3) % 8);
                if (to != from && (now - TimePoint()) % 400ms == phase)
                    m_daemons[to].applyReport(std::to_string(from),
                        { .incarnation = 1,
                            .admittedTotal = m_daemons[from].admittedTotal(),
                            .countsAllUse = true },
                        now);
            }
        }
    }

    static inline const QuotaLimits limits = limitsFor(promise);
    static inline const QuotaParticipants participants { .known = size, .reportInterval = 1s };
    bool m_hasReservations;
    double m_meanTokens;
    std::vector<SharedQuota> m_daemons;
    std::vector<RetryReservations> m_reservations;
    Random m_random { 1 };
    std::multimap<TimePoint, Request> m_retries;
    double m_pending = 0;
    double m_admitted = 0;
    size_t m_refused = 0;
    size_t m_retried = 0;
    size_t m_refusedAgain = 0;
};

/// Runs a surge of six times the quota after and before usual demand.
RetryingFleet afterSurge(Duration surge, bool hasReservations)
{
    RetryingFleet fleet(hasReservations);
    constexpr TimePoint begin(12s);
    for (TimePoint now {}; now < begin + surge + 30s; now += RetryingFleet::step)
        fleet.run(now >= begin && now < begin + surge ? 6 : 0.5, now);
    return fleet;
}

TEST(RetryReservations, CallersAreRefusedAgainHalfAsOften)
{
    // Guards against times that say nothing: 0.6 s in each of 19,003 refusals of the heaviest day, after
    // which most callers were refused again.
    for (const Duration surge : { Duration(1s), Duration(2s) }) {
        const auto before = afterSurge(surge, false);
        const auto after = afterSurge(surge, true);
        EXPECT_LE(after.refusedAgain(), before.refusedAgain() / 2) << toSeconds(surge);
        EXPECT_GE(after.admittedTokens(), 0.98 * before.admittedTokens())
            << "requests that arrive for the first time are not refused instead";
    }
}

TEST(RetryReservations, CallersAreRefusedAgainLessOftenInALongSurge)
{
    // More is refused than the quota can admit within the times for which callers wait.
    const auto before = afterSurge(4s, false);
    const auto after = afterSurge(4s, true);
    EXPECT_LE(after.refusedAgain(), before.refusedAgain() * 0.7);
    EXPECT_GE(after.admittedTokens(), before.admittedTokens());
}

TEST(RetryReservations, OrganisationBelowItsQuotaIsNeverToldToWait)
{
    // A daemon that gets several of the largest requests at once, which are more than its part of the quota
    // of a second, refuses one.
    RetryingFleet fleet(true, 1000);
    for (TimePoint now {}; now < TimePoint(60s); now += RetryingFleet::step)
        fleet.run(0.5, now);
    EXPECT_EQ(fleet.refused(), 0U);
}

TEST(RetryReservations, TimeCountsTheAllowanceAndWhatIsKeptForHigherRanks)
{
    // Guards against a time of zero where the allowance between two reports, or the part that is kept for
    // higher ranks, is what refused the request.
    constexpr QuotaPromise promise {
        .tokensPerSecond = 10'000, .burstTokens = 10'000, .window = 8s, .overshoot = 0.1
    };
    const auto limits = limitsFor(promise);
    const QuotaParticipants participants { .known = 20, .reportInterval = 1s };
    SharedQuota quota(limits, true, participants, TimePoint());
    TimePoint now(10s);
    while (quota.admit(500, limits, participants, now, 1)) { }
    const auto wait = quota.timeUntil(500, participants, now, 1);
    EXPECT_GT(wait, Duration::zero()) << "the allowance is used up";
    EXPECT_TRUE(quota.admit(500, limits, participants, now + wait + 1ms, 1));

    SharedQuota ranked(limits, true, {}, TimePoint());
    while (ranked.admit(500, limits, {}, now, 0)) { }
    const auto urgent = ranked.timeUntil(500, {}, now, 0);
    const auto other = ranked.timeUntil(500, {}, now, 2);
    EXPECT_GT(other, urgent) << "a part is kept for the higher rank";
    EXPECT_FALSE(ranked.admit(500, limits, {}, now + urgent + 1ms, 2));
    EXPECT_TRUE(ranked.admit(500, limits, {}, now + other + 1ms, 2));
}

} // namespace
} // namespace lentilbay
