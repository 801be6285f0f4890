// Tests how the expected content of prompt caches affects the choice of the endpoint.
#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Edge/WaitingQueue.h"
#include "lentilbay/Support/Hash.h"

#include <gtest/gtest.h>
#include <map>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const ServiceId service("s");
constexpr TimePoint start(1s);
constexpr double memory = 100'000;
constexpr Work work { .isStream = true, .promptTokens = 6610, .answerTokens = 20 };

using Prompt = std::shared_ptr<const std::vector<PromptPrefix>>;

Prompt promptOf(uint64_t subject, uint64_t request, uint32_t sharedTokens = 5382)
{
    return std::make_shared<const std::vector<PromptPrefix>>(
        prefixesOf({ { subject, sharedTokens } }, PromptPart { request, 6610 - sharedTokens }));
}

class PromptCacheChoiceTest : public testing::Test {
protected:
    void list(const std::string& id, const std::string& dataCentre = "a", uint32_t slots = 32,
        uint64_t startedAt = 1, const std::string& version = "v1")
    {
        registry.list({ .id = EndpointId(id),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId(dataCentre),
            .slots = slots,
            .softwareVersion = version,
            .startedAtMilliseconds = startedAt });
    }

    EndpointState& at(const std::string& id) { return *registry.find(EndpointId(id)); }

    /// Makes the endpoint hold the prompt.
    void cache(const std::string& id, const Prompt& prompt, TimePoint now = start)
    {
        registry.promptCache().recordSend(at(id).cacheOwner(), 6610, memory);
        registry.promptCache().recordAnswer(*prompt, at(id).cacheOwner(), now);
    }

    static ChoiceQuery queryOf(Prompt prompt, TimePoint now = start)
    {
        return { .service = service, .work = work, .objectiveAt = now + 800ms, .prompt = std::move(prompt) };
    }

    std::string chosen(const ChoiceQuery& query, TimePoint now = start)
    {
        const auto it = registry.choose(query, now);
        return it ? it->entry().id.text() : "none";
    }

    /// How often the endpoint is chosen, of 100 times.
    int timesChosen(const std::string& id, const ChoiceQuery& query, TimePoint now = start)
    {
        int out = 0;
        for (int i = 0; i < 100; ++i)
            out += chosen(query, now) == id;
        return out;
    }

    EndpointRegistry registry {
        { .ownDataCentre = DataCentreId("a"),
            .regions = { { DataCentreId("a"), RegionId("ra") }, { DataCentreId("b"), RegionId("rb") } } },
        1
    };
};

TEST_F(PromptCacheChoiceTest, EndpointThatHoldsThePrefixIsChosen)
{
    for (const char* id : { "e1", "e2", "e3", "e4" })
        list(id);
    cache("e3", promptOf(1, 1));
    EXPECT_EQ(timesChosen("e3", queryOf(promptOf(1, 2))), 100);
    EXPECT_LT(timesChosen("e3", queryOf(promptOf(2, 3))), 50) << "another prefix";
}

TEST_F(PromptCacheChoiceTest, HotPrefixSpreadsBeforeItQueues)
{
    // All requests with the prefix arrive while none of them has been processed.
    for (const char* id : { "e1", "e2", "e3", "e4" })
        list(id);
    cache("e3", promptOf(1, 1));
    WaitingQueue queue(registry);
    std::map<std::string, int> sends;
    for (uint64_t i = 0; i < 24; ++i) {
        queue.push({ .number = i,
            .query = queryOf(promptOf(1, 100 + i)),
            .arrivedAt = start,
            .expiresAt = start + 10s });
        for (const auto& it : queue.decide(start).started)
            ++sends[it.endpoint->entry().id.text()];
    }
    EXPECT_EQ(queue.size(), 0U);
    EXPECT_EQ(sends.size(), 4U) << "the other endpoints get requests too";
    // The others process the whole prompt, the holder a fifth of it.
    EXPECT_GE(sends["e3"], 8);
    EXPECT_LE(sends["e3"], 18);
    for (const auto& [id, n] : sends)
        EXPECT_LE(at(id).pendingPromptTokens(), 6 * 6610) << id << " has " << n;
}

