#include "lentilbay/Gateway/Authenticator.h"

namespace lentilbay {
namespace {

constexpr size_t saltBytes = 16;
constexpr size_t maxRemembered = 10'000;

/// Compares with every key of the configuration, also after one matched.
const Organisation* search(const Configuration& configuration, std::string_view key)
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
    if (configuration.version != m_version || m_found.size() >= maxRemembered) {
        m_found.clear();
        m_version = configuration.version;
    }
    const auto digest = sha256(m_salt + std::string(key));
    if (const auto it = m_found.find(digest); it != m_found.end())
        return findOrganisation(configuration, it->second);
    const auto* organisation = search(configuration, key);
    if (organisation)
        m_found.emplace(digest, organisation->name);
    return organisation;
}

} // namespace lentilbay
