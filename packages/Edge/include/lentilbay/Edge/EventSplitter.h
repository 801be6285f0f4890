// Splits a server-sent event stream into complete events, so that only complete events are relayed and the id
// of the last one is known.
#pragma once

#include "lentilbay/Support/MemoryBudget.h"

#include <optional>
#include <string>
#include <string_view>

namespace lentilbay::edge {

class EventSplitter {
public:
    /// Upper bound of an event.
    static constexpr size_t maxEventBytes = 262'144;

    struct Piece {
        /// One or more complete events.
        std::string bytes;
        size_t events = 0;
        /// Of these events, those that consist of comments.
        size_t comments = 0;
        /// An event without an id follows them in an answer that resumes a stream of events with ids: an
        /// error, for instance.
        bool isInterrupted = false;
    };

    /// Returns the events that `bytes` completes; empty if there are none. After an interruption, the next
    /// call is beginAnswer().
    Piece feed(std::string_view bytes);
    /// The id of the last complete event that had one.
    const std::optional<std::string>& lastId() const { return m_lastId; }
    /// The caller has the events up to this id from a former response; they are not relayed again.
    void skipUntil(std::string id) { m_lastId = std::move(id); }
    /// Whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// The memory of the incomplete event.
    size_t partialBytes() const { return m_partialEvent.size(); }
    void dropPartialEvent() { releaseBuffer(m_partialEvent); }
    /// Whether the incomplete event is longer than an event may be.
    bool isTooLong() const { return m_partialEvent.size() > maxEventBytes; }
    /// Prepares for a new answer, which resumes the stream if events were relayed before. Drops the
    /// incomplete event of the previous answer.
    void beginAnswer()
    {
        m_partialEvent.clear();
        m_searched = 0;
        m_requiresIds = m_hadId;
    }

private:
    std::string m_partialEvent;
    /// The length of the beginning of m_partialEvent that is known to contain no end of an event.
    size_t m_searched = 0;
    std::optional<std::string> m_lastId;
    /// A complete event had an id.
    bool m_hadId = false;
    bool m_requiresIds = false;
};

} // namespace lentilbay::edge
