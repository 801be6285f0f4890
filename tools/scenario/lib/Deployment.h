// The configuration and settings that a scenario's daemons run with.
#pragma once

#include "Scenario.h"
#include "lentilbay/Model/Configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilbay::scenario {

/// Organisations, tiers and services of both first users, on the scenario's endpoints. A marker is one more
/// model, so that /v1/models shows by which document a daemon acts.
Configuration configurationOf(const Scenario& scenario, const std::map<std::string, uint16_t>& endpointPorts,
    const std::string& marker = {});

struct DaemonPorts {
    uint16_t callers = 0;
    uint16_t admin = 0;
    uint16_t peers = 0;
};

/// Where daemons get their configuration: from the platform, or from a file where its port is 0.
struct ConfigurationSource {
    uint16_t platformPort = 0;
    std::string file;
};

/// The settings file of one daemon as INI.
std::string settingsOf(const DaemonSpec& daemon, const DaemonPorts& ports, const std::vector<uint16_t>& seeds,
    const ConfigurationSource& source);

/// The admin token of every daemon.
constexpr auto adminToken = "scenario-admin";

/// The bearer key of each organisation is this and its name.
constexpr auto keyPrefix = "scenario-";

} // namespace lentilbay::scenario
