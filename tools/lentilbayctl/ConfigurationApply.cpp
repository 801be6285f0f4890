// configuration apply and rollback: submit a document as the next version and follow it until it is accepted.
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

ExitCode refused(const std::optional<AdminAnswer>& answer)
{
    printRefusal(answer);
    return answer ? ExitCode::Refused : ExitCode::Unreachable;
}

ExitCode conflict(const nlohmann::json& body, const std::string& document)
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

/// "waiting for region lahore: entry-3, entry-4".
std::string waitingText(const nlohmann::json& progress)
{
    std::string out;
    for (const auto& it : progress.value("waiting", nlohmann::json::array())) {
        out += fmt::format("{}region {}: {}", out.empty() ? "" : "; ", it.value("region", ""),
            fmt::join(it.value("daemons", std::vector<std::string>()), ", "));
    }
    return out.empty() ? "the daemons' reports" : out;
}

ExitCode pending(uint64_t version, const std::string& reason)
{
    printResult({ { "outcome", "pending" }, { "version", version }, { "reason", reason } },
        fmt::format("version {} is pending: waiting for {}", version, reason));
    return ExitCode::Pending;
}

/// Asks for the progress of a version until it is accepted or the time is over.
ExitCode follow(const AdminClient& client, uint64_t version)
{
    const auto end = steadyNow() + parseDuration(FLAGS_wait_for).value_or(Duration(60s));
    std::string shown;
    std::string reason = "a daemon's answer";
    while (steadyNow() < end) {
        const auto answer = client.get("/admin/configuration/progress");
        if (answer && answer->isOk()) {
            if (answer->body.value("accepted", uint64_t { 0 }) >= version) {
                printResult({ { "outcome", "accepted" }, { "version", version } },
                    fmt::format("version {} is accepted: in force everywhere", version));
                return ExitCode::Done;
            }
            reason = waitingText(answer->body);
            auto line = fmt::format("acknowledged {} of {}, waiting for {}",
                answer->body.value("acknowledged", 0), answer->body.value("daemons", 0), reason);
            if (line != shown && !FLAGS_json)
                fmt::print(stderr, "{}\n", line);
            shown = std::move(line);
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return pending(version, reason);
}

ExitCode submit(const AdminClient& client, const std::string& document)
{
    auto expected = FLAGS_expect_version;
    if (expected < 0) {
        const auto present = client.get("/admin/configuration");
        if (!present || !present->isOk())
            return refused(present);
        expected = present->body.value("version", int64_t { 0 });
    }
    const nlohmann::json change { { "document", document }, { "expect_version", expected },
        { "operator", operatorName() }, { "change", randomHex(changeIdBytes) } };
    const auto end = steadyNow() + parseDuration(FLAGS_wait_for).value_or(Duration(60s));
    auto answer = client.post("/admin/configuration", change);
    // The same change may be sent again: its identifier tells whether it took effect.
    while ((!answer || answer->body.value("outcome", "") == "unresolved") && steadyNow() < end) {
        std::this_thread::sleep_for(pollInterval);
        answer = client.post("/admin/configuration", change);
    }
    if (answer && answer->status == 409)
        return conflict(answer->body, document);
    if (!answer || !answer->isOk())
        return refused(answer);
    const auto version = answer->body.value("version", uint64_t { 0 });
    if (FLAGS_wait)
        return follow(client, version);
    const auto outcome = answer->body.value("outcome", "");
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
        return refused(old);
    return submit(client, old->body.value("document", ""));
}

} // namespace lentilbay
