// Carries the controllers' commands to the platform's services and the replies back.
#pragma once

#include "DaemonPart.h"
#include "Settings.h"
#include "lentilbay/Platform/StoreClient.h"

namespace lentilbay {

class Daemon;

class PlatformCalls : public DaemonPart {
public:
    PlatformCalls(Daemon& daemon, const PlatformSettings& settings);

    /// Logs what operators want to know of the configuration.
    void step(TimePoint now) override;

private:
    void submit(std::vector<StoreCommand> commands);

    Daemon& m_daemon;
    HttpClient m_http;
    StoreClient m_store;
    uint64_t m_loggedVersion = 0;
    bool m_loggedFenced = true;
};

} // namespace lentilbay
