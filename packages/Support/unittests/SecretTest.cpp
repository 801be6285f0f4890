#include "lentilbay/Support/Secret.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

TEST(Secret, Sha256MatchesTheExampleOfTheStandard)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(Secret, AHashedKeyMatchesOnlyItself)
{
    const auto hash = hashKey("sk-daejeon", "5f");
    EXPECT_TRUE(hash.starts_with("5f$"));
    EXPECT_EQ(hash.substr(3), sha256Hex("5f$sk-daejeon"));
    EXPECT_TRUE(keyMatches("sk-daejeon", hash));
    EXPECT_FALSE(keyMatches("sk-daejeon2", hash));
    EXPECT_FALSE(keyMatches("", hash));
}

TEST(Secret, SaltsDiffer)
{
    EXPECT_NE(hashKey("same"), hashKey("same"));
    EXPECT_TRUE(keyMatches("same", hashKey("same")));
}

TEST(Secret, AMalformedHashMatchesNothing)
{
    for (const auto* hash : { "", "$", "abc", "salt$", "salt$00" })
        EXPECT_FALSE(keyMatches("key", hash)) << hash;
}

TEST(Secret, ComparisonCoversEachByteAndTheLength)
{
    EXPECT_TRUE(equalInConstantTime("", ""));
    EXPECT_TRUE(equalInConstantTime("abc", "abc"));
    EXPECT_FALSE(equalInConstantTime("abc", "abd"));
    EXPECT_FALSE(equalInConstantTime("abc", "ab"));
}

TEST(Secret, RandomHexHasTheRequestedLength)
{
    EXPECT_EQ(randomHex(16).size(), 32U);
    EXPECT_NE(randomHex(16), randomHex(16));
    EXPECT_NE(randomNumber(), randomNumber());
}

TEST(Secret, HashEqualsThatOfTheOperatorLibrary)
{
    // operator_library_test.py has the same expectation.
    EXPECT_EQ(
        hashKey("key", "salt"), "salt$0ac0af829fd6774dcc992a7b2c806221d1c411d7a2af3dc1476d334fbe955736");
}

} // namespace
} // namespace lentilbay
