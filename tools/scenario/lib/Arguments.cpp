// Typed access to the fields of a Lua table.
#include "Arguments.h"

namespace lentilbay::scenario {

namespace {

constexpr int table = 1;

} // namespace

Arguments::Arguments(lua_State* lua, std::string verb)
    : m_lua(lua)
    , m_verb(std::move(verb))
{
    if (lua_gettop(lua) != 1 || !lua_istable(lua, table))
        fail("takes one table of named arguments");
}

bool Arguments::has(const char* name)
{
    const auto type = push(name);
    lua_pop(m_lua, 1);
    return type != LUA_TNIL;
}

std::string Arguments::text(const char* name)
{
    if (push(name) != LUA_TSTRING)
        fail(std::string(name) + " must be a string");
    std::string value = lua_tostring(m_lua, -1);
    lua_pop(m_lua, 1);
    return value;
}

std::string Arguments::text(const char* name, std::string fallback)
{
    return has(name) ? text(name) : std::move(fallback);
}

double Arguments::number(const char* name)
{
    if (push(name) != LUA_TNUMBER)
        fail(std::string(name) + " must be a number");
    const auto value = lua_tonumber(m_lua, -1);
    lua_pop(m_lua, 1);
    return value;
}

double Arguments::number(const char* name, double fallback) { return has(name) ? number(name) : fallback; }

std::optional<double> Arguments::optionalNumber(const char* name)
{
    if (!has(name))
        return std::nullopt;
    return number(name);
}

bool Arguments::flag(const char* name, bool fallback)
{
    if (!has(name))
        return fallback;
    if (push(name) != LUA_TBOOLEAN)
        fail(std::string(name) + " must be true or false");
    const bool value = lua_toboolean(m_lua, -1) != 0;
    lua_pop(m_lua, 1);
    return value;
}

Duration Arguments::seconds(const char* name, Duration fallback)
{
    return optionalSeconds(name).value_or(fallback);
}

std::optional<Duration> Arguments::optionalSeconds(const char* name)
{
    const auto value = optionalNumber(name);
    if (!value)
        return std::nullopt;
    if (*value < 0)
        fail(std::string(name) + " must not be negative");
    return fromSeconds(*value);
}

std::vector<std::string> Arguments::stringList(const char* name)
{
    std::vector<std::string> values;
    const auto type = push(name);
    if (type != LUA_TNIL && type != LUA_TTABLE)
        fail(std::string(name) + " must be a list of strings");
    for (lua_Integer n = 1; type == LUA_TTABLE && lua_rawgeti(m_lua, -1, n) != LUA_TNIL; ++n) {
        if (lua_type(m_lua, -1) != LUA_TSTRING)
            fail(std::string(name) + " must be a list of strings");
        values.emplace_back(lua_tostring(m_lua, -1));
        lua_pop(m_lua, 1);
    }
    lua_settop(m_lua, table);
    return values;
}

void Arguments::rejectUnknown()
{
    lua_pushnil(m_lua);
    while (lua_next(m_lua, table) != 0) {
        if (lua_type(m_lua, -2) != LUA_TSTRING)
            fail("takes only named arguments");
        const std::string name = lua_tostring(m_lua, -2);
        if (!m_requested.contains(name))
            fail("unknown argument '" + name + "'");
        lua_pop(m_lua, 1);
    }
}

int Arguments::push(const char* name)
{
    m_requested.insert(name);
    return lua_getfield(m_lua, table, name);
}

void Arguments::fail(const std::string& message) const { throw ScriptError { m_verb + ": " + message }; }

} // namespace lentilbay::scenario
