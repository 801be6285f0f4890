// The answers of the fake engine. The text identifies its prompt, so that a caller can tell whether an answer
// is complete and belongs to its own request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lentilbay::fakes {

/// The digest that identifies the prompt in the answer.
uint64_t promptDigest(std::string_view prompt);

/// The number of tokens of the answer, from 1 to maxTokens. A function of the arguments alone, so that a
/// caller can compute it.
uint32_t answerLength(uint64_t digest, uint32_t maxTokens);

/// The text of one token, "<digest>:<index> ".
std::string answerToken(uint64_t digest, uint32_t index);

/// The concatenated text of all tokens.
std::string wholeAnswer(uint64_t digest, uint32_t tokens);

} // namespace lentilbay::fakes
