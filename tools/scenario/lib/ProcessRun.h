// Runs a scenario with daemon and stand-in processes on loopback and collects what callers and stand-ins saw.
#pragma once

#include "Child.h"
#include "Deployment.h"
#include "HttpClient.h"
#include "Scenario.h"

#include <map>
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
    struct Daemon {
        DaemonSpec spec;
        DaemonPorts ports;
        std::vector<std::string> command;
        std::string log;
        Child process;
        std::optional<TimePoint> pausedAt;
    };

    void startEndpoints();
    void startDaemons();
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
    std::map<std::string, Child> m_endpoints;
    std::map<std::string, uint16_t> m_endpointPorts;
    std::vector<Daemon> m_daemons;
};

} // namespace lentilbay::scenario
