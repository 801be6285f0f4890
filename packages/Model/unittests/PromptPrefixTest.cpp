// Tests that prompts share exactly the hashes of their common prefix.
#include "lentilbay/Model/PromptPrefix.h"

#include <gtest/gtest.h>
#include <string>

using namespace lentilbay;

namespace {

constexpr size_t blockBytes = prefixBlockTokens * bytesPerToken;

} // namespace

TEST(PromptPrefix, HasOneHashPerCompleteBlock)
{
    EXPECT_TRUE(prefixHashesOf("").empty());
    EXPECT_TRUE(prefixHashesOf(std::string(blockBytes - 1, 'a')).empty());
    EXPECT_EQ(prefixHashesOf(std::string(blockBytes, 'a')).size(), 1U);
    EXPECT_EQ(prefixHashesOf(std::string(3 * blockBytes + 5, 'a')).size(), 3U);
}

TEST(PromptPrefix, SharesOnlyHashesOfCommonPrefix)
{
    const std::string common(2 * blockBytes, 'a');
    const auto first = prefixHashesOf(common + std::string(blockBytes, 'b'));
    const auto second = prefixHashesOf(common + std::string(blockBytes, 'c'));
    EXPECT_EQ(first[0], second[0]);
    EXPECT_EQ(first[1], second[1]);
    EXPECT_NE(first[2], second[2]);
}

TEST(PromptPrefix, EqualBlocksAtDifferentPositionsDiffer)
{
    const auto hashes = prefixHashesOf(std::string(2 * blockBytes, 'a'));
    EXPECT_NE(hashes[0], hashes[1]);
}

TEST(PromptPrefix, EstimatesTokensRoundedUp)
{
    EXPECT_EQ(estimateTokens(""), 0U);
    EXPECT_EQ(estimateTokens("abcd"), 1U);
    EXPECT_EQ(estimateTokens("abcde"), 2U);
}
