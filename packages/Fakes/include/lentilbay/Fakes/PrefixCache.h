// The prefix cache of a fake engine: blocks by hash in least-recently-used order, and the events of its
// changes.
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
    /// Leading blocks that are cached; these become the most recently used.
    uint32_t findLeading(const std::vector<uint64_t>& hashes);
    /// Stores all blocks of a prompt.
    void store(const std::vector<uint64_t>& hashes, TimePoint now);
    /// Evicts the least recently used blocks until at most so many are left.
    void shrinkTo(size_t blocks, TimePoint now);
    /// The blocks up to this hash in their order; nothing where one of them is missing.
    std::optional<std::vector<uint64_t>> chainOf(uint64_t hash) const;

    size_t blocks() const { return m_blocks.size(); }
    const std::deque<CacheEvent>& events() const { return m_events; }

private:
    struct Block {
        /// 0 for a prompt's first block.
        uint64_t parent = 0;
        std::list<uint64_t>::iterator position;
    };

    void note(CacheEvent::Kind kind, uint64_t hash, TimePoint now);

    /// Holds the same hashes as m_order.
    std::unordered_map<uint64_t, Block> m_blocks;
    /// The most recently used first.
    std::list<uint64_t> m_order;
    /// In the order of their sequence numbers, which count up by one; the oldest are forgotten.
    std::deque<CacheEvent> m_events;
    uint64_t m_lastSequence = 0;
};

} // namespace lentilbay::fakes
