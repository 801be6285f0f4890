// Calls a stand-in back when its fake next has something to do, with at most one useful call pending.
#pragma once

#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace lentilbay::standins {

/// How a stand-in has a function called after a delay on its own thread.
using CallAfter = std::function<void(Duration, std::function<void()>)>;

class WakeTimer {
public:
    /// Both functions are set once, before the first wakeAt().
    void start(CallAfter callAfter, std::function<void()> wake)
    {
        m_callAfter = std::move(callAfter);
        m_wake = std::move(wake);
    }

    /// Wakes at this time, unless an earlier call is pending anyway; nothing wakes never.
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
    /// The time of the earliest call that is still to come.
    std::optional<TimePoint> m_pending;
};

} // namespace lentilbay::standins
