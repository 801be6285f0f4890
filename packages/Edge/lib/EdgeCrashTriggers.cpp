// What crashes endpoints, parts of prompts and whole requests: exchange with the other daemons, and logs.
#include "EdgeTimes.h"
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace lentilbay::edge {
namespace {

Event eventOf(TriggerChange::Kind kind)
{
    switch (kind) {
    case TriggerChange::Kind::Suspected:
        return Event::CrashTriggerSuspected;
    case TriggerChange::Kind::Blocked:
        return Event::CrashTriggerBlocked;
    case TriggerChange::Kind::Freed:
        break;
    }
    return Event::CrashTriggerFreed;
}

std::string_view counterOf(TriggerChange::Kind kind)
{
    switch (kind) {
    case TriggerChange::Kind::Suspected:
        return "crash_triggers_suspected_total";
    case TriggerChange::Kind::Blocked:
        return "crash_triggers_blocked_total";
    case TriggerChange::Kind::Freed:
        break;
    }
    return "crash_triggers_freed_total";
}

} // namespace

void EdgeDaemon::applyPeerCrashTriggers(const PeerHeartbeat& heartbeat, TimePoint now)
{
    const TimePoint echoed { Duration(heartbeat.echoedMicroseconds) };
    if (heartbeat.triggers.empty() || heartbeat.echoedIncarnation != m_incarnation || echoed > now)
        return;
    for (const auto& it : heartbeat.triggers)
        m_state.crashes.applyReport(it, echoed, now);
}

void EdgeDaemon::updateCrashTriggers(std::vector<std::string> others, TimePoint now)
{
    auto daemons = std::move(others);
    daemons.push_back(m_state.settings.daemon.text());
    const bool isLarge = m_state.peers.knownDaemons() > smallFleetSize;
    m_state.crashes.setDaemons(m_state.settings.daemon.text(), std::move(daemons),
        (isLarge ? otherRegionHeartbeatPeriod : heartbeatPeriod) * 2);
    const auto crashes = m_state.crashes.suspiciousCrashes();
    const auto changes = m_state.crashes.update(now, m_state.links.isSuspicious(now));
    // Daemons that this one cannot hear may have blocked the trigger already.
    if (m_state.crashes.suspiciousCrashes() > crashes && m_state.peers.silentDaemons() > 0)
        m_sharedRowFollower->pollNow();
    for (const auto& it : changes) {
        // The others are told at once: until then they send more of these requests.
        if (it.kind == TriggerChange::Kind::Blocked && m_state.crashes.isOwner(it.trigger))
            m_nextHeartbeatAt.clear();
        m_state.metrics.count(counterOf(it.kind));
        logEvent(eventOf(it.kind),
            { { "kind", isWholeRequest(it.trigger) ? "request" : "part" },
                { "trigger", fmt::format("{:x}", it.trigger) },
                { "endpoints", fmt::format("{}", fmt::join(it.endpoints, " ")) } });
    }
}

} // namespace lentilbay::edge
