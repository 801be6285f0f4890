// xxHash and rendezvous hashing.
#include "lentilbay/Support/Hash.h"

#include <xxhash.h>

namespace lentilbay {

uint64_t hashOf(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return hashOf(member, hashOf(key));
}

size_t rendezvousOwner(std::string_view key, std::span<const std::string_view> members)
{
    size_t best = members.size();
    uint64_t bestWeight = 0;
    for (size_t i = 0; i < members.size(); ++i) {
        const auto weight = rendezvousWeight(key, members[i]);
        const bool isBetter = best == members.size() || weight > bestWeight
            || (weight == bestWeight && members[i] < members[best]);
        if (!isBetter)
            continue;
        best = i;
        bestWeight = weight;
    }
    return best;
}

} // namespace lentilbay
