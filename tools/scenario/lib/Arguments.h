// The named arguments of one verb, read from a Lua table. An argument that the verb does not read is an
// error.
#pragma once

#include "lentilbay/Support/Time.h"

#include <lua.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilbay::scenario {

/// An error in a script; the verb's Lua function reports it as a Lua error with its line.
struct ScriptError {
    std::string message;
};

class Arguments {
public:
    /// Reads from the table at the bottom of the stack; throws ScriptError if it is not the only argument.
    /// The readers below throw ScriptError if the argument has another type or is missing without a fallback.
    Arguments(lua_State* lua, std::string verb);

    bool has(const char* name);
    std::string text(const char* name);
    std::string text(const char* name, std::string fallback);
    double number(const char* name);
    double number(const char* name, double fallback);
    std::optional<double> optionalNumber(const char* name);
    bool flag(const char* name, bool fallback);
    /// The script gives seconds; a negative value is an error.
    Duration seconds(const char* name, Duration fallback);
    std::optional<Duration> optionalSeconds(const char* name);
    /// A list of strings; empty if the argument is missing.
    std::vector<std::string> stringList(const char* name);

    /// Throws ScriptError if the table holds an argument that was not read; call it last.
    void rejectUnknown();

private:
    /// Pushes the argument on the Lua stack and returns its Lua type.
    int push(const char* name);
    [[noreturn]] void fail(const std::string& message) const;

    lua_State* m_lua;
    std::string m_verb;
    /// The names that the verb has read.
    std::set<std::string> m_requested;
};

} // namespace lentilbay::scenario
