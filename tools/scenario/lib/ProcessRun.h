// Runs a scenario with daemon and stand-in processes on loopback and collects the records of clients and
// stand-ins.
#pragma once

#include "ChildProcess.h"
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
    /// The folder that holds the daemon, the command-line client and the stand-ins.
    std::string binaries;
    /// The existing folder for settings, logs and submitted configurations.
    std::string folder;
    /// The longest wait for a process to start or stop.
    Duration processTimeout = std::chrono::seconds(30);
};

class ProcessRun {
public:
    /// The scenario must outlive the run.
    ProcessRun(const Scenario& scenario, ProcessRunOptions options);

    /// Starts all processes, sends the loads, executes the actions, stops the daemons and returns the
    /// records. Throws std::runtime_error if a process does not start or stop in time.
    RunRecords run();

private:
    /// A configuration submitted during the run.
    struct Submission {
        /// The name of the extra model that identifies the document.
        std::string marker;
        /// Empty if the submission was not accepted.
        std::future<std::optional<TimePoint>> acceptedAt;
    };
    struct Daemon {
        DaemonSpec spec;
        DaemonPorts ports;
        std::vector<std::string> command;
        std::string log;
        ChildProcess process;
        /// Set while the process is paused.
        std::optional<TimePoint> pausedAt;
    };

    /// Starts a stand-in and returns its port.
    uint16_t startStandIn(const std::string& name, const std::vector<std::string>& command);
    void startEndpoints();
    void startPlatform();
    /// Submits a configuration with a unique marker through this daemon, on a separate thread.
    void submitConfiguration(const Daemon& daemon);
    /// Waits for all submissions, then records the accepted configurations and which one each daemon has in
    /// force.
    void awaitSubmissions();
    void observeConfiguration(Daemon& daemon);
    void startDaemons();
    /// Waits until the admin port answers.
    void awaitAdmin(const Daemon& daemon);
    /// Waits until the daemon answers a request of the lowest tier in the first load.
    void awaitService(Daemon& daemon);
    void sendLoads();
    void execute(const Action& action, TimePoint start);
    void killDaemon(Daemon& daemon);
    void resumeDaemon(Daemon& daemon);
    void stopDaemon(Daemon& daemon);
    void stopAll();
    void collectRecords(const EndpointSpec& endpoint);
    Daemon& daemonOf(const std::string& name);
    std::string readFile(const std::string& path) const;

    const Scenario& m_scenario;
    ProcessRunOptions m_options;
    RunRecords m_records;
    std::map<std::string, ChildProcess> m_standIns;
    uint16_t m_platformPort = 0;
    std::vector<Submission> m_submissions;
    /// Version by marker, counted from 1 in order of acceptance; holds accepted configurations only.
    std::map<std::string, uint64_t> m_versions;
    std::map<std::string, uint16_t> m_endpointPorts;
    std::vector<Daemon> m_daemons;
};

} // namespace lentilbay::scenario
