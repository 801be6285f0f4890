// The repeats that a service may get: a part of its requests and a fixed slack, over a sliding window.
//
// Every daemon keeps to its own requests and its own part of the slack, so the sum needs no messages.
#pragma once

#include "lentilbay/Policy/WindowSum.h"

namespace lentilbay {

struct RepeatLimits {
    double ratio = 0.2;
    /// This daemon's part of the slack.
    double slack = 1;
    Duration window = std::chrono::seconds(10);
};

class RepeatBudget {
public:
    void request(TimePoint now) { m_requests.add(1, now); }

    bool take(const RepeatLimits& limits, TimePoint now)
    {
        const double allowed = limits.ratio * m_requests.within(limits.window, now) + limits.slack;
        if (m_repeats.within(limits.window, now) + 1 > allowed)
            return false;
        m_repeats.add(1, now);
        return true;
    }

private:
    WindowSum m_requests;
    WindowSum m_repeats;
};

} // namespace lentilbay
