// Tests that all errors of a settings file are reported together, each with file, line and key.
#include "lentilbay/Support/SectionReader.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

std::vector<std::string> printAll(const Diagnostics& diagnostics)
{
    std::vector<std::string> out;
    for (const auto& it : diagnostics)
        out.push_back(printed(it));
    return out;
}

TEST(SectionReader, ReadsTypedValues)
{
    Diagnostics diagnostics;
    const auto document
        = parseIni("[limits]\nbody = 64KiB\nwait = 2s\ntls = yes\nnames = a, b\n", "x.ini", diagnostics);
    SectionReader reader(document, "limits", diagnostics);
    EXPECT_EQ(reader.size("body", 1, { 1, 1 << 20 }), 65536U);
    EXPECT_EQ(reader.duration("wait", Duration(1s), { Duration(0s), Duration(10s) }), Duration(2s));
    EXPECT_TRUE(reader.flag("tls", false));
    EXPECT_EQ(reader.list("names"), (std::vector<std::string> { "a", "b" }));
    EXPECT_EQ(reader.integer("absent", 7, { 0, 9 }), 7);
    reader.reportUnknownKeys();
    EXPECT_TRUE(diagnostics.empty());
}

TEST(SectionReader, ReportsAllErrorsAtOnce)
{
    Diagnostics diagnostics;
    const auto document
        = parseIni("[limits]\nbody = big\nwait = 20s\nbody = 1KiB\nnope = 1\n", "x.ini", diagnostics);
    SectionReader reader(document, "limits", diagnostics);
    reader.size("body", 1, { 1, 4096 });
    reader.duration("wait", Duration(1s), { Duration(0s), Duration(10s) });
    reader.requiredText("name");
    reader.reportUnknownKeys();
    EXPECT_EQ(printAll(diagnostics),
        (std::vector<std::string> {
            "x.ini:4: LB-6005 limits.body: the key stands in line 2 already",
            "x.ini:2: LB-6006 limits.body: 'big' is not a size such as 64KiB; allowed: 1B to 4KiB",
            "x.ini:3: LB-6007 limits.wait: '20s' is out of range; allowed: 0s to 10s",
            "x.ini: LB-6008 limits.name: the key is required and must not be empty",
            "x.ini:5: LB-6004 limits.nope: the key is not known; allowed: body, name, wait",
        }));
}

TEST(Ini, ReportsLinesThatAreNotIni)
{
    Diagnostics diagnostics;
    const auto longLine = "key = " + std::string(400, 'x') + "\n";
    parseIni("[a]\nnonsense\n  b = 1\n" + longLine + std::string("z = \0q\n", 7), "x.ini", diagnostics);
    ASSERT_EQ(diagnostics.size(), 4U);
    for (const auto& it : diagnostics)
        EXPECT_EQ(it.code, ResultCode::SettingsSyntax) << printed(it);
}

TEST(Ini, AMissingFileYieldsOneDiagnostic)
{
    Diagnostics diagnostics;
    readIniFile("/nonexistent/x.ini", diagnostics);
    ASSERT_EQ(diagnostics.size(), 1U);
    EXPECT_EQ(diagnostics[0].code, ResultCode::SettingsUnreadable);
}

} // namespace
} // namespace lentilbay
