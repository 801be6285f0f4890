// Cross-checks between elements of a configuration; internal to the parser.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Support/Ini.h"

#include <map>
#include <string>

namespace lentilbay {

/// Adds diagnostics with the file and line of a key, for checks that run after parsing.
class DiagnosticReporter {
public:
    /// Document and diagnostics must outlive the reporter.
    DiagnosticReporter(const IniDocument& document, Diagnostics& diagnostics);

    /// Adds a diagnostic at the line of the key or, if the key is missing, of its section.
    void report(ResultCode code, const std::string& section, const std::string& key, std::string message);

private:
    void indexLines();

    const IniDocument& m_document;
    Diagnostics& m_diagnostics;
    /// Line numbers by "section\nkey" and by section alone. Filled on the first diagnostic, because most
    /// documents have none.
    std::map<std::string, int> m_lines;
};

/// Reports dangling references, duplicates of unique values, contradictory tiers, and commitments that exceed
/// the configured capacity.
void checkConfiguration(const Configuration& configuration, DiagnosticReporter& reporter);

} // namespace lentilbay
