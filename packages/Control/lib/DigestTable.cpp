// Digests are ordered by their creation time, which is computed from their age and so needs no synchronised
// clocks.
#include "DigestTable.h"

#include <algorithm>

namespace lentilbay {
namespace {

DataCentreDigest withCurrentAge(const DigestTable::Entry& entry, TimePoint now)
{
    auto digest = entry.digest;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.madeAt);
    digest.ageMilliseconds = static_cast<uint32_t>(std::max<int64_t>(0, age.count()));
    return digest;
}

} // namespace

bool DigestTable::merge(const DataCentreDigest& digest, TimePoint now)
{
    const auto madeAt = now - std::chrono::milliseconds(digest.ageMilliseconds);
    auto it = m_entries.find(digest.dataCentre);
    if (it != m_entries.end() && madeAt < it->second.madeAt + std::chrono::milliseconds(1))
        return false;
    m_entries.insert_or_assign(digest.dataCentre, Entry { digest, madeAt, now });
    return true;
}

std::vector<DataCentreDigest> DigestTable::select(
    size_t count, Duration lifetime, Random& random, TimePoint now) const
{
    std::vector<const Entry*> fresh;
    for (const auto& [id, entry] : m_entries) {
        if (now - entry.madeAt < lifetime)
            fresh.push_back(&entry);
    }
    std::shuffle(fresh.begin(), fresh.end(), random.engine());
    const auto recent = std::min(fresh.size(), count / 2);
    std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(recent), fresh.end(),
        [](const Entry* a, const Entry* b) { return a->receivedAt > b->receivedAt; });
    fresh.resize(std::min(fresh.size(), count));
    std::vector<DataCentreDigest> out;
    out.reserve(fresh.size());
    for (const auto* it : fresh)
        out.push_back(withCurrentAge(*it, now));
    return out;
}

std::vector<DataCentreDigest> DigestTable::all(Duration lifetime, TimePoint now) const
{
    std::vector<DataCentreDigest> out;
    for (const auto& [id, entry] : m_entries) {
        if (now - entry.madeAt < lifetime)
            out.push_back(withCurrentAge(entry, now));
    }
    return out;
}

} // namespace lentilbay
