// The configuration as INI text: parsing with every fault listed, one canonical printed form, and its hash.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Support/Ini.h"

#include <string>
#include <string_view>

namespace lentilbay {

/// The longest name of a tier, organisation, service, endpoint, model, region, data centre or key, in bytes.
/// "organisation " and a name fit into the name of an INI section.
constexpr size_t maxConfigurationName = 36;

/// Reads and checks a whole configuration. The value is of use only where nothing was added to the
/// diagnostics; its version is 0.
Configuration parseConfiguration(std::string_view text, std::string file, Diagnostics& diagnostics);

/// The canonical form: equal configurations print equally, and the text parses to an equal configuration.
/// The version is not printed.
std::string printConfiguration(const Configuration& configuration);

/// The SHA-256 of the canonical form, in hexadecimal; the name of the document in the object store.
std::string contentHash(const Configuration& configuration);

} // namespace lentilbay
