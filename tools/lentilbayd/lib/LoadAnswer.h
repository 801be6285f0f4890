// What an endpoint says of its load when it is asked: the JSON of GET /load as a value.
#pragma once

#include "lentilbay/Control/Blackboard.h"

#include <optional>
#include <string_view>

namespace lentilbay {

struct LoadAnswer {
    LoadReport load;
    bool leaving = false;

    bool operator==(const LoadAnswer&) const = default;
};

/// Nothing where the text is not such an answer. The report's instant is `now` less the age that it states.
std::optional<LoadAnswer> parseLoadAnswer(std::string_view text, TimePoint now);

} // namespace lentilbay
