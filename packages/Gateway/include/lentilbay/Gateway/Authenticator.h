// Finds the organisation of a bearer key without telling, by the time it takes, how near a wrong key came.
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

    /// The organisation that has the key, or nullptr. Remembers keys that were found until the
    /// configuration's version changes, since each look-up hashes the key once for every key of the
    /// configuration.
    const Organisation* find(const Configuration& configuration, std::string_view key);

private:
    /// Salts the hashes under which found keys are remembered; the keys themselves are not kept.
    std::string m_salt;
    uint64_t m_version = 0;
    std::map<Sha256Digest, OrganisationId> m_found;
};

} // namespace lentilbay
