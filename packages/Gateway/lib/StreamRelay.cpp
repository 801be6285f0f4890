#include "lentilbay/Gateway/StreamRelay.h"

namespace lentilbay {

bool StreamRelay::take(std::string_view bytes, std::string& out)
{
    return m_parser.take(bytes, [&](std::string_view data) { return takeEvent(data, out); });
}

bool StreamRelay::takeEvent(std::string_view data, std::string& out)
{
    if (data == "[DONE]")
        return isWhole();
    const auto facts = parseChunk(data);
    if (!facts || facts->hasError)
        return false;
    if (facts->tokenIndex) {
        if (*facts->tokenIndex > m_nextToken)
            return false; // a token is missing
        if (*facts->tokenIndex < m_nextToken)
            return true; // relayed before the stream broke
        ++m_nextToken;
    }
    if (facts->usage)
        m_usage = facts->usage;
    out += "data: ";
    out += data;
    out += "\n\n";
    return true;
}

} // namespace lentilbay
