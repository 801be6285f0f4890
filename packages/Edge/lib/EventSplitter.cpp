// Finds the blank lines that end events, and the id lines in them.
#include "lentilbay/Edge/EventSplitter.h"

#include "lentilbay/Support/Units.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// Returns the value of the event's "id:" line, or std::nullopt if it has none.
std::optional<std::string> idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        return std::string(line);
    }
    return std::nullopt;
}

/// Whether the event consists of comments, which some servers send to keep a connection open.
bool consistsOfComments(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        const auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.empty() && line != "\r" && !line.starts_with(':'))
            return false;
    }
    return true;
}

/// Whether an event was already relayed: a resumed answer may start with events that the caller has.
bool isDuplicate(const std::optional<std::string>& id, const std::optional<std::string>& lastId)
{
    if (!id || !lastId)
        return false;
    const auto number = parseCount(*id);
    const auto last = parseCount(*lastId);
    return number && last && *number <= *last;
}

/// Returns the length of the first complete event including the blank line that ends it, or 0 if none ends at
/// or after a line that ends at `begin` or later.
size_t firstEventLength(std::string_view text, size_t begin)
{
    for (size_t at = begin; (at = text.find('\n', at)) != std::string_view::npos; ++at) {
        if (text.substr(at + 1).starts_with('\n'))
            return at + 2;
        if (text.substr(at + 1).starts_with("\r\n"))
            return at + 3;
    }
    return 0;
}

} // namespace

EventSplitter::Piece EventSplitter::feed(std::string_view bytes)
{
    Piece out;
    m_partialEvent += bytes;
    std::string_view rest = m_partialEvent;
    while (const size_t length = firstEventLength(rest, m_searched)) {
        const auto event = rest.substr(0, length);
        rest.remove_prefix(length);
        m_searched = 0;
        auto id = idOf(event);
        if (isDuplicate(id, m_lastId))
            continue;
        const bool isComment = !id && consistsOfComments(event);
        if (!id && m_requiresIds && !isComment) {
            out.isInterrupted = true;
            break;
        }
        if (id) {
            m_lastId = std::move(id);
            m_hadId = true;
        }
        out.bytes += event;
        ++out.events;
        out.comments += isComment ? 1 : 0;
    }
    m_partialEvent.erase(0, m_partialEvent.size() - rest.size());
    // The end of an event is at most three bytes long.
    constexpr size_t longestEnd = 3;
    m_searched = m_partialEvent.size() - std::min(m_partialEvent.size(), longestEnd);
    return out;
}

} // namespace lentilbay::edge
