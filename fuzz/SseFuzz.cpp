// Fuzzes the parsing of engines' event streams: splitting the bytes differently does not change the events,
// and any event can be passed to the chunk parser.
#include "lentilbay/Gateway/ChunkFields.h"
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
        const bool accepted = parser.consume(bytes.substr(at, piece), [&](std::string_view data) {
            events.emplace_back(data);
            return true;
        });
        if (!accepted)
            break;
    }
    return events;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto unsplit = eventsOf(bytes, size + 1);
    for (const size_t piece : { 1U, 7U }) {
        if (eventsOf(bytes, piece) != unsplit) {
            std::cerr << "parsing in pieces of " << piece << " bytes yields different events\n";
            std::abort();
        }
    }
    for (const auto& it : unsplit)
        parseChunk(it);
    return 0;
}
