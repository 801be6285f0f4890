// Which software versions of a service's endpoints may serve a request.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace lentilbay::edge {

/// Versions are stated as hashOf() their names. Without any condition, all of them may.
struct VersionRule {
    /// The only version that may serve the request.
    std::optional<uint64_t> required = std::nullopt;
    /// The version that must not.
    std::optional<uint64_t> excluded = std::nullopt;
    /// hashOf() the ids of the only endpoints that may; nullptr: any.
    std::shared_ptr<const std::set<uint64_t>> endpoints = nullptr;

    bool allowsVersion(uint64_t version) const
    {
        return required.value_or(version) == version && excluded != version;
    }
    bool allows(uint64_t version, uint64_t endpoint) const
    {
        return allowsVersion(version) && (!endpoints || endpoints->contains(endpoint));
    }
};

} // namespace lentilbay::edge
