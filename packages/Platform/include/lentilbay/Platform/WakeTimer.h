// A timer that can be set again at each event at low cost: it rearms the operating system's timer only if the
// new time is earlier, since rearming takes a system call.
#pragma once

#include "lentilbay/Support/Time.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace lentilbay {

class WakeTimer {
public:
    /// The function is called on the io_context's thread, at most once for each call of set().
    WakeTimer(asio::io_context& context, std::function<void()> function);
    WakeTimer(const WakeTimer&) = delete;
    WakeTimer& operator=(const WakeTimer&) = delete;
    ~WakeTimer();

    /// Schedules the function for the given time, replacing the previous time. If the time has already been
    /// reached, the function runs after the events that are ready now.
    void set(TimePoint at, TimePoint now);
    void clear();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace lentilbay
