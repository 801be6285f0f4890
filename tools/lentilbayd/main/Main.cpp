// Entry point of lentilbayd: reads and checks the settings, then runs the daemon.
#include "Claims.h"
#include "ConfigurationRoutes.h"
#include "Daemon.h"
#include "EdgeMode.h"
#include "EndpointLoadPoller.h"
#include "Peers.h"
#include "PlatformCalls.h"
#include "lentilbay/Model/ConfigurationText.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/Secret.h"
#include "lentilbay/Support/SteadyClock.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "the settings file (INI)");
DEFINE_bool(check, false, "check the settings, print what is in force and exit");
DEFINE_bool(platform, false, "run on the users' platform, whose settings file the environment names");
DEFINE_string(log_level, "info", "with --platform: trace, debug, info, warn, error or off");

namespace {

using namespace lentilbay;

constexpr int exitInvalidSettings = 2;
constexpr int exitCannotRun = 1;

/// Prints all diagnostics. Returns true if there are none.
bool printDiagnostics(const Diagnostics& diagnostics)
{
    for (const auto& it : diagnostics)
        std::cerr << printed(it) << '\n';
    return diagnostics.empty();
}

/// Reads the configuration file named in the settings, as version 1.
std::shared_ptr<const Configuration> readConfiguration(const std::string& path, Diagnostics& diagnostics)
{
    std::ifstream in(path);
    if (!in) {
        diagnostics.push_back(
            { .code = ResultCode::SettingsUnreadable, .file = path, .message = "the file cannot be read" });
        return nullptr;
    }
    std::stringstream text;
    text << in.rdbuf();
    auto configuration = std::make_shared<Configuration>(parseConfiguration(text.str(), path, diagnostics));
    configuration->version = 1;
    return configuration;
}

int run(const std::string& path)
{
    Diagnostics diagnostics;
    const auto document = readIniFile(path, diagnostics);
    const auto settings = parseSettings(document, diagnostics);
    const auto peers = readPeerSettings(document, diagnostics);
    auto claims = readClaimOptions(document, diagnostics);
    std::shared_ptr<const Configuration> configuration;
    if (!settings.configurationFile.empty())
        configuration = readConfiguration(settings.configurationFile, diagnostics);
    if (!printDiagnostics(diagnostics))
        return exitInvalidSettings;
    if (FLAGS_check) {
        std::cout << printSettings(settings) << printPeerSettings(peers) << printClaimOptions(claims);
        return 0;
    }
    configureLog(settings.log);
    // The start time in microseconds distinguishes successive processes of one daemon name.
    const auto incarnation = static_cast<uint64_t>(wallNow().time_since_epoch().count());
    Daemon daemon(settings, membershipOptionsOf(peers, randomNumber(), incarnation));
    if (configuration)
        applyConfiguration(daemon.blackboard(), std::move(configuration));
    daemon.add(std::make_unique<EndpointLoadPoller>(daemon));
    if (!peers.address.empty())
        daemon.add(std::make_unique<Peers>(daemon, peers));
    if (!settings.platform.table.empty()) {
        daemon.add(std::make_unique<PlatformCalls>(daemon, settings.platform));
        addConfigurationRoutes(daemon.admin(), daemon);
        claims.seed = randomNumber();
        claims.address = peers.address;
        daemon.add(std::make_unique<Claims>(daemon, std::move(claims)));
    }
    daemon.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs a lentilbay daemon: lentilbayd --settings FILE [--check], or lentilbayd --platform [--check]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_platform)
        return runOnPlatform({ .logLevel = FLAGS_log_level, .checkOnly = FLAGS_check });
    if (FLAGS_settings.empty()) {
        std::cerr << "lentilbayd: --settings FILE or --platform is required\n";
        return exitInvalidSettings;
    }
    try {
        return run(FLAGS_settings);
    } catch (const std::exception& error) {
        std::cerr << "lentilbayd: " << error.what() << '\n';
        return exitCannotRun;
    }
}
