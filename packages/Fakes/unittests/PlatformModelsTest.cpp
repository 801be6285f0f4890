// Tests of the fake object store, weight store and host list.
#include "lentilbay/Fakes/PlatformModels.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::fakes;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

} // namespace

TEST(RateLimiter, refillsOverTime)
{
    RateLimiter limiter(10, 2);
    EXPECT_FALSE(limiter.take(2, start));
    const auto wait = limiter.take(1, start);
    ASSERT_TRUE(wait);
    EXPECT_TRUE(limiter.take(1, start + *wait - 2us));
    EXPECT_FALSE(limiter.take(1, start + *wait));
}

TEST(RateLimiter, allowsMoreThanBurstOnCredit)
{
    RateLimiter limiter(10, 2);
    EXPECT_FALSE(limiter.take(12, start));
    EXPECT_TRUE(limiter.take(1, start + 1s));
    EXPECT_FALSE(limiter.take(1, start + 1200ms));
}

TEST(RateLimiter, isUnlimitedAtRateZero)
{
    RateLimiter limiter(0, 0);
    EXPECT_FALSE(limiter.take(1e9, start));
}

TEST(ObjectModel, returnsStoredObject)
{
    ObjectModel objects;
    EXPECT_EQ(objects.get("a", start).status, FakeStoreStatus::Missing);
    EXPECT_EQ(objects.put("a", "body", start).status, FakeStoreStatus::Done);
    EXPECT_EQ(objects.get("a", start).body, "body");
}

TEST(ObjectModel, simulatesOutagesLimitsAndLostResponses)
{
    ObjectModel objects({ .callsPerSecond = 3 });
    objects.faults().outage = true;
    EXPECT_EQ(objects.put("a", "1", start).status, FakeStoreStatus::Outage);
    objects.faults() = { .loseAnswers = 1 };
    EXPECT_EQ(objects.put("a", "2", start).status, FakeStoreStatus::Lost);
    EXPECT_EQ(objects.get("a", start).body, "2");
    EXPECT_EQ(objects.get("a", start).status, FakeStoreStatus::Done);
    EXPECT_EQ(objects.get("a", start).status, FakeStoreStatus::Limited);
}

TEST(WeightModel, limitsReadBandwidth)
{
    WeightModel weights({ .bytesPerSecond = 100, .weightBytes = 100 });
    EXPECT_FALSE(weights.fetch(start));
    EXPECT_TRUE(weights.fetch(start + 500ms));
    EXPECT_FALSE(weights.fetch(start + 1s));
    EXPECT_EQ(weights.fetched(), 2U);
    EXPECT_EQ(weights.limited(), 1U);
}

TEST(HostListModel, listsHostsWithLag)
{
    HostListModel hosts;
    hosts.setHosts({ { .name = "a", .address = "127.0.0.1:1" } }, start);
    hosts.setHosts({ { .name = "a", .address = "127.0.0.1:1", .leaving = true } }, start + 10s);
    hosts.lag() = 5s;
    EXPECT_TRUE(hosts.listedHosts(start + 4s).empty());
    EXPECT_FALSE(hosts.listedHosts(start + 14s).at(0).leaving);
    EXPECT_TRUE(hosts.listedHosts(start + 15s).at(0).leaving);
}
