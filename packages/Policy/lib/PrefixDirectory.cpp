// Keeps a bounded number of prefixes: those at positions 1, 2, 4, 8, ... of a prompt and its whole.
#include "lentilbay/Policy/PrefixDirectory.h"

#include <algorithm>
#include <cmath>

namespace lentilbay {
namespace {

/// The lengths, in blocks, at which prefixes are kept and looked up, longest first.
std::vector<size_t> keptLengths(size_t blocks)
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

void PrefixDirectory::note(uint64_t block, uint32_t endpoint, TimePoint now)
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
    holders.insert(holders.begin(), Holder { .endpoint = endpoint, .seenAt = now });
    if (holders.size() > m_options.maxHolders)
        holders.pop_back();
    if (m_prefixes.size() > m_options.maxPrefixes) {
        m_prefixes.erase(m_recency.back());
        m_recency.pop_back();
    }
}

void PrefixDirectory::sent(std::span<const uint64_t> blocks, uint32_t endpoint, TimePoint now)
{
    for (const auto n : keptLengths(blocks.size()))
        note(blocks[n - 1], endpoint, now);
}

void PrefixDirectory::stored(uint64_t block, uint32_t endpoint, TimePoint now) { note(block, endpoint, now); }

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

void PrefixDirectory::eventsMissed(uint32_t endpoint, TimePoint now) { m_doubts[endpoint].missedAt = now; }

void PrefixDirectory::emptied(uint32_t endpoint, TimePoint now) { m_doubts[endpoint].emptiedAt = now; }

double PrefixDirectory::trust(const Holder& holder, TimePoint now) const
{
    double out = std::exp2(-toSeconds(now - holder.seenAt) / toSeconds(m_options.halfLife));
    auto it = m_doubts.find(holder.endpoint);
    if (it == m_doubts.end())
        return out;
    if (holder.seenAt <= it->second.emptiedAt)
        return 0;
    return holder.seenAt <= it->second.missedAt ? out / 2 : out;
}

std::vector<PrefixHit> PrefixDirectory::find(std::span<const uint64_t> blocks, TimePoint now) const
{
    std::vector<PrefixHit> out;
    for (const auto n : keptLengths(blocks.size())) {
        auto it = m_prefixes.find(blocks[n - 1]);
        if (it == m_prefixes.end())
            continue;
        for (const auto& holder : it->second.holders) {
            const bool isKnown = std::any_of(out.begin(), out.end(),
                [&](const PrefixHit& hit) { return hit.endpoint == holder.endpoint; });
            const double fraction
                = static_cast<double>(n) / static_cast<double>(blocks.size()) * trust(holder, now);
            if (!isKnown && fraction > 0)
                out.push_back({ .endpoint = holder.endpoint, .fraction = fraction });
        }
        if (out.size() >= m_options.maxHolders)
            break;
    }
    return out;
}

} // namespace lentilbay
