// Assigns what a quota will admit to the callers that it has refused.
#include "lentilbay/Policy/RetryReservations.h"

#include <algorithm>

namespace lentilbay {

Duration RetryReservations::reserve(const RefusedTokens& refused, TimePoint now)
{
    auto from = now + refused.earliest;
    for (const auto& [rank, until] : m_assignedUntil) {
        if (rank <= refused.rank)
            from = std::max(from, until);
    }
    const auto wait = std::max(minWait, from - now);
    if (wait > refused.maxWait || refused.tokensPerSecond <= 0)
        return std::max(minWait, std::min(wait, refused.maxWait));
    m_assignedUntil[refused.rank]
        = from + fromSeconds(refused.tokens / (refused.tokensPerSecond * assignedFraction));
    return wait;
}

} // namespace lentilbay
