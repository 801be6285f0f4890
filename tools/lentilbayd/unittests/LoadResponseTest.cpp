// Parsing of valid and invalid responses to GET /load.
#include "LoadResponse.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

TEST(LoadResponse, SubtractsReportedAge)
{
    const auto response = parseLoadResponse(
        R"({"running":3,"waiting":1,"kv_tokens_used":900,"kv_tokens":1000,"age_ms":250,"leaving":true})",
        TimePoint(10s));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->load,
        (LoadReport { .running = 3, .waiting = 1, .kvTokensUsed = 900, .measuredAt = TimePoint(9750ms) }));
    EXPECT_TRUE(response->leaving);
}

TEST(LoadResponse, RejectsInvalidInput)
{
    for (const auto* text : { "", "{", "[]", "{}", R"({"running":-1})", R"({"running":"3"})",
             R"({"running":1e30})", R"({"running":1,"leaving":1})", R"({"running":1,"age_ms":1e99})" })
        EXPECT_FALSE(parseLoadResponse(text, TimePoint(10s))) << text;
}

} // namespace
} // namespace lentilbay
