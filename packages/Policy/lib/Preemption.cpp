// Weighs what a cancellation loses.
#include "lentilbay/Policy/Preemption.h"

#include <algorithm>
#include <tuple>

namespace lentilbay {

bool mayPreempt(const RunningWork& work, int rank)
{
    return work.preemptible && work.rank > rank && work.remainingSeconds > preemptionStepSeconds;
}

std::optional<size_t> choosePreempted(std::span<const RunningWork> running, int rank)
{
    std::optional<size_t> best;
    const auto order = [](const RunningWork& work) {
        return std::make_tuple(-work.rank, work.prefilledTokens, -work.remainingSeconds, work.sequence);
    };
    int lowestEnding = -1;
    for (size_t i = 0; i < running.size(); ++i) {
        if (mayPreempt(running[i], rank) && (!best || order(running[i]) < order(running[*best])))
            best = i;
        else if (running[i].preemptible && !mayPreempt(running[i], rank))
            lowestEnding = std::max(lowestEnding, running[i].rank);
    }
    return best && running[*best].rank < lowestEnding ? std::nullopt : best;
}

bool cancelLate(const RunningWork& work, double answersPerSlotSecond, const Objective& objective)
{
    if (!work.preemptible)
        return false;
    const double saved = objective.goodput * answersPerSlotSecond * work.remainingSeconds;
    const double lost = objective.wastedPrefill * work.prefilledTokens / prefillTokensPerAnswer;
    return saved > lost;
}

} // namespace lentilbay
