// Tests that a quota holds, and that it is not withheld, while daemons are killed, cut off and restarted.
#include "FaultyFleet.h"
#include "lentilbay/Support/Random.h"

#include <gtest/gtest.h>
#include <iterator>
#include <rapidcheck/gtest.h>
#include <vector>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr Duration step = FaultyFleet::step;
constexpr Duration window = FaultyFleet::window;

constexpr QuotaPromise promise { .tokensPerSecond = 140'000,
    .burstTokens = 250'000,
    .window = window,
    .overshoot = 0.1,
    .slackTokens = 140'000 };
/// An organisation's usual demand, relative to its rate.
constexpr double usualDemand = 0.5;
/// Requirement: of what an organisation demands below its quota, at least this is admitted.
constexpr double minAdmitted = 0.95;

/// Kills the last `killed` daemons twice for `downtime`, and returns the share of the demand at the others
/// that is admitted from the first kill on.
double admittedBesideKilledDaemons(
    size_t size, size_t killed, double killedShare, Duration downtime, double requestTokens)
{
    FaultyFleet fleet(size, promise, requestTokens);
    const auto left = size - killed;
    for (size_t i = 0; i < size; ++i)
        fleet.setShare(i,
            i < left ? (1 - killedShare) / static_cast<double>(left)
                     : killedShare / static_cast<double>(killed));
    constexpr TimePoint firstKill { 12s };
    const TimePoint secondKill = firstKill + downtime + 3s;
    for (TimePoint now {}; now < secondKill + downtime + 4s; now += step) {
        if (now == firstKill)
            fleet.startCounting();
        for (auto i = left; i < size; ++i) {
            if (now == firstKill || now == secondKill)
                fleet.kill(i);
            if (now == firstKill + downtime || now == secondKill + downtime)
                fleet.restart(i, now);
        }
        fleet.run(usualDemand, now);
    }
    EXPECT_LE(fleet.worstWindow(), 1);
    return fleet.admittedShare();
}

TEST(SharedQuotaFaults, DaemonThatWasLeftRefusedAnOrganisationFarBelowItsQuota)
{
    // Guards against counting the use of silent daemons twice: in the window and as a part that is reserved
    // for them (review/3).
    for (const size_t size : { 2, 4, 20, 66 }) {
        for (const size_t killed : { size / 2, size - 1 }) {
            const double evenShare = static_cast<double>(killed) / static_cast<double>(size);
            for (const double killedShare : { evenShare, 0.9 }) {
                for (const Duration downtime :
                    { Duration(300ms), Duration(1s), Duration(2s), Duration(30s) }) {
                    if (killedShare < evenShare)
                        continue;
                    EXPECT_GE(
                        admittedBesideKilledDaemons(size, killed, killedShare, downtime, 1000), minAdmitted)
                        << killed << " of " << size << " daemons with " << killedShare
                        << " of the requests, for " << toSeconds(downtime) << " s";
                }
            }
        }
    }
}

TEST(SharedQuotaFaults, CallersOfKilledDaemonsWereRefusedAtTheOneThatWasLeft)
{
    // The callers go to the daemon that is left, which has a part of the quota until the others are back.
    for (const size_t size : { 2, 4 }) {
        FaultyFleet fleet(size, promise, 1000);
        for (TimePoint now {}; now < TimePoint(20s); now += step) {
            if (now == TimePoint(12s)) {
                fleet.startCounting();
                fleet.setShare(0, 1);
                for (size_t i = 1; i < size; ++i)
                    fleet.kill(i);
            }
            if (now == TimePoint(14s)) {
                for (size_t i = 1; i < size; ++i)
                    fleet.restart(i, now);
                fleet.setShare(0, 1.0 / static_cast<double>(size));
            }
            fleet.run(usualDemand, now);
        }
        EXPECT_GE(fleet.admittedShare(), minAdmitted) << size;
        EXPECT_LE(fleet.worstWindow(), 1) << size;
    }
}

TEST(SharedQuotaFaults, RetryAfterIsWhenADaemonThatIsLeftAdmits)
{
    const auto limits = limitsFor(promise);
    TimePoint now {};
    SharedQuota quota(limits, true, { .known = 4 }, now);
    for (; now < TimePoint(9s); now += step) {
        quota.admit(0.2 * promise.tokensPerSecond * toSeconds(step), limits, { .known = 4 }, now);
        quota.applyUse(0.6 * promise.tokensPerSecond * toSeconds(step), now);
    }
    const QuotaParticipants left { .known = 4, .silent = 3, .silentSince = { now, now, now } };
    constexpr double request = 10'000;
    while (quota.admit(request, limits, left, now)) { }
    const auto wait = quota.timeUntil(request, left, now);
    EXPECT_GT(wait, Duration::zero());
    EXPECT_TRUE(quota.admit(request, limits, left, now + wait + 1ms));
}

TEST(SharedQuotaFaults, HoldsWhileDaemonsAreHeardInOneDirectionOnly)
{
    // Guards against a daemon that hears all others, is heard by none, and so uses the whole quota beside
    // them.
    for (const size_t size : { 2, 4, 8 }) {
        FaultyFleet fleet(size, promise, 1000);
        for (TimePoint now {}; now < TimePoint(40s); now += step) {
            if (now == TimePoint(12s)) {
                for (size_t i = 1; i < size; ++i)
                    fleet.connect(0, i, false);
            }
            fleet.run(now < TimePoint(12s) ? usualDemand : 4, now);
        }
        EXPECT_LE(fleet.worstWindow(), 1) << size;
    }
}

/// Which faults a random run has.
struct FaultKinds {
    /// A part of the fleet is cut off, or a daemon is heard or hears no more.
    bool hasCuts = false;
    /// Daemons are killed and restarted.
    bool hasKills = false;
};

/// Plays a random run and returns its worst window, relative to what none may exceed. The load is between a
/// third of the quota and three times of it, and unevenly spread.
double worstWindowOf(uint64_t seed, size_t size, FaultKinds kinds)
{
    Random random(seed);
    const double rate = 10'000 + 300'000 * random.fraction();
    const QuotaPromise own { .tokensPerSecond = rate,
        .burstTokens = rate * (0.5 + 1.5 * random.fraction()),
        .window = window,
        .overshoot = 0.1,
        .slackTokens = 140'000 };
    FaultyFleet fleet(size, own, rate / 200);
    std::vector<double> shares(size);
    double all = 0;
    for (auto& it : shares)
        all += it = random.chance(0.3) ? 5 + 20 * random.fraction() : 0.2 + random.fraction();
    for (size_t i = 0; i < size; ++i)
        fleet.setShare(i, shares[i] / all);
    double demand = usualDemand;
    for (TimePoint now {}; now < TimePoint(24s); now += step) {
        if (random.chance(0.02))
            demand = 0.3 + 2.7 * random.fraction();
        const size_t n = 1 + random.below(size);
        if (kinds.hasCuts && random.chance(0.01)) {
            const bool isCut = random.chance(0.6);
            for (size_t i = 0; i < size; ++i) {
                for (size_t j = 0; j < size; ++j)
                    fleet.connect(i, j, !isCut || (i < n) == (j < n));
            }
        }
        if (kinds.hasCuts && random.chance(0.01)) {
            const size_t i = random.below(size);
            const bool isHeard = random.chance(0.5);
            for (size_t j = 0; j < size; ++j)
                fleet.connect(isHeard ? j : i, isHeard ? i : j, false);
        }
        if (kinds.hasKills && random.chance(0.01)) {
            // What a restart of all daemons loses is covered by the tests of SharedQuota.
            for (size_t i = random.below(size), k = 0; k < n; ++k, i = (i + 1) % size) {
                if (fleet.hasOtherWitness(i))
                    fleet.kill(i);
            }
        }
        if (kinds.hasKills && random.chance(0.04)) {
            for (size_t i = 0; i < size; ++i) {
                if (!fleet.isRunning(i) && random.chance(0.7))
                    fleet.restart(i, now);
            }
        }
        fleet.run(demand, now);
    }
    return fleet.worstWindow();
}

RC_GTEST_PROP(SharedQuotaFaults, HoldsWhileDaemonsAreCutOff, (uint64_t seed))
{
    const size_t sizes[] = { 2, 3, 4, 6, 8, 12, 16 };
    RC_ASSERT(worstWindowOf(seed, sizes[seed % std::size(sizes)], { .hasCuts = true }) <= 1);
}

RC_GTEST_PROP(SharedQuotaFaults, HoldsWhileDaemonsAreKilledAndRestarted, (uint64_t seed))
{
    // Guards against use that a restarted daemon adopted evenly spread over the window, and so forgot too
    // early. The larger fleets take long.
    const size_t sizes[] = { 2, 3, 4, 6, 8, 12, 20, 66 };
    RC_ASSERT(worstWindowOf(seed, sizes[seed % std::size(sizes)], { .hasKills = true }) <= 1);
}

TEST(SharedQuotaFaults, HoldsWhileDaemonsOfALargeFleetAreKilledAndRestarted)
{
    for (uint64_t seed = 0; seed < 3; ++seed)
        EXPECT_LE(worstWindowOf(seed, 300, { .hasKills = true }), 1) << seed;
}

// Known to fail, see KNOWN-RED.txt; run as the test SharedQuotaCutsBesideKills.
TEST(SharedQuotaFaults, DISABLED_HoldsWhileDaemonsAreCutOffAndKilled)
{
    for (uint64_t seed = 0; seed < 300; ++seed) {
        for (const size_t size : { 2, 4, 8 })
            EXPECT_LE(worstWindowOf(seed, size, { .hasCuts = true, .hasKills = true }), 1)
                << size << " daemons, seed " << seed;
    }
}

// Known to fail, see KNOWN-RED.txt; run as the test SharedQuotaLargeCuts.
TEST(SharedQuotaFaults, DISABLED_HoldsWhileALargeFleetIsCut)
{
    for (uint64_t seed = 0; seed < 100; ++seed)
        EXPECT_LE(worstWindowOf(seed, 20, { .hasCuts = true }), 1) << "seed " << seed;
}

} // namespace
} // namespace lentilbay
