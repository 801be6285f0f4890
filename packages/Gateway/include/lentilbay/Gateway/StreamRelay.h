// Relays an engine's token stream so that the caller gets each token once and in order, also when the stream
// breaks and is resumed at the same engine.
#pragma once

#include "lentilbay/Gateway/ChunkFacts.h"
#include "lentilbay/Gateway/SseParser.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilbay {

class StreamRelay {
public:
    /// Takes bytes of the engine's stream and appends the events for the caller. False where the stream
    /// cannot be understood or leaves out a token; nothing wrong is appended.
    bool take(std::string_view bytes, std::string& out);

    /// The stream broke off; the next bytes are those of a stream from nextToken().
    void beginResumed() { m_parser.reset(); }

    /// The first token that the caller has not been given.
    uint32_t nextToken() const { return m_nextToken; }
    /// All tokens were relayed and the engine's own count agrees.
    bool isWhole() const { return m_usage && m_usage->completionTokens == m_nextToken; }
    const std::optional<Usage>& usage() const { return m_usage; }

    /// What ends the stream of a whole answer.
    static constexpr std::string_view doneEvent = "data: [DONE]\n\n";

private:
    bool takeEvent(std::string_view data, std::string& out);

    SseParser m_parser;
    /// Invariant: the tokens 0 to m_nextToken - 1 were appended, each once and in this order.
    uint32_t m_nextToken = 0;
    std::optional<Usage> m_usage;
};

} // namespace lentilbay
