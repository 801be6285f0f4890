// Which services have had endpoints of one software version only, for as long as a stream may last.
#pragma once

#include "lentilbay/Edge/EndpointRegistry.h"

#include <map>
#include <optional>
#include <vector>

namespace lentilbay::edge {

class VersionHistory {
public:
    /// @param isFirstStart no stream can have begun before
    explicit VersionHistory(bool isFirstStart)
        : m_isFirstStart(isFirstStart)
    {
    }

    /// Records the endpoints listed at present. To be called regularly; an endpoint that is listed for a
    /// shorter time than between two calls serves no stream.
    void update(const EndpointRegistry& endpoints, TimePoint now);
    /// Applies what an earlier process knew when it was last able to say: all endpoints had this version.
    void restore(const ServiceId& service, uint64_t version) { m_restored[service] = version; }
    /// What a process that starts later has to know of a service.
    enum class Known : uint8_t { Undecided, OneVersion, SeveralVersions };
    Known knownOf(const ServiceId& service, TimePoint now) const;
    /// The services of all endpoints listed so far.
    std::vector<ServiceId> services() const;
    /// The software version of all endpoints that may have begun a stream which a client may still resume, as
    /// hashOf() its name; std::nullopt if there may be several.
    std::optional<uint64_t> soleVersion(const ServiceId& service, TimePoint now) const;

private:
    struct Entry {
        /// The version of all endpoints listed at present; empty if there are several.
        std::optional<uint64_t> version;
        /// Since when; empty: since the first start of the fleet.
        std::optional<TimePoint> since;
        /// Whether this process has seen no other version.
        bool isUnchanged = true;
    };

    bool m_isFirstStart;
    std::map<ServiceId, Entry> m_entries;
    std::map<ServiceId, uint64_t> m_restored;
};

} // namespace lentilbay::edge
