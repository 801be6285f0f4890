// Splits a server-sent event stream into complete events, so that only complete events are relayed and the id
// of the last one is known.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lentilbay::edge {

class EventSplitter {
public:
    struct Piece {
        /// One or more complete events.
        std::string bytes;
        size_t events = 0;
    };

    /// Returns the events that `bytes` completes; empty if there are none.
    Piece feed(std::string_view bytes);
    /// The id of the last complete event that had one.
    const std::optional<std::string>& lastId() const { return m_lastId; }
    /// Whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// Drops the incomplete event of the previous answer before a new answer is fed.
    void discardPartialEvent() { m_partialEvent.clear(); }

private:
    std::string m_partialEvent;
    std::optional<std::string> m_lastId;
};

} // namespace lentilbay::edge
