// The configuration as INI text: a parser that reports all errors, the canonical printed form, and its hash.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Support/Ini.h"

#include <string>
#include <string_view>

namespace lentilbay {

/// Maximum length of the name of a tier, organisation, service, endpoint, model, region, data centre or key,
/// in bytes. Chosen so that "organisation " plus a name fits into the name of an INI section.
constexpr size_t maxConfigurationName = 36;

/// Parses and checks a whole configuration. The result is valid only if no diagnostics were added; its
/// version is 0.
Configuration parseConfiguration(std::string_view text, std::string file, Diagnostics& diagnostics);

/// The canonical form: equal configurations have the same text, and the text parses to an equal
/// configuration. The version is not printed.
std::string printConfiguration(const Configuration& configuration);

/// The SHA-256 of the canonical form, in hexadecimal; names the document in the object store.
std::string contentHash(const Configuration& configuration);

} // namespace lentilbay
