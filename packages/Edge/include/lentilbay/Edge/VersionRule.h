// Which software versions of a service's endpoints may serve a request.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lentilbay::edge {

/// Versions are stated as hashOf() their names. Without any condition, all of them may.
struct VersionRule {
    /// The only version that may serve the request.
    std::optional<uint64_t> required = std::nullopt;
    /// The versions that must not.
    std::vector<uint64_t> excluded = {};
    /// hashOf() the ids of the only endpoints that may; std::nullopt: any.
    std::optional<std::vector<uint64_t>> endpoints = std::nullopt;
    /// What applies where no endpoint that this rule allows has room.
    std::shared_ptr<const VersionRule> otherwise = nullptr;

    /// Leaves `otherwise` aside.
    bool allows(uint64_t version, uint64_t endpoint) const
    {
        return required.value_or(version) == version && std::ranges::find(excluded, version) == excluded.end()
            && (!endpoints || std::ranges::find(*endpoints, endpoint) != endpoints->end());
    }
    bool allowsAny(uint64_t version, uint64_t endpoint) const
    {
        return allows(version, endpoint) || (otherwise && otherwise->allowsAny(version, endpoint));
    }
};

} // namespace lentilbay::edge
