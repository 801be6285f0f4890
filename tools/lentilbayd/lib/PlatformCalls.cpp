// Store commands and configuration events.
#include "PlatformCalls.h"

#include "Daemon.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/Secret.h"
#include "lentilbay/Support/SteadyClock.h"

#include <utility>

namespace lentilbay {

PlatformCalls::PlatformCalls(Daemon& daemon, const PlatformSettings& settings)
    : m_daemon(daemon)
    , m_http(daemon.context(), {})
    , m_store(daemon.context(), m_http,
          { .tableUrl = settings.table, .objectsUrl = settings.objects, .seed = randomNumber() })
{
    daemon.setStoreSubmitter([this](std::vector<StoreCommand> commands) { submit(std::move(commands)); });
}

void PlatformCalls::submit(std::vector<StoreCommand> commands)
{
    for (auto& it : commands) {
        m_store.submit(std::move(it), [this](const StoreReply& reply) {
            m_daemon.plane().receive(reply, steadyNow());
            m_daemon.wake();
        });
    }
}

void PlatformCalls::step(TimePoint)
{
    const auto& blackboard = m_daemon.blackboard();
    if (const auto version = blackboard.configuration->version; version != m_loggedVersion) {
        m_loggedVersion = version;
        logEvent(Event::ConfigurationInForce, { { "version", static_cast<int64_t>(version) } });
    }
    if (blackboard.fenced != m_loggedFenced) {
        m_loggedFenced = blackboard.fenced;
        logEvent(m_loggedFenced ? Event::DaemonFenced : Event::DaemonUnfenced,
            { { "version", static_cast<int64_t>(m_loggedVersion) } });
    }
}

} // namespace lentilbay
