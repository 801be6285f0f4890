// The software versions of each service over the last seconds.
#include "lentilbay/Edge/VersionHistory.h"

namespace lentilbay::edge {
namespace {

/// Longer than a client takes for all attempts of a stream.
constexpr Duration streamLifetime = std::chrono::seconds(40);

} // namespace

void VersionHistory::update(const EndpointRegistry& endpoints, TimePoint now)
{
    std::map<ServiceId, std::optional<uint64_t>> listed;
    for (const auto& [id, it] : endpoints.all()) {
        auto [entry, isNew] = listed.try_emplace(it->entry().service, it->versionHash());
        if (!isNew && entry->second != it->versionHash())
            entry->second.reset();
    }
    for (const auto& [service, version] : listed) {
        auto [it, isNew] = m_entries.try_emplace(service);
        auto& entry = it->second;
        // A service that is new in a running fleet has begun no stream either, but a daemon that was
        // restarted cannot tell it from one that is not.
        if (isNew)
            entry = { .version = version, .since = m_isFirstStart ? std::nullopt : std::optional(now) };
        else if (entry.version != version)
            entry = { .version = version, .since = now, .isUnchanged = false };
    }
}

std::optional<uint64_t> VersionHistory::soleVersion(const ServiceId& service, TimePoint now) const
{
    const auto it = m_entries.find(service);
    if (it == m_entries.end())
        return std::nullopt;
    const auto& entry = it->second;
    const auto restored = m_restored.find(service);
    const bool isRestored
        = entry.isUnchanged && restored != m_restored.end() && entry.version == restored->second;
    if (entry.since && now - *entry.since < streamLifetime && !isRestored)
        return std::nullopt;
    return entry.version;
}

VersionHistory::Known VersionHistory::knownOf(const ServiceId& service, TimePoint now) const
{
    if (soleVersion(service, now))
        return Known::OneVersion;
    const auto it = m_entries.find(service);
    // Whether there was another version before this process started is decided once the streams have ended.
    const bool isUndecided = it == m_entries.end() || (it->second.version && it->second.isUnchanged);
    return isUndecided ? Known::Undecided : Known::SeveralVersions;
}

std::vector<ServiceId> VersionHistory::services() const
{
    std::vector<ServiceId> out;
    for (const auto& [service, entry] : m_entries)
        out.push_back(service);
    return out;
}

} // namespace lentilbay::edge
