// Reads configuration files for the commands and prints faults and results as text or JSON.
#pragma once

#include "lentilbay/Model/Configuration.h"

#include <optional>
#include <string>

namespace lentilbay {

/// The checked configuration of a file ("-" is standard input); nothing where it has faults, which are then
/// printed to standard error, or with --json as a list to standard output.
std::optional<Configuration> readConfiguration(const std::string& path);

} // namespace lentilbay
