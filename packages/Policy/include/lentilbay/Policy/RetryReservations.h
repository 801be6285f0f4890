// When the callers that one daemon refuses for an organisation's quota should retry.
//
// If all refused callers were told when the next tokens are available, they would all return at that time,
// and most would be refused again. Therefore each is assigned the next free part of what the quota will admit
// for this daemon's callers, one after the other, by rank: requests of a rank line up behind those of their
// own and of higher ranks. A caller that will not wait for its part returns when it wants to, and none is
// kept for it. Callers retry at other daemons; the parts of all daemons together are what the quota admits.
//
// What is assigned is kept in tokens, so that it takes longer when the quota admits less than before, and
// callers that are refused then line up behind all of it.
#pragma once

#include "lentilbay/Support/Time.h"

#include <map>

namespace lentilbay {

struct RefusedTokens {
    double tokens = 0;
    /// The urgency among the organisation's own requests; lower is more urgent.
    int rank = 0;
    /// The time until the quota holds the tokens if nobody else takes them.
    Duration earliest {};
    /// What the quota will admit for the callers of this daemon.
    double tokensPerSecond = 0;
    /// The longest time that the caller waits.
    Duration maxWait {};
};

class RetryReservations {
public:
    /// The part of what the quota admits that is assigned to retries: requests that arrive for the first time
    /// get the rest, and cannot be told from retries. In trials with 1, 0.7, 0.5, 0.35 and 0.2, the share
    /// of retries that are refused again fell up to 0.35 and hardly beyond.
    static constexpr double assignedFraction = 0.35;
    /// The shortest time that is stated.
    static constexpr Duration minWait = std::chrono::milliseconds(50);

    /// Returns the time after which the caller should retry, and assigns the tokens to it unless that is
    /// later than it waits for.
    Duration reserve(const RefusedTokens& refused, TimePoint now);

private:
    struct Assigned {
        /// When the quota begins to admit the tokens.
        TimePoint from {};
        double tokens = 0;
    };
    /// What has been assigned and not been admitted yet, by rank.
    std::map<int, Assigned> m_assigned;
    /// At which the quota has admitted what was assigned since the last call.
    double m_assignedPerSecond = 0;
    TimePoint m_updatedAt {};
};

} // namespace lentilbay
