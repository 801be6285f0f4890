// Computes an answer's text and length from the digest of the prompt.
#include "lentilbay/Fakes/AnswerText.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay::fakes {

uint64_t promptDigest(std::string_view prompt)
{
    constexpr uint64_t seed = 0x616e73776572;
    return hashOf(prompt, seed);
}

uint32_t answerLength(uint64_t digest, uint32_t maxTokens)
{
    if (maxTokens <= 1)
        return 1;
    // Between a quarter of maxTokens and maxTokens.
    const auto minTokens = std::max<uint32_t>(1, maxTokens / 4);
    return minTokens + static_cast<uint32_t>(digest % (maxTokens - minTokens + 1));
}

std::string answerToken(uint64_t digest, uint32_t index)
{
    return fmt::format("{:08x}:{} ", static_cast<uint32_t>(digest >> 32), index);
}

std::string wholeAnswer(uint64_t digest, uint32_t tokens)
{
    std::string text;
    for (uint32_t index = 0; index < tokens; ++index)
        text += answerToken(digest, index);
    return text;
}

} // namespace lentilbay::fakes
