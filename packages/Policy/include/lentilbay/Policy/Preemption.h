// Which running work gives way to a higher tier, and whether late work is stopped.
#pragma once

#include "lentilbay/Model/Configuration.h"

#include <cstdint>
#include <optional>
#include <span>

namespace lentilbay {

/// Running work as the choice of what to preempt sees it.
struct RunningWork {
    uint64_t sequence = 0;
    int rank = 0;
    /// Whether it may be cancelled at all: idempotent, and its tier allows it.
    bool preemptible = false;
    /// Prompt tokens computed for it so far, which a cancellation loses.
    double prefilledTokens = 0;
    /// Seconds until it is expected to end.
    double remainingSeconds = 0;

    auto operator<=>(const RunningWork&) const = default;
};

/// Work this close to its end is left alone: its slot is free before a cancellation would pay.
constexpr double preemptionStepSeconds = 0.25;

/// Whether the work may give way to a request of `rank`.
bool mayPreempt(const RunningWork& work, int rank);

/// The index of the work that gives way to a request of `rank`: of the lowest tier that runs, the one that
/// loses least prefill, and of equals the one with most left to do. Nothing where none may be preempted, or
/// where work of a still lower tier is about to end by itself.
std::optional<size_t> choosePreempted(std::span<const RunningWork> running, int rank);

/// Prompt tokens that count as one answer when prefill is weighed against goodput.
constexpr double prefillTokensPerAnswer = 10'000;

/// Whether work whose deadline has passed is cancelled: only if the answers that its slot could give in the
/// remaining time are worth more than the prefill that is lost.
/// `answersPerSlotSecond` is 0 where nothing waits.
bool cancelLate(const RunningWork& work, double answersPerSlotSecond, const Objective& objective);

} // namespace lentilbay
