// Differences between two configuration documents in their canonical form, section by section.
//
// Daemons pass on differences, because a document of thousands of endpoints costs megabytes and a change of
// one of them a few hundred bytes. A difference names its result by hash, so that a wrong base is noticed.
#pragma once

#include "lentilbay/Support/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// What leads from one document to the next.
struct ConfigurationDifference {
    /// Content hashes of the documents.
    std::string fromHash;
    std::string toHash;
    /// The headers of sections that go, without brackets.
    std::vector<std::string> removed;
    /// The whole text of sections that are new or changed, in canonical form, joined like a document.
    std::string changed;

    bool operator==(const ConfigurationDifference&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(fromHash, toHash, removed, changed); }
};

/// Both texts must be canonical.
ConfigurationDifference differenceOf(std::string_view from, std::string_view to);

/// The canonical text of the result. WrongBase where the base or the result has another hash.
Result<std::string> applyDifference(std::string_view base, const ConfigurationDifference& difference);

/// For people: sections and lines with "+" and "-"; empty where the documents are equal.
std::string printDifference(std::string_view from, std::string_view to);

} // namespace lentilbay
