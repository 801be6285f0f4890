// Timer that calls a stand-in back when its model next has work to do.
#pragma once

#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace lentilbay::standins {

/// Schedules a function to be called on the stand-in's thread after a delay.
using CallAfter = std::function<void(Duration, std::function<void()>)>;

class WakeTimer {
public:
    /// To be called once, before the first wakeAt().
    void start(CallAfter callAfter, std::function<void()> wake)
    {
        m_callAfter = std::move(callAfter);
        m_wake = std::move(wake);
    }

    /// Schedules a wake-up at this time, unless one is already pending for the same or an earlier time. Does
    /// nothing if empty.
    void wakeAt(std::optional<TimePoint> at)
    {
        const auto now = steadyNow();
        if (!at || (m_pending && *m_pending <= *at && *m_pending > now))
            return;
        m_pending = *at;
        m_callAfter(std::max(Duration {}, *at - now), [this, pending = *at] {
            if (m_pending == pending)
                m_pending.reset();
            m_wake();
        });
    }

private:
    CallAfter m_callAfter;
    std::function<void()> m_wake;
    /// The time of the earliest pending wake-up. Later ones that it superseded still fire.
    std::optional<TimePoint> m_pending;
};

} // namespace lentilbay::standins
