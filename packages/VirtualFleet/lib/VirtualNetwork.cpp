// Drops, duplicates and delays messages by random draws.
#include "lentilbay/VirtualFleet/VirtualNetwork.h"

namespace lentilbay {

VirtualNetwork::VirtualNetwork(size_t daemons, uint64_t seed)
    : m_random(seed)
    , m_cut(daemons, std::vector<bool>(daemons))
{
}

void VirtualNetwork::setCut(size_t a, size_t b, bool isCut)
{
    m_cut[a][b] = isCut;
    m_cut[b][a] = isCut;
}

void VirtualNetwork::send(size_t from, size_t to, const PeerMessage& message, TimePoint now)
{
    const int copies = m_random.chance(m_faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        ++m_messagesSent;
        if (m_cut[from][to] || m_random.chance(m_faults.loss))
            continue;
        const auto spread = static_cast<uint64_t>((m_faults.maxDelay - m_faults.minDelay).count()) + 1;
        const auto delay = m_faults.minDelay + Duration(static_cast<int64_t>(m_random.below(spread)));
        m_inTransit.push(
            { .at = now + delay, .order = m_messagesSent, .from = from, .to = to, .message = message });
    }
}

std::optional<VirtualNetwork::Delivery> VirtualNetwork::take(TimePoint now)
{
    if (m_inTransit.empty() || m_inTransit.top().at > now)
        return std::nullopt;
    auto out = m_inTransit.top();
    m_inTransit.pop();
    return out;
}

std::optional<TimePoint> VirtualNetwork::nextArrival() const
{
    if (m_inTransit.empty())
        return std::nullopt;
    return m_inTransit.top().at;
}

} // namespace lentilbay
