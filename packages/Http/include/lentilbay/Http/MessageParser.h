// Incremental HTTP/1.1 parsing on http_parser, with the checks against request smuggling that the library
// lacks.
#pragma once

#include "lentilbay/Http/Message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace lentilbay::http {

enum class ParseError : uint8_t {
    None,
    /// Not an HTTP/1.1 message, or ambiguously framed.
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
    /// The memory for unfinished requests is exhausted.
    MemoryExhausted,
};

/// Upper bound of the header fields of a message. Each of them costs more memory than the few bytes that it
/// may be long.
constexpr size_t maxHeaderFields = 200;

struct ParserLimits {
    /// The start line and the header fields together.
    size_t headerBytes = 16'384;
    /// One request body. Response bodies are streamed and have no limit.
    uint64_t bodyBytes = 4'194'304;
};

/// Parses requests one after another; stops after each complete one until take() is called.
class RequestParser {
public:
    explicit RequestParser(ParserLimits limits);
    ~RequestParser();
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// Returns the number of bytes consumed; less than bytes.size() at the end of a request or after an
    /// error.
    size_t feed(std::string_view bytes);
    bool isComplete() const;
    /// The header fields are complete and the body is not.
    bool awaitsBody() const;
    /// The header fields are complete and contain Expect: 100-continue.
    bool expectsContinue() const;
    /// Part of a request has been read.
    bool isMidRequest() const;
    ParseError error() const;
    /// Whether the client allows further requests on the connection.
    bool keepsAlive() const;
    /// Returns the request and makes the parser ready for the next one. Requires isComplete().
    HttpRequest take();
    /// Drops what has been read of the request, which is not completed any more.
    void discard();
    /// The memory of the request as far as it has been read.
    size_t heldBytes() const;
    void setLimits(ParserLimits limits);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Upper bound of the bytes of a response without any of its body in between: its head with all interim
/// responses, or the sizes of chunks and the trailers.
constexpr size_t maxResponseOverheadBytes = 65'536;

/// Parses the responses of one connection and delivers bodies in pieces.
class ResponseParser {
public:
    struct Callbacks {
        /// The head of a final response; interim (1xx) responses are skipped.
        std::function<void(HttpResponseHead)> head;
        std::function<void(std::string_view)> body;
        /// The response is complete.
        std::function<void()> end;
    };

    explicit ResponseParser(Callbacks callbacks);
    ~ResponseParser();
    ResponseParser(const ResponseParser&) = delete;
    ResponseParser& operator=(const ResponseParser&) = delete;

    /// Must be called before each response: a response to HEAD has no body.
    void expectNoBody(bool isHead);
    /// Returns the number of bytes consumed; less than bytes.size() at the end of a response or after an
    /// error.
    size_t feed(std::string_view bytes);
    /// Call when the peer has closed the connection. Returns whether that completed a response whose body is
    /// delimited by the end of the connection.
    bool finishAtEof();
    bool hasFailed() const;
    /// The memory of the head that is being read.
    size_t heldBytes() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::http
