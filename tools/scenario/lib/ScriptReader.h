// Reads a scenario's script. Lua runs it; the verbs collect what it says.
#pragma once

#include "Scenario.h"

#include <string>

namespace lentilbay::scenario {

/// Throws std::runtime_error with "file:line: what is wrong": an unknown verb or argument, a wrong type, a
/// subject that was not started, or Lua's own complaint.
Scenario readScript(const std::string& text, const std::string& file);

/// Reads the file and its text.
Scenario readScriptFile(const std::string& path);

} // namespace lentilbay::scenario
