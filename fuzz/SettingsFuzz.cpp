// Fuzzes the settings parser: any text yields settings or diagnostics, and printed settings are accepted and
// print to the same text again.
#include "Settings.h"

#include <cstdlib>
#include <iostream>

using namespace lentilbay;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    Diagnostics diagnostics;
    const auto settings = parseSettings(parseIni(text, "fuzz.ini", diagnostics), diagnostics);
    if (!diagnostics.empty())
        return 0;
    Diagnostics secondDiagnostics;
    const auto printedText = printSettings(settings);
    const auto reread
        = parseSettings(parseIni(printedText, "printed.ini", secondDiagnostics), secondDiagnostics);
    if (!secondDiagnostics.empty() || printSettings(reread) != printedText) {
        std::cerr << "printed settings are rejected or change when parsed again:\n" << printedText;
        std::abort();
    }
    return 0;
}
