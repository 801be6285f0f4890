// LRU cache with a bounded log of events.
#include "lentilbay/Fakes/PrefixCache.h"

#include <algorithm>

namespace lentilbay::fakes {

namespace {

constexpr size_t maxRetainedEvents = 100'000;

} // namespace

uint32_t PrefixCache::findLeading(const std::vector<uint64_t>& hashes)
{
    uint32_t found = 0;
    for (const auto hash : hashes) {
        const auto it = m_blocks.find(hash);
        if (it == m_blocks.end())
            break;
        m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, it->second.position);
        ++found;
    }
    return found;
}

void PrefixCache::store(const std::vector<uint64_t>& hashes, TimePoint now)
{
    uint64_t parent = 0;
    for (const auto hash : hashes) {
        const auto it = m_blocks.find(hash);
        if (it != m_blocks.end()) {
            m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, it->second.position);
        } else {
            m_lruOrder.push_front(hash);
            m_blocks.emplace(hash, Block { .parent = parent, .position = m_lruOrder.begin() });
            recordEvent(CacheEvent::Kind::Stored, hash, now);
        }
        parent = hash;
    }
}

void PrefixCache::shrinkTo(size_t blocks, TimePoint now)
{
    while (m_blocks.size() > blocks) {
        const auto hash = m_lruOrder.back();
        m_lruOrder.pop_back();
        m_blocks.erase(hash);
        recordEvent(CacheEvent::Kind::Evicted, hash, now);
    }
}

std::optional<std::vector<uint64_t>> PrefixCache::prefixChainOf(uint64_t hash) const
{
    std::vector<uint64_t> chain;
    while (hash != 0) {
        const auto it = m_blocks.find(hash);
        if (it == m_blocks.end())
            return std::nullopt;
        chain.push_back(hash);
        hash = it->second.parent;
    }
    if (chain.empty())
        return std::nullopt;
    std::ranges::reverse(chain);
    return chain;
}

void PrefixCache::recordEvent(CacheEvent::Kind kind, uint64_t hash, TimePoint now)
{
    m_events.push_back({ .sequence = ++m_lastSequence, .kind = kind, .prefixHash = hash, .at = now });
    if (m_events.size() > maxRetainedEvents)
        m_events.pop_front();
}

} // namespace lentilbay::fakes
