// Submits the controllers' store commands to the platform's services and returns the replies.
#pragma once

#include "DaemonPart.h"
#include "Settings.h"
#include "lentilbay/Platform/StoreClient.h"

namespace lentilbay {

class Daemon;

class PlatformCalls : public DaemonPart {
public:
    PlatformCalls(Daemon& daemon, const PlatformSettings& settings);

    /// Logs changes of the configuration version and of the fenced state.
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
