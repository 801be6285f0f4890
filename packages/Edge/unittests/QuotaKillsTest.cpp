// Tests that a quota holds in a large fleet of which a part is killed and restarted, aggregators among them.
#include "QuotaFleet.h"

#include <gtest/gtest.h>
#include <iostream>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

/// An organisation of the measured days: 5,742,499 tokens were allowed in 8 s, 5,930,483 admitted.
constexpr QuotaPromise promise {
    .tokensPerSecond = 565'750, .burstTokens = 565'750, .window = 8s, .overshoot = 0.1, .slackTokens = 140'000
};
/// An organisation's usual demand, relative to its rate.
constexpr double usualDemand = 0.5;

struct Kill {
    size_t daemons = 85;
    /// Daemons that are not killed.
    size_t left = 1;
    /// Times the usual demand, from some time before the kill on.
    double surge = 6.4;
    uint64_t seed = 0;
};

struct Result {
    /// Relative to what none may exceed.
    double worstWindow = 0;
    /// What was admitted in the first second, and in the first 8 s, after the first daemon is started again,
    /// relative to the promised rate.
    double admittedAtOnce = 0;
    double admitted = 0;
    /// Of the demand once all daemons run again.
    double refused = 0;
    /// By how much the daemons that were not killed, and the others, count less at most than was admitted in
    /// the window, when all of them have run again for a second; relative to what a window may hold.
    double missingAtSurvivors = 0;
    double missingAtRestarted = 0;
};

/// Kills all but some daemons, chosen at random, for 1 s to 1.5 s. Callers find other daemons meanwhile.
Result play(const Kill& kill)
{
    QuotaFleet fleet({ .daemons = kill.daemons, .promise = promise, .seed = kill.seed });
    auto& random = fleet.random();
    const auto spreadUnevenly = [&] {
        for (size_t i = 0; i < kill.daemons; ++i)
            fleet.setShare(i, 0.2 + 2 * random.fraction() * random.fraction());
    };
    spreadUnevenly();
    const auto at = [&](Duration from, uint64_t steps) {
        return TimePoint(from) + QuotaFleet::step * static_cast<int64_t>(random.below(steps));
    };
    const auto killedAt = at(12s, 20);
    const auto surgeAt = at(7s, 120);
    std::vector<size_t> order(kill.daemons);
    std::iota(order.begin(), order.end(), 0);
    std::ranges::shuffle(order, random.engine());
    std::map<TimePoint, std::vector<size_t>> starts;
    for (auto i = kill.left; i < kill.daemons; ++i)
        starts[killedAt + 1s + QuotaFleet::step * static_cast<int64_t>(random.below(10))].push_back(order[i]);
    Result out;
    while (fleet.now() < killedAt + 12s) {
        const auto now = fleet.now();
        if (now == killedAt) {
            for (auto i = kill.left; i < kill.daemons; ++i)
                fleet.kill(order[i]);
        }
        if (now == killedAt + 1s) {
            spreadUnevenly();
            fleet.startCounting();
        }
        for (const auto i : starts[now])
            fleet.start(i);
        fleet.run(now >= surgeAt ? usualDemand * kill.surge : usualDemand);
        if (fleet.now() == killedAt + 2s)
            out.admittedAtOnce = fleet.admitted() / promise.tokensPerSecond;
        if (fleet.now() == killedAt + 9s)
            out.admitted = fleet.admitted() / promise.tokensPerSecond / 8;
        if (fleet.now() == killedAt + 1600ms)
            out.refused = -fleet.refused();
        if (fleet.now() == killedAt + 2600ms) {
            const auto missing = [&](bool isRestarted) {
                return (fleet.admittedInWindow() - fleet.countedInWindow(isRestarted).first)
                    / promise.maxWindowTokens();
            };
            out.missingAtSurvivors = missing(false);
            out.missingAtRestarted = missing(true);
        }
    }
    out.worstWindow = fleet.worstWindow();
    out.refused = (out.refused + fleet.refused()) / (fleet.admitted() + fleet.refused());
    return out;
}

/// A half, 9 in 10, or all but one are killed.
std::vector<size_t> partsLeft(size_t daemons) { return { daemons / 2, daemons / 10, 1 }; }

