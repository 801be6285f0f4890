// Manages the processes, load threads and actions of one run.
#include "ProcessRun.h"

#include "LoadRun.h"
#include "lentilbay/Invariants/RecordsJson.h"
#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace lentilbay::scenario {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(10);

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream out(path);
    out << text;
    if (!out.flush())
        throw std::runtime_error(path + " cannot be written");
}

/// Polls the condition; returns whether it became true within the timeout.
bool waitUntil(Duration timeout, const std::function<bool()>& condition)
{
    const auto end = steadyNow() + timeout;
    while (!condition()) {
        if (steadyNow() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string portUrl(uint16_t port, const std::string& path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

std::vector<std::string> standInCommand(const EndpointSpec& spec, const std::string& binaries)
{
    if (!spec.engine)
        return { binaries + "/service-standin", "--call_time_us=" + std::to_string(spec.callTime.count()) };
    return { binaries + "/engine-standin",
        "--prefill_tokens_per_second=" + std::to_string(spec.prefillTokensPerSecond),
        "--decode_step_us=" + std::to_string(spec.decodeStep.count()), "--knee=" + std::to_string(spec.slots),
        "--kv_tokens=" + std::to_string(spec.kvTokens) };
}

} // namespace

ProcessRun::ProcessRun(const Scenario& scenario, ProcessRunOptions options)
    : m_scenario(scenario)
    , m_options(std::move(options))
{
}

RunRecords ProcessRun::run()
{
    startEndpoints();
    startPlatform();
    startDaemons();
    sendLoads();
    awaitSubmissions();
    stopAll();
    for (const auto& it : m_scenario.endpoints)
        collectRecords(it);
    return std::move(m_records);
}

uint16_t ProcessRun::startStandIn(const std::string& name, const std::vector<std::string>& command)
{
    constexpr std::string_view listening = "listening on 127.0.0.1:";
    const auto log = m_options.folder + "/" + name + ".log";
    // A reused folder may hold the log of an earlier run, which names another port.
    std::filesystem::remove(log);
    m_standIns.emplace(name, ChildProcess(command, log));
    uint16_t port = 0;
    const bool started = waitUntil(m_options.processTimeout, [&] {
        const auto text = readFile(log);
        const auto at = text.find(listening);
        if (at == std::string::npos || text.back() != '\n')
            return false;
        port = static_cast<uint16_t>(std::stoi(text.substr(at + listening.size())));
        return true;
    });
    if (!started)
        throw std::runtime_error(name + " did not start: " + readFile(log));
    return port;
}

void ProcessRun::startEndpoints()
{
    for (const auto& it : m_scenario.endpoints)
        m_endpointPorts[it.name] = startStandIn(it.name, standInCommand(it, m_options.binaries));
}

void ProcessRun::startPlatform()
{
    writeFile(m_options.folder + "/token", adminToken);
    if (!m_scenario.platform)
        return;
    m_platformPort = startStandIn("platform",
        { m_options.binaries + "/platform-standin",
            "--writes_per_second=" + std::to_string(m_scenario.platform->writesPerSecond),
            "--reads_per_second=" + std::to_string(m_scenario.platform->readsPerSecond) });
}

void ProcessRun::startDaemons()
{
    const auto configuration = m_options.folder + "/configuration.ini";
    writeFile(configuration, printConfiguration(configurationOf(m_scenario, m_endpointPorts)));
    const ConfigurationSource source { .platformPort = m_platformPort, .file = configuration };
    std::vector<uint16_t> seeds;
    for (const auto& it : m_scenario.daemons) {
        const DaemonPorts ports { .callers = freePort(), .admin = freePort(), .peers = freePort() };
        if (seeds.empty())
            seeds.push_back(ports.peers);
        const auto settings = m_options.folder + "/" + it.name + ".ini";
        writeFile(settings, settingsOf(it, ports, seeds, source));
        std::vector<std::string> command { m_options.binaries + "/lentilbayd", "--settings=" + settings };
        auto log = m_options.folder + "/" + it.name + ".log";
        ChildProcess process(command, log);
        m_daemons.push_back({ .spec = it,
            .ports = ports,
            .command = std::move(command),
            .log = std::move(log),
            .process = std::move(process),
            .pausedAt = {} });
    }
    if (m_scenario.platform) {
        awaitAdmin(m_daemons.front());
        submitConfiguration(m_daemons.front());
    }
    for (auto& it : m_daemons)
        awaitService(it);
}

void ProcessRun::awaitAdmin(const Daemon& daemon)
{
    standins::HttpClient client;
    const bool listens = waitUntil(m_options.processTimeout,
        [&] { return client.call({ .url = portUrl(daemon.ports.admin, "/healthz") }).status == 200; });
    if (!listens)
        throw std::runtime_error(
            daemon.spec.name + " did not answer on its admin port: " + readFile(daemon.log));
}

void ProcessRun::awaitService(Daemon& daemon)
{
    // Slots have been distributed among the daemons once a request of the lowest tier is answered.
    const auto kinds = m_scenario.loads.front().workload.kinds;
    const auto& kind = *std::ranges::max_element(kinds, {}, &load::RequestKind::rank);
    const auto service = kind.service;
    standins::HttpClient client;
    const bool plain = !kind.method.empty();
    const bool serves = waitUntil(m_options.processTimeout, [&] {
        if (!daemon.process.isRunning())
            throw std::runtime_error(daemon.spec.name + " ended: " + readFile(daemon.log));
        const nlohmann::json body { { "model", service }, { "max_tokens", 1 }, { "prompt", "probe" } };
        const auto reply = client.call({ .method = plain ? "GET" : "POST",
            .url
            = portUrl(daemon.ports.callers, plain ? "/services/" + service + "/probe" : "/v1/completions"),
            .headers
            = { { .name = "Authorization", .value = "Bearer " + (keyPrefix + kind.organisations.front()) },
                { .name = "Lentilbay-Tier", .value = kind.tier },
                { .name = "Idempotency-Key", .value = "probe-" + daemon.spec.name } },
            .body = body.dump(),
            .timeout = std::chrono::seconds(5) });
        // This code means that the daemon serves requests but cannot claim the idempotency key, for example
        // in a scenario without a platform.
        return reply.status == 200
            || reply.body.find(printed(ResultCode::ClaimUnavailable)) != std::string::npos;
    });
    if (!serves)
        throw std::runtime_error(daemon.spec.name + " did not answer a request: " + readFile(daemon.log));
}

void ProcessRun::sendLoads()
{
    std::vector<std::future<std::vector<CallerRecord>>> loads;
    const auto start = steadyNow();
    for (const auto& spec : m_scenario.loads) {
        load::LoadRunOptions options { .keyPrefix = keyPrefix, .timeout = spec.timeout };
        for (const auto& it : m_daemons) {
            if (spec.daemons.empty() || std::ranges::count(spec.daemons, it.spec.name) > 0)
                options.daemons.push_back(
                    { .name = it.spec.name, .address = "127.0.0.1:" + std::to_string(it.ports.callers) });
        }
        loads.push_back(std::async(std::launch::async, [&spec, options, start] {
            std::this_thread::sleep_for(start + spec.from - steadyNow());
            return load::runLoad(load::planWorkload(spec.workload), options);
        }));
    }
    for (const auto& it : m_scenario.actions) {
        std::this_thread::sleep_for(start + it.at - steadyNow());
        execute(it, start);
    }
    for (auto& it : loads) {
        auto records = it.get();
        m_records.callers.insert(m_records.callers.end(), records.begin(), records.end());
    }
}

void ProcessRun::execute(const Action& action, TimePoint start)
{
    const auto now = steadyNow();
    const bool onPlatform = action.kind == Action::Kind::Platform;
    if (onPlatform || action.kind == Action::Kind::Control) {
        standins::HttpClient client;
        const auto reply = client.call({ .method = "POST",
            .url = portUrl(onPlatform ? m_platformPort : m_endpointPorts.at(action.subject), "/control"),
            .body = action.faults });
        if (reply.status != 200)
            throw std::runtime_error(action.subject + " rejected the faults: " + reply.body);
        const auto until
            = action.duration ? std::optional(start + action.at + *action.duration) : std::nullopt;
        if (action.isFault)
            m_records.faults.push_back(
                { .kind = onPlatform ? FaultRecord::Kind::PlatformFault : FaultRecord::Kind::EndpointFault,
                    .subject = action.subject,
                    .from = now,
                    .until = until });
        return;
    }
    auto& daemon = daemonOf(action.subject);
    switch (action.kind) {
    case Action::Kind::Kill:
        return killDaemon(daemon);
    case Action::Kind::Pause:
        daemon.pausedAt = now;
        return daemon.process.signal(SIGSTOP);
    case Action::Kind::Resume:
        return resumeDaemon(daemon);
    case Action::Kind::Stop:
        return stopDaemon(daemon);
    case Action::Kind::Restart:
        daemon.process = ChildProcess(daemon.command, daemon.log);
        return;
    case Action::Kind::Apply:
        return submitConfiguration(daemon);
    case Action::Kind::Control:
    case Action::Kind::Platform:
        return;
    }
}

void ProcessRun::killDaemon(Daemon& daemon)
{
    m_records.faults.push_back(
        { .kind = FaultRecord::Kind::DaemonKilled, .subject = daemon.spec.name, .from = steadyNow() });
    daemon.process.signal(SIGKILL);
    daemon.process.wait(m_options.processTimeout);
}

void ProcessRun::resumeDaemon(Daemon& daemon)
{
    daemon.process.signal(SIGCONT);
    if (daemon.pausedAt)
        m_records.faults.push_back({ .kind = FaultRecord::Kind::DaemonPaused,
            .subject = daemon.spec.name,
            .from = *daemon.pausedAt,
            .until = steadyNow() });
    daemon.pausedAt.reset();
}

void ProcessRun::stopDaemon(Daemon& daemon)
{
    const auto requestedAt = steadyNow();
    daemon.process.signal(SIGTERM);
    const auto exitCode = daemon.process.wait(m_options.processTimeout);
    if (!exitCode)
        throw std::runtime_error(daemon.spec.name + " did not stop: " + readFile(daemon.log));
    m_records.stops.push_back({ .daemon = DaemonId(daemon.spec.name),
        .requestedAt = requestedAt,
        .exitedAt = steadyNow(),
        .exitCode = *exitCode });
}

void ProcessRun::stopAll()
{
    for (auto& it : m_daemons) {
        if (it.pausedAt)
            resumeDaemon(it);
        if (it.process.isRunning())
            stopDaemon(it);
    }
}

void ProcessRun::collectRecords(const EndpointSpec& endpoint)
{
    standins::HttpClient client;
    const auto reply = client.call({ .url = portUrl(m_endpointPorts.at(endpoint.name), "/records") });
    if (reply.status != 200)
        throw std::runtime_error(endpoint.name + " gave no records: " + reply.error);
    EndpointRecord record { .id = EndpointId(endpoint.name) };
    for (const auto& it : endpoint.services)
        record.services.emplace_back(it);
    if (endpoint.engine) {
        record.prefillTokensPerSecond = endpoint.prefillTokensPerSecond;
        record.decodeStep = endpoint.decodeStep;
    } else {
        record.callTime = endpoint.callTime;
    }
    readEndpointRecords(reply.body, std::move(record), m_records);
}

ProcessRun::Daemon& ProcessRun::daemonOf(const std::string& name)
{
    return *std::ranges::find_if(m_daemons, [&](const Daemon& it) { return it.spec.name == name; });
}

std::string ProcessRun::readFile(const std::string& path) const
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace lentilbay::scenario
