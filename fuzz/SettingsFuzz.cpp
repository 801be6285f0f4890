// Settings: any text gives settings or diagnostics; what is accepted prints to text that is accepted again.
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
    Diagnostics again;
    const auto second = printSettings(settings);
    const auto reread = parseSettings(parseIni(second, "printed.ini", again), again);
    if (!again.empty() || printSettings(reread) != second) {
        std::cerr << "printed settings are not accepted as they were printed:\n" << second;
        std::abort();
    }
    return 0;
}
