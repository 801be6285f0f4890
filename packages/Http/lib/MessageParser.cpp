// HTTP/1.1 parsing on http_parser; no other file includes that library.
#include "lentilbay/Http/MessageParser.h"

#include "lentilbay/Support/MemoryBudget.h"

#include <algorithm>
#include <cassert>
#include <http_parser.h>
#include <utility>

namespace lentilbay::http {
namespace {

bool isTokenChar(char c)
{
    const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isAlphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isFieldValueChar(char c) { return c == '\t' || (static_cast<unsigned char>(c) >= 0x20 && c != 0x7f); }

/// Rejects spaces in names and control characters in values. http_parser accepts some of these, and another
/// parser may then read a different message.
bool isValid(const HeaderField& field)
{
    return !field.name.empty() && std::ranges::all_of(field.name, isTokenChar)
        && std::ranges::all_of(field.value, isFieldValueChar);
}

/// Assembles header fields from the fragments that http_parser delivers.
class HeaderCollector {
public:
    /// Returns false if there are too many fields.
    bool name(std::string_view piece)
    {
        if (m_inValue || m_headers.fields().empty()) {
            if (m_headers.fields().size() == maxHeaderFields)
                return false;
            m_headers.add("", "");
            m_heldBytes += headerFieldOverhead;
        }
        m_inValue = false;
        m_headers.fields().back().name += piece;
        m_heldBytes += piece.size();
        return true;
    }
    void value(std::string_view piece)
    {
        m_inValue = true;
        m_headers.fields().back().value += piece;
        m_heldBytes += piece.size();
    }
    size_t heldBytes() const { return m_heldBytes; }
    bool isValid() const
    {
        return std::ranges::all_of(m_headers.fields(), [](const auto& it) { return http::isValid(it); });
    }
    Headers take()
    {
        m_inValue = false;
        m_heldBytes = 0;
        return std::exchange(m_headers, {});
    }
    const Headers& headers() const { return m_headers; }

private:
    Headers m_headers;
    size_t m_heldBytes = 0;
    bool m_inValue = false;
};

size_t countOf(const Headers& headers, std::string_view name)
{
    return std::ranges::count_if(
        headers.fields(), [&](const auto& it) { return sameHeaderName(it.name, name); });
}

/// Whether all parsers find the same end of the body; request smuggling relies on parsers that differ.
bool isFramedUnambiguously(const Headers& headers)
{
    const auto* coding = headers.find("Transfer-Encoding");
    if (countOf(headers, "Content-Length") > 1 || countOf(headers, "Transfer-Encoding") > 1)
        return false;
    if (!coding)
        return true;
    return sameHeaderName(*coding, "chunked") && !headers.contains("Content-Length");
}

std::string_view viewOf(const char* at, size_t length) { return { at, length }; }

/// Whether a response to a request of this client may have the status. 101 answers a request to change the
/// protocol, which is never made.
bool isValidStatus(unsigned status) { return status >= 100 && status < 600 && status != 101; }

/// Installs the header callbacks, which are the same for requests and responses.
template <class State> void collectHeaders(http_parser_settings& settings)
{
    settings.on_header_field = [](http_parser* p, const char* at, size_t n) {
        // Fields after the body are trailers and are discarded.
        if (State::of(p).isHeadComplete || State::of(p).headers.name(viewOf(at, n)))
            return 0;
        return State::of(p).onTooManyFields();
    };
    settings.on_header_value = [](http_parser* p, const char* at, size_t n) {
        if (!State::of(p).isHeadComplete)
            State::of(p).headers.value(viewOf(at, n));
        return 0;
    };
    settings.on_headers_complete = [](http_parser* p) { return State::of(p).onHeadersComplete(); };
}

} // namespace

struct RequestParser::State {
    explicit State(ParserLimits limits)
        : limits(limits)
    {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
        // ParserLimits::headerBytes applies instead of the library's limit.
        http_parser_set_max_header_size(UINT32_MAX);
    }

