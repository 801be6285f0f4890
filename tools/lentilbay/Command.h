// Commands of lentilbay, the tool for operators of the users' platform.
#pragma once

#include <string>
#include <vector>

namespace lentilbay {

/// Exit status of lentilbay. Scripts rely on these numbers, which docs/OPERATIONS.md lists.
enum class ExitCode : int {
    /// There are no findings besides what differs from the configuration in force.
    Done = 0,
    /// There are findings, or a document cannot be read.
    Findings = 1,
    /// The command line is invalid.
    Usage = 2,
};

/// @param arguments what follows the name of the command
ExitCode runCheck(const std::vector<std::string>& arguments);

} // namespace lentilbay
