// Finds the boundaries of server-sent events and extracts their data.
#include "lentilbay/Gateway/SseParser.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr std::string_view dataField = "data:";
/// Length of the longest event terminator, CR LF CR LF.
constexpr size_t maxTerminatorBytes = 4;

std::string_view withoutCarriageReturn(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

} // namespace

size_t SseParser::endOfEvent(size_t begin)
{
    auto from
        = std::max(begin, m_scannedBytes > maxTerminatorBytes ? m_scannedBytes - maxTerminatorBytes : 0);
    for (auto at = m_buffer.find('\n', from); at != std::string::npos; at = m_buffer.find('\n', at + 1)) {
        const auto next = at + 1;
        if (next < m_buffer.size() && m_buffer[next] == '\n')
            return next + 1;
        if (next + 1 < m_buffer.size() && m_buffer[next] == '\r' && m_buffer[next + 1] == '\n')
            return next + 2;
    }
    return std::string::npos;
}

std::string_view SseParser::dataOf(std::string_view event)
{
    std::string_view first;
    size_t lines = 0;
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size() - 1);
        auto line = withoutCarriageReturn(event.substr(0, end));
        event.remove_prefix(end + 1);
        if (!line.starts_with(dataField))
            continue;
        line.remove_prefix(dataField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (++lines == 1) {
            first = line;
            continue;
        }
        if (lines == 2)
            m_joinedData = first;
        m_joinedData += '\n';
        m_joinedData += line;
    }
    return lines > 1 ? std::string_view(m_joinedData) : first;
}

} // namespace lentilbay
