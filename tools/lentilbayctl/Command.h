// Commands of lentilbayctl. Each one is implemented in a source file of its group and listed in main.cpp.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// Exit status of lentilbayctl. Scripts rely on these numbers, which docs/OPERATIONS.md lists.
enum class ExitCode : int {
    Done = 0,
    /// The document or the request is invalid. Nothing was changed.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another change was committed first. Nothing was changed.
    Conflict = 3,
    /// The change is the newest version, but not in force on all daemons yet.
    Pending = 4,
    /// No daemon responded.
    Unreachable = 5,
    /// The two documents differ (configuration diff).
    Different = 6,
};

/// The arguments after the command name.
using CommandArguments = std::vector<std::string>;

struct Command {
    std::string_view group;
    /// Empty if the command is a single word.
    std::string_view name;
    /// Arguments after the command name, for example "FILE".
    std::string_view usage;
    std::string_view meaning;
    ExitCode (*run)(const CommandArguments& arguments);
};

ExitCode runExplain(const CommandArguments& arguments);
ExitCode runStatus(const CommandArguments& arguments);
ExitCode runEndpoints(const CommandArguments& arguments);
ExitCode runRequests(const CommandArguments& arguments);
ExitCode runDrain(const CommandArguments& arguments);
ExitCode runConfigurationCheck(const CommandArguments& arguments);
ExitCode runConfigurationFormat(const CommandArguments& arguments);
ExitCode runConfigurationDiff(const CommandArguments& arguments);
ExitCode runConfigurationApply(const CommandArguments& arguments);
ExitCode runConfigurationRollback(const CommandArguments& arguments);
ExitCode runConfigurationShow(const CommandArguments& arguments);
ExitCode runConfigurationHistory(const CommandArguments& arguments);

} // namespace lentilbay
