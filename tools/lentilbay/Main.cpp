// Entry point of lentilbay, the tool for operators of the users' platform.
#include "Command.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <string_view>

namespace {

constexpr const char* usageText
    = "lentilbay check CONFIGURATION [--against=CONFIGURATION | --store=ADDRESS] [--format=text|json]\n\n"
      "  Lists what is wrong with a configuration. With --against or --store, also what differs from the\n"
      "  configuration in force. The file \"-\" is the standard input.\n"
      "  Exit status: 0 without errors and warnings, 1 with some, 2 if the command line is invalid.\n";

/// gflags exits with status 1 for a flag that it does not know, which would stand for findings.
bool areFlagsKnown(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        std::string_view name = argv[i];
        if (name == "--")
            return true;
        if (name.size() < 2 || name.front() != '-')
            continue;
        name.remove_prefix(name.starts_with("--") ? 2 : 1);
        const auto value = name.find('=');
        const std::string flag(name.substr(0, value));
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(flag.c_str(), &info)
            && !(flag.starts_with("no") && gflags::GetCommandLineFlagInfo(flag.c_str() + 2, &info)))
            return false;
        const bool hasOwnValue = value != std::string_view::npos || info.type == "bool";
        if (!hasOwnValue && ++i == argc)
            return false;
        if (value != std::string_view::npos || info.type != "bool") {
            const std::string text(hasOwnValue ? name.substr(value + 1) : std::string_view(argv[i]));
            if (gflags::SetCommandLineOption(flag.c_str(), text.c_str()).empty())
                return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usageText);
    if (areFlagsKnown(argc, argv)) {
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        if (!arguments.empty() && arguments[0] == "check")
            return static_cast<int>(lentilbay::runCheck({ arguments.begin() + 1, arguments.end() }));
    }
    fmt::print(stderr, "{}", usageText);
    return static_cast<int>(lentilbay::ExitCode::Usage);
}
