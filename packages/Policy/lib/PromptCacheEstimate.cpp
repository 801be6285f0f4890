// Keeps the endpoints that hold each prefix, and the tokens sent to each endpoint.
#include "lentilbay/Policy/PromptCacheEstimate.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>

namespace lentilbay {

std::vector<PromptPrefix> prefixesOf(
    const std::vector<PromptPart>& shared, const std::optional<PromptPart>& last)
{
    constexpr size_t indexedAtEachEnd = 8;
    std::vector<PromptPrefix> out;
    PromptPrefix prefix;
    const auto extend = [&](const PromptPart& part) {
        prefix.hash = hashOf({ reinterpret_cast<const char*>(&part.id), sizeof part.id }, prefix.hash);
        prefix.tokens += part.tokens;
    };
    for (size_t i = 0; i < shared.size(); ++i) {
        extend(shared[i]);
        if (i < indexedAtEachEnd || i + indexedAtEachEnd >= shared.size())
            out.push_back(prefix);
    }
    if (last) {
        extend(*last);
        out.push_back(prefix);
    }
    return out;
}

double cachedTokensAt(const std::vector<CachedPrefix>& prefixes, const CacheOwner& owner)
{
    const auto it = std::ranges::find(prefixes, owner, &CachedPrefix::owner);
    return it == prefixes.end() ? 0 : it->tokens;
}

void PromptCacheEstimate::recordSend(const CacheOwner& owner, double tokens, double memory)
{
    if (memory <= 0)
        return;
    auto it = m_caches.find(owner.endpoint);
    if (it == m_caches.end() && m_caches.size() >= m_options.maxEndpoints)
        return;
    if (it == m_caches.end() || it->second.startedAtMilliseconds != owner.startedAtMilliseconds)
        it = m_caches
                 .insert_or_assign(owner.endpoint,
                     Cache { .startedAtMilliseconds = owner.startedAtMilliseconds,
                         .number = ++m_lastCacheNumber })
                 .first;
    it->second.memory = memory;
    it->second.tokensSent += tokens;
}

void PromptCacheEstimate::recordAnswer(
    const std::vector<PromptPrefix>& prefixes, const CacheOwner& owner, TimePoint now)
{
    const auto cache = m_caches.find(owner.endpoint);
    if (cache == m_caches.end() || cache->second.startedAtMilliseconds != owner.startedAtMilliseconds)
        return;
    for (const auto& it : prefixes) {
        if (it.tokens <= 0)
            continue;
        recordHolder(it.hash,
            { .endpoint = owner.endpoint,
                .cacheNumber = cache->second.number,
                .usedAt = now,
                .tokensSentBefore = cache->second.tokensSent });
    }
}

void PromptCacheEstimate::recordHolder(uint64_t prefix, const Holder& holder)
{
    auto [it, isNew] = m_entries.try_emplace(prefix);
    auto& entry = it->second;
    if (isNew) {
        m_recency.push_front(prefix);
        entry.recency = m_recency.begin();
    } else {
        m_recency.splice(m_recency.begin(), m_recency, entry.recency);
    }
    auto& holders = entry.holders;
    const auto known = std::ranges::find(holders, holder.endpoint, &Holder::endpoint);
    if (known != holders.end())
        *known = holder;
    else if (holders.size() < m_options.maxHolders)
        holders.push_back(holder);
    else
        *std::ranges::min_element(holders, {}, &Holder::usedAt) = holder;
    if (m_entries.size() > m_options.maxPrefixes) {
        m_entries.erase(m_recency.back());
        m_recency.pop_back();
    }
}

std::vector<CachedPrefix> PromptCacheEstimate::find(
    const std::vector<PromptPrefix>& prefixes, TimePoint now) const
{
    std::vector<CachedPrefix> out;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        const auto entry = m_entries.find(prefix->hash);
        if (entry == m_entries.end())
            continue;
        for (const auto& it : entry->second.holders) {
            const auto cache = m_caches.find(it.endpoint);
            if (cache == m_caches.end() || cache->second.number != it.cacheNumber
                || now - it.usedAt > m_options.lifetime)
                continue;
            const double tokensSince = cache->second.tokensSent - it.tokensSentBefore;
            const CacheOwner owner { .endpoint = it.endpoint,
                .startedAtMilliseconds = cache->second.startedAtMilliseconds };
            if (tokensSince + prefix->tokens <= cache->second.memory && cachedTokensAt(out, owner) == 0)
                out.push_back({ .owner = owner, .tokens = prefix->tokens });
        }
    }
    return out;
}

} // namespace lentilbay
