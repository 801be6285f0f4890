// Answers to GET /load, well-formed and not.
#include "LoadAnswer.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

TEST(LoadAnswer, StatesItsAge)
{
    const auto answer = parseLoadAnswer(
        R"({"running":3,"waiting":1,"kv_tokens_used":900,"kv_tokens":1000,"age_ms":250,"leaving":true})",
        TimePoint(10s));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->load,
        (LoadReport { .running = 3, .waiting = 1, .kvTokensUsed = 900, .measuredAt = TimePoint(9750ms) }));
    EXPECT_TRUE(answer->leaving);
}

TEST(LoadAnswer, WhatIsNotALoadIsNothing)
{
    for (const auto* text : { "", "{", "[]", "{}", R"({"running":-1})", R"({"running":"3"})",
             R"({"running":1e30})", R"({"running":1,"leaving":1})", R"({"running":1,"age_ms":1e99})" })
        EXPECT_FALSE(parseLoadAnswer(text, TimePoint(10s))) << text;
}

} // namespace
} // namespace lentilbay
