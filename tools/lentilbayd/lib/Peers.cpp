#include "Peers.h"

#include "Daemon.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <stdexcept>
#include <variant>

namespace lentilbay {

Peers::Peers(Daemon& daemon, const PeerSettings& settings)
    : m_daemon(daemon)
    , m_links(daemon.context(), daemon.blackboard(),
          { .codec = { .cluster = settings.cluster,
                .self = daemon.blackboard().self,
                .address = settings.address,
                .keys = settings.keys },
              .bytesPerSecond = settings.bytesPerSecond },
          [this](const Packet& packet, const std::string& address) { received(packet, address); })
{
    const auto opened = outcomeOf<bool>([this]() -> Result<bool> {
        BOOST_LEAF_CHECK(m_links.open());
        return true;
    });
    if (const auto* failure = std::get_if<Failure>(&opened))
        throw std::runtime_error(printed(failure->code) + " " + failure->detail);
    daemon.setPeerLink([this](std::vector<OutgoingMessage> messages) {
        m_links.send(std::move(messages), m_daemon.plane().membership().incarnation());
    });
}

void Peers::received(const Packet& packet, const std::string& address)
{
    const auto now = steadyNow();
    for (const auto& it : packet.messages)
        m_daemon.plane().receive(packet.from, address, it, now);
    m_daemon.wake();
}

void Peers::step(TimePoint)
{
    for (const auto& it : m_daemon.plane().membership().takeChanges())
        logEvent(it.event, { { "subject", it.subject } });
}

MembershipOptions membershipOptionsOf(const PeerSettings& settings, uint64_t seed, uint64_t incarnation)
{
    return { .seed = seed, .address = settings.address, .incarnation = incarnation, .seeds = settings.seeds };
}

} // namespace lentilbay
