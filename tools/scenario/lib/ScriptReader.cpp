// Implements the verbs of the scenario language. Each is a Lua function of one table; docs/Scenarios.md
// describes them.
#include "ScriptReader.h"

#include "Arguments.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace lentilbay::scenario {

using nlohmann::json;

namespace {

using Verb = void (*)(Arguments&, Scenario&);

template <class Specs> bool contains(const Specs& specs, const std::string& name)
{
    return std::ranges::any_of(specs, [&](const auto& it) { return it.name == name; });
}

std::string daemonOf(Arguments& arguments, const Scenario& scenario)
{
    auto name = arguments.text("daemon");
    if (!contains(scenario.daemons, name))
        throw ScriptError { "no daemon '" + name + "' was started" };
    return name;
}

std::string endpointOf(Arguments& arguments, const Scenario& scenario)
{
    auto name = arguments.text("endpoint");
    if (!contains(scenario.endpoints, name))
        throw ScriptError { "no endpoint '" + name + "' was started" };
    return name;
}

void startDaemon(Arguments& arguments, Scenario& scenario)
{
    DaemonSpec spec { .name = arguments.text("name") };
    spec.region = arguments.text("region", spec.region);
    spec.dataCentre = arguments.text("data_centre", spec.dataCentre);
    scenario.daemons.push_back(spec);
}

EndpointSpec readEndpoint(Arguments& arguments, bool engine)
{
    EndpointSpec spec {
        .name = arguments.text("name"), .engine = engine, .services = arguments.stringList("services")
    };
    spec.region = arguments.text("region", spec.region);
    spec.dataCentre = arguments.text("data_centre", spec.dataCentre);
    spec.slots = static_cast<uint32_t>(arguments.number("slots", spec.slots));
    if (spec.services.empty())
        throw ScriptError { "services must name at least one" };
    return spec;
}

void startEngine(Arguments& arguments, Scenario& scenario)
{
    auto spec = readEndpoint(arguments, true);
    spec.prefillTokensPerSecond = arguments.number("prefill_tokens_per_second", spec.prefillTokensPerSecond);
    spec.decodeStep = arguments.seconds("decode_step", spec.decodeStep);
    spec.kvTokens = static_cast<uint64_t>(arguments.number("kv_tokens", static_cast<double>(spec.kvTokens)));
    scenario.endpoints.push_back(std::move(spec));
}

void startService(Arguments& arguments, Scenario& scenario)
{
    auto spec = readEndpoint(arguments, false);
    spec.callTime = arguments.seconds("call_time", spec.callTime);
    scenario.endpoints.push_back(std::move(spec));
}

void sendLoad(Arguments& arguments, Scenario& scenario)
{
    LoadSpec spec { .from = arguments.seconds("from", {}), .daemons = arguments.stringList("daemons") };
    spec.timeout = arguments.seconds("timeout", spec.timeout);
    auto& workload = spec.workload;
    workload.kinds = load::requestKindsOf(arguments.text("user"));
    if (arguments.has("only"))
        std::erase_if(workload.kinds, [only = arguments.stringList("only")](const load::RequestKind& it) {
            return std::ranges::find(only, it.service) == only.end();
        });
    if (arguments.has("mix"))
        load::applyMix(workload.kinds, arguments.text("mix"));
    if (workload.kinds.empty())
        throw ScriptError { "load: 'only' matches no kind of request of the user" };
    workload.count = static_cast<size_t>(arguments.number("count"));
    workload.rate = arguments.number("rate");
    workload.seed = static_cast<uint64_t>(arguments.number("seed", 1));
    workload.burstEvery = arguments.seconds("burst_every", {});
    workload.burstSize = static_cast<size_t>(arguments.number("burst_size", 0));
    workload.tokenScale = arguments.number("token_scale", 0.05);
    workload.deadlineScale = arguments.number("deadline_scale", 1);
    workload.resend = arguments.number("resend", 0);
    workload.streams = arguments.number("streams", 0.5);
    if (workload.rate <= 0 || workload.count == 0)
        throw ScriptError { "load: rate and count must be positive" };
    for (const auto& it : spec.daemons) {
        if (!contains(scenario.daemons, it))
            throw ScriptError { "load: no daemon '" + it + "' was started" };
    }
    scenario.loads.push_back(std::move(spec));
}

template <Action::Kind kind> void actOnDaemon(Arguments& arguments, Scenario& scenario)
{
    scenario.actions.push_back({ .kind = kind,
        .at = arguments.seconds("at", {}),
        .subject = daemonOf(arguments, scenario),
        .isFault = kind == Action::Kind::Kill || kind == Action::Kind::Pause });
}

/// Adds an action that sets faults at an endpoint and, if they have a duration, one that resets them at its
/// end.
void setFaults(Arguments& arguments, Scenario& scenario, const json& faults, const json& reset, bool isFault)
{
    const auto at = arguments.seconds("at", {});
    const auto duration = arguments.optionalSeconds("lasts");
    const auto subject = endpointOf(arguments, scenario);
    scenario.actions.push_back({ .kind = Action::Kind::Control,
        .at = at,
        .subject = subject,
        .faults = faults.dump(),
        .isFault = isFault,
        .duration = duration });
    if (duration)
        scenario.actions.push_back({ .kind = Action::Kind::Control,
            .at = at + *duration,
            .subject = subject,
            .faults = reset.dump() });
}

void slow(Arguments& arguments, Scenario& scenario)
{
    setFaults(arguments, scenario, { { "slow_factor", arguments.number("factor") } },
        { { "slow_factor", 1 } }, true);
}

void stall(Arguments& arguments, Scenario& scenario)
{
    setFaults(arguments, scenario, { { "stall", true } }, { { "stall", false } }, true);
}

void dropAnswers(Arguments& arguments, Scenario& scenario)
{
    setFaults(arguments, scenario, { { "drop_answers", true } }, { { "drop_answers", false } }, true);
}

void breakStreams(Arguments& arguments, Scenario& scenario)
{
    setFaults(arguments, scenario, { { "reset_after_tokens", arguments.number("after_tokens") } },
        { { "reset_after_tokens", -1 } }, true);
}

void outage(Arguments& arguments, Scenario& scenario)
{
    setFaults(arguments, scenario, { { "outage", true } }, { { "outage", false } }, true);
}

void refuse(Arguments& arguments, Scenario& scenario)
{
    setFaults(arguments, scenario, { { "refuse", true } }, { { "refuse", false } }, true);
}

void leave(Arguments& arguments, Scenario& scenario)
{
    setFaults(arguments, scenario, { { "leaving", true } }, { { "leaving", false } }, false);
}

void startPlatform(Arguments& arguments, Scenario& scenario)
{
    PlatformSpec spec;
    spec.writesPerSecond = arguments.number("writes_per_second", spec.writesPerSecond);
    spec.readsPerSecond = arguments.number("reads_per_second", spec.readsPerSecond);
    scenario.platform = spec;
}

/// Adds an action that sets faults of one of the platform's stores and, if they have a duration, one that
/// resets them at its end.
void setStoreFaults(Arguments& arguments, Scenario& scenario, const json& faults, const json& reset)
{
    const auto store = arguments.text("store", "table");
    if (!scenario.platform)
        throw ScriptError { "no platform was started" };
    if (store != "table" && store != "objects")
        throw ScriptError { "store must be table or objects" };
    const auto at = arguments.seconds("at", {});
    const auto duration = arguments.optionalSeconds("lasts");
    scenario.actions.push_back({ .kind = Action::Kind::Platform,
        .at = at,
        .subject = store,
        .faults = json { { store, faults } }.dump(),
        .isFault = true,
        .duration = duration });
    if (duration)
        scenario.actions.push_back({ .kind = Action::Kind::Platform,
            .at = at + *duration,
            .subject = store,
            .faults = json { { store, reset } }.dump() });
}

void storeOutage(Arguments& arguments, Scenario& scenario)
{
    setStoreFaults(arguments, scenario, { { "outage", true } }, { { "outage", false } });
}

void slowStore(Arguments& arguments, Scenario& scenario)
{
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(arguments.seconds("delay", {}));
    setStoreFaults(arguments, scenario, { { "delay_ms", delay.count() } }, { { "delay_ms", 0 } });
}

void loseStoreAnswers(Arguments& arguments, Scenario& scenario)
{
    const auto count = static_cast<uint32_t>(arguments.number("count"));
    setStoreFaults(arguments, scenario, { { "lose_answers", count } }, { { "lose_answers", 0 } });
}

void apply(Arguments& arguments, Scenario& scenario)
{
    if (!scenario.platform)
        throw ScriptError { "apply: needs a platform" };
    if (std::ranges::none_of(scenario.endpoints, &EndpointSpec::engine))
        throw ScriptError { "apply: needs an engine, whose models show the version" };
    actOnDaemon<Action::Kind::Apply>(arguments, scenario);
}

struct ExpectationName {
    const char* argument;
    Expectation::Kind kind;
    /// The argument that sets Expectation::service, or null.
    const char* serviceArgument;
};

constexpr std::array expectationNames {
    ExpectationName { "goodput_of", Expectation::Kind::Goodput, nullptr },
    ExpectationName { "outcome", Expectation::Kind::Outcome, "service" },
    ExpectationName { "dispatches_to", Expectation::Kind::Dispatches, nullptr },
    ExpectationName { "sooner", Expectation::Kind::Sooner, "than" },
};

Expectation readExpectation(Arguments& arguments)
{
    Expectation expectation;
    for (const auto& it : expectationNames) {
        if (!arguments.has(it.argument))
            continue;
        expectation.kind = it.kind;
        expectation.subject = arguments.text(it.argument);
        if (it.serviceArgument)
            expectation.service = arguments.text(it.serviceArgument, "");
        return expectation;
    }
    const bool wasted = arguments.flag("wasted_prefill", false);
    if (!wasted && !arguments.flag("accepted", false))
        throw ScriptError { "expect: names none of goodput_of, outcome, dispatches_to, sooner, "
                            "wasted_prefill, accepted" };
    expectation.kind = wasted ? Expectation::Kind::WastedPrefill : Expectation::Kind::Accepted;
    return expectation;
}

void expect(Arguments& arguments, Scenario& scenario)
{
    auto expectation = readExpectation(arguments);
    expectation.least = arguments.optionalNumber("least");
    expectation.most = arguments.optionalNumber("most");
    const bool sooner = expectation.kind == Expectation::Kind::Sooner;
    if (sooner && expectation.service.empty())
        throw ScriptError { "expect: sooner needs than" };
    if (!sooner && !expectation.least && !expectation.most)
        throw ScriptError { "expect: needs least or most" };
    scenario.expectations.push_back(std::move(expectation));
}

struct VerbRow {
    const char* name;
    Verb verb;
};

constexpr std::array verbs {
    VerbRow { "daemon", startDaemon },
    VerbRow { "engine", startEngine },
    VerbRow { "service", startService },
    VerbRow { "platform", startPlatform },
    VerbRow { "load", sendLoad },
    VerbRow { "kill", actOnDaemon<Action::Kind::Kill> },
    VerbRow { "pause", actOnDaemon<Action::Kind::Pause> },
    VerbRow { "resume", actOnDaemon<Action::Kind::Resume> },
    VerbRow { "stop", actOnDaemon<Action::Kind::Stop> },
    VerbRow { "restart", actOnDaemon<Action::Kind::Restart> },
    VerbRow { "slow", slow },
    VerbRow { "stall", stall },
    VerbRow { "drop_answers", dropAnswers },
    VerbRow { "break_streams", breakStreams },
    VerbRow { "outage", outage },
    VerbRow { "refuse", refuse },
    VerbRow { "leave", leave },
    VerbRow { "store_outage", storeOutage },
    VerbRow { "slow_store", slowStore },
    VerbRow { "lose_store_answers", loseStoreAnswers },
    VerbRow { "apply", apply },
    VerbRow { "expect", expect },
};

int lineOf(lua_State* lua)
{
    lua_Debug caller {};
    if (lua_getstack(lua, 1, &caller) == 0 || lua_getinfo(lua, "l", &caller) == 0)
        return 0;
    return caller.currentline;
}

/// Runs a verb. On failure returns false and sets the error message.
bool runVerb(lua_State* lua, const VerbRow& row, Scenario& scenario, std::string& message)
{
    try {
        Arguments arguments(lua, row.name);
        const auto expectations = scenario.expectations.size();
        row.verb(arguments, scenario);
        arguments.rejectUnknown();
        if (scenario.expectations.size() > expectations)
            scenario.expectations.back().line = lineOf(lua);
        return true;
    } catch (const ScriptError& error) {
        message = error.message;
    } catch (const std::exception& error) {
        message = std::string(row.name) + ": " + error.what();
    }
    return false;
}

/// The Lua function of each verb. Its upvalues are the scenario and the verb's row in the table above.
int callVerb(lua_State* lua)
{
    auto& scenario = *static_cast<Scenario*>(lua_touserdata(lua, lua_upvalueindex(1)));
    const auto& row = *static_cast<const VerbRow*>(lua_touserdata(lua, lua_upvalueindex(2)));
    {
        std::string message;
        if (runVerb(lua, row, scenario, message))
            return 0;
        luaL_where(lua, 1);
        lua_pushstring(lua, message.c_str());
        lua_concat(lua, 2);
    }
    // lua_error() leaves by longjmp(), so no object with a destructor may be alive here.
    return lua_error(lua);
}

/// The __index metamethod of the global table, called for each undefined global.
int rejectUnknownVerb(lua_State* lua)
{
    return luaL_error(lua, "unknown verb '%s'", luaL_tolstring(lua, 2, nullptr));
}

void defineVerbs(lua_State* lua, Scenario& scenario)
{
    luaL_requiref(lua, "_G", luaopen_base, 1);
    luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
    luaL_requiref(lua, LUA_TABLIBNAME, luaopen_table, 1);
    luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
    lua_settop(lua, 0);
    for (const auto& row : verbs) {
        lua_pushlightuserdata(lua, &scenario);
        lua_pushlightuserdata(lua, const_cast<VerbRow*>(&row));
        lua_pushcclosure(lua, callVerb, 2);
        lua_setglobal(lua, row.name);
    }
    lua_pushglobaltable(lua);
    lua_newtable(lua);
    lua_pushcfunction(lua, rejectUnknownVerb);
    lua_setfield(lua, -2, "__index");
    lua_setmetatable(lua, -2);
    lua_settop(lua, 0);
}

} // namespace

Scenario readScript(const std::string& text, const std::string& file)
{
    Scenario scenario { .name = file };
    const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), lua_close);
    defineVerbs(lua.get(), scenario);
    const auto chunk = "@" + file;
    if (luaL_loadbuffer(lua.get(), text.data(), text.size(), chunk.c_str()) != LUA_OK
        || lua_pcall(lua.get(), 0, 0, 0) != LUA_OK)
        throw std::runtime_error(lua_tostring(lua.get(), -1));
    if (scenario.daemons.empty() || scenario.endpoints.empty() || scenario.loads.empty())
        throw std::runtime_error(file + ": a scenario needs a daemon, an endpoint and a load");
    std::ranges::stable_sort(scenario.actions, {}, &Action::at);
    return scenario;
}

Scenario readScriptFile(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error(path + ": cannot be read");
    std::stringstream text;
    text << in.rdbuf();
    return readScript(text.str(), path);
}

} // namespace lentilbay::scenario
