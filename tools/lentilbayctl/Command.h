// A command of lentilbayctl: each stands in a small file of its own and in the table of main.cpp.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// How lentilbayctl ends. Scripts rely on these numbers; docs/OPERATIONS.md lists them.
enum class ExitCode : int {
    Done = 0,
    /// The document or the request has faults; nothing was changed.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another change came first; nothing was changed.
    Conflict = 3,
    /// The change is the newest version, but not yet in force everywhere.
    Pending = 4,
    /// No daemon answered.
    Unreachable = 5,
    /// The two documents differ (configuration diff).
    Different = 6,
};

/// The words after the command's own.
using CommandArguments = std::vector<std::string>;

struct Command {
    std::string_view group;
    /// Empty where the command is one word.
    std::string_view name;
    /// What follows the two words, for example "FILE".
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
