// Looks up API keys and caches successful look-ups.
#include "lentilbay/Gateway/Authenticator.h"

namespace lentilbay {
namespace {

constexpr size_t saltBytes = 16;
constexpr size_t maxCachedKeys = 10'000;

/// Compares the key with all configured keys, even after a match, so that the duration does not depend on the
/// position of the match.
const Organisation* findUncached(const Configuration& configuration, std::string_view key)
{
    const Organisation* found = nullptr;
    for (const auto& organisation : configuration.organisations) {
        for (const auto& it : organisation.keys) {
            if (keyMatches(key, it.hash))
                found = &organisation;
        }
    }
    return found;
}

} // namespace

Authenticator::Authenticator()
    : m_salt(randomHex(saltBytes))
{
}

const Organisation* Authenticator::find(const Configuration& configuration, std::string_view key)
{
    if (configuration.version != m_cachedVersion || m_cache.size() >= maxCachedKeys) {
        m_cache.clear();
        m_cachedVersion = configuration.version;
    }
    const auto digest = sha256(m_salt + std::string(key));
    if (const auto it = m_cache.find(digest); it != m_cache.end())
        return findOrganisation(configuration, it->second);
    const auto* organisation = findUncached(configuration, key);
    if (organisation)
        m_cache.emplace(digest, organisation->name);
    return organisation;
}

} // namespace lentilbay
