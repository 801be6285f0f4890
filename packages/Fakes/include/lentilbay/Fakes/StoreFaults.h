// Faults that the fake table and object services share.
#pragma once

#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>

namespace lentilbay::fakes {

struct StoreFaults {
    /// Each call is refused and nothing is done.
    bool outage = false;
    /// So much later each answer leaves; its effect is there at once.
    Duration delay {};
    /// The answers of so many next calls are lost after their effect was taken.
    uint32_t loseAnswers = 0;
    /// So many next calls are lost before their effect.
    uint32_t loseRequests = 0;

    auto operator<=>(const StoreFaults&) const = default;
};

/// How a call of a store ended.
enum class StoreAnswer : uint8_t {
    Done,
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The object is not there.
    Missing,
    /// Over the rate limit; nothing was done.
    Limited,
    /// In an outage; nothing was done.
    Outage,
    /// The caller hears nothing; the effect may have been taken.
    Lost,
};

/// The fault that a call meets before it does anything, or Done where there is none.
inline StoreAnswer takeFaultBefore(StoreFaults& faults)
{
    if (faults.outage)
        return StoreAnswer::Outage;
    if (faults.loseRequests == 0)
        return StoreAnswer::Done;
    --faults.loseRequests;
    return StoreAnswer::Lost;
}

/// What becomes of the answer of a call that did its work.
inline StoreAnswer takeFaultAfter(StoreFaults& faults, StoreAnswer answer)
{
    if (faults.loseAnswers == 0)
        return answer;
    --faults.loseAnswers;
    return StoreAnswer::Lost;
}

} // namespace lentilbay::fakes
