// Fuzzes the HTTP parsers: splitting the bytes of a request differently does not change the result, every
// parsed request can be encoded for an endpoint, and the response parser accepts or rejects any bytes.
#include "lentilbay/Http/MessageParser.h"
#include "lentilbay/platform/CallerHeaders.h"

#include <cstdlib>
#include <iostream>

using namespace lentilbay;

namespace {

/// Parses the text in pieces of the given size and returns the parsed requests, encoded as for an endpoint.
std::string readInPieces(std::string_view text, size_t piece)
{
    http::RequestParser parser({ .headerBytes = 4096, .bodyBytes = 4096 });
    std::string out;
    while (!text.empty() && parser.error() == http::ParseError::None) {
        const auto part = text.substr(0, piece);
        const size_t taken = parser.feed(part);
        text.remove_prefix(taken);
        if (parser.isComplete()) {
            const auto request = parser.take();
            out += platform::encodeEndpointRequest(request, { .timeLeft = std::chrono::seconds(1) });
        } else if (taken < part.size()) {
            break;
        }
    }
    return out;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto unsplit = readInPieces(text, text.size() + 1);
    if (readInPieces(text, 3) != unsplit) {
        std::cerr << "parsing in pieces of 3 bytes yields different requests\n";
        std::abort();
    }
    http::ResponseParser response(
        { .head = [](http::HttpResponseHead) {}, .body = [](std::string_view) {}, .end = [] {} });
    std::string_view rest = text;
    while (!rest.empty() && !response.hasFailed())
        rest.remove_prefix(std::min(rest.size(), std::max<size_t>(1, response.feed(rest))));
    response.finishAtEof();
    return 0;
}
