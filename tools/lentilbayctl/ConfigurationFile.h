// Reads configuration files for the commands.
#pragma once

#include "lentilbay/Model/Configuration.h"

#include <optional>
#include <string>

namespace lentilbay {

/// Reads and checks the configuration in a file ("-" is standard input). On errors, prints them to standard
/// error, or with --json as a list to standard output, and returns std::nullopt.
std::optional<Configuration> readConfiguration(const std::string& path);

} // namespace lentilbay
