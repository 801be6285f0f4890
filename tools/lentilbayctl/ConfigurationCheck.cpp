// Implements the commands "configuration check", "configuration format" and "configuration diff", which work
// without a daemon.
#include "Command.h"
#include "ConfigurationFile.h"
#include "lentilbay/Model/ConfigurationDifference.h"
#include "lentilbay/Model/ConfigurationText.h"

#include <fmt/format.h>

namespace lentilbay {
namespace {

ExitCode reportUsageError(std::string_view usage)
{
    fmt::print(stderr, "usage: lentilbayctl configuration {}\n", usage);
    return ExitCode::Usage;
}

} // namespace

ExitCode runConfigurationCheck(const CommandArguments& arguments)
{
    if (arguments.size() != 1)
        return reportUsageError("check FILE");
    return readConfiguration(arguments[0]) ? ExitCode::Done : ExitCode::Refused;
}

ExitCode runConfigurationFormat(const CommandArguments& arguments)
{
    if (arguments.size() != 1)
        return reportUsageError("format FILE");
    const auto configuration = readConfiguration(arguments[0]);
    if (!configuration)
        return ExitCode::Refused;
    fmt::print("{}", printConfiguration(*configuration));
    return ExitCode::Done;
}

ExitCode runConfigurationDiff(const CommandArguments& arguments)
{
    if (arguments.size() != 2)
        return reportUsageError("diff OLD NEW");
    const auto before = readConfiguration(arguments[0]);
    const auto after = readConfiguration(arguments[1]);
    if (!before || !after)
        return ExitCode::Refused;
    const auto text = printDifference(printConfiguration(*before), printConfiguration(*after));
    fmt::print("{}", text);
    return text.empty() ? ExitCode::Done : ExitCode::Different;
}

} // namespace lentilbay
