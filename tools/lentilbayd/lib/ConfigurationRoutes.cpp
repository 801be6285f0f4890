// Proposes configuration changes and reports progress, history and versions.
#include "ConfigurationRoutes.h"

#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/Support/Units.h"

#include <chrono>
#include <fmt/chrono.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace lentilbay {
namespace {

using Json = nlohmann::json;
using Answer = AdminServer::Answer;

/// A change whose outcome is unknown after this time is reported as unresolved, and lentilbayctl retries it.
constexpr Duration changeResponseTimeout = std::chrono::seconds(3);
constexpr Duration changeCheckInterval = std::chrono::milliseconds(20);
/// How long acceptance progress keeps being updated after a progress request.
constexpr Duration progressWatchDuration = std::chrono::seconds(5);
constexpr uint64_t maxHistory = 500;
constexpr uint64_t defaultHistory = 20;

AdminReply jsonReply(const Json& body, int status = 200)
{
    return { .status = status, .body = body.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

std::string currentTimestamp()
{
    const auto now = std::chrono::system_clock::now();
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::chrono::system_clock::to_time_t(now)));
}

Json currentConfigurationJson(ConfigurationController& controller, const Blackboard& blackboard)
{
    return { { "version", controller.inForce().version }, { "hash", controller.inForce().hash },
        { "newest", controller.head().version }, { "document", controller.document() },
        { "fenced", blackboard.fenced } };
}

Json progressJson(const AcceptanceProgress& progress)
{
    std::map<std::string, std::vector<std::string>> byRegion;
    for (const auto& it : progress.waiting)
        byRegion[it.region.text()].push_back(it.id.text());
    auto waiting = Json::array();
    for (const auto& [region, daemons] : byRegion)
        waiting.push_back({ { "region", region }, { "daemons", daemons } });
    return { { "accepted", progress.accepted }, { "newest", progress.newest },
        { "daemons", progress.daemons }, { "acknowledged", progress.acknowledged },
        { "waiting", std::move(waiting) } };
}

AdminReply refusedReply(const Diagnostics& faults)
{
    auto list = Json::array();
    for (const auto& it : faults)
        list.push_back(printed(it));
    const auto& row = rowOf(ResultCode::ConfigurationRefused);
    return jsonReply({ { "outcome", "refused" },
                         { "error", { { "code", printed(row.code) }, { "message", row.meaning } } },
                         { "faults", std::move(list) } },
        row.httpStatus);
}

/// Returns the reply to a change that has ended, or std::nullopt if its outcome is not known yet.
std::optional<AdminReply> replyToEndedChange(const ChangeState& state, ConfigurationController& controller)
{
    switch (state.outcome) {
    case ChangeOutcome::Unresolved:
        return std::nullopt;
    case ChangeOutcome::Committed:
        return jsonReply({ { "outcome", "committed" }, { "version", state.version } });
    case ChangeOutcome::Unchanged:
        return jsonReply({ { "outcome", "unchanged" }, { "version", state.version } });
    case ChangeOutcome::Conflict:
        return jsonReply({ { "outcome", "conflict" }, { "version", state.version },
                             { "document", controller.document() } },
            rowOf(ResultCode::ConfigurationConflict).httpStatus);
    case ChangeOutcome::Refused:
        return refusedReply(state.faults);
    case ChangeOutcome::Unavailable:
        return adminError(ResultCode::PlatformUnavailable, "Nothing was changed.");
    }
    return std::nullopt;
}

/// Replies when the change ends, or with the outcome "unresolved" at `deadline`.
void replyWhenChangeEnds(Daemon& daemon, const std::string& id, TimePoint deadline, const Answer& answer)
{
    auto& controller = *daemon.plane().configuration();
    const auto state = controller.changeState(id).value_or(ChangeState {});
    // The reply to a conflict contains the current document, which this daemon may not have received yet.
    const bool isBehind
        = state.outcome == ChangeOutcome::Conflict && controller.inForce().version < state.version;
    auto reply = replyToEndedChange(state, controller);
    const auto now = steadyNow();
    if (reply && (!isBehind || now >= deadline))
        return answer(std::move(*reply));
    if (now >= deadline) {
        const auto& row = rowOf(ResultCode::PlatformAmbiguous);
        return answer(
            jsonReply({ { "outcome", "unresolved" },
                          { "error", { { "code", printed(row.code) }, { "message", row.meaning } } } },
                row.httpStatus));
    }
    daemon.callAfter(changeCheckInterval,
        [&daemon, id, deadline, answer] { replyWhenChangeEnds(daemon, id, deadline, answer); });
}

/// Returns the change in `body`, or std::nullopt if the body is invalid.
std::optional<ConfigurationChange> parseChange(const std::string& body)
{
    try {
        const auto json = Json::parse(body);
        return ConfigurationChange { .id = json.at("change").get<std::string>(),
            .document = json.at("document").get<std::string>(),
            .expectedVersion = json.at("expect_version").get<uint64_t>(),
            .operatorName = json.value("operator", ""),
            .time = currentTimestamp() };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

void handleChange(Daemon& daemon, const CallerRequest& request, const Answer& answer)
{
    const auto change = parseChange(request.body);
    if (!change || change->id.empty())
        return answer(adminError(ResultCode::InvalidRequest));
    const auto now = steadyNow();
    daemon.plane().configuration()->propose(*change, now);
    daemon.wake();
    replyWhenChangeEnds(daemon, change->id, now + changeResponseTimeout, answer);
}

void handleHistory(Daemon& daemon, const CallerRequest& request, const Answer& answer)
{
    constexpr std::string_view limitKey = "limit=";
    const auto given = request.query.starts_with(limitKey)
        ? parseInteger(std::string_view(request.query).substr(limitKey.size()))
        : std::nullopt;
    const auto limit
        = std::min(maxHistory, static_cast<uint64_t>(std::max<int64_t>(1, given.value_or(defaultHistory))));
    daemon.plane().configuration()->readHistory(
        limit, [answer](std::optional<std::vector<VersionEntry>> entries) {
            if (!entries)
                return answer(adminError(ResultCode::PlatformUnavailable));
            auto versions = Json::array();
            for (const auto& it : *entries)
                versions.push_back({ { "version", it.head.version }, { "hash", it.head.hash },
                    { "operator", it.operatorName }, { "time", it.time } });
            answer(jsonReply({ { "versions", std::move(versions) } }));
        });
    daemon.wake();
}

void handleVersion(Daemon& daemon, const CallerRequest& request, const Answer& answer)
{
    const auto version = parseInteger(std::string_view(request.path).substr(request.path.rfind('/') + 1));
    auto& controller = *daemon.plane().configuration();
    if (!version || *version < 1 || static_cast<uint64_t>(*version) > controller.head().version)
        return answer(adminError(ResultCode::UnknownVersion));
    controller.readVersion(
        static_cast<uint64_t>(*version), [answer, version](std::optional<std::string> document) {
            if (!document)
                return answer(adminError(ResultCode::PlatformUnavailable));
            answer(jsonReply({ { "version", *version }, { "document", *document } }));
        });
    daemon.wake();
}

} // namespace

void addConfigurationRoutes(AdminServer& server, Daemon& daemon)
{
    using Request = const CallerRequest&;
    server.add("GET", "/admin/configuration", [&daemon](Request, const Answer& answer) {
        answer(jsonReply(currentConfigurationJson(*daemon.plane().configuration(), daemon.blackboard())));
    });
    server.add("POST", "/admin/configuration",
        [&daemon](Request request, const Answer& answer) { handleChange(daemon, request, answer); });
    server.add("GET", "/admin/configuration/progress", [&daemon](Request, const Answer& answer) {
        auto& controller = *daemon.plane().configuration();
        const auto now = steadyNow();
        controller.watchAcceptance(now + progressWatchDuration, now);
        daemon.wake();
        answer(jsonReply(progressJson(controller.progress())));
    });
    server.add("GET", "/admin/configuration/history",
        [&daemon](Request request, const Answer& answer) { handleHistory(daemon, request, answer); });
    server.add("GET", "/admin/configuration/versions/",
        [&daemon](Request request, const Answer& answer) { handleVersion(daemon, request, answer); });
}

} // namespace lentilbay
