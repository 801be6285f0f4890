// Configurations: any text gives a configuration or diagnostics; an accepted one prints to its equal.
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
    Diagnostics again;
    const auto second = printConfiguration(configuration);
    if (parseConfiguration(second, "printed.ini", again) != configuration || !again.empty()) {
        std::cerr << "a printed configuration is not equal to the one that was read:\n" << second;
        std::abort();
    }
    return 0;
}
