// Compares the prefill lost by a cancellation with the slot time gained.
#include "lentilbay/Policy/Preemption.h"

#include <algorithm>
#include <tuple>

namespace lentilbay {

bool mayPreempt(const RunningWork& work, int rank)
{
    return work.preemptible && work.rank > rank && work.remainingSeconds > minPreemptibleSeconds;
}

std::optional<size_t> choosePreemptionVictim(std::span<const RunningWork> running, int rank)
{
    std::optional<size_t> best;
    const auto order = [](const RunningWork& work) {
        return std::make_tuple(-work.rank, work.prefilledTokens, -work.remainingSeconds, work.sequence);
    };
    int lowestFinishingRank = -1;
    for (size_t i = 0; i < running.size(); ++i) {
        if (mayPreempt(running[i], rank) && (!best || order(running[i]) < order(running[*best])))
            best = i;
        else if (running[i].preemptible && !mayPreempt(running[i], rank))
            lowestFinishingRank = std::max(lowestFinishingRank, running[i].rank);
    }
    return best && running[*best].rank < lowestFinishingRank ? std::nullopt : best;
}

bool shouldCancelLate(const RunningWork& work, double answersPerSlotSecond, const Objective& objective)
{
    if (!work.preemptible)
        return false;
    const double gained = objective.goodput * answersPerSlotSecond * work.remainingSeconds;
    const double lost = objective.wastedPrefill * work.prefilledTokens / prefillTokensPerAnswer;
    return gained > lost;
}

} // namespace lentilbay
