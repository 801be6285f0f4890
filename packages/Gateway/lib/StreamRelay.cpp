// Validates token indices and drops duplicates after a resume.
#include "lentilbay/Gateway/StreamRelay.h"

namespace lentilbay {

bool StreamRelay::consume(std::string_view bytes, std::string& out)
{
    return m_parser.consume(bytes, [&](std::string_view data) { return consumeEvent(data, out); });
}

bool StreamRelay::consumeEvent(std::string_view data, std::string& out)
{
    if (data == "[DONE]")
        return isComplete();
    const auto fields = parseChunk(data);
    if (!fields || fields->hasError)
        return false;
    if (fields->tokenIndex) {
        if (*fields->tokenIndex > m_nextToken)
            return false; // a token is missing
        if (*fields->tokenIndex < m_nextToken)
            return true; // already relayed before the stream broke
        ++m_nextToken;
    }
    if (fields->usage)
        m_usage = fields->usage;
    out += "data: ";
    out += data;
    out += "\n\n";
    return true;
}

} // namespace lentilbay
