// Tests of the choice of work to preempt and of the cancellation of late work.
#include "lentilbay/Policy/Preemption.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace lentilbay {
namespace {

RunningWork running(int rank, double prefilled, double remaining = 5, bool preemptible = true)
{
    return {
        .rank = rank, .preemptible = preemptible, .prefilledTokens = prefilled, .remainingSeconds = remaining
    };
}

TEST(Preemption, ChoosesLowestTierThenLeastPrefill)
{
    const std::vector<RunningWork> work { running(1, 0), running(2, 500), running(2, 100),
        running(2, 100, 9) };
    EXPECT_EQ(choosePreemptionVictim(work, 0), 3U);
}

TEST(Preemption, NeverChoosesSameOrHigherTier)
{
    const std::vector<RunningWork> work { running(0, 0), running(1, 0) };
    EXPECT_EQ(choosePreemptionVictim(work, 1), std::nullopt);
    EXPECT_EQ(choosePreemptionVictim(work, 0), 1U);
    EXPECT_EQ(choosePreemptionVictim({}, 0), std::nullopt);
}

TEST(Preemption, NeverChoosesNonPreemptibleOrNearlyFinishedWork)
{
    const std::vector<RunningWork> work { running(2, 0, 5, false), running(2, 0, minPreemptibleSeconds / 2) };
    EXPECT_EQ(choosePreemptionVictim(work, 0), std::nullopt);
}

TEST(Preemption, WaitsForNearlyFinishedWorkOfLowerTier)
{
    std::vector<RunningWork> work { running(1, 0), running(2, 0, minPreemptibleSeconds / 2) };
    EXPECT_EQ(choosePreemptionVictim(work, 0), std::nullopt);
    work[1].preemptible = false;
    EXPECT_EQ(choosePreemptionVictim(work, 0), 0U);
}

TEST(Preemption, CancelsLateWorkOnlyIfGainExceedsLoss)
{
    EXPECT_TRUE(shouldCancelLate(running(0, 1'000, 10), 0.5, {}));
    EXPECT_FALSE(shouldCancelLate(running(0, 100'000, 1), 0.5, {}));
    EXPECT_FALSE(shouldCancelLate(running(0, 1'000, 10), 0, {}));
    EXPECT_FALSE(shouldCancelLate(running(0, 0, 10, false), 1, {}));
    EXPECT_FALSE(shouldCancelLate(running(0, 10'000, 10), 0.5, { .goodput = 1, .wastedPrefill = 10 }));
}

RC_GTEST_PROP(Preemption, ChoiceIsPreemptibleAndOfLowestPreemptibleTier, ())
{
    std::vector<RunningWork> work;
    const auto n = *rc::gen::inRange(0, 30);
    work.reserve(n);
    for (int i = 0; i < n; ++i) {
        work.push_back(running(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 100),
            *rc::gen::inRange(0, 20) * 0.1, *rc::gen::arbitrary<bool>()));
    }
    const auto rank = *rc::gen::inRange(0, 4);
    const auto choice = choosePreemptionVictim(work, rank);
    if (!choice)
        return;
    RC_ASSERT(mayPreempt(work[*choice], rank));
    for (const auto& it : work)
        RC_ASSERT(!it.preemptible || it.rank <= work[*choice].rank);
}

} // namespace
} // namespace lentilbay