TEST_F(PromptCacheChoiceTest, PendingTokensCountWithoutTheCachedPart)
{
    list("e1");
    cache("e1", promptOf(1, 1));
    WaitingQueue queue(registry);
    queue.push(
        { .number = 1, .query = queryOf(promptOf(1, 2)), .arrivedAt = start, .expiresAt = start + 10s });
    const auto started = queue.decide(start).started;
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].cachedTokens, 5382);
    EXPECT_EQ(at("e1").pendingPromptTokens(), 6610 - 5382);
    auto sent = work;
    sent.cachedTokens = started[0].cachedTokens;
    at("e1").recordEnd(sent, SendOutcome::Neutral, false, start);
    EXPECT_EQ(at("e1").pendingPromptTokens(), 0);
}

TEST_F(PromptCacheChoiceTest, FastEndpointWinsAgainstASlowOneThatHoldsThePrefix)
{
    list("slow");
    list("fast");
    for (int i = 0; i < 50; ++i) {
        at("slow").recordProgress(100, 900ms, start);
        at("fast").recordProgress(100, 160ms, start);
    }
    cache("slow", promptOf(1, 1));
    EXPECT_EQ(timesChosen("fast", queryOf(promptOf(1, 2))), 100);
    cache("fast", promptOf(1, 1));
    EXPECT_EQ(timesChosen("fast", queryOf(promptOf(1, 2))), 100);
}

TEST_F(PromptCacheChoiceTest, StaleEntryHasNoEffect)
{
    list("e1");
    list("e2");
    cache("e1", promptOf(1, 1));
    const auto later = start + 10s + 1ms;
    EXPECT_EQ(registry.cachedTokens(at("e1"), queryOf(promptOf(1, 2)), start), 5382);
    EXPECT_EQ(registry.cachedTokens(at("e1"), queryOf(promptOf(1, 2)), later), 0);
    EXPECT_LT(timesChosen("e1", queryOf(promptOf(1, 2), later), later), 80);
}

TEST_F(PromptCacheChoiceTest, MemoryPressureEndsTheEffect)
{
    list("e1");
    list("e2");
    cache("e1", promptOf(1, 1));
    registry.promptCache().recordSend(at("e1").cacheOwner(), memory - 5000, memory);
    EXPECT_EQ(registry.cachedTokens(at("e1"), queryOf(promptOf(1, 2)), start), 0);
    EXPECT_LT(timesChosen("e1", queryOf(promptOf(1, 2))), 80);
}

TEST_F(PromptCacheChoiceTest, RequestsOfOtherDaemonsFillTheMemoryToo)
{
    list("e1");
    cache("e1", promptOf(1, 1));
    registry.updatePeerLoads("peer", { { .endpoint = at("e1").hash(), .inFlight = 15 } }, start);
    at("e1").recordSend(work, start);
    registry.recordPromptSend(at("e1"), work, memory);
    EXPECT_EQ(registry.cachedTokens(at("e1"), queryOf(promptOf(1, 2)), start), 0) << "16 * 6630 tokens";
}

TEST_F(PromptCacheChoiceTest, RestartedOrRelistedEndpointHasAnEmptyCache)
{
    list("e1");
    list("e2");
    cache("e1", promptOf(1, 1));
    list("e1", "a", 32, 2);
    EXPECT_EQ(registry.cachedTokens(at("e1"), queryOf(promptOf(1, 2)), start), 0);
    cache("e1", promptOf(1, 1));
    registry.unlist(EndpointId("e1"));
    list("e1", "a", 32, 2);
    EXPECT_EQ(registry.cachedTokens(at("e1"), queryOf(promptOf(1, 2)), start), 0);
}

