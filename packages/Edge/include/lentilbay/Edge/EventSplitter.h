// Splits a stream into whole events, so that only whole ones are relayed and the last one relayed is known.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lentilbay::edge {

class EventSplitter {
public:
    struct Piece {
        /// The bytes of one or more whole events.
        std::string bytes;
        size_t events = 0;
    };

    /// Returns the whole events that the bytes complete; `bytes` is empty where there are none.
    Piece feed(std::string_view bytes);
    /// The id of the last whole event, if it has one.
    const std::optional<std::string>& lastId() const { return m_lastId; }
    /// Bytes of an event that is not whole.
    bool hasRest() const { return !m_rest.empty(); }
    /// A new answer follows: the rest of the former one is dropped.
    void restart() { m_rest.clear(); }

private:
    std::string m_rest;
    std::optional<std::string> m_lastId;
};

} // namespace lentilbay::edge
