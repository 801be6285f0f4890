// Tests of organisation limits: rates, concurrency, settlement of unused tokens, and shares of daemons.
#include "lentilbay/Policy/Limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

int admitted(OrganisationLimiter& use, int requests, double tokens, TimePoint now)
{
    int n = 0;
    for (int i = 0; i < requests; ++i)
        n += use.admit(tokens, now) ? 0 : 1;
    return n;
}

TEST(Limits, UnsetLimitsAreUnlimited)
{
    OrganisationLimiter use({}, {}, TimePoint());
    EXPECT_EQ(admitted(use, 1'000, 1e6, TimePoint()), 1'000);
}

TEST(Limits, LimitsRequestsPerSecond)
{
    OrganisationLimiter use({ .requestsPerSecond = 10 }, {}, TimePoint());
    EXPECT_EQ(admitted(use, 50, 1, TimePoint()), 10);
    const auto refusal = use.admit(1, TimePoint());
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->code, ResultCode::RequestRateLimit);
    EXPECT_EQ(refusal->retryAfter, 100ms);
    EXPECT_EQ(admitted(use, 50, 1, TimePoint(500ms)), 5);
}

TEST(Limits, SettlesTokenRateWithActualUse)
{
    OrganisationLimiter use({ .tokensPerSecond = 1'000 }, {}, TimePoint());
    EXPECT_EQ(admitted(use, 5, 500, TimePoint()), 2);
    EXPECT_EQ(use.admit(500, TimePoint())->code, ResultCode::TokenRateLimit);
    use.finished(500, 0, TimePoint());
    EXPECT_EQ(admitted(use, 5, 500, TimePoint()), 1);
}

TEST(Limits, OversizedRequestIsAdmittedAndLeavesNegativeLevel)
{
    OrganisationLimiter use({ .tokensPerSecond = 100 }, {}, TimePoint());
    EXPECT_FALSE(use.admit(1'000, TimePoint()));
    EXPECT_TRUE(use.admit(1, TimePoint(8s)));
    EXPECT_FALSE(use.admit(1, TimePoint(10s)));
}

TEST(Limits, LimitsConcurrencyUntilRequestsFinish)
{
    OrganisationLimiter use({ .concurrency = 2 }, {}, TimePoint());
    EXPECT_EQ(admitted(use, 5, 1, TimePoint()), 2);
    EXPECT_EQ(use.admit(1, TimePoint())->code, ResultCode::ConcurrencyLimit);
    use.finished(1, 1, TimePoint());
    EXPECT_EQ(admitted(use, 5, 1, TimePoint()), 1);
}

TEST(Limits, ZeroShareAdmitsNothing)
{
    OrganisationLimiter use({ .requestsPerSecond = 10 }, { .fraction = 0 }, TimePoint());
    EXPECT_EQ(admitted(use, 10, 1, TimePoint(10s)), 0);
}

RC_GTEST_PROP(Limits, EqualSharesAddUpToTheLimit, ())
{
    const std::vector<std::string_view> names { "a", "b", "c", "d", "e", "f", "g" };
    const auto n = *rc::gen::inRange<size_t>(1, names.size() + 1);
    const Organisation organisation { .name = OrganisationId("o" + std::to_string(*rc::gen::inRange(0, 100))),
        .limits = { .concurrency = *rc::gen::inRange<int64_t>(0, 50) } };
    const std::span daemons(names.data(), n);
    int64_t concurrency = 0;
    double fraction = 0;
    for (size_t i = 0; i < n; ++i) {
        const auto share = equalShare(organisation, daemons, i);
        concurrency += *share.concurrency;
        fraction += share.fraction;
    }
    RC_ASSERT(concurrency == *organisation.limits.concurrency);
    RC_ASSERT(std::abs(fraction - 1) < 1e-9);
}

RC_GTEST_PROP(Limits, SharesThatAddUpToOneNeverExceedTheLimit, ())
{
    const auto daemons = *rc::gen::inRange(1, 6);
    const auto weights
        = *rc::gen::container<std::vector<int>>(static_cast<size_t>(daemons), rc::gen::inRange(1, 10));
    int sum = 0;
    for (const auto it : weights)
        sum += it;
    const OrganisationLimits limits { .requestsPerSecond = 100, .concurrency = 20 };
    std::vector<OrganisationLimiter> uses;
    uses.reserve(weights.size());
    for (const auto it : weights)
        uses.emplace_back(limits, LimitShare { .fraction = static_cast<double>(it) / sum }, TimePoint());
    int total = 0;
    for (int second = 0; second < 5; ++second) {
        for (auto& it : uses)
            total += admitted(it, 200, 1, TimePoint(std::chrono::seconds(second)));
        int64_t concurrent = 0;
        for (const auto& it : uses)
            concurrent += it.concurrent();
        RC_ASSERT(concurrent <= 20);
    }
    RC_ASSERT(total <= 20);
}

} // namespace
} // namespace lentilbay
