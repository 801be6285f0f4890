// The quota holds for the fleet: over any window, through splits, restarts and lost messages.
#include "lentilbay/Policy/SharedQuota.h"

#include "lentilbay/Support/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr QuotaLimits limits { .tokensPerSecond = 1000, .burstTokens = 1000 };
constexpr Duration step = 50ms;

TEST(SharedQuota, AdmitsTheBurstAndThenTheRate)
{
    SharedQuota quota(limits, true, TimePoint());
    EXPECT_TRUE(quota.admit(1000, limits, {}, TimePoint()));
    EXPECT_FALSE(quota.admit(100, limits, {}, TimePoint()));
    EXPECT_EQ(quota.timeUntil(100, TimePoint()), Duration(100ms));
    EXPECT_TRUE(quota.admit(100, limits, {}, TimePoint(100ms)));
}

TEST(SharedQuota, CountsWhatOthersTell)
{
    SharedQuota quota(limits, true, TimePoint());
    quota.heard("a", 1, 600, TimePoint());
    quota.heard("a", 1, 600, TimePoint());
    quota.heard("b", 1, 300, TimePoint());
    EXPECT_FALSE(quota.admit(200, limits, { .known = 3 }, TimePoint()));
    EXPECT_TRUE(quota.admit(100, limits, { .known = 3 }, TimePoint()));
}

TEST(SharedQuota, ARestartedPeerCountsFromZero)
{
    SharedQuota quota(limits, true, TimePoint());
    quota.heard("a", 1, 500, TimePoint());
    quota.heard("a", 2, 100, TimePoint());
    EXPECT_TRUE(quota.admit(400, limits, { .known = 2 }, TimePoint()));
    EXPECT_FALSE(quota.admit(10, limits, { .known = 2 }, TimePoint()));
}

TEST(SharedQuota, GivesBackWhatDidNotRun)
{
    SharedQuota quota(limits, true, TimePoint());
    EXPECT_TRUE(quota.admit(1000, limits, {}, TimePoint()));
    quota.giveBack(400, TimePoint());
    EXPECT_TRUE(quota.admit(400, limits, {}, TimePoint()));
    EXPECT_EQ(quota.admittedTotal(), 1000);
}

TEST(SharedQuota, WhatPeersAdmittedBeforeARestartIsNoDebt)
{
    SharedQuota quota(limits, false, TimePoint());
    quota.heard("a", 1, 5'000'000, TimePoint());
    EXPECT_TRUE(quota.admit(900, limits, { .known = 2 }, TimePoint(1s)));
    quota.heard("a", 1, 5'000'500, TimePoint(1s));
    EXPECT_FALSE(quota.admit(10, limits, { .known = 2 }, TimePoint(1s)))
        << "what it admits from now on counts";
    EXPECT_TRUE(quota.admit(10, limits, { .known = 2 }, TimePoint(1500ms)));
}

TEST(SharedQuota, ARestartedDaemonGoesOnFromAPeersLevel)
{
    // The load of djspu-edit trouble-2: daemons restart one after the other while an organisation uses half.
    SharedQuota quota(limits, false, TimePoint());
    EXPECT_FALSE(quota.admit(500, limits, { .known = 2 }, TimePoint()));
    quota.adoptLevel(700, TimePoint());
    EXPECT_TRUE(quota.admit(500, limits, { .known = 2 }, TimePoint()));
    quota.adoptLevel(100, TimePoint());
    EXPECT_EQ(quota.level(TimePoint()), 200) << "a lower level elsewhere is known by the totals";
    quota.adoptLevel(1e9, TimePoint());
    EXPECT_EQ(quota.level(TimePoint()), limits.burstTokens);
}

/// Daemons that each ask for far more than the quota; who hears whom changes as the test says.
class QuotaFleet {
public:
    explicit QuotaFleet(size_t n)
        : m_daemons(n, SharedQuota(limits, true, TimePoint()))
        , m_incarnations(n, 1)
    {
    }

    /// One step; `hears(a, b)` tells whether a hears b.
    template <class Hears> void run(TimePoint now, Hears hears)
    {
        for (size_t a = 0; a < m_daemons.size(); ++a) {
            size_t silent = 0;
            for (size_t b = 0; b < m_daemons.size(); ++b) {
                if (a == b)
                    continue;
                if (hears(a, b))
                    m_daemons[a].heard(
                        std::to_string(b), m_incarnations[b], m_daemons[b].admittedTotal(), now);
                else
                    ++silent;
            }
            while (m_daemons[a].admit(10, limits, { .known = m_daemons.size(), .silent = silent }, now))
                m_admitted.emplace_back(now, 10);
        }
    }

    void restart(size_t i, TimePoint now)
    {
        m_daemons[i] = SharedQuota(limits, false, now);
        ++m_incarnations[i];
    }

    /// The most that any window of 8 s holds, against the quota of such a window.
    double worstWindow() const
    {
        constexpr Duration window = 8s;
        double worst = 0;
        double sum = 0;
        for (size_t first = 0, last = 0; last < m_admitted.size(); ++last) {
            sum += m_admitted[last].second;
            while (m_admitted[last].first - m_admitted[first].first > window)
                sum -= m_admitted[first++].second;
            worst = std::max(worst, sum);
        }
        return worst / (limits.tokensPerSecond * toSeconds(window) + limits.burstTokens);
    }

private:
    std::vector<SharedQuota> m_daemons;
    std::vector<uint64_t> m_incarnations;
    std::vector<std::pair<TimePoint, double>> m_admitted;
};

/// The users' bound: a tenth above the quota.
constexpr double worstAllowed = 1.1;

TEST(SharedQuota, HoldsWhenAllDaemonsAreKilledUnderAHotOrganisation)
{
    // The load of ictc-desk trouble-3: seven times the quota, and all daemons restarted in the midst of it.
    QuotaFleet fleet(6);
    for (TimePoint now {}; now < TimePoint(24s); now += step) {
        if (now == TimePoint(12s)) {
            for (size_t i = 0; i < 6; ++i)
                fleet.restart(i, now);
        }
        fleet.run(now, [](size_t, size_t) { return true; });
    }
    EXPECT_LE(fleet.worstWindow(), worstAllowed);
}

RC_GTEST_PROP(SharedQuota, HoldsHoweverTheNetworkSplits, (uint64_t seed))
{
    Random random(seed);
    QuotaFleet fleet(4);
    std::vector<size_t> group(4, 0);
    for (TimePoint now {}; now < TimePoint(20s); now += step) {
        if (random.chance(0.02)) {
            for (auto& it : group)
                it = random.below(3);
        }
        if (random.chance(0.01))
            fleet.restart(random.below(4), now);
        fleet.run(now, [&](size_t a, size_t b) { return group[a] == group[b]; });
    }
    RC_ASSERT(fleet.worstWindow() <= worstAllowed);
}

} // namespace
} // namespace lentilbay
