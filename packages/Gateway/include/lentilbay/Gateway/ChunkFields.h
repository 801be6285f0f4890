// Extracts the fields that the relay needs from an engine's chunk or response, without building a JSON DOM.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lentilbay {

struct Usage {
    uint32_t promptTokens = 0;
    uint32_t completionTokens = 0;
    uint32_t cachedTokens = 0;

    auto operator<=>(const Usage&) const = default;
};

struct ChunkFields {
    std::optional<uint32_t> tokenIndex;
    std::optional<Usage> usage;
    /// Whether the object has an "error" object.
    bool hasError = false;

    auto operator<=>(const ChunkFields&) const = default;
};

/// Parses one JSON object. Returns nothing if the text is not a JSON object.
std::optional<ChunkFields> parseChunk(std::string_view json);

} // namespace lentilbay
