// Reads the platform's settings file and runs the edge daemon.
#include "EdgeMode.h"

#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Log.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <sstream>

namespace lentilbay {
namespace {

constexpr int exitInvalidSettings = 2;
constexpr int exitCannotRun = 1;
/// Larger buffers are returned to the system as soon as they are released. By default, the C library raises
/// this bound when such a buffer is released, and the memory of a flood would stay with the process.
constexpr int minReturnedBytes = 131'072;

using SettingsPointer = std::shared_ptr<const platform::ProcessSettings>;

Result<SettingsPointer> readSettings()
{
    const char* path = std::getenv(platform::settingsVariable);
    if (!path)
        return fail(ResultCode::SettingsUnreadable, std::string(platform::settingsVariable) + " is not set");
    std::ifstream in(path);
    if (!in)
        return fail(ResultCode::SettingsUnreadable, std::string(path) + " cannot be read");
    std::stringstream text;
    text << in.rdbuf();
    return platform::decodeSettings(text.str());
}

/// Checks that the settings file is readable and valid. The addresses of a process are fixed for its
/// lifetime, so the new settings are not applied.
void reloadSettings()
{
    const auto outcome = outcomeOf<SettingsPointer>([] { return readSettings(); });
    if (const auto* failure = std::get_if<Failure>(&outcome))
        logEvent(
            Event::SettingsInvalid, { { "code", printed(failure->code) }, { "detail", failure->detail } });
    else
        logEvent(Event::SettingsReloaded);
}

void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

int runOnPlatform(const EdgeModeOptions& options)
{
    // EdgeDaemon handles it later; until then its default action would end the process.
    std::signal(SIGHUP, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, minReturnedBytes);
    mallopt(M_TRIM_THRESHOLD, minReturnedBytes);
    configureLog({ .format = LogFormat::JsonLines,
        .level = options.logLevel,
        .destination = LogDestination::BoundedStandardOutput });
    const auto outcome = outcomeOf<SettingsPointer>([] { return readSettings(); });
    if (const auto* failure = std::get_if<Failure>(&outcome)) {
        logEvent(
            Event::SettingsInvalid, { { "code", printed(failure->code) }, { "detail", failure->detail } });
        std::cerr << "lentilbayd: " << printed(failure->code) << ": " << failure->detail << '\n';
        return exitInvalidSettings;
    }
    if (options.checkOnly)
        return 0;
    try {
        edge::EdgeDaemon daemon(*std::get<SettingsPointer>(outcome), reloadSettings);
        daemon.run();
        // EdgeDaemon's destructor restores the default actions, by which a further signal would end the
        // process.
        blockSignals();
        return 0;
    } catch (const std::exception& error) {
        logEvent(Event::InternalFault, { { "detail", std::string(error.what()) } });
        std::cerr << "lentilbayd: " << error.what() << '\n';
        return exitCannotRun;
    }
}

} // namespace lentilbay
