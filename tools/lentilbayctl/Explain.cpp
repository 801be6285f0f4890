// Implements the command "explain", which prints the log events of one request from the logs of several
// daemons, in order and with their meanings.
#include "Command.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/ResultCode.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DECLARE_bool(json);

namespace lentilbay {
namespace {

using Json = nlohmann::json;

struct LogLine {
    std::string time;
    Json fields;
};

/// Returns the log line if it belongs to the request `id`. Log collectors prepend text to a line, so the JSON
/// starts at the first brace.
std::optional<LogLine> parseLine(const std::string& text, const std::string& id)
{
    const auto begin = text.find('{');
    if (begin == std::string::npos || text.find(id) == std::string::npos)
        return std::nullopt;
    auto json = Json::parse(text.begin() + static_cast<ptrdiff_t>(begin), text.end(), nullptr, false);
    if (json.is_discarded() || !json.is_object() || json.value("id", "") != id)
        return std::nullopt;
    auto time = json.value("time", "");
    return LogLine { .time = std::move(time), .fields = std::move(json) };
}

void readLines(std::istream& in, const std::string& id, std::vector<LogLine>& out)
{
    std::string text;
    while (std::getline(in, text)) {
        if (auto line = parseLine(text, id))
            out.push_back(std::move(*line));
    }
}

std::string eventMeaning(const std::string& name)
{
    const auto& table = eventTable();
    auto it = std::ranges::find_if(table, [&](const auto& row) { return row.name == name; });
    return it == table.end() ? name : std::string(it->meaning);
}

/// Returns a result code followed by its meaning.
std::string describeCode(const std::string& code)
{
    const auto& table = resultCodeTable();
    auto it = std::ranges::find_if(table, [&](const auto& row) { return printed(row.code) == code; });
    return it == table.end() ? code : fmt::format("{} ({})", code, it->meaning);
}

std::string fieldText(const std::string& name, const Json& value)
{
    if (name == "code" && value.is_string())
        return describeCode(value.get<std::string>());
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printLine(const LogLine& line)
{
    fmt::print("{}  {}\n", line.time, eventMeaning(line.fields.value("name", "?")));
    for (const auto& [name, value] : line.fields.items()) {
        if (name == "time" || name == "level" || name == "event" || name == "name" || name == "id")
            continue;
        fmt::print("    {}: {}\n", name, fieldText(name, value));
    }
}

} // namespace

ExitCode runExplain(const CommandArguments& arguments)
{
    if (arguments.empty()) {
        fmt::print(stderr, "usage: lentilbayctl explain REQUEST-ID [FILES]\n");
        return ExitCode::Usage;
    }
    std::vector<LogLine> lines;
    if (arguments.size() == 1)
        readLines(std::cin, arguments[0], lines);
    for (size_t i = 1; i < arguments.size(); ++i) {
        std::ifstream in(arguments[i]);
        if (!in) {
            fmt::print(
                stderr, "{}: {} cannot be read\n", printed(ResultCode::SettingsUnreadable), arguments[i]);
            return ExitCode::Refused;
        }
        readLines(in, arguments[0], lines);
    }
    if (lines.empty()) {
        fmt::print(stderr, "{}: no log line found for request {}\n", printed(ResultCode::UnknownRequest),
            arguments[0]);
        return ExitCode::Refused;
    }
    std::ranges::stable_sort(lines, {}, &LogLine::time);
    for (const auto& it : lines) {
        if (FLAGS_json)
            fmt::print("{}\n", it.fields.dump());
        else
            printLine(it);
    }
    return ExitCode::Done;
}

} // namespace lentilbay
