// Tests of rendezvous hashing: each key has one owner, and removing a member moves only its keys.
#include "lentilbay/Support/Hash.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace lentilbay {
namespace {

TEST(Hash, IsTheSameOnEveryHost)
{
    EXPECT_EQ(hashOf(""), 0x2d06800538d394c2ULL);
    EXPECT_NE(hashOf("a"), hashOf("b"));
    EXPECT_NE(hashOf("a", 1), hashOf("a", 2));
}

TEST(Hash, RendezvousMovesOnlyTheKeysOfARemovedMember)
{
    const std::vector<std::string_view> members { "d1", "d2", "d3", "d4" };
    const std::vector<std::string_view> fewer { "d1", "d2", "d4" };
    for (int i = 0; i < 1000; ++i) {
        const auto key = "engine-" + std::to_string(i);
        const auto before = members[rendezvousOwner(key, members)];
        const auto after = fewer[rendezvousOwner(key, fewer)];
        if (before == "d3")
            continue;
        EXPECT_EQ(before, after) << key;
    }
}

TEST(Hash, RendezvousWithoutMembersHasNoOwner) { EXPECT_EQ(rendezvousOwner("key", {}), 0U); }

} // namespace
} // namespace lentilbay
