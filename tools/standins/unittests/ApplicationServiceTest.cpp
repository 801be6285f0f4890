// Tests the application stand-in: digests, execution counts, injected faults; and the HTTP client's timeout.
#include "ApplicationService.h"
#include "RunningStandIn.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::fakes;
using namespace lentilbay::standins;
using nlohmann::json;

namespace {

using RunningService = RunningStandIn<ApplicationService>;

std::vector<HttpHeader> withKey(const std::string& id, const std::string& key)
{
    return { { .name = "X-Request-Id", .value = id }, { .name = "Idempotency-Key", .value = key } };
}

} // namespace

TEST(ApplicationService, respondsToAnyCallWithItsDigest)
{
    RunningService service(ServiceOptions {});
    const auto posted = json::parse(service.post("/lots?desk=1", { { "lot", 7 } }, withKey("r1", "k1")).body);
    EXPECT_EQ(posted["digest"], callDigest("POST", "/lots?desk=1", R"({"lot":7})"));
    EXPECT_EQ(posted["key"], "k1");
    const auto got = json::parse(service.get("/lots/7").body);
    EXPECT_EQ(got["digest"], callDigest("GET", "/lots/7", ""));
    EXPECT_NE(got["digest"], posted["digest"]);
}

TEST(ApplicationService, countsExecutionsWhoseResponseWasDropped)
{
    RunningService service(ServiceOptions {});
    service.post("/control", { { "drop_answers", true } });
    EXPECT_NE(service.post("/lots", {}, withKey("r1", "k1")).error, "");
    service.post("/control", { { "drop_answers", false } });
    service.post("/lots", {}, withKey("r2", "k1"));
    const auto records = service.getJson("/records");
    EXPECT_EQ(records["executions_by_key"]["k1"], 2);
    EXPECT_EQ(records["executions_by_id"]["r1"], 1);
    EXPECT_EQ(records["records"][0]["answer_dropped"], true);
}

TEST(ApplicationService, refusesWithoutExecuting)
{
    RunningService service(ServiceOptions {});
    service.post("/control", { { "refuse", true }, { "leaving", true } });
    EXPECT_EQ(service.post("/lots", {}, withKey("r1", "k1")).status, 503);
    const auto records = service.getJson("/records");
    EXPECT_TRUE(records["executions_by_key"].empty());
    EXPECT_EQ(records["records"][0]["executed"], false);
    EXPECT_FALSE(records["leaving_since_us"].is_null());
    EXPECT_EQ(service.getJson("/load")["leaving"], true);
    EXPECT_EQ(service.post("/control", { { "no_such_fault", 1 } }).status, 400);
}

TEST(HttpClient, distinguishesTimeoutFromBrokenConnection)
{
    RunningService service(ServiceOptions {});
    service.post("/control", { { "stall", true } });
    HttpClient client;
    const auto late = client.call({ .url = service.url("/lots"), .timeout = std::chrono::milliseconds(20) });
    EXPECT_TRUE(late.timedOut);
    service.post("/control", { { "outage", true } });
    const auto broken = client.call({ .url = service.url("/lots") });
    EXPECT_FALSE(broken.timedOut);
    EXPECT_NE(broken.error, "");
}