    static State& of(http_parser* parser) { return *static_cast<State*>(parser->data); }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_message_begin = [](http_parser* p) {
                of(p).hasStarted = true;
                return 0;
            };
            s.on_url = [](http_parser* p, const char* at, size_t n) {
                of(p).request.target += viewOf(at, n);
                return 0;
            };
            collectHeaders<State>(s);
            s.on_body = [](http_parser* p, const char* at, size_t n) { return of(p).addBody(viewOf(at, n)); };
            s.on_message_complete = [](http_parser* p) {
                of(p).isComplete = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        return table;
    }

    int onHeadersComplete()
    {
        isHeadComplete = true;
        request.method = http_method_str(static_cast<http_method>(parser.method));
        const bool isOrigin = !request.target.empty() && request.target.front() == '/';
        if (!headers.isValid() || !isFramedUnambiguously(headers.headers()) || parser.http_major != 1
            || parser.upgrade || !isOrigin || countOf(headers.headers(), "Host") > 1)
            return fail(ParseError::Malformed);
        if (!(parser.flags & F_CHUNKED) && parser.content_length != UINT64_MAX
            && parser.content_length > limits.bodyBytes)
            return fail(ParseError::BodyTooLarge);
        keepsAlive = http_should_keep_alive(&parser) != 0;
        return 0;
    }

    int onTooManyFields() { return fail(ParseError::HeadersTooLarge); }

    int addBody(std::string_view piece)
    {
        if (request.body.size() + piece.size() > limits.bodyBytes)
            return fail(ParseError::BodyTooLarge);
        request.body += piece;
        return 0;
    }

    int fail(ParseError reason)
    {
        error = reason;
        return -1;
    }

    ParserLimits limits;
    http_parser parser {};
    HttpRequest request;
    HeaderCollector headers;
    size_t headBytes = 0;
    bool hasStarted = false;
    bool isHeadComplete = false;
    bool isComplete = false;
    bool keepsAlive = true;
    ParseError error = ParseError::None;
};

RequestParser::RequestParser(ParserLimits limits)
    : m_state(std::make_unique<State>(limits))
{
}

RequestParser::~RequestParser() = default;

size_t RequestParser::feed(std::string_view bytes)
{
    auto& state = *m_state;
    if (state.isComplete || state.error != ParseError::None)
        return 0;
    const bool wasInHead = !state.isHeadComplete;
    const size_t taken = http_parser_execute(&state.parser, &State::settings(), bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&state.parser);
    if (state.error == ParseError::None && code != HPE_OK && code != HPE_PAUSED)
        state.error = ParseError::Malformed;
    if (wasInHead && !state.isHeadComplete)
        state.headBytes += taken;
    if (state.error == ParseError::None && state.headBytes > state.limits.headerBytes)
        state.error = ParseError::HeadersTooLarge;
    return taken;
}

bool RequestParser::isComplete() const { return m_state->isComplete; }
bool RequestParser::awaitsBody() const { return m_state->isHeadComplete && !m_state->isComplete; }
bool RequestParser::expectsContinue() const
{
    const auto* expectation = m_state->headers.headers().find("Expect");
    return m_state->isHeadComplete && expectation && sameHeaderName(*expectation, "100-continue");
}
bool RequestParser::isMidRequest() const { return m_state->hasStarted && !m_state->isComplete; }
ParseError RequestParser::error() const { return m_state->error; }
bool RequestParser::keepsAlive() const { return m_state->keepsAlive; }
size_t RequestParser::heldBytes() const
{
    const auto& request = m_state->request;
    return m_state->headers.heldBytes() + request.target.size() + request.body.size();
}

void RequestParser::discard()
{
    releaseBuffer(m_state->request.target);
    releaseBuffer(m_state->request.body);
    m_state->headers.take();
}

void RequestParser::setLimits(ParserLimits limits) { m_state->limits = limits; }

HttpRequest RequestParser::take()
{
    assert(m_state->isComplete && "take() needs a complete request");
    auto request = std::move(m_state->request);
    request.headers = m_state->headers.take();
    m_state->request = {};
    m_state->headBytes = 0;
    m_state->hasStarted = m_state->isHeadComplete = m_state->isComplete = false;
    http_parser_pause(&m_state->parser, 0);
    return request;
}

struct ResponseParser::State {
    explicit State(Callbacks initial)
        : callbacks(std::move(initial))
    {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        http_parser_set_max_header_size(UINT32_MAX);
    }

