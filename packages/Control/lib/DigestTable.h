// The newest known digest of each data centre, regardless of the path on which it was received.
#pragma once

#include "lentilbay/Control/MembershipMessages.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace lentilbay {

class DigestTable {
public:
    struct Entry {
        DataCentreDigest digest;
        /// When the digest was created, by this daemon's clock.
        TimePoint madeAt {};
        TimePoint receivedAt {};
    };

    /// Stores a digest if it is newer than the known one by at least a millisecond; returns whether it did.
    bool merge(const DataCentreDigest& digest, TimePoint now);
    void remove(const DataCentreId& dataCentre) { m_entries.erase(dataCentre); }
    const std::map<DataCentreId, Entry>& entries() const { return m_entries; }

    /// Up to `count` digests not older than `lifetime`, with their current age: half of them the most
    /// recently received ones, the rest chosen at random.
    std::vector<DataCentreDigest> select(
        size_t count, Duration lifetime, Random& random, TimePoint now) const;
    std::vector<DataCentreDigest> all(Duration lifetime, TimePoint now) const;

private:
    std::map<DataCentreId, Entry> m_entries;
};

} // namespace lentilbay
