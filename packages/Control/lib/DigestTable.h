// The newest digest of each data centre, however it came here.
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
        /// When the digest was made, by this daemon's clock.
        TimePoint madeAt {};
        TimePoint receivedAt {};
    };

    /// Takes a digest that is newer than the known one by at least a millisecond.
    bool merge(const DataCentreDigest& digest, TimePoint now);
    void remove(const DataCentreId& dataCentre) { m_entries.erase(dataCentre); }
    const std::map<DataCentreId, Entry>& entries() const { return m_entries; }

    /// Up to `count` digests no older than `lifetime`, with their present age: those received last first, and
    /// the rest by chance.
    std::vector<DataCentreDigest> select(
        size_t count, Duration lifetime, Random& random, TimePoint now) const;
    std::vector<DataCentreDigest> all(Duration lifetime, TimePoint now) const;

private:
    std::map<DataCentreId, Entry> m_entries;
};

} // namespace lentilbay
