// A log sink that never blocks: a bounded buffer in front of a non-blocking file descriptor.
#pragma once

#include "lentilbay/Support/Log.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <fcntl.h>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>
#include <unistd.h>

namespace lentilbay {

class BoundedOutputSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit BoundedOutputSink(int descriptor)
        : m_descriptor(descriptor)
    {
        const int flags = fcntl(descriptor, F_GETFL);
        // This fails only for a closed descriptor, whose writes fail immediately as well.
        if (flags >= 0)
            fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }

    uint64_t dropped()
    {
        const std::lock_guard lock(mutex_);
        return m_dropped;
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (m_buffer.size() + line.size() > capacityBytes) {
            ++m_dropped;
            ++m_unreportedDrops;
        } else {
            reportDroppedLines();
            m_buffer.append(line.data(), line.size());
        }
        writeBuffered();
    }

    void flush_() override { writeBuffered(); }

private:
    /// Several hundred lines, enough to bridge a short stall of the reader.
    static constexpr size_t capacityBytes = 131'072;

    void reportDroppedLines()
    {
        if (m_unreportedDrops == 0)
            return;
        // Formatted here because the logger, which is writing another line, cannot be called recursively.
        m_buffer += "{"
            + formatEvent(Event::LogLinesDropped, { { "dropped", static_cast<int64_t>(m_unreportedDrops) } },
                LogFormat::JsonLines)
            + "}\n";
        m_unreportedDrops = 0;
    }

    void writeBuffered()
    {
        while (!m_buffer.empty()) {
            const auto n = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
            if (n > 0) {
                m_buffer.erase(0, static_cast<size_t>(n));
                continue;
            }
            // The reader has closed its end, so the buffered lines can never be written.
            if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                m_dropped += static_cast<uint64_t>(std::count(m_buffer.begin(), m_buffer.end(), '\n'));
                m_buffer.clear();
            }
            return;
        }
    }

    int m_descriptor;
    std::string m_buffer;
    uint64_t m_dropped = 0;
    uint64_t m_unreportedDrops = 0;
};

} // namespace lentilbay
