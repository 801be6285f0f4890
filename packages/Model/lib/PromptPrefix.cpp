// Chains block hashes: the hash of each block is seeded with that of the previous block.
#include "lentilbay/Model/PromptPrefix.h"

#include "lentilbay/Support/Hash.h"

namespace lentilbay {

std::vector<uint64_t> prefixHashesOf(std::string_view prompt)
{
    constexpr size_t blockBytes = prefixBlockTokens * bytesPerToken;
    std::vector<uint64_t> hashes;
    hashes.reserve(prompt.size() / blockBytes);
    uint64_t previous = 0;
    for (size_t at = 0; at + blockBytes <= prompt.size(); at += blockBytes) {
        previous = hashOf(prompt.substr(at, blockBytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace lentilbay
