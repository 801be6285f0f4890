// Notes when a signal reached the process, however late the event loop comes to handle it.
#pragma once

#include "lentilbay/Support/Time.h"

#include <optional>

namespace lentilbay {

/// Covers SIGTERM. Another handler has to be installed before, which is called as well, and may be removed
/// only after the last object has been destroyed.
class SignalTime {
public:
    SignalTime();
    ~SignalTime();
    SignalTime(const SignalTime&) = delete;
    SignalTime& operator=(const SignalTime&) = delete;
    SignalTime(SignalTime&&) = delete;
    SignalTime& operator=(SignalTime&&) = delete;

    /// When the first signal came since the first of the present objects was created.
    std::optional<TimePoint> first() const;
};

} // namespace lentilbay
