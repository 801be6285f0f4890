// Incremental parser for server-sent event streams.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lentilbay {

class SseParser {
public:
    /// Limit for an unfinished event; engines send no larger ones.
    static constexpr size_t maxEventBytes = 1 << 20U;

    /// Calls onData(std::string_view data) for each event that the bytes complete. The view is valid until
    /// onData returns. Returns false if onData returned false or an event is too large.
    template <class F> bool consume(std::string_view bytes, F&& onData)
    {
        m_buffer.append(bytes);
        size_t begin = 0;
        bool valid = true;
        while (valid) {
            const auto end = endOfEvent(begin);
            if (end == std::string::npos)
                break;
            if (const auto data = dataOf({ m_buffer.data() + begin, end - begin }); data.data())
                valid = onData(data);
            begin = end;
        }
        m_buffer.erase(0, begin);
        m_scannedBytes = m_buffer.size();
        return valid && m_buffer.size() <= maxEventBytes;
    }

    /// Discards the incomplete event.
    void reset()
    {
        m_buffer.clear();
        m_scannedBytes = 0;
    }

private:
    /// Returns the position after the blank line that ends the event, or npos.
    size_t endOfEvent(size_t begin);
    /// Returns the data lines of the event, joined by line feeds. The view's data() is nullptr if there are
    /// none.
    std::string_view dataOf(std::string_view event);

    std::string m_buffer;
    /// Number of bytes at the front of the buffer that contain no end of an event.
    size_t m_scannedBytes = 0;
    /// Holds the joined data of an event with several data lines.
    std::string m_joinedData;
};

} // namespace lentilbay
