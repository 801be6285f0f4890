// Tests of prefix lookup, eviction, decay, lost events and the size bound.
#include "lentilbay/Policy/PrefixDirectory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

std::vector<uint64_t> blocks(uint64_t first, size_t n)
{
    std::vector<uint64_t> out(n);
    std::iota(out.begin(), out.end(), first);
    return out;
}

TEST(PrefixDirectory, FindsLongestPrefixPerEndpoint)
{
    PrefixDirectory directory;
    directory.sent(blocks(100, 8), 1, TimePoint(1s));
    directory.sent(blocks(100, 4), 2, TimePoint(1s));
    const auto hits = directory.find(blocks(100, 8), TimePoint(1s));
    ASSERT_EQ(hits.size(), 2U);
    EXPECT_EQ(hits[0].endpoint, 1U);
    EXPECT_DOUBLE_EQ(hits[0].fraction, 1);
    EXPECT_EQ(hits[1].endpoint, 2U);
    EXPECT_DOUBLE_EQ(hits[1].fraction, 0.5);
    EXPECT_TRUE(directory.find(blocks(500, 8), TimePoint(1s)).empty());
    EXPECT_TRUE(directory.find({}, TimePoint(1s)).empty());
}

TEST(PrefixDirectory, RemovesEvictedPrefixes)
{
    PrefixDirectory directory;
    directory.stored(7, 1, TimePoint(1s));
    directory.stored(7, 2, TimePoint(1s));
    directory.evicted(7, 1);
    const auto hits = directory.find(std::vector<uint64_t> { 7 }, TimePoint(1s));
    ASSERT_EQ(hits.size(), 1U);
    EXPECT_EQ(hits[0].endpoint, 2U);
    directory.evicted(7, 2);
    directory.evicted(7, 2);
    EXPECT_EQ(directory.size(), 0U);
}

TEST(PrefixDirectory, LostEventsHalveConfidenceAndRestartInvalidatesEntries)
{
    PrefixDirectory directory;
    directory.sent(blocks(1, 4), 1, TimePoint(1s));
    directory.eventsMissed(1, TimePoint(1s));
    EXPECT_DOUBLE_EQ(directory.find(blocks(1, 4), TimePoint(1s))[0].fraction, 0.5);
    directory.sent(blocks(1, 4), 1, TimePoint(2s));
    EXPECT_DOUBLE_EQ(directory.find(blocks(1, 4), TimePoint(2s))[0].fraction, 1);
    directory.cacheCleared(1, TimePoint(3s));
    EXPECT_TRUE(directory.find(blocks(1, 4), TimePoint(3s)).empty());
}

TEST(PrefixDirectory, ConfidenceDecaysWithTime)
{
    PrefixDirectory directory({ .halfLife = 10s });
    directory.sent(blocks(1, 1), 1, TimePoint(0s));
    EXPECT_DOUBLE_EQ(directory.find(blocks(1, 1), TimePoint(10s))[0].fraction, 0.5);
}

RC_GTEST_PROP(PrefixDirectory, StaysBoundedAndReturnsEachEndpointOnce, ())
{
    PrefixDirectory directory({ .maxPrefixes = 20, .maxHolders = 3 });
    const auto n = *rc::gen::inRange(0, 100);
    for (int i = 0; i < n; ++i) {
        const auto prompt = blocks(*rc::gen::inRange<uint64_t>(0, 10), *rc::gen::inRange<size_t>(0, 12));
        directory.sent(prompt, *rc::gen::inRange<uint32_t>(0, 6), TimePoint(std::chrono::seconds(i)));
        directory.evicted(*rc::gen::inRange<uint64_t>(0, 20), *rc::gen::inRange<uint32_t>(0, 6));
        RC_ASSERT(directory.size() <= 20U);
        std::vector<uint32_t> seen;
        for (const auto& hit : directory.find(prompt, TimePoint(std::chrono::seconds(i)))) {
            RC_ASSERT(std::find(seen.begin(), seen.end(), hit.endpoint) == seen.end());
            RC_ASSERT(hit.fraction > 0 && hit.fraction <= 1);
            seen.push_back(hit.endpoint);
        }
    }
}

} // namespace
} // namespace lentilbay
