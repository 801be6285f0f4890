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

    /// The line of a key, or 0.
    int lineOf(const std::string& key) const;
    /// Notes a fault of a key that only the caller can see.
    void report(ResultCode code, const std::string& key, std::string message);
    /// Reports each key of the section that nobody asked for; call it last.
    void reportUnknownKeys();

private:
    const IniEntry* find(const std::string& key) const;
    const IniEntry* take(const std::string& key);

    const IniDocument& m_document;
    std::string m_section;
    Diagnostics& m_diagnostics;
    std::set<std::string> m_known;
};

/// The names of the sections in the order in which they first appear.
std::vector<std::string> sectionsOf(const IniDocument& document);

} // namespace lentilbay
