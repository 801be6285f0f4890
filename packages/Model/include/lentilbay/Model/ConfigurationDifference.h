// Section-wise differences between two configuration documents in canonical form.
//
// Daemons exchange differences because a document with thousands of endpoints takes megabytes, while a change
// to one endpoint takes a few hundred bytes. A difference holds the hashes of base and result, so that a
// mismatch is detected.
#pragma once

#include "lentilbay/Support/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// The changes that turn one document into another.
struct ConfigurationDifference {
    /// SHA-256 of the documents, in hexadecimal.
    std::string fromHash;
    std::string toHash;
    /// The headers of removed sections, without brackets.
    std::vector<std::string> removed;
    /// The full text of new and changed sections, in canonical form and separated as in a document.
    std::string changed;

    bool operator==(const ConfigurationDifference&) const = default;
    template <class Archive> void serialize(Archive& archive) { archive(fromHash, toHash, removed, changed); }
};

/// Computes the difference; both texts must be in canonical form.
ConfigurationDifference differenceOf(std::string_view from, std::string_view to);

/// Returns the resulting document in canonical form. Fails with WrongBase if the hash of the base or of the
/// result does not match.
Result<std::string> applyDifference(std::string_view base, const ConfigurationDifference& difference);

/// A human-readable difference: sections and lines marked with "+" and "-"; empty if the documents are equal.
std::string printDifference(std::string_view from, std::string_view to);

} // namespace lentilbay
