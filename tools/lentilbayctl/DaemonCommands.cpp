// Implements the commands "status", "endpoints" and "requests", which print the state of one daemon, and
// "drain", which begins its graceful stop.
#include "AdminClient.h"
#include "Command.h"
#include "Table.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_bool(json);

namespace lentilbay {
namespace {

using Json = nlohmann::json;

/// Formats a member of any JSON type. Returns "-" if it is missing or null.
std::string cell(const Json& row, const char* name)
{
    const auto it = row.find(name);
    if (it == row.end() || it->is_null())
        return "-";
    if (it->is_string())
        return it->get<std::string>();
    if (it->is_boolean())
        return it->get<bool>() ? "yes" : "no";
    return it->is_number_float() ? fmt::format("{:.0f}", it->get<double>()) : it->dump();
}

std::string formatTable(const Json& rows, const std::vector<const char*>& names)
{
    TableCells head;
    for (const auto* name : names)
        head.emplace_back(name);
    std::vector<TableCells> cells;
    for (const auto& row : rows) {
        cells.emplace_back();
        for (const auto* name : names)
            cells.back().push_back(cell(row, name));
    }
    return printTable(head, cells);
}

std::string statusText(const Json& body)
{
    std::vector<TableCells> rows;
    for (const auto* name : { "daemon", "region", "data_centre", "configuration_version", "ready", "fenced",
             "draining", "open_requests", "preempted", "prefill_tokens_lost" })
        rows.push_back({ name, cell(body, name) });
    return printTable({ "state", "value" }, rows) + "\n"
        + formatTable(body.value("members", Json::array()),
            { "daemon", "region", "data_centre", "address", "incarnation", "status" });
}

std::string endpointsText(const Json& body)
{
    return formatTable(body.value("endpoints", Json::array()),
        { "endpoint", "data_centre", "address", "slots", "granted", "in_flight", "running", "waiting",
            "kv_tokens_used", "load_age_ms", "leaving" });
}

std::string requestsText(const Json& body)
{
    return formatTable(body.value("requests", Json::array()),
        { "request", "organisation", "service", "endpoint", "stream", "caller" });
}

std::string drainText(const Json& body)
{
    return fmt::format("the daemon is leaving; open requests: {}\n", cell(body, "open_requests"));
}

ExitCode printResponse(const CommandArguments& arguments, const std::optional<AdminResponse>& response,
    std::string (*format)(const Json& body))
{
    if (!arguments.empty()) {
        fmt::print(stderr, "the command takes no arguments\n");
        return ExitCode::Usage;
    }
    if (!response || !response->isOk()) {
        printFailure(response);
        return response ? ExitCode::Refused : ExitCode::Unreachable;
    }
    fmt::print("{}", FLAGS_json ? response->body.dump(2) + "\n" : format(response->body));
    return ExitCode::Done;
}

} // namespace

ExitCode runStatus(const CommandArguments& arguments)
{
    return printResponse(arguments, adminClientFromFlags().get("/admin/status"), statusText);
}

ExitCode runEndpoints(const CommandArguments& arguments)
{
    return printResponse(arguments, adminClientFromFlags().get("/admin/endpoints"), endpointsText);
}

ExitCode runRequests(const CommandArguments& arguments)
{
    return printResponse(arguments, adminClientFromFlags().get("/admin/requests"), requestsText);
}

ExitCode runDrain(const CommandArguments& arguments)
{
    if (!arguments.empty()) {
        fmt::print(stderr, "the command takes no arguments\n");
        return ExitCode::Usage;
    }
    return printResponse(arguments, adminClientFromFlags().post("/admin/drain", Json::object()), drainText);
}

} // namespace lentilbay
