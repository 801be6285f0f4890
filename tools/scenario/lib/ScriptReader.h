// Reads a scenario's script by running it in Lua; the verbs that it calls build the scenario.
#pragma once

#include "Scenario.h"

#include <string>

namespace lentilbay::scenario {

/// Throws std::runtime_error with "file:line: message" for an unknown verb or argument, a wrong type, a
/// daemon or endpoint that was not started, or an error of Lua itself.
Scenario readScript(const std::string& text, const std::string& file);

/// Reads the script from a file. Throws as readScript() does, and if the file cannot be read.
Scenario readScriptFile(const std::string& path);

} // namespace lentilbay::scenario
