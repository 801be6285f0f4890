// Connects the controller of rollouts to the other daemons and to the followed tables.
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Edge/EdgeRequest.h"
#include "lentilbay/Support/SteadyClock.h"

namespace lentilbay::edge {

void EdgeDaemon::connectRollouts()
{
    m_state.rollouts.setSender([this](const std::string& daemon, const std::string& datagram) {
        const auto it = m_state.peers.peers().find(daemon);
        if (it != m_state.peers.peers().end() && sendDatagram(it->second, datagram))
            m_state.metrics.count("rollout_bytes_sent", datagram.size());
    });
    m_state.rollouts.setStoreStatus([this] { return m_configurationFollower->isStoreUnreachable(); });
    m_state.rollouts.setOrderReader([this] { m_configurationFollower->readNow(bootNow()); });
}

void EdgeDaemon::applyOrderRow(const platform::StoreRow& row)
{
    if (const auto absentAt = m_configurationFollower->heldSince())
        m_state.rollouts.confirmOrders(*absentAt);
    m_state.rollouts.applyOrderRow(row, bootNow());
}

void EdgeDaemon::updateRollouts(const std::vector<std::string>& daemons)
{
    std::vector<std::string> others;
    for (const auto& it : daemons) {
        const auto peer = m_state.peers.peers().find(it);
        if (peer != m_state.peers.peers().end() && coordinatesRollouts(peer->second.revision))
            others.push_back(it);
    }
    m_state.rollouts.setDaemons(
        std::move(others), !m_state.stopRequestedAt.has_value(), m_state.peers.knownDaemons());
}

void EdgeDaemon::pollRollouts(TimePoint now)
{
    if (m_state.rollouts.poll(now))
        m_state.queueAllAgain(now);
}

void EdgeDaemon::handleRolloutMessage(std::string_view datagram, TimePoint now)
{
    const auto answer = m_state.rollouts.receive(datagram, now);
    if (answer.empty())
        return;
    std::error_code ec;
    m_peerSocket.send_to(asio::buffer(answer), m_sender, 0, ec);
    m_state.metrics.count(ec ? "peer_datagrams_unsent" : "rollout_bytes_sent", ec ? 1 : answer.size());
}

} // namespace lentilbay::edge
