// Fuzzes the configuration parser: any text yields a configuration or diagnostics, and an accepted
// configuration is equal after printing and parsing it again.
#include "lentilbay/Model/ConfigurationText.h"

#include <cstdlib>
#include <iostream>

using namespace lentilbay;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    Diagnostics diagnostics;
    const auto configuration = parseConfiguration(text, "fuzz.ini", diagnostics);
    if (!diagnostics.empty())
        return 0;
    Diagnostics secondDiagnostics;
    const auto printedText = printConfiguration(configuration);
    if (parseConfiguration(printedText, "printed.ini", secondDiagnostics) != configuration
        || !secondDiagnostics.empty()) {
        std::cerr << "parsing the printed configuration does not yield the original:\n" << printedText;
        std::abort();
    }
    return 0;
}
