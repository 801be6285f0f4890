// Which endpoints are thought to hold which prompt prefixes in their caches.
//
// It is a guess that is never relied on: an entry is made when a request is sent to an endpoint and when the
// endpoint says so, goes when the endpoint says that it evicted the prefix, and fades with time, because
// cache events come late and with gaps. A wrong guess costs a prefill and nothing else.
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
    /// Prefixes kept; the least recently used go first.
    size_t maxPrefixes = 65'536;
    /// The time in which the trust in an entry halves.
    Duration halfLife = std::chrono::minutes(2);
    /// Endpoints kept for one prefix.
    size_t maxHolders = 4;
};

/// An endpoint (by any number that stands for it) and the part of the prompt that it is thought to hold.
struct PrefixHit {
    uint32_t endpoint = 0;
    /// The part of the prompt's blocks, 0 to 1, times the trust in the guess.
    double fraction = 0;

    auto operator<=>(const PrefixHit&) const = default;
};

class PrefixDirectory {
public:
    explicit PrefixDirectory(PrefixDirectoryOptions options = {})
        : m_options(options)
    {
    }

    /// The blocks of a prompt are on their way to the endpoint, which will keep them.
    void sent(std::span<const uint64_t> blocks, uint32_t endpoint, TimePoint now);
    void stored(uint64_t block, uint32_t endpoint, TimePoint now);
    void evicted(uint64_t block, uint32_t endpoint);
    /// Some of the endpoint's events are missing: what it holds is trusted half as much from now on.
    void eventsMissed(uint32_t endpoint, TimePoint now);
    /// The endpoint started anew with an empty cache.
    void emptied(uint32_t endpoint, TimePoint now);

    /// The endpoints that hold the longest prefixes of the prompt, each once.
    std::vector<PrefixHit> find(std::span<const uint64_t> blocks, TimePoint now) const;

    size_t size() const { return m_prefixes.size(); }

private:
    struct Holder {
        uint32_t endpoint = 0;
        TimePoint seenAt {};
    };
    struct Prefix {
        std::vector<Holder> holders;
        std::list<uint64_t>::iterator recency;
    };
    struct Doubt {
        /// Entries from before are void.
        TimePoint emptiedAt = TimePoint::min();
        /// Entries from before count half.
        TimePoint missedAt = TimePoint::min();
    };

    void note(uint64_t block, uint32_t endpoint, TimePoint now);
    double trust(const Holder& holder, TimePoint now) const;

    PrefixDirectoryOptions m_options;
    std::unordered_map<uint64_t, Prefix> m_prefixes;
    /// The most recently used first; holds each key of m_prefixes once.
    std::list<uint64_t> m_recency;
    std::unordered_map<uint32_t, Doubt> m_doubts;
};

} // namespace lentilbay
