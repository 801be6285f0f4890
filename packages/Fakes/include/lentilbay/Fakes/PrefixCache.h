// The prefix cache of a fake engine: an LRU cache of blocks by hash, and a log of its changes.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lentilbay::fakes {

struct CacheEvent {
    enum class Kind : uint8_t { Stored, Evicted };

    uint64_t sequence = 0;
    Kind kind = Kind::Stored;
    uint64_t prefixHash = 0;
    TimePoint at {};

    auto operator<=>(const CacheEvent&) const = default;
};

class PrefixCache {
public:
    /// Returns the number of leading blocks that are cached, and marks them as the most recently used.
    uint32_t findLeading(const std::vector<uint64_t>& hashes);
    /// Stores all blocks of a prompt and marks them as the most recently used.
    void store(const std::vector<uint64_t>& hashes, TimePoint now);
    /// Evicts the least recently used blocks until at most this many are left.
    void shrinkTo(size_t blocks, TimePoint now);
    /// The blocks of the prefix that ends with this hash, in order; nullopt if one of them is missing.
    std::optional<std::vector<uint64_t>> prefixChainOf(uint64_t hash) const;

    size_t blocks() const { return m_blocks.size(); }
    const std::deque<CacheEvent>& events() const { return m_events; }

private:
    struct Block {
        /// The hash of the preceding block; 0 for the first block of a prompt.
        uint64_t parent = 0;
        std::list<uint64_t>::iterator position;
    };

    void recordEvent(CacheEvent::Kind kind, uint64_t hash, TimePoint now);

    /// Holds the same hashes as m_lruOrder.
    std::unordered_map<uint64_t, Block> m_blocks;
    /// Most recently used first.
    std::list<uint64_t> m_lruOrder;
    /// Ordered by consecutive sequence numbers. The oldest events are dropped.
    std::deque<CacheEvent> m_events;
    uint64_t m_lastSequence = 0;
};

} // namespace lentilbay::fakes
