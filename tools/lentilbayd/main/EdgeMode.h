// Runs the edge daemon on the users' platform.
#pragma once

#include <string>

namespace lentilbay {

struct EdgeModeOptions {
    std::string logLevel = "info";
    /// Check the settings file and exit.
    bool checkOnly = false;
};

/// Runs until shutdown and returns the exit status of the process.
int runOnPlatform(const EdgeModeOptions& options);

} // namespace lentilbay
