// What the fake engine answers: text that names its prompt, so that a caller can tell its own whole answer
// from another's or from a part.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lentilbay::fakes {

/// Names the prompt in the answer.
uint64_t promptDigest(std::string_view prompt);

/// The tokens of the answer, from 1 to the most allowed; depends on the digest alone, so that a caller knows
/// it.
uint32_t answerLength(uint64_t digest, uint32_t maxTokens);

/// The text of one token, "<digest>:<index> ".
std::string answerToken(uint64_t digest, uint32_t index);

/// All tokens of the answer.
std::string wholeAnswer(uint64_t digest, uint32_t tokens);

} // namespace lentilbay::fakes
