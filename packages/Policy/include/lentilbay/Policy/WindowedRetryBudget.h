// Retry budget of a service: a fraction of its requests plus a fixed slack, over a sliding window.
//
// Every daemon applies the budget to its own requests and its own share of the slack, so that the fleet-wide
// bound holds without coordination.
#pragma once

#include "lentilbay/Policy/WindowSum.h"

namespace lentilbay {

struct WindowedRetryLimits {
    /// Retries per request.
    double ratio = 0.2;
    /// This daemon's share of the fleet-wide slack, in retries.
    double slack = 1;
    Duration window = std::chrono::seconds(10);
};

class WindowedRetryBudget {
public:
    void request(TimePoint now) { m_requests.add(1, now); }

    /// Counts a retry and returns true if the budget allows it.
    bool take(const WindowedRetryLimits& limits, TimePoint now)
    {
        const double allowed = limits.ratio * m_requests.within(limits.window, now) + limits.slack;
        if (m_retries.within(limits.window, now) + 1 > allowed)
            return false;
        m_retries.add(1, now);
        return true;
    }

private:
    WindowSum m_requests;
    WindowSum m_retries;
};

} // namespace lentilbay
