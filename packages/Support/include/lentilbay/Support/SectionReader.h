// Reads the keys of one INI section as typed values and reports all errors in them.
//
// A reader does not stop at the first error: it adds a diagnostic, returns the fallback and continues, so
// that an operator sees all errors of a file at once.
#pragma once

#include "lentilbay/Support/Ini.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilbay {

/// The allowed values; both bounds are included.
template <class T> struct Range {
    T least;
    T most;
};

class SectionReader {
public:
    /// The document and the diagnostics must outlive the reader.
    SectionReader(const IniDocument& document, std::string section, Diagnostics& diagnostics);
    /// Takes the section's entries, which saves searching the document for each section: files can have
    /// thousands of them.
    SectionReader(std::string file, std::string section, std::vector<const IniEntry*> entries,
        Diagnostics& diagnostics);

    bool has(const std::string& key) const { return find(key) != nullptr; }

    std::string text(const std::string& key, std::string fallback);
    std::string requiredText(const std::string& key);
    /// One of the allowed words.
    std::string word(const std::string& key, std::string fallback, const std::vector<std::string>& allowed);
    int64_t integer(const std::string& key, int64_t fallback, Range<int64_t> range);
    double number(const std::string& key, double fallback, Range<double> range);
    Duration duration(const std::string& key, Duration fallback, Range<Duration> range);
    std::optional<Duration> optionalDuration(const std::string& key, Range<Duration> range);
    uint64_t size(const std::string& key, uint64_t fallback, Range<uint64_t> range);
    /// yes or no.
    bool flag(const std::string& key, bool fallback);
    /// Words separated by commas; empty if the key is missing.
    std::vector<std::string> list(const std::string& key);
    /// A list that may continue in "key.2", "key.3" and so on, because the length of a line is limited.
    std::vector<std::string> continuedList(const std::string& key);
    /// The names of all keys of the form "prefix.name".
    std::vector<std::string> namesWithPrefix(const std::string& prefix);

    /// The line of a key, or 0 if it is missing.
    int lineOf(const std::string& key) const;
    /// Adds a diagnostic for a key; for checks that the caller makes.
    void report(ResultCode code, const std::string& key, std::string message);
    /// Reports each key that no other function has read. Must be called last.
    void reportUnknownKeys();

private:
    const IniEntry* find(const std::string& key) const;
    /// Finds an entry and marks its key as known.
    const IniEntry* lookUp(const std::string& key);

    std::string m_file;
    std::string m_section;
    std::vector<const IniEntry*> m_entries;
    Diagnostics& m_diagnostics;
    std::set<std::string> m_known;
    std::set<std::string> m_knownPrefixes;
};

/// The names of the sections that have at least one key, in the order of first appearance.
std::vector<std::string> sectionsOf(const IniDocument& document);

} // namespace lentilbay
