// Hashes of a prompt's blocks, by which daemons and engines name cached prefixes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lentilbay {

/// Bytes of prompt text that count as one token where no tokenizer is at hand.
constexpr size_t bytesPerToken = 4;
/// Tokens of one block of a cached prefix.
constexpr uint32_t prefixBlockTokens = 256;

/// The estimated tokens of a text, rounded up.
constexpr uint32_t estimateTokens(std::string_view text)
{
    return static_cast<uint32_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

/// One hash for each whole block, over all bytes up to the block's end: two prompts share the hashes of their
/// common prefix and no others. A block that is not full has none.
std::vector<uint64_t> prefixHashesOf(std::string_view prompt);

} // namespace lentilbay
