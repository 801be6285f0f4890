// Runs the daemon on the users' platform.
#pragma once

#include <string>

namespace lentilbay {

struct EdgeModeOptions {
    std::string logLevel = "info";
    /// Only check the settings file.
    bool checkOnly = false;
};

/// Returns the exit status of the process.
int runOnPlatform(const EdgeModeOptions& options);

} // namespace lentilbay
