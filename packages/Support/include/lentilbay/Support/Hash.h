// Hashes that are equal on all daemons (xxHash), and rendezvous hashing, which assigns an owner to each key.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace lentilbay {

/// A 64-bit hash that is the same on every host. Not cryptographic.
uint64_t hashOf(std::string_view bytes, uint64_t seed = 0);

/// The weight of a member for a key; the member with the greatest weight owns the key.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// The index of the member that owns the key, or members.size() if there are no members.
size_t rendezvousOwner(std::string_view key, std::span<const std::string_view> members);

} // namespace lentilbay
