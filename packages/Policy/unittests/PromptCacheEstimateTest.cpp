// Tests when an endpoint is expected to have a prefix in its cache.
#include "lentilbay/Policy/PromptCacheEstimate.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr CacheOwner first { .endpoint = 1, .startedAtMilliseconds = 10 };
constexpr CacheOwner second { .endpoint = 2, .startedAtMilliseconds = 10 };
constexpr TimePoint start(1s);
constexpr double memory = 10'000;

const std::vector<PromptPart> shared { { 7, 500 }, { 8, 300 } };
const auto prompt = prefixesOf(shared, PromptPart { 9, 200 });

class PromptCacheEstimateTest : public testing::Test {
protected:
    void serve(const CacheOwner& owner, const std::vector<PromptPrefix>& prefixes, double tokens,
        TimePoint now = start)
    {
        estimate.recordSend(owner, tokens, memory);
        estimate.recordAnswer(prefixes, owner, now);
    }

    double tokensAt(
        const CacheOwner& owner, TimePoint now, const std::vector<PromptPrefix>& prefixes = prompt) const
    {
        return cachedTokensAt(estimate.find(prefixes, now), owner);
    }

    PromptCacheEstimate estimate;
};

TEST_F(PromptCacheEstimateTest, PrefixCountsOnlyWithAllPrecedingParts)
{
    serve(first, prompt, 1000);
    EXPECT_EQ(tokensAt(first, start), 1000) << "the same request again";
    EXPECT_EQ(tokensAt(second, start), 0);
    EXPECT_EQ(tokensAt(first, start, prefixesOf(shared, PromptPart { 5, 200 })), 800);
    EXPECT_EQ(tokensAt(first, start, prefixesOf({ { 7, 500 }, { 6, 300 } }, std::nullopt)), 500);
    EXPECT_EQ(tokensAt(first, start, prefixesOf({ { 6, 500 }, { 8, 300 } }, std::nullopt)), 0)
        << "the second part follows another first one";
}

TEST_F(PromptCacheEstimateTest, NothingIsExpectedBeforeTheResponseBegins)
{
    estimate.recordSend(first, 1000, memory);
    EXPECT_TRUE(estimate.find(prompt, start).empty());
    estimate.recordAnswer(prompt, second, start);
    EXPECT_TRUE(estimate.find(prompt, start).empty()) << "an endpoint that nothing was sent to";
}

TEST_F(PromptCacheEstimateTest, EntryEndsTenSecondsAfterItsLastUse)
{
    serve(first, prompt, 1000);
    EXPECT_EQ(tokensAt(first, start + 10s), 1000);
    EXPECT_EQ(tokensAt(first, start + 10s + 1ms), 0);
    serve(first, prefixesOf(shared, std::nullopt), 10, start + 9s);
    EXPECT_EQ(tokensAt(first, start + 19s), 800) << "the last part was not used again";
}

TEST_F(PromptCacheEstimateTest, EntryEndsOnceItsMemoryHasBeenFilledWithOtherTokens)
{
    serve(first, prompt, 1000);
    estimate.recordSend(first, memory - 1000, memory);
    EXPECT_EQ(tokensAt(first, start), 1000);
    estimate.recordSend(first, 150, memory);
    EXPECT_EQ(tokensAt(first, start), 800) << "the end of the prompt is evicted first";
    estimate.recordSend(first, memory, memory);
    EXPECT_EQ(tokensAt(first, start), 0);
    serve(second, prefixesOf({ { 3, 20'000 } }, std::nullopt), 20'000);
    EXPECT_EQ(tokensAt(second, start, prefixesOf({ { 3, 20'000 } }, std::nullopt)), 0)
        << "larger than the memory";
    const CacheOwner unknown { .endpoint = 3, .startedAtMilliseconds = 10 };
    estimate.recordSend(unknown, 1000, 0);
    estimate.recordAnswer(prompt, unknown, start);
    EXPECT_EQ(tokensAt(unknown, start), 0) << "the memory is not known";
}

TEST_F(PromptCacheEstimateTest, RestartedOrRemovedEndpointHasAnEmptyCache)
{
    serve(first, prompt, 1000);
    const CacheOwner restarted { .endpoint = 1, .startedAtMilliseconds = 20 };
    EXPECT_EQ(tokensAt(restarted, start), 0) << "before anything is sent to the new process";
    estimate.recordSend(restarted, 10, memory);
    EXPECT_EQ(tokensAt(restarted, start), 0);
    estimate.recordAnswer(prompt, first, start);
    EXPECT_EQ(tokensAt(restarted, start), 0) << "a late response of the old process";
    serve(restarted, prompt, 1000);
    EXPECT_EQ(tokensAt(restarted, start), 1000);
    estimate.removeEndpoint(1);
    EXPECT_EQ(tokensAt(restarted, start), 0);
    estimate.recordSend(restarted, 10, memory);
    EXPECT_EQ(tokensAt(restarted, start), 0) << "listed again: what it still holds is not known";
}

TEST_F(PromptCacheEstimateTest, NextRequestOfALongSessionFindsThePreviousOne)
{
    // A session adds a part with each request; only some prefixes of a long prompt are kept.
    std::vector<PromptPart> parts;
    for (uint64_t i = 0; i < 100; ++i)
        parts.push_back({ i, 10 });
    const auto previous = prefixesOf({ parts.begin(), parts.end() - 1 }, parts.back());
    EXPECT_LE(previous.size(), 17U);
    serve(first, previous, 1000);
    EXPECT_EQ(tokensAt(first, start, prefixesOf(parts, PromptPart { 1000, 10 })), 1000);
}

RC_GTEST_PROP(PromptCacheEstimate, StaysBoundedAndReturnsEachEndpointOnce, ())
{
    PromptCacheEstimate estimate({ .maxPrefixes = 20, .maxHolders = 3, .maxEndpoints = 6 });
    const auto steps = *rc::gen::container<std::vector<std::pair<uint8_t, uint8_t>>>(
        rc::gen::arbitrary<std::pair<uint8_t, uint8_t>>());
    auto now = start;
    for (const auto& [prompt, endpoint] : steps) {
        now += 10ms;
        const CacheOwner owner { .endpoint = endpoint % 8U, .startedAtMilliseconds = endpoint % 16U / 8U };
        const auto prefixes
            = prefixesOf({ { prompt % 4U, 10 }, { prompt % 16U, 10 } }, PromptPart { prompt, 1 });
        estimate.recordSend(owner, 21, 1000);
        estimate.recordAnswer(prefixes, owner, now);
        RC_ASSERT(estimate.size() <= 20U);
        auto hits = estimate.find(prefixes, now);
        const auto endpoints = hits.size();
        RC_ASSERT(endpoints <= 6U);
        std::ranges::sort(hits, {}, &CachedPrefix::owner);
        const auto isSameOwner = [](const auto& a, const auto& b) { return a.owner == b.owner; };
        RC_ASSERT(std::adjacent_find(hits.begin(), hits.end(), isSameOwner) == hits.end());
    }
}

} // namespace
} // namespace lentilbay
