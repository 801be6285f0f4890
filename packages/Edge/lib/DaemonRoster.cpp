// Which rows of daemons are to be deleted.
#include "lentilbay/Edge/DaemonRoster.h"

#include <algorithm>

namespace lentilbay::edge {

std::optional<DaemonRoster::Row> DaemonRoster::ownRow() const
{
    const auto it = m_versions.find(m_self);
    return it == m_versions.end() ? std::nullopt
                                  : std::optional(Row { .daemon = m_self, .version = it->second });
}

std::optional<DaemonRoster::Row> DaemonRoster::nextStale(const PeerTable& peers) const
{
    const bool isResponsible = std::ranges::none_of(peers.peers(),
        [&](const auto& it) { return !it.second.isSilent && !it.second.isLeaving && it.first < m_self; });
    if (!isResponsible)
        return std::nullopt;
    for (const auto& [daemon, version] : m_versions) {
        if (daemon != m_self && !peers.peers().contains(daemon))
            return Row { .daemon = daemon, .version = version };
    }
    return std::nullopt;
}

} // namespace lentilbay::edge
