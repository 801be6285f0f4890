// Implements the command "check".
#include "Command.h"
#include "StoreReader.h"
#include "lentilbay/platform/ConfigurationCheck.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

DEFINE_string(against, "", "the configuration in force, as a file");
DEFINE_string(store, "", "the platform's store (IP:PORT) from which the configuration in force is read");
DEFINE_string(format, "text", "text or json");
DEFINE_uint32(timeout, 5'000, "longest wait for the store, in milliseconds");

namespace lentilbay {
namespace {

using platform::Finding;
using platform::Severity;

/// Reads one byte more than the bound at most, so that a huge file is recognised without being read.
std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path, std::ios::binary);
        if (!file)
            return std::nullopt;
    }
    auto& in = path == "-" ? std::cin : static_cast<std::istream&>(file);
    std::string out(platform::CheckOptions().maxBytes + 1, 0);
    in.read(out.data(), static_cast<std::streamsize>(out.size()));
    out.resize(static_cast<size_t>(in.gcount()));
    return in.bad() ? std::nullopt : std::optional(std::move(out));
}

Finding unreadable(const std::string& source, const std::string& reason)
{
    return { Severity::Error, {}, fmt::format("{} cannot be read: {}", source, reason) };
}

/// Adds what differs from the configuration in force, or why that cannot be read.
void compareWith(
    const std::string& source, const std::string& document, const RouteTable& next, std::vector<Finding>& out)
{
    const auto inForce = platform::checkConfiguration(document);
    if (inForce.table)
        std::ranges::move(platform::compareConfigurations(*inForce.table, next), std::back_inserter(out));
    else
        out.push_back(unreadable(source, inForce.findings.front().text));
}

void compareWithStore(const RouteTable& next, std::vector<Finding>& out)
{
    const auto document = outcomeOf<std::string>([]() -> Result<std::string> {
        BOOST_LEAF_AUTO(address, platform::decodeAddress(FLAGS_store));
        return readConfigurationFromStore(address, std::chrono::milliseconds(FLAGS_timeout));
    });
    const auto source = fmt::format("the store at {}", FLAGS_store);
    if (const auto* failure = std::get_if<Failure>(&document))
        out.push_back(unreadable(source, failure->detail));
    else
        compareWith(source, std::get<std::string>(document), next, out);
}

void print(const std::string& source, const std::vector<Finding>& findings)
{
    if (FLAGS_format == "json") {
        auto list = nlohmann::json::array();
        for (const auto& it : findings)
            list.push_back({ { "severity", platform::printed(it.severity) }, { "place", it.place },
                { "text", it.text } });
        // Names in a document need not be valid UTF-8.
        fmt::print("{}\n",
            nlohmann::json { { "findings", std::move(list) } }.dump(
                2, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    for (const auto& it : findings)
        fmt::print("{}: {}: {}{}{}\n", source, platform::printed(it.severity), it.place,
            it.place.empty() ? "" : " ", it.text);
}

} // namespace

ExitCode runCheck(const std::vector<std::string>& arguments)
{
    const bool isFormatKnown = FLAGS_format == "text" || FLAGS_format == "json";
    if (arguments.size() != 1 || !isFormatKnown || (!FLAGS_against.empty() && !FLAGS_store.empty())) {
        fmt::print(stderr,
            "usage: lentilbay check CONFIGURATION [--against=CONFIGURATION | --store=ADDRESS] "
            "[--format=text|json]\n");
        return ExitCode::Usage;
    }
    std::vector<Finding> findings;
    if (const auto document = readFile(arguments[0])) {
        auto checked = platform::checkConfiguration(*document);
        findings = std::move(checked.findings);
        if (checked.table && !FLAGS_against.empty()) {
            if (const auto other = readFile(FLAGS_against))
                compareWith(FLAGS_against, *other, *checked.table, findings);
            else
                findings.push_back(unreadable(FLAGS_against, "the file cannot be opened"));
        } else if (checked.table && !FLAGS_store.empty()) {
            compareWithStore(*checked.table, findings);
        }
    } else {
        findings.push_back(unreadable(arguments[0], "the file cannot be opened"));
    }
    print(arguments[0], findings);
    const bool isClean
        = std::ranges::all_of(findings, [](const auto& it) { return it.severity == Severity::Change; });
    return isClean ? ExitCode::Done : ExitCode::Findings;
}

} // namespace lentilbay
