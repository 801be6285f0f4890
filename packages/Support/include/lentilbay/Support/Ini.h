// INI text as a list of entries with their line numbers; inih does the parsing.
#pragma once

#include "lentilbay/Support/ResultCode.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// One thing that is wrong in a settings or configuration file.
struct Diagnostic {
    ResultCode code = ResultCode::SettingsSyntax;
    std::string file;
    /// Counted from 1; 0 where no line is at fault, such as a missing key.
    int line = 0;
    /// "section.key", or the section alone.
    std::string key;
    /// What is wrong and what is allowed.
    std::string message;

    auto operator<=>(const Diagnostic&) const = default;
};

/// "file:12: LB-6006 limits.body: 'x' is not a size; allowed: 1KiB to 64MiB".
std::string printed(const Diagnostic& diagnostic);

using Diagnostics = std::vector<Diagnostic>;

struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

/// A line "[name]". A section may be opened more than once.
struct IniSection {
    std::string name;
    int line = 0;
};

/// The longest name of a section or a key, in bytes.
constexpr size_t maxIniName = 49;

/// The entries and the section lines of a file in their order.
struct IniDocument {
    std::string file;
    std::vector<IniEntry> entries;
    std::vector<IniSection> sections = {};
};

/// Parses the text. Lines that are not INI, lines and names that are too long, indented continuation lines
/// and keys that stand twice in a section are added to the diagnostics.
IniDocument parseIni(std::string_view text, std::string file, Diagnostics& diagnostics);

/// Reads and parses a file; a file that cannot be read gives one diagnostic.
IniDocument readIniFile(const std::string& path, Diagnostics& diagnostics);

} // namespace lentilbay
