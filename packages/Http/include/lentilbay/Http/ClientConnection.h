// One HTTP/1.1 connection to an endpoint or to the platform, which carries one exchange at a time.
//
// The body is delivered as it arrives. An idle connection keeps reading, so that a close or unsolicited bytes
// are noticed before the next request is sent. A failed exchange reports whether the peer may have read its
// request, which decides whether the request may be retried.
#pragma once

#include "lentilbay/Http/MessageParser.h"
#include "lentilbay/Support/MemoryBudget.h"
#include "lentilbay/Support/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lentilbay::http {

/// How far an exchange had come when it failed.
enum class FailurePoint : uint8_t {
    /// No byte of the request was sent.
    NothingSent,
    /// The connection closed after bytes of the request were sent and before any byte of a response.
    BeforeResponse,
    /// The response was truncated.
    DuringResponse,
    /// The response is not valid HTTP or has a status that no response has, or its head or framing has no
    /// end.
    InvalidResponse,
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    struct Observer {
        /// Returns whether this is the response to the request; any other response is read and discarded.
        std::function<bool(const HttpResponseHead&)> head;
        std::function<void(std::string_view)> body;
        /// The response is complete; the connection can carry another exchange if isReusable().
        std::function<void()> complete;
        /// The exchange has failed and the connection is closed.
        std::function<void(FailurePoint)> failed;
    };

    /// @param memory bounds the heads of responses that are being read; nullptr for no bound
    explicit ClientConnection(asio::io_context& context, std::shared_ptr<MemoryBudget> memory = nullptr);

    /// Calls `done` with whether the connection was established within the timeout.
    void connect(const asio::ip::tcp::endpoint& address, Duration timeout, std::function<void(bool)> done);
    /// Sends a request (head and body) and reads its response. The observer is called asynchronously, never
    /// from within this call. Nothing is sent on a connection that was idle and on which something has
    /// arrived: its end, or bytes that are no response to this request.
    /// @param requestHash identifies the request to mayRepeatResponseTo(); 0 if it is never sent again
    void exchange(std::string request, bool isHead, Observer observer, uint64_t requestHash = 0);
    /// Whether the request is the one that was sent last. A host may write a second copy of its response
    /// where the next one is expected, and nothing in it tells the copy from the response to another send of
    /// the same request. The copy precedes the response to any other request, by which it is recognised.
    bool mayRepeatResponseTo(uint64_t requestHash) const
    {
        return requestHash != 0 && m_lastRequestHash == requestHash;
    }
    /// Closes the connection; the observer is not called any more. What has been sent of a request without an
    /// answer is withdrawn as far as possible: the connection is reset, so that what the host still holds of
    /// it is not delivered later.
    void close();
    /// Makes the connection unusable for another exchange.
    void closeAfterResponse() { m_keepsAlive = false; }
    void pauseReading();
    void resumeReading();

    bool isOpen() const { return m_isOpen; }
    /// No exchange is in progress and the connection can carry another one.
    bool isReusable() const { return m_isOpen && !m_observer && m_keepsAlive && m_sent == m_out.size(); }
    TimePoint idleSince() const { return m_idleSince; }
    /// How long the peer keeps an idle connection, from its Keep-Alive header.
    std::optional<Duration> keepAlive() const { return m_keepAlive; }

private:
    /// Whether input or the end of the connection has arrived, also if the event loop has not come to it.
    bool hasInput();
    void awaitReadable();
    void readSome();
    void flush();
    void parse(std::string_view bytes);
    void handleHead(HttpResponseHead head);
    void handleEnd();
    void handleEndOfStream();
    void fail();
    void fail(FailurePoint at);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    ResponseParser m_parser;
    /// Of the head that is being read.
    MemoryCharge m_charge;
    /// Shared, because a callback may close the connection that is calling it.
    std::shared_ptr<Observer> m_observer;
    std::string m_out;
    size_t m_sent = 0;
    uint64_t m_lastRequestHash = 0;
    bool m_isOpen = false;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isPaused = false;
    bool m_keepsAlive = true;
    /// A write has found the connection reset before the end of the peer's output.
    bool m_isReset = false;
    /// The response is one that an endpoint may give before it has read the request.
    bool m_isRefusal = false;
    /// Whether the current exchange has sent or received any byte.
    bool m_hasSentBytes = false;
    bool m_hasReceivedBytes = false;
    /// A response has been completed before.
    bool m_wasUsed = false;
    /// Whether the observer accepted the response that is being read.
    bool m_isExpectedResponse = false;
    bool m_isComplete = false;
    TimePoint m_idleSince {};
    std::optional<Duration> m_keepAlive;
};

} // namespace lentilbay::http
