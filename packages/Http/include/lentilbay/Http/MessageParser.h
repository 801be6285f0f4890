// Incremental HTTP/1.1 parsing on http_parser, with the checks against request smuggling that it leaves out.
#pragma once

#include "lentilbay/Http/Message.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace lentilbay::http {

enum class ParseError : uint8_t {
    None,
    /// The bytes are no HTTP/1.1 message, or are framed ambiguously.
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
};

struct ParserLimits {
    /// Bytes of the start line and the header fields together.
    size_t headerBytes = 16'384;
    /// Bytes of one body; responses are relayed in pieces and have no limit.
    uint64_t bodyBytes = 4'194'304;
};

/// Reads requests one after another; stops after each whole one until next() is called.
class RequestParser {
public:
    explicit RequestParser(ParserLimits limits);
    ~RequestParser();
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// Returns how many bytes were taken; fewer than given where a request is whole or an error was found.
    size_t feed(std::string_view bytes);
    bool isWhole() const;
    /// The header fields are complete and the body is still missing.
    bool awaitsBody() const;
    /// The header fields are complete and ask for an interim response before the body.
    bool expectsContinue() const;
    /// Some bytes of a request were read, but not all.
    bool isInside() const;
    ParseError error() const;
    /// Whether the client wants to keep the connection.
    bool keepsAlive() const;
    /// Only while isWhole(); then the parser stands before the next request.
    HttpRequest take();
    void setLimits(ParserLimits limits);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Reads the responses of one connection. The body comes in pieces.
class ResponseParser {
public:
    struct Callbacks {
        /// The final head of a response; interim (1xx) responses are passed over.
        std::function<void(HttpResponseHead)> head;
        std::function<void(std::string_view)> body;
        /// The response is whole.
        std::function<void()> end;
    };

    explicit ResponseParser(Callbacks callbacks);
    ~ResponseParser();
    ResponseParser(const ResponseParser&) = delete;
    ResponseParser& operator=(const ResponseParser&) = delete;

    /// Set before each response: a response to HEAD has no body.
    void expectNoBody(bool isHead);
    /// Returns how many bytes were taken: fewer than given after an error or after the end of a response.
    size_t feed(std::string_view bytes);
    /// The connection ended in order; true if that ended a response that has no other end.
    bool finishAtEnd();
    bool hasFailed() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::http
