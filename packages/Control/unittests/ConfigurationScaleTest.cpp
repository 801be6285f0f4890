// Time from a change to its acceptance and its cost, in virtual time, for several fleet sizes.
#include "ConfigurationFleet.h"

#include <gtest/gtest.h>
#include <iostream>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr Duration acceptanceBound = 18s;
constexpr Duration idleTime = 20s;

class ConfigurationScale : public testing::TestWithParam<size_t> { };

/// Commits one change and returns the time until it is in force on all daemons and accepted.
Duration changeTime(ConfigurationFleet& fleet, uint64_t value)
{
    const auto begin = fleet.now;
    const auto id = fleet.propose(0, value);
    while (fleet.outcome(id) == ChangeOutcome::Unresolved && fleet.now - begin < acceptanceBound)
        fleet.run(10ms);
    EXPECT_EQ(fleet.outcome(id), ChangeOutcome::Committed);
    EXPECT_TRUE(fleet.settlesWithin(acceptanceBound));
    return fleet.now - begin;
}

TEST_P(ConfigurationScale, AChangeIsInForceEverywhereInTime)
{
    ConfigurationFleet fleet(GetParam(), 3, 7);
    fleet.store.objectsUnavailable = true;
    fleet.run(5s);
    changeTime(fleet, 1);
    Duration slowest {};
    for (uint64_t n = 2; n < 12; ++n)
        slowest = std::max(slowest, changeTime(fleet, n));
    EXPECT_LT(slowest, acceptanceBound);
    fleet.crash(GetParam() - 1);
    const auto withDeath = changeTime(fleet, 20);
    EXPECT_LT(withDeath, acceptanceBound);
    ASSERT_TRUE(fleet.violations.empty()) << fleet.violations.front();
    fleet.watchesAcceptance = false;
    const auto operations = fleet.store.operations;
    const auto messages = fleet.nodes[0]->messagesSent;
    fleet.run(idleTime);
    RecordProperty("worst_ms", static_cast<int>(toMilliseconds(slowest)));
    RecordProperty("with_a_dead_daemon_ms", static_cast<int>(toMilliseconds(withDeath)));
    std::cout << fmt::format(
        "{} daemons: accepted within {:.2f} s, with a dead daemon {:.2f} s; idle: {:.1f} store "
        "calls/s in all, {:.1f} messages/s of one daemon\n",
        GetParam(), toSeconds(slowest), toSeconds(withDeath),
        static_cast<double>(fleet.store.operations - operations) / toSeconds(idleTime),
        static_cast<double>(fleet.nodes[0]->messagesSent - messages) / toSeconds(idleTime));
}

INSTANTIATE_TEST_SUITE_P(Sizes, ConfigurationScale, testing::Values(6, 12, 24));

} // namespace
} // namespace lentilbay