TEST_F(PromptCacheChoiceTest, NeverOverridesWhatExcludesAnEndpoint)
{
    list("e1", "a", 1);
    list("e2", "a", 8);
    cache("e1", promptOf(1, 1));
    const auto query = queryOf(promptOf(1, 2));
    ASSERT_EQ(chosen(query), "e1");

    auto other = query;
    other.versions = { .required = hashOf("v2") };
    EXPECT_EQ(chosen(other), "none") << "software version";
    other = query;
    other.tried = { EndpointId("e1") };
    EXPECT_EQ(chosen(other), "e2") << "tried before";
    at("e1").recordSend(work, start);
    EXPECT_EQ(chosen(query), "e2") << "no free slot";
    at("e1").recordEnd(work, SendOutcome::Full, false, start);
    EXPECT_EQ(chosen(query), "e2") << "at capacity";
    const auto later = start + 1s;
    ASSERT_EQ(chosen(query, later), "e1");
    registry.pause(at("e1"), at("e1").incarnation(), later + 2s);
    EXPECT_EQ(chosen(query, later), "e2") << "paused";
}

TEST_F(PromptCacheChoiceTest, NeverOverridesHeadroomOrTheDistanceToAnotherRegion)
{
    list("near");
    list("far", "b", 4);
    cache("far", promptOf(1, 1));
    EXPECT_EQ(timesChosen("near", queryOf(promptOf(1, 2))), 100) << "traffic between regions is billed";
    registry.setHeadroom({ .sameRegion = 2, .otherRegion = 4 });
    auto query = queryOf(promptOf(1, 2));
    query.tried = { EndpointId("near") };
    EXPECT_EQ(chosen(query), "none") << "remote slots may have been taken by others";
}

TEST_F(PromptCacheChoiceTest, NoRequestWaitsForAnEndpointThatMeetsItsObjectiveOnlyByItsCache)
{
    list("e1", "a", 1);
    list("e2");
    cache("e1", promptOf(1, 1));
    at("e1").recordSend({ .isStream = true }, start);
    // Has room, holds the prefix, and would be too late because of what it processes before.
    list("e0");
    cache("e0", promptOf(1, 1));
    at("e0").recordSend({ .isStream = true, .promptTokens = 20'000 }, start);
    auto query = queryOf(promptOf(1, 2));
    const auto cachedWork = Work { .isStream = true, .promptTokens = 6610, .cachedTokens = 5382 };
    query.objectiveAt = start + at("e1").expectedTimeToFirstEvent(cachedWork) + 1ms;
    query.mayWait = true;
    EXPECT_EQ(chosen(query), "e2");
}

TEST_F(PromptCacheChoiceTest, FastEndpointsAreAvoidedButNotForHoldingThePrefix)
{
    // The cost is inverted for such a request; a saving that is inverted with it would repel it.
    for (const char* id : { "e1", "e2", "e3" })
        list(id);
    cache("e2", promptOf(1, 1));
    auto query = queryOf(promptOf(1, 2));
    query.avoidsFastEndpoints = true;
    EXPECT_EQ(timesChosen("e2", query), 100);
}

TEST_F(PromptCacheChoiceTest, ChoosesTheSameEndpointsIfNothingIsShared)
{
    EndpointRegistry reference(
        { .ownDataCentre = DataCentreId("a"),
            .regions = { { DataCentreId("a"), RegionId("ra") }, { DataCentreId("b"), RegionId("rb") } } },
        1);
    for (const char* id : { "e1", "e2", "e3", "e4" }) {
        list(id);
        reference.list(at(id).entry());
    }
    auto now = start;
    for (uint64_t i = 0; i < 200; ++i) {
        now += 7ms;
        const auto mine = registry.choose(queryOf(promptOf(i, 1000 + i), now), now);
        const auto other = reference.choose(queryOf(nullptr, now), now);
        ASSERT_TRUE(mine && other);
        ASSERT_EQ(mine->entry().id, other->entry().id) << i;
        for (const auto& it : { mine, other }) {
            it->recordSend(work, now);
            it->recordFirstEvent(work, 100ms, now);
            it->recordEnd(work, SendOutcome::Succeeded, true, now);
        }
        registry.promptCache().recordSend(mine->cacheOwner(), 6630, memory);
        registry.promptCache().recordAnswer(*promptOf(i, 1000 + i), mine->cacheOwner(), now);
    }
}

} // namespace
} // namespace lentilbay::edge
