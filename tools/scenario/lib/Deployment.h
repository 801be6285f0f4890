// The configuration and settings that a scenario's daemons run with.
#pragma once

#include "Scenario.h"
#include "lentilbay/Model/Configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilbay::scenario {

/// Organisations, tiers and services of both first users, on the scenario's endpoints.
Configuration configurationOf(const Scenario& scenario, const std::map<std::string, uint16_t>& endpointPorts);

struct DaemonPorts {
    uint16_t callers = 0;
    uint16_t admin = 0;
    uint16_t peers = 0;
};

/// The settings file of one daemon as INI.
std::string settingsOf(const DaemonSpec& daemon, const DaemonPorts& ports, const std::vector<uint16_t>& seeds,
    const std::string& configurationFile);

/// The bearer key of each organisation is this and its name.
constexpr auto keyPrefix = "scenario-";

} // namespace lentilbay::scenario
