// Looks up the organisation of a bearer key. The duration of the look-up does not reveal how close a wrong
// key is to a valid one.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Support/Secret.h"

#include <map>
#include <string>
#include <string_view>

namespace lentilbay {

class Authenticator {
public:
    Authenticator();

    /// Returns the organisation that owns the key, or nullptr. Successful look-ups are cached until the
    /// configuration version changes, because an uncached look-up hashes the key once for each configured
    /// key.
    const Organisation* find(const Configuration& configuration, std::string_view key);

private:
    /// Salt for the cached digests; the keys themselves are not stored.
    std::string m_salt;
    uint64_t m_cachedVersion = 0;
    std::map<Sha256Digest, OrganisationId> m_cache;
};

} // namespace lentilbay
