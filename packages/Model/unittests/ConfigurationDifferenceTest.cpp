// Tests that a difference reproduces the target exactly, rejects other bases, and prints readably.
#include "lentilbay/Model/ConfigurationDifference.h"
#include "lentilbay/Model/ConfigurationText.h"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace lentilbay {
namespace {

std::string exampleText(const std::string& name)
{
    std::ifstream in(std::string(LENTILBAY_SOURCE_DIR) + "/examples/" + name);
    return { std::istreambuf_iterator<char>(in), {} };
}

Configuration parsedExample(const std::string& name)
{
    Diagnostics diagnostics;
    auto out = parseConfiguration(exampleText(name), name, diagnostics);
    EXPECT_TRUE(diagnostics.empty());
    return out;
}

TEST(ExampleConfigurations, AreValidAndCanonical)
{
    for (const auto* name : { "cooperative.ini", "daejeon.ini" }) {
        const auto configuration = parsedExample(name);
        EXPECT_EQ(printConfiguration(configuration), exampleText(name));
        EXPECT_EQ(configuration.organisations.size(), 5U);
        EXPECT_EQ(configuration.endpoints.size(), 21U);
    }
}

TEST(ConfigurationDifference, ReproducesTarget)
{
    auto configuration = parsedExample("cooperative.ini");
    const auto from = printConfiguration(configuration);
    configuration.endpoints[3].slots += 1;
    configuration.tiers[0].goodputWeight = 11;
    configuration.models.pop_back();
    const auto to = printConfiguration(configuration);
    const auto difference = differenceOf(from, to);
    EXPECT_EQ(difference.removed.size(), 1U);
    EXPECT_LT(difference.changed.size(), 500U);
    EXPECT_EQ(
        std::get<std::string>(outcomeOf<std::string>([&] { return applyDifference(from, difference); })), to);
}

TEST(ConfigurationDifference, ReproducesUnrelatedTarget)
{
    const auto from = exampleText("cooperative.ini");
    const auto to = exampleText("daejeon.ini");
    const auto result = outcomeOf<std::string>([&] { return applyDifference(from, differenceOf(from, to)); });
    EXPECT_EQ(std::get<std::string>(result), to);
}

TEST(ConfigurationDifference, KeepsCanonicalOrderIfRanksAndNamesDisagree)
{
    auto configuration = parsedExample("daejeon.ini");
    const auto from = printConfiguration(configuration);
    std::swap(configuration.tiers[2].rank, configuration.tiers[3].rank);
    configuration.tiers[0].name = TierId("zinc");
    configuration.services.push_back({ .name = ServiceId("a") });
    configuration.endpoints[5].name = EndpointId("Z");
    const auto to = printConfiguration(configuration);
    const auto result = outcomeOf<std::string>([&] { return applyDifference(from, differenceOf(from, to)); });
    ASSERT_TRUE(std::holds_alternative<std::string>(result));
    EXPECT_EQ(std::get<std::string>(result), to);
}

TEST(ConfigurationDifference, RejectsOtherBaseAndWrongResult)
{
    const auto from = exampleText("cooperative.ini");
    const auto to = exampleText("daejeon.ini");
    auto difference = differenceOf(from, to);
    const auto codeOf = [&](const std::string& base) {
        return std::get<Failure>(outcomeOf<std::string>([&] {
            return applyDifference(base, difference);
        })).code;
    };
    EXPECT_EQ(codeOf(to), ResultCode::WrongBase);
    difference.changed += "\n[tier stray]\nrank = 7\n";
    EXPECT_EQ(codeOf(from), ResultCode::WrongBase);
}

TEST(ConfigurationDifference, PrintsSectionsAndLines)
{
    EXPECT_EQ(printDifference("[a]\nx = 1\ny = 2\n\n[b]\nz = 1\n", "[a]\nx = 1\ny = 3\n\n[c]\nw = 1\n"),
        "  [a]\n- y = 2\n+ y = 3\n- [b]\n+ [c]\n+ w = 1\n");
    EXPECT_EQ(printDifference("[a]\nx = 1\n", "[a]\nx = 1\n"), "");
}

} // namespace
} // namespace lentilbay
