// The daemon's settings: where it is, what it listens on and its limits. Promises stand in the configuration.
#pragma once

#include "lentilbay/Gateway/AdminServer.h"
#include "lentilbay/Gateway/CallerServer.h"
#include "lentilbay/Gateway/Gateway.h"
#include "lentilbay/Support/Ini.h"
#include "lentilbay/Support/Log.h"

#include <chrono>
#include <string>

namespace lentilbay {

/// [daemon]
struct DaemonSettings {
    std::string name;
    std::string region;
    std::string dataCentre;
    /// Requests that may wait at once.
    uint32_t maxWaiting = 10'000;
    /// How long a leaving daemon still listens, so that the balancer hears of it and callers are refused
    /// rather than cut off.
    Duration leavingNotice = std::chrono::seconds { 1 };
};

/// [platform]
struct PlatformSettings {
    /// "http://127.0.0.1:9000"; empty runs the daemon without the platform.
    std::string table;
    std::string objects;
};

struct Settings {
    DaemonSettings daemon;
    CallerServerOptions callers;
    GatewayOptions gateway;
    HttpClientOptions endpoints;
    AdminOptions admin;
    LogOptions log;
    /// [configuration] file: read at the start where the platform's services are not used.
    std::string configurationFile;
    PlatformSettings platform;
};

/// Reads settings and reports all that is wrong with them.
Settings parseSettings(const IniDocument& document, Diagnostics& diagnostics);

/// What is in force, as INI text that parses to the same settings.
std::string printSettings(const Settings& settings);

} // namespace lentilbay
