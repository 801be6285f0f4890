// Entry point of lentilbayctl, the command-line tool for operators.
#include "Command.h"

#include <array>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iterator>

namespace lentilbay {
namespace {

constexpr std::array commands {
    Command { "status", "", "", "Show the daemon and the members that it knows.", runStatus },
    Command { "endpoints", "", "", "List the endpoints, their slots and their load.", runEndpoints },
    Command { "requests", "", "", "List the requests that are open.", runRequests },
    Command { "explain", "", "REQUEST-ID [FILES]", "Trace a request through log files, or standard input.",
        runExplain },
    Command { "drain", "", "", "Begin a graceful stop of the daemon named by --admin.", runDrain },
    Command { "configuration", "check", "FILE", "List every fault of a document.", runConfigurationCheck },
    Command { "configuration", "format", "FILE", "Print a document in its canonical form.",
        runConfigurationFormat },
    Command { "configuration", "diff", "OLD NEW", "Print what changes from one document to another.",
        runConfigurationDiff },
    Command {
        "configuration", "apply", "FILE", "Submit a document as the next version.", runConfigurationApply },
    Command { "configuration", "rollback", "VERSION",
        "Submit the document of an older version as the next one.", runConfigurationRollback },
    Command { "configuration", "show", "[VERSION]", "Print the document in force, or that of a version.",
        runConfigurationShow },
    Command {
        "configuration", "history", "", "List the versions, the newest first.", runConfigurationHistory },
};

std::string usageText()
{
    std::string out = "lentilbayctl COMMAND [ARGUMENTS] [FLAGS]\n\n";
    for (const auto& it : commands)
        fmt::format_to(
            std::back_inserter(out), "  {} {} {}\n      {}\n", it.group, it.name, it.usage, it.meaning);
    return out;
}

ExitCode runCommand(const std::vector<std::string>& arguments)
{
    for (const auto& it : commands) {
        const size_t wordCount = it.name.empty() ? 1 : 2;
        if (arguments.size() >= wordCount && arguments[0] == it.group
            && (wordCount == 1 || arguments[1] == it.name))
            return it.run({ arguments.begin() + static_cast<ptrdiff_t>(wordCount), arguments.end() });
    }
    fmt::print(stderr, "{}", usageText());
    return ExitCode::Usage;
}

} // namespace
} // namespace lentilbay

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(lentilbay::usageText());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return static_cast<int>(lentilbay::runCommand({ argv + 1, argv + argc }));
}
