// The object store and the host list.
#include "lentilbay/Fakes/PlatformModels.h"

#include <utility>

namespace lentilbay::fakes {

namespace {

constexpr size_t keptStates = 1'000;

} // namespace

ObjectAnswer ObjectModel::put(const std::string& key, std::string body, TimePoint now)
{
    if (auto refused = refuse(now))
        return *refused;
    ++m_puts;
    m_objects[key] = std::move(body);
    return { .status = takeFaultAfter(m_faults, StoreAnswer::Done) };
}

ObjectAnswer ObjectModel::get(const std::string& key, TimePoint now)
{
    if (auto refused = refuse(now))
        return *refused;
    ++m_gets;
    const auto it = m_objects.find(key);
    if (it == m_objects.end())
        return { .status = takeFaultAfter(m_faults, StoreAnswer::Missing) };
    return { .status = takeFaultAfter(m_faults, StoreAnswer::Done), .body = it->second };
}

std::optional<ObjectAnswer> ObjectModel::refuse(TimePoint now)
{
    if (const auto fault = takeFaultBefore(m_faults); fault != StoreAnswer::Done)
        return ObjectAnswer { .status = fault };
    if (const auto wait = m_limiter.take(1, now))
        return ObjectAnswer { .status = StoreAnswer::Limited, .retryAfter = *wait };
    return std::nullopt;
}

void HostListModel::setHosts(std::vector<FakeHost> hosts, TimePoint now)
{
    m_states.push_back({ .since = now, .hosts = std::move(hosts) });
    if (m_states.size() > keptStates)
        m_states.pop_front();
}

std::vector<FakeHost> HostListModel::listedHosts(TimePoint now) const
{
    for (auto it = m_states.rbegin(); it != m_states.rend(); ++it) {
        if (it->since <= now - m_lag)
            return it->hosts;
    }
    return {};
}

} // namespace lentilbay::fakes
