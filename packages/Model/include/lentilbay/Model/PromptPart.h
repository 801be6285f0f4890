// One part of a prompt, as a caller names it.
#pragma once

#include <compare>
#include <cstdint>

namespace lentilbay {

struct PromptPart {
    /// The same for the same text after the same preceding parts.
    uint64_t id = 0;
    /// 0 if the caller does not state it legibly.
    uint32_t tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

} // namespace lentilbay
