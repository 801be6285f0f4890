// Streams from engines: the same events come out however the bytes are cut, and no chunk does harm.
#include "lentilbay/Gateway/ChunkFacts.h"
#include "lentilbay/Gateway/SseParser.h"

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace lentilbay;

namespace {

std::vector<std::string> eventsOf(std::string_view bytes, size_t piece)
{
    SseParser parser;
    std::vector<std::string> events;
    for (size_t at = 0; at < bytes.size(); at += piece) {
        const bool good = parser.take(bytes.substr(at, piece), [&](std::string_view data) {
            events.emplace_back(data);
            return true;
        });
        if (!good)
            break;
    }
    return events;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto whole = eventsOf(bytes, size + 1);
    for (const size_t piece : { 1U, 7U }) {
        if (eventsOf(bytes, piece) != whole) {
            std::cerr << "other events from pieces of " << piece << " bytes\n";
            std::abort();
        }
    }
    for (const auto& it : whole)
        parseChunk(it);
    return 0;
}
