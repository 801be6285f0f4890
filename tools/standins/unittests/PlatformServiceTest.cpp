// Tests the platform stand-in against the calls listed in docs/design/Interfaces.md.
#include "PlatformService.h"
#include "RunningStandIn.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::fakes;
using namespace lentilbay::standins;
using nlohmann::json;

namespace {

using RunningPlatform = RunningStandIn<PlatformService>;

json write(const std::string& key, const json& value, const json& expect)
{
    json row { { "table", "t" }, { "key", key } };
    row["value"] = value;
    row["expect"] = expect;
    json body;
    body["writes"].push_back(row);
    return body;
}

json read(const std::string& key)
{
    json body;
    body["reads"].push_back({ { "table", "t" }, { "key", key } });
    return body;
}

} // namespace

TEST(PlatformService, transactsReadsAndScans)
{
    RunningPlatform platform(PlatformOptions {});
    EXPECT_EQ(json::parse(platform.post("/table/transact", write("a", "1", 0)).body),
        json::parse(R"({"versions":[1]})"));
    const auto conflict = platform.post("/table/transact", write("a", "2", 0));
    EXPECT_EQ(conflict.status, 409);
    EXPECT_EQ(json::parse(conflict.body)["rows"][0]["version"], 1);
    const auto row = json::parse(platform.post("/table/read", read("a")).body)["rows"][0];
    EXPECT_EQ(row, (json { { "key", "a" }, { "value", "1" }, { "version", 1 } }));
    EXPECT_TRUE(json::parse(platform.post("/table/read", read("b")).body)["rows"][0].is_null());
    platform.post("/table/transact", write("b", "1", nullptr));
    const auto scan = platform.post(
        "/table/scan", { { "table", "t" }, { "prefix", "" }, { "after", "a" }, { "limit", 9 } });
    EXPECT_EQ(json::parse(scan.body)["rows"][0]["key"], "b");
    platform.post("/table/transact", write("b", nullptr, 1));
    EXPECT_TRUE(json::parse(platform.post("/table/read", read("b")).body)["rows"][0].is_null());
}

TEST(PlatformService, appliesWritesWhoseResponseIsLost)
{
    RunningPlatform platform(PlatformOptions {});
    platform.post("/control", { { "table", { { "lose_answers", 1 } } } });
    const auto lost = platform.post("/table/transact", write("a", "1", 0));
    EXPECT_EQ(lost.status, 0);
    EXPECT_NE(lost.error, "");
    EXPECT_EQ(json::parse(platform.post("/table/read", read("a")).body)["rows"][0]["value"], "1");
    EXPECT_EQ(platform.getJson("/records")["writes"][0]["answer_lost"], true);
}

TEST(PlatformService, injectsOutagesAndEnforcesRateLimits)
{
    RunningPlatform platform(PlatformOptions { .table = { .writesPerSecond = 1 } });
    platform.post("/control", { { "table", { { "outage", true } } }, { "objects", { { "outage", true } } } });
    EXPECT_EQ(platform.post("/table/transact", write("a", "1", 0)).status, 503);
    EXPECT_EQ(platform.get("/objects/x").status, 503);
    platform.post("/control", { { "table", { { "outage", false } } } });
    EXPECT_EQ(platform.post("/table/transact", write("a", "1", 0)).status, 200);
    const auto limited = platform.post("/table/transact", write("b", "1", 0));
    EXPECT_EQ(limited.status, 429);
    EXPECT_EQ(limited.header("retry-after"), "1");
}

TEST(PlatformService, storesObjects)
{
    RunningPlatform platform(PlatformOptions {});
    HttpClient client;
    const std::string bytes("a\0b", 3);
    EXPECT_EQ(
        client.call({ .method = "PUT", .url = platform.url("/objects/c/1"), .body = bytes }).status, 200);
    EXPECT_EQ(platform.get("/objects/c/1").body, bytes);
    EXPECT_EQ(platform.get("/objects/c/2").status, 404);
}

TEST(PlatformService, rateLimitsWeightDownloads)
{
    RunningPlatform platform(PlatformOptions { .weights = { .bytesPerSecond = 10, .weightBytes = 10 } });
    EXPECT_EQ(platform.get("/weights/m/1").body.size(), 10U);
    const auto limited = platform.get("/weights/m/1");
    EXPECT_EQ(limited.status, 429);
    EXPECT_NE(limited.header("Retry-After"), "");
}

TEST(PlatformService, delaysHostList)
{
    RunningPlatform platform(PlatformOptions {});
    const json list { { { "name", "h1" }, { "address", "127.0.0.1:1" }, { "state", "leaving" } } };
    platform.post("/control", { { "hosts", { { "list", list } } } });
    EXPECT_EQ(platform.getJson("/hosts")["hosts"], list);
    platform.post("/control", { { "hosts", { { "lag_ms", 600'000 } } } });
    EXPECT_TRUE(platform.getJson("/hosts")["hosts"].empty());
    EXPECT_EQ(platform.post("/control", { { "hosts", { { "no_such", 1 } } } }).status, 400);
}
