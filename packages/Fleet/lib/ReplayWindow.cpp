// A sliding window of received sequence numbers for each sender.
#include "lentilbay/Fleet/ReplayWindow.h"

namespace lentilbay {

void ReplayWindow::evictIdleSenders(TimePoint now)
{
    std::erase_if(m_senders, [now](const auto& it) { return now - it.second.lastPacketAt > idleLifetime; });
}

bool ReplayWindow::accept(const DaemonId& id, uint64_t incarnation, uint64_t sequence, TimePoint now)
{
    auto it = m_senders.find(id);
    if (it != m_senders.end() && now - it->second.lastPacketAt > idleLifetime) {
        m_senders.erase(it);
        it = m_senders.end();
    }
    if (it == m_senders.end()) {
        if (m_senders.size() >= maxSenders)
            evictIdleSenders(now);
        if (m_senders.size() >= maxSenders)
            return false;
        it = m_senders.emplace(id, Sender { .incarnation = incarnation, .newest = sequence }).first;
    }
    auto& sender = it->second;
    if (incarnation < sender.incarnation)
        return false;
    if (incarnation > sender.incarnation)
        sender = Sender { .incarnation = incarnation, .newest = sequence };
    if (sequence > sender.newest) {
        const auto shift = sequence - sender.newest;
        sender.received = shift < width ? sender.received << shift : std::bitset<width>();
        sender.newest = sequence;
    }
    const auto behind = sender.newest - sequence;
    if (behind >= width || sender.received.test(behind))
        return false;
    sender.received.set(behind);
    sender.lastPacketAt = now;
    return true;
}

} // namespace lentilbay
