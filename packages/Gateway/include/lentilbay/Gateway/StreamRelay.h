// Relays an engine's token stream so that the caller receives each token exactly once and in order, even if
// the stream breaks and is resumed on the same engine.
#pragma once

#include "lentilbay/Gateway/ChunkFields.h"
#include "lentilbay/Gateway/SseParser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilbay {

class StreamRelay {
public:
    /// Processes bytes of the engine's stream and appends the events for the caller to out. Returns false if
    /// the stream is malformed or skips a token; no invalid event is appended.
    bool consume(std::string_view bytes, std::string& out);

    /// Must be called after the stream broke. The next bytes belong to a stream that starts at or before
    /// nextToken().
    void beginResumedStream() { m_parser.reset(); }

    /// Index of the first token that has not been relayed.
    uint32_t nextToken() const { return m_nextToken; }
    /// True once all tokens were relayed and their number matches the engine's reported count.
    bool isComplete() const { return m_usage && m_usage->completionTokens == m_nextToken; }
    const std::optional<Usage>& usage() const { return m_usage; }

    /// Terminates the stream of a complete response.
    static constexpr std::string_view doneEvent = "data: [DONE]\n\n";

private:
    bool consumeEvent(std::string_view data, std::string& out);

    SseParser m_parser;
    /// Invariant: tokens 0 to m_nextToken - 1 were appended exactly once, in this order.
    uint32_t m_nextToken = 0;
    std::optional<Usage> m_usage;
};

} // namespace lentilbay
