// Peer messaging, membership events and link metrics.
#include "Peers.h"

#include "Daemon.h"
#include "lentilbay/Gateway/Metrics.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SteadyClock.h"

#include <array>
#include <fmt/format.h>
#include <stdexcept>
#include <variant>

namespace lentilbay {
namespace {

constexpr std::array<std::string_view, linkClassCount> linkNames
    = { "data_centre", "region", "inter_region" };

} // namespace

Peers::Peers(Daemon& daemon, const PeerSettings& settings)
    : m_daemon(daemon)
    , m_links(daemon.context(), daemon.blackboard(),
          { .codec = { .cluster = settings.cluster,
                .self = daemon.blackboard().self,
                .address = settings.address,
                .keys = settings.keys },
              .bytesPerSecond = settings.bytesPerSecond },
          [this](const Packet& packet, const std::string& address) { handlePacket(packet, address); })
{
    const auto opened = outcomeOf<bool>([this]() -> Result<bool> {
        BOOST_LEAF_CHECK(m_links.open());
        return true;
    });
    if (const auto* failure = std::get_if<Failure>(&opened))
        throw std::runtime_error(printed(failure->code) + " " + failure->detail);
    daemon.setPeerSender([this](std::vector<OutgoingMessage> messages) {
        m_links.send(std::move(messages), m_daemon.plane().membership().incarnation());
    });
    daemon.addMetrics([this](std::string& out) { appendMetrics(out); });
}

void Peers::appendMetrics(std::string& out) const
{
    const auto counters = m_links.counters();
    const auto appendLinks = [&](std::string_view name, std::string_view help, auto member) {
        appendMetricHeader(out, name, "counter", help);
        for (size_t i = 0; i < linkClassCount; ++i)
            appendSample(out, name, fmt::format("link=\"{}\"", linkNames[i]),
                static_cast<double>(counters.classes[i].*member));
    };
    appendLinks("lentilbay_peer_bytes_sent_total", "Bytes to other daemons, with UDP and IP headers.",
        &LinkCounters::bytesSent);
    appendLinks(
        "lentilbay_peer_bytes_received_total", "Bytes from other daemons.", &LinkCounters::bytesReceived);
    appendLinks("lentilbay_peer_packets_sent_total", "Packets to other daemons.", &LinkCounters::packetsSent);
    appendLinks("lentilbay_peer_deferred_total", "Messages that waited for the byte budget of their links.",
        &LinkCounters::deferred);
    appendMetricHeader(
        out, "lentilbay_peer_dropped_total", "counter", "Packets that were dropped, by cause.");
    for (size_t i = 0; i < dropCauseCount; ++i)
        appendSample(out, "lentilbay_peer_dropped_total",
            fmt::format("cause=\"{}\"", printed(static_cast<DropCause>(i))),
            static_cast<double>(counters.dropped[i]));
    appendMetricHeader(out, "lentilbay_peer_not_sent_total", "counter", "Messages that could not be sent.");
    appendSample(out, "lentilbay_peer_not_sent_total", "", static_cast<double>(counters.notSent));
}

void Peers::handlePacket(const Packet& packet, const std::string& address)
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
