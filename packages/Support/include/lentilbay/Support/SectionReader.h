// Reads the keys of one INI section as typed values, and reports everything that is wrong with them.
//
// A reader never stops at the first error: it hands out the default, notes the fault and goes on, so that an
// operator sees all errors of a file at once.
#pragma once

#include "lentilbay/Support/Ini.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilbay {

template <class T> struct Range {
    T least;
    T most;
};

class SectionReader {
public:
    /// The document and the diagnostics must outlive the reader.
    SectionReader(const IniDocument& document, std::string section, Diagnostics& diagnostics);
    /// The same from the section's entries alone, for files with thousands of sections.
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
    /// Words separated by commas; empty where the key is missing.
    std::vector<std::string> list(const std::string& key);
    /// The same, continued in "key.2", "key.3" and so on where one line does not hold all words.
    std::vector<std::string> longList(const std::string& key);
    /// The keys "prefix.name" that stand in the section, as their names.
    std::vector<std::string> namesUnder(const std::string& prefix);

    /// The line of a key, or 0.
    int lineOf(const std::string& key) const;
    /// Notes a fault of a key that only the caller can see.
    void report(ResultCode code, const std::string& key, std::string message);
    /// Reports each key of the section that nobody asked for; call it last.
    void reportUnknownKeys();

private:
    const IniEntry* find(const std::string& key) const;
    const IniEntry* take(const std::string& key);

    std::string m_file;
    std::string m_section;
    std::vector<const IniEntry*> m_entries;
    Diagnostics& m_diagnostics;
    std::set<std::string> m_known;
    std::set<std::string> m_knownPrefixes;
};

/// The names of the sections that hold a key, in the order in which they first appear.
std::vector<std::string> sectionsOf(const IniDocument& document);

} // namespace lentilbay
