// Reads the few facts of an engine's chunk or answer that the relay needs, without building its JSON tree.
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

struct ChunkFacts {
    std::optional<uint32_t> tokenIndex;
    std::optional<Usage> usage;
    /// The engine says that something went wrong.
    bool hasError = false;

    auto operator<=>(const ChunkFacts&) const = default;
};

/// The facts of one JSON object, or nothing where the text is not one.
std::optional<ChunkFacts> parseChunk(std::string_view json);

} // namespace lentilbay
