// The named arguments of one verb, as a Lua table holds them. Whatever nobody asked for is an error.
#pragma once

#include "lentilbay/Support/Time.h"

#include <lua.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilbay::scenario {

/// A mistake in a script; the verb's call turns it into a Lua error with its line.
struct ScriptError {
    std::string message;
};

class Arguments {
public:
    /// Reads from the table at the bottom of the stack; throws where there is none.
    Arguments(lua_State* lua, std::string verb);

    bool has(const char* name);
    std::string text(const char* name);
    std::string text(const char* name, std::string fallback);
    double number(const char* name);
    double number(const char* name, double fallback);
    std::optional<double> optionalNumber(const char* name);
    bool flag(const char* name, bool fallback);
    /// Seconds in the script.
    Duration seconds(const char* name, Duration fallback);
    std::optional<Duration> optionalSeconds(const char* name);
    /// A list of words; empty where the argument is missing.
    std::vector<std::string> words(const char* name);

    /// Throws where an argument is left that was not asked for; call it last.
    void refuseUnknown();

private:
    /// Pushes the argument; its Lua type.
    int push(const char* name);
    [[noreturn]] void fail(const std::string& message) const;

    lua_State* m_lua;
    std::string m_verb;
    std::set<std::string> m_known;
};

} // namespace lentilbay::scenario
