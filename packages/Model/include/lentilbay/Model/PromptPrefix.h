// Chained hashes of prompt blocks, by which daemons and engines identify cached prefixes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lentilbay {

/// Estimated bytes of prompt text per token, used in place of a tokenizer.
constexpr size_t bytesPerToken = 4;
/// Tokens per block of a cached prefix.
constexpr uint32_t prefixBlockTokens = 256;

/// The estimated number of tokens of a text, rounded up.
constexpr uint32_t estimateTokens(std::string_view text)
{
    return static_cast<uint32_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

/// Returns one hash per complete block, over all bytes up to the block's end: two prompts share exactly the
/// hashes of their common prefix. A partial block at the end has no hash.
std::vector<uint64_t> prefixHashesOf(std::string_view prompt);

} // namespace lentilbay
