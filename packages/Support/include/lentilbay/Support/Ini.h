// INI text as a list of entries with line numbers, parsed by inih.
#pragma once

#include "lentilbay/Support/ResultCode.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

/// An error in a settings or configuration file.
struct Diagnostic {
    ResultCode code = ResultCode::SettingsSyntax;
    std::string file;
    /// Counted from 1; 0 if the error has no line, such as a missing key.
    int line = 0;
    /// "section.key", or only the section.
    std::string key;
    /// The error and the allowed values.
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

/// A line "[name]". The same section may occur several times.
struct IniSection {
    std::string name;
    int line = 0;
};

/// The maximum length of the name of a section or a key in bytes; inih truncates longer ones.
constexpr size_t maxIniName = 49;

/// The entries and the section lines of a file, in file order.
struct IniDocument {
    std::string file;
    std::vector<IniEntry> entries;
    std::vector<IniSection> sections = {};
};

/// Parses the text. Adds a diagnostic for the first line that is not INI, and for each line or name that is
/// too long, zero byte, indented line and duplicate key in a section.
IniDocument parseIni(std::string_view text, std::string file, Diagnostics& diagnostics);

/// Reads and parses a file. A file that cannot be opened yields one diagnostic.
IniDocument readIniFile(const std::string& path, Diagnostics& diagnostics);

} // namespace lentilbay
