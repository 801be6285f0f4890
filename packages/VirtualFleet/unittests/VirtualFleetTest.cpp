// Tests of the simulation itself, on runs with a known outcome.
#include "lentilbay/VirtualFleet/VirtualFleet.h"
#include "lentilbay/Invariants/Checker.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

std::shared_ptr<const Configuration> smallConfiguration()
{
    auto out = std::make_shared<Configuration>();
    out->version = 1;
    out->tiers = { { .name = TierId("gold"), .rank = 0, .preemptible = false, .answerWithin = 20s },
        { .name = TierId("lead"), .rank = 1 } };
    out->organisations = { { .name = OrganisationId("press"), .tiers = { TierId("gold"), TierId("lead") } } };
    out->services = { { .name = ServiceId("line-edit") },
        { .name = ServiceId("corrections"), .kind = ServiceKind::Plain, .idempotent = false } };
    for (int i = 0; i < 2; ++i) {
        out->endpoints.push_back({ .name = EndpointId("engine-" + std::to_string(i)),
            .region = RegionId("Yeongnam"),
            .dataCentre = DataCentreId("Busan"),
            .services = { ServiceId("line-edit") },
            .slots = 4,
            .kvTokens = 400'000 });
    }
    out->endpoints.push_back({ .name = EndpointId("records"),
        .region = RegionId("Yeongnam"),
        .dataCentre = DataCentreId("Busan"),
        .services = { ServiceId("corrections") },
        .slots = 4 });
    return out;
}

VirtualFleetOptions threeDaemons()
{
    return { .localities = { { "Yeongnam", "Busan" }, { "Yeongnam", "Busan" }, { "Yeongnam", "Busan" } },
        .configuration = smallConfiguration() };
}

VirtualRequest lineEdit(const char* tier)
{
    return { .organisation = OrganisationId("press"),
        .tier = TierId(tier),
        .service = ServiceId("line-edit"),
        .promptTokens = 2'000,
        .answerTokens = 50 };
}

TEST(VirtualFleet, AnswersAllRequestsWithinCapacity)
{
    VirtualFleet fleet(threeDaemons());
    fleet.run(5s);
    for (size_t i = 0; i < 3; ++i) {
        EXPECT_EQ(fleet.blackboard(i).members.size(), 3U);
        fleet.call(i, lineEdit("gold"));
        fleet.call(i,
            { .organisation = OrganisationId("press"),
                .tier = TierId("lead"),
                .service = ServiceId("corrections"),
                .idempotencyKey = "k" + std::to_string(i) });
    }
    ASSERT_TRUE(fleet.runUntilAnswered(30s));
    const auto records = fleet.records();
    ASSERT_EQ(records.callers.size(), 6U);
    for (const auto& it : records.callers)
        EXPECT_EQ(it.end, CallerEnd::Answered) << printed(it.code);
    EXPECT_EQ(records.dispatches.size(), 6U);
    EXPECT_TRUE(checkInvariants(records).empty());
}

TEST(VirtualFleet, KilledDaemonAnswersNobody)
{
    VirtualFleet fleet(threeDaemons());
    fleet.run(5s);
    fleet.call(0, lineEdit("gold"));
    fleet.run(100ms);
    fleet.kill(0);
    EXPECT_EQ(fleet.openCallers(), 0U);
    const auto records = fleet.records();
    ASSERT_EQ(records.callers.size(), 1U);
    EXPECT_EQ(records.callers[0].end, CallerEnd::Lost);
}

TEST(VirtualFleet, PlannedStopFinishesRunningWork)
{
    VirtualFleet fleet(threeDaemons());
    fleet.run(5s);
    for (int i = 0; i < 20; ++i)
        fleet.call(0, lineEdit("lead"));
    fleet.run(50ms);
    fleet.drain(0);
    fleet.run(100ms);
    fleet.call(0, lineEdit("lead"));
    ASSERT_TRUE(fleet.runUntilAnswered(60s));
    fleet.run(3s);
    EXPECT_FALSE(fleet.isUp(0));
    const auto records = fleet.records();
    const auto answered = std::count_if(records.callers.begin(), records.callers.end(),
        [](const auto& it) { return it.end == CallerEnd::Answered; });
    EXPECT_EQ(answered, 20);
    EXPECT_EQ(records.callers.size(), 21U);
    EXPECT_TRUE(checkInvariants(records).empty());
}

TEST(VirtualFleet, SameSeedReproducesRun)
{
    const auto run = [] {
        auto options = threeDaemons();
        options.links = { .loss = 0.1, .maxDelay = 50ms };
        VirtualFleet fleet(options);
        for (int i = 0; i < 30; ++i) {
            fleet.call(i % 3, lineEdit(i % 2 == 0 ? "gold" : "lead"));
            fleet.run(70ms);
        }
        fleet.runUntilAnswered(60s);
        return fleet.records().callers;
    };
    EXPECT_EQ(run(), run());
}

} // namespace
} // namespace lentilbay