    static State& of(http_parser* parser) { return *static_cast<State*>(parser->data); }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_status = [](http_parser* p, const char* at, size_t n) {
                of(p).head.reason += viewOf(at, n);
                return 0;
            };
            collectHeaders<State>(s);
            s.on_body = [](http_parser* p, const char* at, size_t n) {
                // What follows the head of an interim response is no progress.
                if (of(p).isInterim)
                    return 0;
                of(p).hasBodyBytes = true;
                of(p).callbacks.body(viewOf(at, n));
                return 0;
            };
            s.on_message_complete = [](http_parser* p) { return of(p).onMessageComplete(); };
            return s;
        }();
        return table;
    }

    int onHeadersComplete()
    {
        isHeadComplete = true;
        if (!headers.isValid() || !isFramedUnambiguously(headers.headers()) || parser.http_major != 1
            || !isValidStatus(parser.status_code))
            return -1;
        head.status = static_cast<int>(parser.status_code);
        isInterim = head.status < 200;
        head.headers = headers.take();
        head.isChunked = (parser.flags & F_CHUNKED) != 0;
        if (!head.isChunked && parser.content_length != UINT64_MAX)
            head.contentLength = parser.content_length;
        head.keepsAlive = http_should_keep_alive(&parser) != 0;
        if (!isInterim)
            callbacks.head(std::move(head));
        head = {};
        constexpr int skipBody = 1;
        return isHead ? skipBody : 0;
    }

    int onTooManyFields() { return -1; }

    int onMessageComplete()
    {
        isHeadComplete = false;
        if (std::exchange(isInterim, false))
            return 0;
        callbacks.end();
        http_parser_pause(&parser, 1);
        return 0;
    }

    Callbacks callbacks;
    http_parser parser {};
    HttpResponseHead head;
    HeaderCollector headers;
    bool isHeadComplete = false;
    bool isInterim = false;
    bool isHead = false;
    /// Bytes since the begin of the response or the last byte of its body.
    size_t overheadBytes = 0;
    /// Whether the bytes being fed include some of the body.
    bool hasBodyBytes = false;
};

ResponseParser::ResponseParser(Callbacks callbacks)
    : m_state(std::make_unique<State>(std::move(callbacks)))
{
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::expectNoBody(bool isHead) { m_state->isHead = isHead; }

size_t ResponseParser::feed(std::string_view bytes)
{
    if (HTTP_PARSER_ERRNO(&m_state->parser) == HPE_PAUSED)
        http_parser_pause(&m_state->parser, 0);
    m_state->hasBodyBytes = false;
    const auto taken = http_parser_execute(&m_state->parser, &State::settings(), bytes.data(), bytes.size());
    const bool hasEnded = HTTP_PARSER_ERRNO(&m_state->parser) == HPE_PAUSED;
    m_state->overheadBytes = hasEnded || m_state->hasBodyBytes ? 0 : m_state->overheadBytes + taken;
    return taken;
}

bool ResponseParser::finishAtEof()
{
    const bool wasMidBody = m_state->isHeadComplete;
    http_parser_execute(&m_state->parser, &State::settings(), nullptr, 0);
    const auto code = HTTP_PARSER_ERRNO(&m_state->parser);
    return wasMidBody && (code == HPE_OK || code == HPE_PAUSED);
}

size_t ResponseParser::heldBytes() const { return m_state->headers.heldBytes(); }

bool ResponseParser::hasFailed() const
{
    const auto code = HTTP_PARSER_ERRNO(&m_state->parser);
    return (code != HPE_OK && code != HPE_PAUSED) || m_state->overheadBytes > maxResponseOverheadBytes;
}

} // namespace lentilbay::http
