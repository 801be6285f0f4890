// Implements the commands "configuration show", which prints the document in force or of a given version, and
// "configuration history", which lists the versions.
#include "AdminClient.h"
#include "Command.h"
#include "lentilbay/Support/Units.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_bool(json);
DEFINE_uint32(limit, 20, "how many entries are listed, the newest first");

namespace lentilbay {
namespace {

ExitCode reportFailure(const std::optional<AdminResponse>& response)
{
    printFailure(response);
    return response ? ExitCode::Refused : ExitCode::Unreachable;
}

} // namespace

ExitCode runConfigurationShow(const CommandArguments& arguments)
{
    const auto version = arguments.empty() ? std::optional<int64_t>() : parseInteger(arguments[0]);
    if (arguments.size() > 1 || (arguments.size() == 1 && !version)) {
        fmt::print(stderr, "usage: lentilbayctl configuration show [VERSION]\n");
        return ExitCode::Usage;
    }
    const auto path
        = version ? fmt::format("/admin/configuration/versions/{}", *version) : "/admin/configuration";
    const auto response = adminClientFromFlags().get(path);
    if (!response || !response->isOk())
        return reportFailure(response);
    if (FLAGS_json)
        fmt::print("{}\n", response->body.dump(2));
    else
        fmt::print("# version {}\n{}", response->body.value("version", uint64_t { 0 }),
            response->body.value("document", ""));
    return ExitCode::Done;
}

ExitCode runConfigurationHistory(const CommandArguments& arguments)
{
    if (!arguments.empty()) {
        fmt::print(stderr, "usage: lentilbayctl configuration history [--limit N]\n");
        return ExitCode::Usage;
    }
    const auto response
        = adminClientFromFlags().get(fmt::format("/admin/configuration/history?limit={}", FLAGS_limit));
    if (!response || !response->isOk())
        return reportFailure(response);
    if (FLAGS_json) {
        fmt::print("{}\n", response->body.dump(2));
        return ExitCode::Done;
    }
    for (const auto& it : response->body.value("versions", nlohmann::json::array())) {
        fmt::print("{:>8}  {}  {:<20}  {:.12}\n", it.value("version", uint64_t { 0 }), it.value("time", ""),
            it.value("operator", ""), it.value("hash", ""));
    }
    return ExitCode::Done;
}

} // namespace lentilbay