TEST(QuotaKills, HoldsWhenAPartOfTheDaemonsIsKilled)
{
    // Guards against daemons of a data centre without its aggregators, which counted nothing of what others
    // admitted for up to 2.5 s, and against restarted ones that took the heartbeat of a peer which did not
    // know of the restart for the statement that nothing had been used.
    for (const size_t daemons : { 24, 85 }) {
        for (const auto left : partsLeft(daemons)) {
            for (const double surge : { 3.6, 6.4 }) {
                for (const uint64_t seed : { 0, 1, 2, 16, 19 }) {
                    const auto it = play({ .daemons = daemons, .left = left, .surge = surge, .seed = seed });
                    EXPECT_LE(it.worstWindow, 1)
                        << left << " of " << daemons << " left, surge " << surge << ", seed " << seed;
                }
            }
        }
    }
}

// Fails, see KNOWN-RED.txt.
TEST(QuotaKills, DISABLED_HoldsWhenHalfOfALargeFleetIsKilled)
{
    // Guards against a surge that begins while a data centre has no aggregator, so that no sum states it.
    for (uint64_t seed = 0; seed < 40; ++seed) {
        const auto it = play({ .left = 42, .seed = seed });
        EXPECT_LE(it.worstWindow, 1) << "seed " << seed;
    }
}

// Fails, see KNOWN-RED.txt.
TEST(QuotaKills, DISABLED_OrganisationAtHalfOfItsQuotaIsServedAfterARestart)
{
    // Guards against daemons that start one after the other and each add the most that may have been admitted
    // unseen to the checkpoint of one that has done so already: up to 46% of the demand was refused. The rest
    // is refused in the first seconds by restarted daemons that have not heard all others.
    for (const size_t daemons : { 24, 85 }) {
        for (const auto left : partsLeft(daemons)) {
            for (uint64_t seed = 0; seed < 5; ++seed) {
                const auto it = play({ .daemons = daemons, .left = left, .surge = 1, .seed = seed });
                EXPECT_LE(it.refused, 0.005) << left << " of " << daemons << " left, seed " << seed;
            }
        }
    }
}

TEST(QuotaKills, ThePromiseIsAdmittedWithoutFaults)
{
    QuotaFleet fleet({ .promise = promise });
    while (fleet.now() < TimePoint(40s)) {
        if (fleet.now() == TimePoint(16s))
            fleet.startCounting();
        // The daemons find each other first.
        fleet.run(fleet.now() < TimePoint(6s) ? usualDemand : 2);
    }
    EXPECT_GE(fleet.admitted(), 0.95 * promise.tokensPerSecond * 24);
    EXPECT_LE(fleet.worstWindow(), 1);
}

// Measures what the tests above check, for docs/design/QuotaCheckpoints.md.
TEST(QuotaKills, DISABLED_Measure)
{
    constexpr uint64_t seeds = 40;
    for (const size_t daemons : { 24, 85 }) {
        for (const auto left : partsLeft(daemons)) {
            for (const double surge : { 1.0, 3.6, 6.4 }) {
                Result worst;
                Result sum;
                int violations = 0;
                for (uint64_t seed = 0; seed < seeds; ++seed) {
                    const auto it = play({ .daemons = daemons, .left = left, .surge = surge, .seed = seed });
                    violations += it.worstWindow > 1 ? 1 : 0;
                    worst.worstWindow = std::max(worst.worstWindow, it.worstWindow);
                    worst.refused = std::max(worst.refused, it.refused);
                    worst.missingAtSurvivors = std::max(worst.missingAtSurvivors, it.missingAtSurvivors);
                    worst.missingAtRestarted = std::max(worst.missingAtRestarted, it.missingAtRestarted);
                    sum.admittedAtOnce += it.admittedAtOnce / seeds;
                    sum.admitted += it.admitted / seeds;
                }
                std::cout << daemons << " daemons, " << left << " left, surge " << surge << ": worst window "
                          << worst.worstWindow << ", " << violations << " of " << seeds
                          << " exceed; admitted " << sum.admittedAtOnce
                          << " of the rate in the first second, " << sum.admitted << " in 8 s; refused "
                          << worst.refused << "; missing at survivors " << worst.missingAtSurvivors
                          << ", at restarted " << worst.missingAtRestarted << std::endl;
            }
        }
    }
}

} // namespace
} // namespace lentilbay::edge
