// Configuration changes during a run: submitted with lentilbayctl, observed through /v1/models.
#include "ProcessRun.h"
#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace lentilbay::scenario {

namespace {

constexpr std::string_view markerPrefix = "version-marker-";

} // namespace

void ProcessRun::submitConfiguration(const Daemon& daemon)
{
    const auto marker = std::string(markerPrefix) + std::to_string(m_submissions.size() + 1);
    const auto document = m_options.folder + "/" + marker + ".ini";
    std::ofstream(document) << printConfiguration(configurationOf(m_scenario, m_endpointPorts, marker));
    const std::vector<std::string> command { m_options.binaries + "/lentilbayctl", "configuration", "apply",
        document, "--admin=http://127.0.0.1:" + std::to_string(daemon.ports.admin),
        "--token_file=" + m_options.folder + "/token", "--wait" };
    const auto log = m_options.folder + "/" + marker + ".log";
    const auto timeout = m_options.processTimeout;
    auto accepted = std::async(std::launch::async, [=]() -> std::optional<TimePoint> {
        ChildProcess applyCommand(command, log);
        if (applyCommand.wait(timeout) != 0)
            return std::nullopt;
        return steadyNow();
    });
    m_submissions.push_back({ .marker = marker, .acceptedAt = std::move(accepted) });
}

void ProcessRun::awaitSubmissions()
{
    for (auto& it : m_submissions) {
        if (const auto at = it.acceptedAt.get())
            m_records.accepted.push_back(
                { .contentDigest = std::hash<std::string> {}(it.marker), .acceptedAt = *at });
    }
    std::ranges::sort(m_records.accepted, {}, &AcceptedConfiguration::acceptedAt);
    for (auto& it : m_records.accepted) {
        it.version = static_cast<uint64_t>(&it - m_records.accepted.data()) + 1;
        for (const auto& submission : m_submissions) {
            if (std::hash<std::string> {}(submission.marker) == it.contentDigest)
                m_versions[submission.marker] = it.version;
        }
    }
    // The marker is a model, so without an engine the version in force cannot be observed.
    if (m_submissions.empty() || std::ranges::none_of(m_scenario.endpoints, &EndpointSpec::engine))
        return;
    for (auto& it : m_daemons) {
        if (it.process.isRunning() && !it.pausedAt)
            observeConfiguration(it);
    }
}

void ProcessRun::observeConfiguration(Daemon& daemon)
{
    const auto& kind = m_scenario.loads.front().workload.kinds.front();
    standins::HttpClient client;
    const auto reply
        = client.call({ .url = "http://127.0.0.1:" + std::to_string(daemon.ports.callers) + "/v1/models",
            .headers = { { .name = "Authorization",
                .value = "Bearer " + (keyPrefix + kind.organisations.front()) } } });
    const auto models = nlohmann::json::parse(reply.body, nullptr, false);
    ObservedConfiguration seen { .daemon = DaemonId(daemon.spec.name), .at = steadyNow() };
    if (models.is_object() && models.contains("data")) {
        for (const auto& it : models["data"]) {
            const auto name = it.value("id", "");
            if (!name.starts_with(markerPrefix))
                continue;
            // A configuration that was never accepted has version 0, which is older than every accepted one.
            const auto version = m_versions.find(name);
            seen.version = version == m_versions.end() ? 0 : version->second;
            seen.contentDigest = std::hash<std::string> {}(name);
        }
    }
    m_records.observed.push_back(seen);
}

} // namespace lentilbay::scenario
