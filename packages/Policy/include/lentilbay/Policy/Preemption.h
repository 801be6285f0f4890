// Chooses running work to preempt for a higher tier, and decides whether work past its deadline is cancelled.
#pragma once

#include "lentilbay/Model/Configuration.h"

#include <cstdint>
#include <optional>
#include <span>

namespace lentilbay {

/// A running request as input of the preemption decision.
struct RunningWork {
    uint64_t sequence = 0;
    int rank = 0;
    /// The service is idempotent and the tier allows preemption.
    bool preemptible = false;
    /// Prompt tokens computed so far, which are lost on cancellation.
    double prefilledTokens = 0;
    /// Expected seconds until completion.
    double remainingSeconds = 0;

    auto operator<=>(const RunningWork&) const = default;
};

/// Work with less time left is not preempted: it frees its slot before a cancellation would pay off.
constexpr double minPreemptibleSeconds = 0.25;

/// Whether the work may be preempted by a request of `rank`.
bool mayPreempt(const RunningWork& work, int rank);

/// Returns the index of the work to preempt for a request of `rank`: within the lowest running tier the one
/// with the least prefill lost, then the one with the most time remaining. Returns nothing if none may be
/// preempted, or if preemptible work of a still lower tier is about to finish on its own.
std::optional<size_t> choosePreemptionVictim(std::span<const RunningWork> running, int rank);

/// Lost prompt tokens that weigh as much as one answer in time.
constexpr double prefillTokensPerAnswer = 10'000;

/// Whether to cancel work whose deadline has passed: only if the answers that its slot could produce in the
/// remaining time are worth more than the lost prefill.
/// @param answersPerSlotSecond answers in time that one slot produces per second; 0 if no request is waiting
bool shouldCancelLate(const RunningWork& work, double answersPerSlotSecond, const Objective& objective);

} // namespace lentilbay
