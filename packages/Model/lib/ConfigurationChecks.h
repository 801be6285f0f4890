// Checks that look at several elements of a configuration at once. Private to the parser.
#pragma once

#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Support/Ini.h"

#include <map>
#include <string>

namespace lentilbay {

/// Where keys stand in the text, so that a cross-check names file and line.
class FaultReporter {
public:
    /// Document and diagnostics must outlive the reporter.
    FaultReporter(const IniDocument& document, Diagnostics& diagnostics);

    /// Notes a fault; where the key is missing, at the line of its section.
    void report(ResultCode code, const std::string& section, const std::string& key, std::string message);

private:
    void indexLines();

    const IniDocument& m_document;
    Diagnostics& m_diagnostics;
    /// By "section\nkey", and by the section alone; filled with the first fault, since most documents have
    /// none.
    std::map<std::string, int> m_lines;
};

/// Reports references to nothing, values that must be unique, and promises that contradict each other or that
/// no capacity can keep.
void checkConfiguration(const Configuration& configuration, FaultReporter& faults);

} // namespace lentilbay
