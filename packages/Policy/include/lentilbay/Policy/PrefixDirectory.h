// Tracks which endpoints probably hold which prompt prefixes in their KV caches.
//
// The directory is a hint only. An entry is added when a request is sent to an endpoint or the endpoint
// reports the prefix as stored, and removed when the endpoint reports an eviction. Confidence in an entry
// decays with time because cache events arrive late and with gaps. A wrong hint costs one prefill and nothing
// else.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace lentilbay {

struct PrefixDirectoryOptions {
    /// Maximum number of prefixes; the least recently used one is removed first.
    size_t maxPrefixes = 65'536;
    /// The time in which the confidence in an entry halves.
    Duration halfLife = std::chrono::minutes(2);
    /// Maximum number of endpoints per prefix.
    size_t maxHolders = 4;
};

/// An endpoint, by an index that the caller assigns, and the fraction of the prompt that it probably holds.
struct PrefixHit {
    uint32_t endpoint = 0;
    /// The fraction of the prompt's blocks, 0 to 1, times the confidence in the entry.
    double fraction = 0;

    auto operator<=>(const PrefixHit&) const = default;
};

class PrefixDirectory {
public:
    explicit PrefixDirectory(PrefixDirectoryOptions options = {})
        : m_options(options)
    {
    }

    /// Records that a prompt with these blocks was sent to the endpoint, which is expected to cache them.
    void sent(std::span<const uint64_t> blocks, uint32_t endpoint, TimePoint now);
    void stored(uint64_t block, uint32_t endpoint, TimePoint now);
    void evicted(uint64_t block, uint32_t endpoint);
    /// Some cache events of the endpoint were lost: halves the confidence in its existing entries.
    void eventsMissed(uint32_t endpoint, TimePoint now);
    /// The endpoint restarted with an empty cache: invalidates its existing entries.
    void cacheCleared(uint32_t endpoint, TimePoint now);

    /// The endpoints that probably hold the longest prefixes of the prompt, each at most once.
    std::vector<PrefixHit> find(std::span<const uint64_t> blocks, TimePoint now) const;

    size_t size() const { return m_prefixes.size(); }

private:
    struct Holder {
        uint32_t endpoint = 0;
        TimePoint updatedAt {};
    };
    struct Prefix {
        std::vector<Holder> holders;
        std::list<uint64_t>::iterator recency;
    };
    struct Invalidation {
        /// Entries up to this time are invalid.
        TimePoint emptiedAt = TimePoint::min();
        /// Entries up to this time count half.
        TimePoint eventsMissedAt = TimePoint::min();
    };

    void recordHolder(uint64_t block, uint32_t endpoint, TimePoint now);
    double confidence(const Holder& holder, TimePoint now) const;

    PrefixDirectoryOptions m_options;
    std::unordered_map<uint64_t, Prefix> m_prefixes;
    /// The keys of m_prefixes, each once, the most recently used first.
    std::list<uint64_t> m_recency;
    std::unordered_map<uint32_t, Invalidation> m_invalidations;
};

} // namespace lentilbay
