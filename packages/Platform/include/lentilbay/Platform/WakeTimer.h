// A timer that is set again at each event: it moves the operating system's timer only when the time wanted
// comes earlier, since each move is a system call.
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
    /// The function is called on the io_context's thread, once for each time that was set.
    WakeTimer(asio::io_context& context, std::function<void()> function);
    WakeTimer(const WakeTimer&) = delete;
    WakeTimer& operator=(const WakeTimer&) = delete;
    ~WakeTimer();

    /// Calls the function at the time given and forgets the time that was set before. A time that has come
    /// calls it after the events that are ready now.
    void set(TimePoint at, TimePoint now);
    void clear();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace lentilbay
