// Generates the configuration and settings of a scenario's daemons.
#pragma once

#include "Scenario.h"
#include "lentilbay/Model/Configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilbay::scenario {

/// Returns the organisations, tiers and services of both example users ("daejeon" and "cooperative") on the
/// scenario's endpoints. A marker adds one model of that name, so that /v1/models shows which version of the
/// configuration a daemon has in force.
Configuration configurationOf(const Scenario& scenario, const std::map<std::string, uint16_t>& endpointPorts,
    const std::string& marker = {});

struct DaemonPorts {
    uint16_t callers = 0;
    uint16_t admin = 0;
    uint16_t peers = 0;
};

/// Where daemons read their configuration: from the platform, or from a file if the platform's port is 0.
struct ConfigurationSource {
    uint16_t platformPort = 0;
    std::string file;
};

/// Returns the settings file of one daemon as INI. Seeds are the peer ports of the first daemons to contact.
std::string settingsOf(const DaemonSpec& daemon, const DaemonPorts& ports, const std::vector<uint16_t>& seeds,
    const ConfigurationSource& source);

/// The admin token of every daemon.
constexpr auto adminToken = "scenario-admin";

/// Prefix of the bearer keys: the key of an organisation is this followed by its name.
constexpr auto keyPrefix = "scenario-";

} // namespace lentilbay::scenario
