// Defaults, errors and printing of the daemon's settings.
#include "Settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lentilbay {
namespace {

constexpr auto minimalSettings = "[daemon]\nname = d1\nregion = chungcheong\ndata_centre = c1\n";

Settings parse(const std::string& text, Diagnostics& diagnostics)
{
    return parseSettings(parseIni(text, "d.ini", diagnostics), diagnostics);
}

std::vector<std::string> diagnosticsFor(const std::string& text)
{
    Diagnostics diagnostics;
    parse(text, diagnostics);
    std::vector<std::string> out;
    for (const auto& it : diagnostics)
        out.push_back(std::to_string(it.line) + " " + printed(it.code) + " " + it.key);
    return out;
}

TEST(Settings, UsesDefaultsForMissingKeys)
{
    Diagnostics diagnostics;
    const auto settings = parse(minimalSettings, diagnostics);
    EXPECT_THAT(diagnostics, testing::IsEmpty());
    EXPECT_EQ(settings.daemon.name, "d1");
    EXPECT_EQ(settings.callers.maxConnections, 10'000U);
    EXPECT_EQ(settings.log.level, "info");
}

TEST(Settings, ReportsAllFaults)
{
    EXPECT_THAT(diagnosticsFor(
                    "[daemon]\nname = d 1\nregion = r\n[callers]\nport = 70000\nmax_body = big\nspeed = 3\n"
                    "[nonsense]\nkey = 1\n[log]\nformat = xml\nformat = text\n"),
        testing::UnorderedElementsAre("2 LB-6006 daemon.name", "0 LB-6008 daemon.data_centre",
            "5 LB-6007 callers.port", "6 LB-6006 callers.max_body", "7 LB-6004 callers.speed",
            "9 LB-6003 nonsense", "11 LB-6006 log.format", "12 LB-6005 log.format"));
}

TEST(Settings, PrintedSettingsRoundTrip)
{
    Diagnostics diagnostics;
    const auto settings = parse(std::string(minimalSettings)
            + "max_waiting = 7\nleaving_notice = 250ms\n[callers]\naddress = 10.0.0.1\nport = 81\nmax_body = "
              "2KiB\n"
              "max_field = 300B\nmax_fields = 9\nidle_timeout = 3s\nmax_backlog = 4KiB\n[endpoints]\n"
              "connect_timeout = 20ms\nmax_connections = 5\nmax_idle_age = 2s\nmax_answer = "
              "3KiB\nmax_resumes = 0\n"
              "cancel_timeout = 1s\n[answers]\nkeep_for = 1min\nmax_bytes = 0\nmax_requests = "
              "3\n[admin]\nport = 82\n"
              "token_hash = a$b\n[log]\nformat = json\nlevel = warn\n[configuration]\nfile = c.ini\n",
        diagnostics);
    EXPECT_THAT(diagnostics, testing::IsEmpty());
    const auto printed = printSettings(settings);
    const auto again = parse(printed, diagnostics);
    EXPECT_THAT(diagnostics, testing::IsEmpty());
    EXPECT_EQ(printSettings(again), printed);
    EXPECT_EQ(again.gateway.dispatcher.maxResumes, 0);
    EXPECT_EQ(again.admin.tokenHash, "a$b");
    EXPECT_EQ(again.configurationFile, "c.ini");
}

} // namespace
} // namespace lentilbay
