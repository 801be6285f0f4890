// Implements the commands "configuration apply" and "configuration rollback", which submit a document as the
// next version and optionally wait until it is accepted.
#include "AdminClient.h"
#include "Command.h"
#include "ConfigurationFile.h"
#include "lentilbay/Model/ConfigurationDifference.h"
#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Secret.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/Support/Units.h"

#include <cstdlib>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <thread>

DECLARE_bool(json);
DEFINE_int64(expect_version, -1, "apply only if this is the present version; -1: the one read at the start");
DEFINE_bool(wait, false, "wait until the change is accepted: in force or fenced on every daemon");
DEFINE_string(operator_name, "", "who makes the change, for the history; otherwise the environment's USER");
DEFINE_string(wait_for, "60s", "longest wait of --wait");

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr Duration pollInterval = 200ms;
constexpr size_t changeIdBytes = 16;

void printResult(const nlohmann::json& result, const std::string& sentence)
{
    fmt::print("{}\n", FLAGS_json ? result.dump(2) : sentence);
}

std::string operatorName()
{
    if (!FLAGS_operator_name.empty())
        return FLAGS_operator_name;
    const char* user = std::getenv("USER");
    return user == nullptr ? "" : user;
}

ExitCode reportFailure(const std::optional<AdminResponse>& response)
{
    printFailure(response);
    return response ? ExitCode::Refused : ExitCode::Unreachable;
}

ExitCode reportConflict(const nlohmann::json& body, const std::string& document)
{
    const auto version = body.value("version", uint64_t { 0 });
    const auto difference = printDifference(body.value("document", ""), document);
    if (FLAGS_json) {
        printResult({ { "outcome", "conflict" }, { "version", version }, { "difference", difference } }, "");
    } else {
        fmt::print(stderr, "conflict: the present version is {}; from it to your document:\n{}", version,
            difference);
    }
    return ExitCode::Conflict;
}

/// Returns the daemons that have not acknowledged, for example "region lahore: entry-3, entry-4".
std::string formatWaiting(const nlohmann::json& progress)
{
    std::string out;
    for (const auto& it : progress.value("waiting", nlohmann::json::array())) {
        out += fmt::format("{}region {}: {}", out.empty() ? "" : "; ", it.value("region", ""),
            fmt::join(it.value("daemons", std::vector<std::string>()), ", "));
    }
    return out.empty() ? "the daemons' reports" : out;
}

ExitCode reportPending(uint64_t version, const std::string& reason)
{
    printResult({ { "outcome", "pending" }, { "version", version }, { "reason", reason } },
        fmt::format("version {} is pending: waiting for {}", version, reason));
    return ExitCode::Pending;
}

/// Polls the progress of a version until it is accepted or --wait_for has elapsed.
ExitCode waitForAcceptance(const AdminClient& client, uint64_t version)
{
    const auto deadline = steadyNow() + parseDuration(FLAGS_wait_for).value_or(Duration(60s));
    std::string lastLine;
    std::string reason = "a daemon's answer";
    while (steadyNow() < deadline) {
        const auto response = client.get("/admin/configuration/progress");
        if (response && response->isOk()) {
            if (response->body.value("accepted", uint64_t { 0 }) >= version) {
                printResult({ { "outcome", "accepted" }, { "version", version } },
                    fmt::format("version {} is accepted: in force everywhere", version));
                return ExitCode::Done;
            }
            reason = formatWaiting(response->body);
            auto line = fmt::format("acknowledged {} of {}, waiting for {}",
                response->body.value("acknowledged", 0), response->body.value("daemons", 0), reason);
            if (line != lastLine && !FLAGS_json)
                fmt::print(stderr, "{}\n", line);
            lastLine = std::move(line);
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return reportPending(version, reason);
}

ExitCode submit(const AdminClient& client, const std::string& document)
{
    auto expected = FLAGS_expect_version;
    if (expected < 0) {
        const auto current = client.get("/admin/configuration");
        if (!current || !current->isOk())
            return reportFailure(current);
        expected = current->body.value("version", int64_t { 0 });
    }
    const nlohmann::json change { { "document", document }, { "expect_version", expected },
        { "operator", operatorName() }, { "change", randomHex(changeIdBytes) } };
    const auto deadline = steadyNow() + parseDuration(FLAGS_wait_for).value_or(Duration(60s));
    auto response = client.post("/admin/configuration", change);
    // Resending the change is safe: daemons recognise its identifier and report whether it took effect.
    while ((!response || response->body.value("outcome", "") == "unresolved") && steadyNow() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        response = client.post("/admin/configuration", change);
    }
    if (response && response->status == 409)
        return reportConflict(response->body, document);
    if (!response || !response->isOk())
        return reportFailure(response);
    const auto version = response->body.value("version", uint64_t { 0 });
    if (FLAGS_wait)
        return waitForAcceptance(client, version);
    const auto outcome = response->body.value("outcome", "");
    printResult(
        { { "outcome", outcome }, { "version", version } }, fmt::format("{}: version {}", outcome, version));
    return ExitCode::Done;
}

} // namespace

ExitCode runConfigurationApply(const CommandArguments& arguments)
{
    if (arguments.size() != 1) {
        fmt::print(stderr, "usage: lentilbayctl configuration apply FILE\n");
        return ExitCode::Usage;
    }
    const auto configuration = readConfiguration(arguments[0]);
    if (!configuration)
        return ExitCode::Refused;
    return submit(adminClientFromFlags(), printConfiguration(*configuration));
}

ExitCode runConfigurationRollback(const CommandArguments& arguments)
{
    const auto version = arguments.size() == 1 ? parseInteger(arguments[0]) : std::nullopt;
    if (!version || *version < 1) {
        fmt::print(stderr, "usage: lentilbayctl configuration rollback VERSION\n");
        return ExitCode::Usage;
    }
    const auto client = adminClientFromFlags();
    const auto old = client.get(fmt::format("/admin/configuration/versions/{}", *version));
    if (!old || !old->isOk())
        return reportFailure(old);
    return submit(client, old->body.value("document", ""));
}

} // namespace lentilbay
