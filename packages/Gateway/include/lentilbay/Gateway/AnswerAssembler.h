// Assembles a resumed token stream into the answer of a caller that did not ask for a stream.
#pragma once

#include "lentilbay/Gateway/StreamRelay.h"

#include <optional>
#include <string>

namespace lentilbay {

class AnswerAssembler {
public:
    /// As StreamRelay::take().
    bool take(std::string_view bytes);
    void beginResumed() { m_relay.beginResumed(); }
    uint32_t nextToken() const { return m_relay.nextToken(); }
    bool isWhole() const { return m_relay.isWhole(); }
    const std::optional<Usage>& usage() const { return m_relay.usage(); }

    /// The whole answer as JSON; nothing where it is not whole or a chunk was not as it should be.
    std::optional<std::string> answer(bool chat) const;

private:
    StreamRelay m_relay;
    /// The events of the stream, each token once and in order.
    std::string m_events;
};

} // namespace lentilbay
