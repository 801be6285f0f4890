// Assigns what a quota will admit to the callers that it has refused.
#include "lentilbay/Policy/RetryReservations.h"

#include <algorithm>

namespace lentilbay {

Duration RetryReservations::reserve(const RefusedTokens& refused, TimePoint now)
{
    // What was assigned up to now was admitted at the former rate; the rest will be at the present one.
    for (auto& [rank, it] : m_assigned) {
        const auto elapsed = std::max(Duration::zero(), now - std::max(it.from, m_updatedAt));
        it.tokens = std::max(0.0, it.tokens - m_assignedPerSecond * toSeconds(elapsed));
        it.from = std::max(it.from, now);
    }
    std::erase_if(m_assigned, [](const auto& it) { return it.second.tokens <= 0; });
    m_updatedAt = now;
    if (refused.tokensPerSecond > 0)
        m_assignedPerSecond = refused.tokensPerSecond * assignedFraction;
    auto from = now + refused.earliest;
    for (const auto& [rank, it] : m_assigned) {
        if (rank <= refused.rank)
            from = std::max(from, it.from + fromSeconds(it.tokens / m_assignedPerSecond));
    }
    const auto wait = std::max(minWait, from - now);
    if (wait > refused.maxWait || refused.tokensPerSecond <= 0)
        return std::max(minWait, std::min(wait, refused.maxWait));
    auto& own = m_assigned[refused.rank];
    // The tokens of the same rank before these are admitted right before them.
    own.from = from - fromSeconds(own.tokens / m_assignedPerSecond);
    own.tokens += refused.tokens;
    return wait;
}

} // namespace lentilbay
