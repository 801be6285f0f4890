// Runs a scenario with daemon and stand-in processes on loopback and collects what callers and stand-ins saw.
#pragma once

#include "Child.h"
#include "Deployment.h"
#include "HttpClient.h"
#include "Scenario.h"

#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lentilbay::scenario {

struct ProcessRunOptions {
    /// The folder of the programs.
    std::string binaries;
    /// For settings and logs; must exist.
    std::string folder;
    /// The longest wait for a process to start or stop.
    Duration patience = std::chrono::seconds(30);
};

class ProcessRun {
public:
    /// The scenario must outlive the run.
    ProcessRun(const Scenario& scenario, ProcessRunOptions options);

    /// Starts everything, sends the loads, acts, stops everything and returns the records. Throws
    /// std::runtime_error where a process does not start or stop.
    RunRecords run();

private:
    struct Submission {
        std::string marker;
        std::future<std::optional<TimePoint>> acceptedAt;
    };
    struct Daemon {
        DaemonSpec spec;
        DaemonPorts ports;
        std::vector<std::string> command;
        std::string log;
        Child process;
        std::optional<TimePoint> pausedAt;
    };

    /// Starts a stand-in and returns its port.
    uint16_t startStandIn(const std::string& name, const std::vector<std::string>& command);
    void startEndpoints();
    void startPlatform();
    /// Submits a document with a marker of its own through this daemon, on a thread of its own.
    void submit(const Daemon& daemon);
    /// Notes what was accepted and by which document each daemon acts.
    void awaitSubmissions();
    void observe(Daemon& daemon);
    void startDaemons();
    /// Waits until the admin listener answers.
    void awaitAdmin(const Daemon& daemon);
    void awaitService(Daemon& daemon);
    void sendLoads();
    void act(const Action& action, TimePoint start);
    void killDaemon(Daemon& daemon);
    void resumeDaemon(Daemon& daemon);
    void stopDaemon(Daemon& daemon);
    void stopAll();
    void collect(const EndpointSpec& endpoint);
    Daemon& daemonOf(const std::string& name);
    std::string textOf(const std::string& path) const;

    const Scenario& m_scenario;
    ProcessRunOptions m_options;
    RunRecords m_records;
    std::map<std::string, Child> m_standIns;
    uint16_t m_platformPort = 0;
    /// The documents that were submitted, and when each was accepted.
    std::vector<Submission> m_submissions;
    /// Versions by marker, in the order of their acceptance from 1; other markers have none.
    std::map<std::string, uint64_t> m_versions;
    std::map<std::string, uint16_t> m_endpointPorts;
    std::vector<Daemon> m_daemons;
};

} // namespace lentilbay::scenario
