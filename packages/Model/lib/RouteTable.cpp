// Route lookup by host and longest path prefix.
#include "lentilbay/Model/RouteTable.h"

#include <algorithm>

namespace lentilbay {

RouteTable::RouteTable(Parts parts)
    : m_parts(std::move(parts))
{
    for (size_t i = 0; i < m_parts.routes.size(); ++i)
        m_routesByHost[m_parts.routes[i].host].emplace(m_parts.routes[i].prefix, i);
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    auto routes = m_routesByHost.find(host);
    if (routes == m_routesByHost.end())
        return nullptr;
    // Prefixes end with a slash, so only the parts of the path up to one of its slashes can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;) {
        if (auto it = routes->second.find(path.substr(0, end + 1)); it != routes->second.end())
            return &m_parts.routes[it->second];
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const RoutedOrganisation* RouteTable::findOrganisation(const std::string& key) const
{
    auto it = m_parts.keys.find(key);
    return it == m_parts.keys.end() ? nullptr : &m_parts.organisations[it->second];
}

std::vector<size_t> RouteTable::keyCounts() const
{
    std::vector<size_t> out(m_parts.organisations.size());
    for (const auto& [key, i] : m_parts.keys)
        ++out[i];
    return out;
}

const RoutedService* RouteTable::findService(const ServiceId& name) const
{
    auto it = std::ranges::find(m_parts.services, name, &RoutedService::name);
    return it == m_parts.services.end() ? nullptr : &*it;
}

} // namespace lentilbay
