// Tests of the parsing and formatting of durations, sizes and numbers.
#include "lentilbay/Support/Units.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

TEST(Units, DurationsWithUnits)
{
    EXPECT_EQ(parseDuration("250ms"), Duration(250ms));
    EXPECT_EQ(parseDuration("1.5 s"), Duration(1500ms));
    EXPECT_EQ(parseDuration("2h"), Duration(2h));
    EXPECT_EQ(parseDuration("3"), std::nullopt);
    EXPECT_EQ(parseDuration("-3s"), std::nullopt);
    EXPECT_EQ(parseDuration("3 parsecs"), std::nullopt);
    EXPECT_EQ(parseDuration("1e300d"), std::nullopt);
    EXPECT_EQ(parseDuration(""), std::nullopt);
}

TEST(Units, PrintedDurationsParseToTheSameValue)
{
    for (const Duration it :
        { Duration(0us), Duration(17us), Duration(1500ms), Duration(90s), Duration(48h) })
        EXPECT_EQ(parseDuration(printDuration(it)), it) << printDuration(it);
}

TEST(Units, Sizes)
{
    EXPECT_EQ(parseSize("64KiB"), 65536U);
    EXPECT_EQ(parseSize("12"), 12U);
    EXPECT_EQ(parseSize("64KB"), std::nullopt);
    EXPECT_EQ(parseSize("0.3B"), std::nullopt);
}

TEST(Units, Numbers)
{
    EXPECT_EQ(parseInteger("-12"), -12);
    EXPECT_EQ(parseInteger("12x"), std::nullopt);
    EXPECT_EQ(parseCount("18446744073709551615"), UINT64_MAX);
    for (const auto* text : { "", "-1", "+1", "12x", "18446744073709551616" })
        EXPECT_EQ(parseCount(text), std::nullopt) << text;
    EXPECT_EQ(parseNumber("0.5"), 0.5);
    EXPECT_EQ(parseNumber("nan"), std::nullopt);
}

} // namespace
} // namespace lentilbay
