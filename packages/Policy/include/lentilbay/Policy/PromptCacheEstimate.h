// Estimates which prefixes of a prompt the endpoints hold in their caches, from this daemon's own requests.
//
// A wrong estimate costs the processing of the prefix and nothing else. An endpoint is assumed to evict the
// least recently used prefixes, and to hold all prefixes of one that it holds. PrefixDirectory, which serves
// lentilbay's own API, counts equal blocks and knows neither tokens nor memory.
#pragma once

#include "lentilbay/Model/PromptPart.h"
#include "lentilbay/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lentilbay {

/// A prefix that consists of whole parts.
struct PromptPrefix {
    /// Of the ids of all of its parts.
    uint64_t hash = 0;
    double tokens = 0;

    auto operator<=>(const PromptPrefix&) const = default;
};

/// The prefixes of a prompt, shortest first: those of the first and of the last 8 shared parts, and the whole
/// prompt if its last part is known. A session adds a part with each request, so that the prefix of its
/// previous one is among the last.
std::vector<PromptPrefix> prefixesOf(
    const std::vector<PromptPart>& shared, const std::optional<PromptPart>& last);

/// An endpoint's process, by the hash of its id and its start time.
struct CacheOwner {
    uint64_t endpoint = 0;
    uint64_t startedAtMilliseconds = 0;

    auto operator<=>(const CacheOwner&) const = default;
};

struct CachedPrefix {
    CacheOwner owner;
    double tokens = 0;

    auto operator<=>(const CachedPrefix&) const = default;
};

/// Returns 0 for an endpoint that is not among them.
double cachedTokensAt(const std::vector<CachedPrefix>& prefixes, const CacheOwner& owner);

struct PromptCacheOptions {
    /// The least recently used one is removed first. With the holders, 3 MB at most.
    size_t maxPrefixes = 2048;
    /// Maximum number of endpoints per prefix.
    size_t maxHolders = 32;
    size_t maxEndpoints = 1024;
    /// How long a prefix is assumed to be held after its last use. Bounds the error where other daemons fill
    /// the cache while this one sends nothing there.
    Duration lifetime = std::chrono::seconds(10);
};

class PromptCacheEstimate {
public:
    explicit PromptCacheEstimate(PromptCacheOptions options = {})
        : m_options(options)
    {
    }

    /// Records that the endpoint, whose cache has room for `memory` tokens, is sent requests that add
    /// `tokens` to the cache: one of this daemon, and those that others are assumed to have sent since the
    /// last call.
    void recordSend(const CacheOwner& owner, double tokens, double memory);
    /// Records that the response to a request with these prefixes, for which recordSend() was called, has
    /// begun.
    void recordAnswer(const std::vector<PromptPrefix>& prefixes, const CacheOwner& owner, TimePoint now);
    /// The endpoint is no longer listed.
    void removeEndpoint(uint64_t endpoint) { m_caches.erase(endpoint); }

    /// The longest prefix that each endpoint is expected to hold.
    std::vector<CachedPrefix> find(const std::vector<PromptPrefix>& prefixes, TimePoint now) const;

    size_t size() const { return m_entries.size(); }

private:
    struct Cache {
        uint64_t startedAtMilliseconds = 0;
        /// Distinguishes this cache from earlier ones of the endpoint.
        uint64_t number = 0;
        double memory = 0;
        double tokensSent = 0;
    };
    struct Holder {
        uint64_t endpoint = 0;
        uint64_t cacheNumber = 0;
        TimePoint usedAt {};
        /// Cache::tokensSent at the last use.
        double tokensSentBefore = 0;
    };
    struct Entry {
        std::vector<Holder> holders;
        std::list<uint64_t>::iterator recency;
    };

    void recordHolder(uint64_t prefix, const Holder& holder);

    PromptCacheOptions m_options;
    std::unordered_map<uint64_t, Cache> m_caches;
    uint64_t m_lastCacheNumber = 0;
    std::unordered_map<uint64_t, Entry> m_entries;
    /// The keys of m_entries, each once, the most recently used first.
    std::list<uint64_t> m_recency;
};

} // namespace lentilbay
