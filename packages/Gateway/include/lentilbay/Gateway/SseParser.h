// Splits a server-sent event stream into its events, however the bytes arrive.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lentilbay {

class SseParser {
public:
    /// An event with more bytes is no event of an engine.
    static constexpr size_t maxEventBytes = 1 << 20U;

    /// Calls onData(std::string_view data) for each event that the bytes complete; the view lives until
    /// onData returns. False where onData returned false or an event is too large.
    template <class F> bool take(std::string_view bytes, F&& onData)
    {
        m_buffer.append(bytes);
        size_t begin = 0;
        bool good = true;
        while (good) {
            const auto end = endOfEvent(begin);
            if (end == std::string::npos)
                break;
            if (const auto data = dataOf({ m_buffer.data() + begin, end - begin }); data.data())
                good = onData(data);
            begin = end;
        }
        m_buffer.erase(0, begin);
        m_searched = m_buffer.size();
        return good && m_buffer.size() <= maxEventBytes;
    }

    /// Forgets the event that has begun.
    void reset()
    {
        m_buffer.clear();
        m_searched = 0;
    }

private:
    /// The position after the blank line that ends the event, or npos.
    size_t endOfEvent(size_t begin);
    /// The event's data lines joined; a view of null where it has none.
    std::string_view dataOf(std::string_view event);

    std::string m_buffer;
    /// Bytes at the buffer's front in which no event ends.
    size_t m_searched = 0;
    /// Holds the data of an event of more than one data line.
    std::string m_joined;
};

} // namespace lentilbay
