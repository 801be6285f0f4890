// The fake object store and host list.
#include "lentilbay/Fakes/PlatformModels.h"

#include <utility>

namespace lentilbay::fakes {

namespace {

constexpr size_t maxRetainedStates = 1'000;

} // namespace

ObjectResponse ObjectModel::put(const std::string& key, std::string body, TimePoint now)
{
    if (auto rejection = checkAdmission(now))
        return *rejection;
    ++m_puts;
    m_objects[key] = std::move(body);
    return { .status = consumeResponseFault(m_faults, FakeStoreStatus::Done) };
}

ObjectResponse ObjectModel::get(const std::string& key, TimePoint now)
{
    if (auto rejection = checkAdmission(now))
        return *rejection;
    ++m_gets;
    const auto it = m_objects.find(key);
    if (it == m_objects.end())
        return { .status = consumeResponseFault(m_faults, FakeStoreStatus::Missing) };
    return { .status = consumeResponseFault(m_faults, FakeStoreStatus::Done), .body = it->second };
}

std::optional<ObjectResponse> ObjectModel::checkAdmission(TimePoint now)
{
    if (const auto fault = consumeRequestFault(m_faults); fault != FakeStoreStatus::Done)
        return ObjectResponse { .status = fault };
    if (const auto wait = m_limiter.take(1, now))
        return ObjectResponse { .status = FakeStoreStatus::Limited, .retryAfter = *wait };
    return std::nullopt;
}

void HostListModel::setHosts(std::vector<FakeHost> hosts, TimePoint now)
{
    m_states.push_back({ .since = now, .hosts = std::move(hosts) });
    if (m_states.size() > maxRetainedStates)
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
