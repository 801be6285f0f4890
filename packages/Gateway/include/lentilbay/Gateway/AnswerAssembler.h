// Assembles a resumed token stream into a non-streamed response.
#pragma once

#include "lentilbay/Gateway/StreamRelay.h"

#include <optional>
#include <string>

namespace lentilbay {

class AnswerAssembler {
public:
    /// See StreamRelay::consume().
    bool consume(std::string_view bytes);
    void beginResumedStream() { m_relay.beginResumedStream(); }
    uint32_t nextToken() const { return m_relay.nextToken(); }
    bool isComplete() const { return m_relay.isComplete(); }
    const std::optional<Usage>& usage() const { return m_relay.usage(); }

    /// Returns the response as JSON, or nothing if it is incomplete or a chunk is malformed.
    std::optional<std::string> answer(bool chat) const;

private:
    StreamRelay m_relay;
    /// The events of the stream; each token occurs once, in order.
    std::string m_events;
};

} // namespace lentilbay
