// Settings of one daemon process: location, listeners and limits. Service objectives are in the
// configuration.
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
    /// Maximum number of waiting requests.
    uint32_t maxWaiting = 10'000;
    /// How long a draining daemon keeps listening, so that the load balancer notices the shutdown and clients
    /// receive an error response instead of a connection failure.
    Duration leavingNotice = std::chrono::seconds { 1 };
};

/// [platform]
struct PlatformSettings {
    /// Base URL, for example "http://127.0.0.1:9000". If empty, the daemon runs without the platform.
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
    /// [configuration] file: read at startup if the platform's services are not used.
    std::string configurationFile;
    PlatformSettings platform;
};

/// Parses the settings and adds every error to `diagnostics`.
Settings parseSettings(const IniDocument& document, Diagnostics& diagnostics);

/// Returns the effective settings, defaults included, as INI text that parses to the same settings.
std::string printSettings(const Settings& settings);

} // namespace lentilbay
