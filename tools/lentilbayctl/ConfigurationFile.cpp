// Reads configuration files and prints their errors as text or JSON.
#include "ConfigurationFile.h"

#include "lentilbay/Model/ConfigurationText.h"

#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_bool(json, false, "print results as JSON");

namespace lentilbay {
namespace {

void printFaults(const Diagnostics& diagnostics)
{
    if (!FLAGS_json) {
        for (const auto& it : diagnostics)
            fmt::print(stderr, "{}\n", printed(it));
        return;
    }
    auto faults = nlohmann::json::array();
    for (const auto& it : diagnostics) {
        faults.push_back({ { "code", printed(it.code) }, { "file", it.file }, { "line", it.line },
            { "key", it.key }, { "message", it.message } });
    }
    fmt::print("{}\n", nlohmann::json { { "faults", std::move(faults) } }.dump(2));
}

} // namespace

std::optional<Configuration> readConfiguration(const std::string& path)
{
    Diagnostics diagnostics;
    std::ostringstream buf;
    if (path == "-") {
        buf << std::cin.rdbuf();
    } else if (std::ifstream in(path, std::ios::binary); in) {
        buf << in.rdbuf();
    } else {
        diagnostics.push_back({ ResultCode::SettingsUnreadable, path, 0, "", "the file cannot be opened" });
        printFaults(diagnostics);
        return std::nullopt;
    }
    auto configuration = parseConfiguration(buf.str(), path, diagnostics);
    if (diagnostics.empty())
        return configuration;
    printFaults(diagnostics);
    return std::nullopt;
}

} // namespace lentilbay
