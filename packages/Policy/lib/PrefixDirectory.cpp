// Indexes each prompt at prefix lengths of 1, 2, 4, 8, ... blocks and at its full length.
#include "lentilbay/Policy/PrefixDirectory.h"

#include <algorithm>
#include <cmath>

namespace lentilbay {
namespace {

/// The prefix lengths, in blocks, that are stored and looked up, longest first.
std::vector<size_t> indexedLengths(size_t blocks)
{
    std::vector<size_t> out;
    for (size_t n = 1; n < blocks; n *= 2)
        out.push_back(n);
    if (blocks > 0)
        out.push_back(blocks);
    std::reverse(out.begin(), out.end());
    return out;
}

} // namespace

void PrefixDirectory::recordHolder(uint64_t block, uint32_t endpoint, TimePoint now)
{
    auto [it, isNew] = m_prefixes.try_emplace(block);
    auto& prefix = it->second;
    if (isNew) {
        m_recency.push_front(block);
        prefix.recency = m_recency.begin();
    } else {
        m_recency.splice(m_recency.begin(), m_recency, prefix.recency);
    }
    auto& holders = prefix.holders;
    std::erase_if(holders, [&](const Holder& holder) { return holder.endpoint == endpoint; });
    holders.insert(holders.begin(), Holder { .endpoint = endpoint, .updatedAt = now });
    if (holders.size() > m_options.maxHolders)
        holders.pop_back();
    if (m_prefixes.size() > m_options.maxPrefixes) {
        m_prefixes.erase(m_recency.back());
        m_recency.pop_back();
    }
}

void PrefixDirectory::sent(std::span<const uint64_t> blocks, uint32_t endpoint, TimePoint now)
{
    for (const auto n : indexedLengths(blocks.size()))
        recordHolder(blocks[n - 1], endpoint, now);
}

void PrefixDirectory::stored(uint64_t block, uint32_t endpoint, TimePoint now)
{
    recordHolder(block, endpoint, now);
}

void PrefixDirectory::evicted(uint64_t block, uint32_t endpoint)
{
    auto it = m_prefixes.find(block);
    if (it == m_prefixes.end())
        return;
    std::erase_if(it->second.holders, [&](const Holder& holder) { return holder.endpoint == endpoint; });
    if (it->second.holders.empty()) {
        m_recency.erase(it->second.recency);
        m_prefixes.erase(it);
    }
}

void PrefixDirectory::eventsMissed(uint32_t endpoint, TimePoint now)
{
    m_invalidations[endpoint].eventsMissedAt = now;
}

void PrefixDirectory::cacheCleared(uint32_t endpoint, TimePoint now)
{
    m_invalidations[endpoint].emptiedAt = now;
}

double PrefixDirectory::confidence(const Holder& holder, TimePoint now) const
{
    double out = std::exp2(-toSeconds(now - holder.updatedAt) / toSeconds(m_options.halfLife));
    auto it = m_invalidations.find(holder.endpoint);
    if (it == m_invalidations.end())
        return out;
    if (holder.updatedAt <= it->second.emptiedAt)
        return 0;
    return holder.updatedAt <= it->second.eventsMissedAt ? out / 2 : out;
}

std::vector<PrefixHit> PrefixDirectory::find(std::span<const uint64_t> blocks, TimePoint now) const
{
    std::vector<PrefixHit> out;
    for (const auto n : indexedLengths(blocks.size())) {
        auto it = m_prefixes.find(blocks[n - 1]);
        if (it == m_prefixes.end())
            continue;
        for (const auto& holder : it->second.holders) {
            const bool isKnown = std::any_of(out.begin(), out.end(),
                [&](const PrefixHit& hit) { return hit.endpoint == holder.endpoint; });
            const double fraction
                = static_cast<double>(n) / static_cast<double>(blocks.size()) * confidence(holder, now);
            if (!isKnown && fraction > 0)
                out.push_back({ .endpoint = holder.endpoint, .fraction = fraction });
        }
        if (out.size() >= m_options.maxHolders)
            break;
    }
    return out;
}

} // namespace lentilbay
