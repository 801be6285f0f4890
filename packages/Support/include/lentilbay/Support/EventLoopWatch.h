// Bounds how long input has waited for the event loop that reads it.
//
// A loop that is busy, or whose process gets no processor time, reads input seconds after its arrival. What
// the input says of time, such as how long its sender will wait, counts from the arrival.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>

namespace lentilbay {

class EventLoopWatch {
public:
    explicit EventLoopWatch(TimePoint startedAt)
        : m_inputSince(startedAt)
        , m_lastDue(startedAt)
    {
    }

    /// Records that a periodic timer of the loop, which was due at `due`, runs at `now`.
    void recordTimer(TimePoint due, TimePoint now)
    {
        // A loop runs timers after the input that it has found with them, so what it reads later has arrived
        // later. It finds a limited amount at once, though: after a delay some of it is read after the timer.
        const bool isOnTime = now - due <= maxTimerDelay;
        m_inputSince = isOnTime && m_wasOnTime ? due : m_lastDue;
        m_wasOnTime = isOnTime;
        m_lastDue = due;
        m_delay = now - due;
        if (now - m_windowSince > delayWindow) {
            m_longestDelayBefore = now - m_windowSince > 2 * delayWindow ? Duration::zero() : m_longestDelay;
            m_longestDelay = Duration::zero();
            m_windowSince = now;
        }
        m_longestDelay = std::max(m_longestDelay, m_delay);
    }

    /// The longest time for which input that is read at `now` may have waited. At most the period of the
    /// timers and `maxTimerDelay` while the loop is on time.
    Duration maxInputAge(TimePoint now) const { return now - m_inputSince; }
    /// How late the latest timer ran.
    Duration delay() const { return m_delay; }
    /// How late the next timer has to be expected to run, by those of the last `delayWindow` or more.
    Duration expectedDelay() const { return std::max(m_longestDelay, m_longestDelayBefore); }
    /// For how long the next run of a timer with this period has been due at `now`.
    Duration overdueTime(TimePoint now, Duration period) const
    {
        return std::max(Duration::zero(), now - m_lastDue - period);
    }

    static constexpr Duration maxTimerDelay = std::chrono::milliseconds(50);
    static constexpr Duration delayWindow = std::chrono::seconds(2);

private:
    TimePoint m_inputSince;
    TimePoint m_lastDue;
    Duration m_delay {};
    /// Of the timers that have run since `m_windowSince`, and in the window before.
    Duration m_longestDelay {};
    Duration m_longestDelayBefore {};
    TimePoint m_windowSince {};
    bool m_wasOnTime = false;
};

} // namespace lentilbay
