// Tests slot planning: strict rank order, round-robin among entries and capacity limits.
#include "lentilbay/Control/SlotPlan.h"

#include <gtest/gtest.h>
#include <numeric>

namespace lentilbay {
namespace {

/// Returns a problem with one pool, endpoints with the given slots, and entries that hold and use nothing.
SlotProblem onePool(const std::vector<uint32_t>& slots, size_t entries)
{
    SlotProblem problem { .pools = 1 };
    for (const auto n : slots)
        problem.endpoints.push_back({ .slots = n, .pools = { 0 } });
    for (size_t i = 0; i < entries; ++i) {
        SlotProblem::Entry entry { .receivesIdleSlots = true };
        entry.uses.resize(slots.size());
        entry.held.resize(slots.size());
        entry.recalled.resize(1);
        problem.entries.push_back(entry);
    }
    return problem;
}

uint32_t targetOf(const SlotPlan& plan, size_t entry)
{
    return std::accumulate(plan.targets[entry].begin(), plan.targets[entry].end(), 0U);
}

TEST(SlotPlan, IdleSlotsAreLentEvenlyAndTheRemainderIsKept)
{
    const auto plan = planSlots(onePool({ 7 }, 3));
    for (size_t i = 0; i < 3; ++i)
        EXPECT_EQ(targetOf(plan, i), 2U);
    EXPECT_EQ(plan.freeSlots[0], 7U);
    EXPECT_EQ(plan.admittedRank[0], maxTiers - 1);
}

TEST(SlotPlan, TheHigherTierIsServedFirst)
{
    auto problem = onePool({ 2, 2 }, 2);
    problem.entries[0].demands = { { .pool = 0, .rank = 3, .waiting = 9 } };
    problem.entries[1].demands = { { .pool = 0, .rank = 0, .waiting = 3 } };
    const auto plan = planSlots(problem);
    EXPECT_EQ(targetOf(plan, 1), 3U);
    EXPECT_EQ(targetOf(plan, 0), 1U);
    EXPECT_EQ(plan.admittedRank[0], 3);
    EXPECT_EQ(plan.freeSlots[0], 0U);
}

TEST(SlotPlan, EntriesOfOneRankTakeTurns)
{
    auto problem = onePool({ 5 }, 2);
    for (auto& entry : problem.entries)
        entry.demands = { { .pool = 0, .rank = 1, .waiting = 100 } };
    const auto first = planSlots(problem);
    problem.firstEntry = 1;
    const auto second = planSlots(problem);
    EXPECT_EQ(targetOf(first, 0), 3U);
    EXPECT_EQ(targetOf(first, 1), 2U);
    EXPECT_EQ(targetOf(second, 0), 2U);
    EXPECT_EQ(targetOf(second, 1), 3U);
}

TEST(SlotPlan, UrgentDemandRecallsTheLowestTierOfOthers)
{
    auto problem = onePool({ 4 }, 3);
    problem.entries[0].demands = { { .pool = 0, .rank = 0, .waiting = 3, .urgent = 2 } };
    problem.entries[1].uses[0][2] = 1;
    problem.entries[2].uses[0][1] = 1;
    problem.entries[2].uses[0][3] = 2;
    const auto plan = planSlots(problem);
    EXPECT_EQ(plan.admittedRank[0], 0);
    EXPECT_EQ(
        plan.recalls, (std::vector<PlannedRecall> { { .entry = 2, .pool = 0, .forRank = 0, .slots = 2 } }));
}

TEST(SlotPlan, PendingRecallsAreNotRepeated)
{
    auto problem = onePool({ 1 }, 2);
    problem.entries[0].demands = { { .pool = 0, .rank = 0, .waiting = 1, .urgent = 1 } };
    problem.entries[1].uses[0][3] = 1;
    problem.entries[1].recalled[0] = 1;
    EXPECT_TRUE(planSlots(problem).recalls.empty());
}

TEST(SlotPlan, UrgentDemandMayRecallWorkOfTheSameEntry)
{
    auto problem = onePool({ 2 }, 2);
    problem.entries[0].demands = { { .pool = 0, .rank = 0, .waiting = 1, .urgent = 1 } };
    problem.entries[0].uses[0][3] = 1;
    problem.entries[1].uses[0][2] = 1;
    EXPECT_EQ(planSlots(problem).recalls,
        (std::vector<PlannedRecall> { { .entry = 0, .pool = 0, .forRank = 0, .slots = 1 } }));
}

TEST(SlotPlan, DemandThatIsNotUrgentRecallsNothing)
{
    auto problem = onePool({ 1 }, 2);
    problem.entries[0].demands = { { .pool = 0, .rank = 0, .waiting = 1, .urgent = 0 } };
    problem.entries[1].uses[0][3] = 1;
    EXPECT_TRUE(planSlots(problem).recalls.empty());
}

TEST(SlotPlan, HeldIdleSlotsServeDemandOfTheirHolder)
{
    auto problem = onePool({ 1, 1 }, 2);
    problem.entries[0].held = { 0, 1 };
    problem.entries[1].held = { 1, 0 };
    for (auto& entry : problem.entries)
        entry.demands = { { .pool = 0, .rank = 1, .waiting = 1 } };
    const auto plan = planSlots(problem);
    EXPECT_EQ(plan.targets, (std::vector<std::vector<uint32_t>> { { 0, 1 }, { 1, 0 } }));
}

} // namespace
} // namespace lentilbay
