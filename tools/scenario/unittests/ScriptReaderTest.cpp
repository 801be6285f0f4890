// Tests that scripts are read into scenarios and that errors are reported with their line.
#include "ScriptReader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <stdexcept>

using namespace lentilbay;
using namespace lentilbay::scenario;
using namespace std::chrono_literals;
using testing::HasSubstr;
using testing::StartsWith;

namespace {

constexpr auto minimal = R"(daemon { name = "d0" }
engine { name = "e1", services = { "line-edits" } }
load { user = "daejeon", only = { "line-edits" }, count = 10, rate = 5 }
)";

std::string errorOf(const std::string& script)
{
    try {
        readScript(script, "test.lua");
    } catch (const std::runtime_error& error) {
        return error.what();
    }
    return "no error";
}

} // namespace

TEST(ScriptReader, readsDaemonsEndpointsAndLoads)
{
    const auto scenario = readScript(minimal, "test.lua");
    EXPECT_EQ(scenario.daemons.at(0).name, "d0");
    EXPECT_EQ(scenario.endpoints.at(0).services, std::vector<std::string> { "line-edits" });
    EXPECT_EQ(scenario.loads.at(0).workload.kinds.size(), 1U);
    EXPECT_EQ(scenario.loads.at(0).workload.count, 10U);
}

TEST(ScriptReader, sortsActionsByTimeAndResetsFaults)
{
    const auto scenario = readScript(std::string(minimal) + R"(
kill { daemon = "d0", at = 3 }
slow { endpoint = "e1", factor = 10, at = 1, lasts = 0.5 }
leave { endpoint = "e1", at = 2 })",
        "test.lua");
    ASSERT_EQ(scenario.actions.size(), 4U);
    EXPECT_EQ(scenario.actions[0],
        (Action { .kind = Action::Kind::Control,
            .at = 1s,
            .subject = "e1",
            .faults = R"({"slow_factor":10.0})",
            .isFault = true,
            .duration = 500ms }));
    EXPECT_EQ(scenario.actions[1].faults, R"({"slow_factor":1})");
    EXPECT_FALSE(scenario.actions[1].isFault);
    EXPECT_FALSE(scenario.actions[2].isFault);
    EXPECT_EQ(scenario.actions[3].kind, Action::Kind::Kill);
}

TEST(ScriptReader, readsExpectationsWithTheirLines)
{
    const auto scenario = readScript(std::string(minimal) + R"(expect { goodput_of = "editing", least = 0.9 }
expect { outcome = "LB-3001", service = "line-edits", most = 0 }
expect { sooner = "line-edits", than = "style-reviews" }
expect { wasted_prefill = true, most = 0.02 })",
        "test.lua");
    ASSERT_EQ(scenario.expectations.size(), 4U);
    EXPECT_EQ(scenario.expectations[0],
        (Expectation { .kind = Expectation::Kind::Goodput, .subject = "editing", .least = 0.9, .line = 4 }));
    EXPECT_EQ(scenario.expectations[1].service, "line-edits");
    EXPECT_EQ(scenario.expectations[3].kind, Expectation::Kind::WastedPrefill);
    EXPECT_EQ(scenario.expectations[3].line, 7);
}

TEST(ScriptReader, runsLuaStatements)
{
    const auto scenario
        = readScript("for n = 1, 3 do daemon { name = 'd' .. n } end\n" + std::string(minimal), "test.lua");
    EXPECT_EQ(scenario.daemons.size(), 4U);
}

TEST(ScriptReader, reportsLineOfEachError)
{
    const std::string start = minimal;
    EXPECT_EQ(errorOf(start + "explode { at = 1 }"), "test.lua:4: unknown verb 'explode'");
    EXPECT_EQ(errorOf(start + "kill { daemon = 'd0', att = 1 }"), "test.lua:4: kill: unknown argument 'att'");
    EXPECT_EQ(errorOf(start + "\nkill { daemon = 'd9' }"), "test.lua:5: no daemon 'd9' was started");
    EXPECT_EQ(errorOf(start + "leave { endpoint = 'e9' }"), "test.lua:4: no endpoint 'e9' was started");
    EXPECT_EQ(errorOf(start + "kill { daemon = 7 }"), "test.lua:4: kill: daemon must be a string");
    EXPECT_EQ(
        errorOf(start + "kill { daemon = 'd0', at = -1 }"), "test.lua:4: kill: at must not be negative");
    EXPECT_EQ(errorOf(start + "kill('d0')"), "test.lua:4: kill: takes one table of named arguments");
    EXPECT_EQ(
        errorOf(start + "kill { 'd0', daemon = 'd0' }"), "test.lua:4: kill: takes only named arguments");
    EXPECT_EQ(errorOf(start + "expect { outcome = 'lost' }"), "test.lua:4: expect: needs least or most");
    EXPECT_THAT(errorOf(start + "expect { most = 1 }"), StartsWith("test.lua:4: expect: names none of"));
    EXPECT_EQ(errorOf(start + "expect { sooner = 'line-edits' }"), "test.lua:4: expect: sooner needs than");
    EXPECT_THAT(errorOf(start + "load { user = 'nobody', count = 1, rate = 1 }"),
        HasSubstr("test.lua:4: load: unknown user: nobody"));
    EXPECT_THAT(
        errorOf(start + "load { user = 'daejeon', count = 0, rate = 1 }"), HasSubstr("must be positive"));
    EXPECT_THAT(errorOf(start + "service { name = 's', services = {} }"), HasSubstr("services"));
    EXPECT_THAT(errorOf(start + "engine { name = 's', services = { 1 } }"), HasSubstr("list of strings"));
    EXPECT_THAT(errorOf("daemon {"), StartsWith("test.lua:1:"));
}

TEST(ScriptReader, requiresDaemonEndpointAndLoad)
{
    EXPECT_THAT(errorOf("daemon { name = 'd0' }"), HasSubstr("needs a daemon, an endpoint and a load"));
    EXPECT_THROW(readScriptFile("/no/such/file.lua"), std::runtime_error);
}

TEST(ScriptReader, readsThePlatformAndItsFaults)
{
    const auto scenario = readScript(std::string(minimal) + R"(platform { writes_per_second = 5 }
store_outage { at = 1, lasts = 2 }
lose_store_answers { count = 3, at = 5, store = "objects" }
apply { daemon = "d0", at = 6 }
expect { accepted = true, least = 2 })",
        "test.lua");
    EXPECT_EQ(scenario.platform, (PlatformSpec { .writesPerSecond = 5 }));
    ASSERT_EQ(scenario.actions.size(), 4U);
    EXPECT_EQ(scenario.actions[0].faults, R"({"table":{"outage":true}})");
    EXPECT_EQ(scenario.actions[1].faults, R"({"table":{"outage":false}})");
    EXPECT_EQ(scenario.actions[1].at, 3s);
    EXPECT_EQ(scenario.actions[2].faults, R"({"objects":{"lose_answers":3}})");
    EXPECT_EQ(scenario.actions[3].kind, Action::Kind::Apply);
    const std::string start = minimal;
    EXPECT_EQ(errorOf(start + "apply { daemon = 'd0' }"), "test.lua:4: apply: needs a platform");
    EXPECT_EQ(errorOf(start + "store_outage {}"), "test.lua:4: no platform was started");
    EXPECT_EQ(errorOf(start + "platform {}\nslow_store { store = 'x' }"),
        "test.lua:5: store must be table or objects");
}
