// How long ago input arrived at a TCP socket.
#pragma once

#include "lentilbay/Support/Time.h"

#include <optional>

namespace lentilbay::http {

/// The time since the latest data arrived at the host, as the kernel knows it. Returns std::nullopt if it
/// does not say.
std::optional<Duration> lastInputAge(int socket);

} // namespace lentilbay::http
