// lentilbay-verify: prints a summary of a run's records and checks the invariants on them.
#include "lentilbay/Invariants/RecordsJson.h"
#include "lentilbay/Invariants/Summary.h"

#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <stdexcept>

DEFINE_string(run, "", "folder with run.json, callers.jsonl and <endpoint>.records.json for each endpoint");

namespace {

using namespace lentilbay;

constexpr int exitViolation = 1;
constexpr int exitUnreadable = 2;

std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error(path + " cannot be read");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

RunDescription readRun(const std::string& folder)
{
    auto run = readRunDescription(readFile(folder + "/run.json"));
    const auto endpoints = std::exchange(run.records.endpoints, {});
    for (const auto& it : endpoints)
        readEndpointRecords(readFile(folder + "/" + it.id.text() + ".records.json"), it, run.records);
    std::istringstream callers(readFile(folder + "/callers.jsonl"));
    run.records.callers = readCallerRecords(callers);
    if (run.records.callers.empty())
        throw std::runtime_error("callers.jsonl holds no records, so the invariants cannot be checked");
    return run;
}

int verify(const std::string& folder)
{
    const auto run = readRun(folder);
    std::cout << printed(summarise(run.records));
    const auto violations = checkInvariants(run.records, run.options);
    for (const auto& it : violations)
        std::cout << printed(it, run.records.callers.front().sentAt) << '\n';
    std::cout << fmt::format("invariants: {} breaches in {} requests and {} dispatches\n", violations.size(),
        run.records.callers.size(), run.records.dispatches.size());
    return violations.empty() ? 0 : exitViolation;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("checks the invariants on a run: lentilbay-verify --run FOLDER");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return verify(FLAGS_run);
    } catch (const std::exception& error) {
        std::cerr << "lentilbay-verify: " << error.what() << '\n';
        return exitUnreadable;
    }
}
