// The parsed response of an endpoint to GET /load.
#pragma once

#include "lentilbay/Control/Blackboard.h"

#include <optional>
#include <string_view>

namespace lentilbay {

struct LoadResponse {
    LoadReport load;
    bool leaving = false;

    bool operator==(const LoadResponse&) const = default;
};

/// Returns std::nullopt if `text` is not a valid response. `measuredAt` is `now` minus the reported age.
std::optional<LoadResponse> parseLoadResponse(std::string_view text, TimePoint now);

} // namespace lentilbay
