// Faults that the fake table and object services share.
#pragma once

#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>

namespace lentilbay::fakes {

struct StoreFaults {
    /// Each call fails without effect.
    bool outage = false;
    /// Delays each response; the effect is immediate.
    Duration delay {};
    /// The number of following calls that take effect but whose responses are lost.
    uint32_t loseAnswers = 0;
    /// The number of following calls that are lost without effect.
    uint32_t loseRequests = 0;

    auto operator<=>(const StoreFaults&) const = default;
};

/// The outcome of a call to a store.
enum class FakeStoreStatus : uint8_t {
    Done,
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The object does not exist.
    Missing,
    /// Rejected by the rate limit without effect.
    Limited,
    /// Rejected in an outage without effect.
    Outage,
    /// The caller gets no response; the call may have taken effect.
    Lost,
};

/// Returns the fault that prevents the next call from taking effect, or Done if there is none.
inline FakeStoreStatus consumeRequestFault(StoreFaults& faults)
{
    if (faults.outage)
        return FakeStoreStatus::Outage;
    if (faults.loseRequests == 0)
        return FakeStoreStatus::Done;
    --faults.loseRequests;
    return FakeStoreStatus::Lost;
}

/// Returns the status that the caller gets for a call that was executed.
inline FakeStoreStatus consumeResponseFault(StoreFaults& faults, FakeStoreStatus answer)
{
    if (faults.loseAnswers == 0)
        return answer;
    --faults.loseAnswers;
    return FakeStoreStatus::Lost;
}

} // namespace lentilbay::fakes
