// One HTTP/1.1 connection to an endpoint or to the platform, which carries one exchange at a time.
//
// It relays the body as it comes, keeps reading while it is idle, so that a close or stray bytes are seen
// before the next request is sent, and says of each broken exchange whether its request may have been read.
#pragma once

#include "lentilbay/Http/MessageParser.h"
#include "lentilbay/Support/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lentilbay::http {

enum class BrokenAt : uint8_t {
    /// Not a byte of the request was sent.
    NothingSent,
    /// The connection closed before any byte of a response.
    BeforeResponse,
    /// The response broke off, or its bytes are no HTTP.
    InsideResponse,
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    struct Observer {
        /// Returns whether the response is the one that is waited for; others are read and dropped.
        std::function<bool(const HttpResponseHead&)> head;
        std::function<void(std::string_view)> body;
        /// The response is whole; the connection may be used again if isReusable().
        std::function<void()> whole;
        /// The exchange has failed and the connection is closed.
        std::function<void(BrokenAt)> broken;
    };

    explicit ClientConnection(asio::io_context& context);

    void connect(const asio::ip::tcp::endpoint& address, Duration timeout, std::function<void(bool)> done);
    /// Sends a request (head and body) and reads its response. The observer is called later, never from
    /// inside.
    void exchange(std::string request, bool isHead, Observer observer);
    /// Closes the connection; the observer hears nothing more.
    void close();
    void pauseReading();
    void resumeReading();

    bool isOpen() const { return m_isOpen; }
    /// No exchange is under way and nothing speaks against another one.
    bool isReusable() const { return m_isOpen && !m_observer && m_keepsAlive && m_sent == m_out.size(); }
    TimePoint idleSince() const { return m_idleSince; }
    /// The time that the endpoint keeps an idle connection, where it said so.
    std::optional<Duration> keepAlive() const { return m_keepAlive; }

private:
    void awaitBytes();
    void readSome();
    void flush();
    void parse(std::string_view bytes);
    void responseHead(HttpResponseHead head);
    void responseEnd();
    void endOfStream();
    void fail();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    ResponseParser m_parser;
    /// Shared, because a callback may close the connection that calls it.
    std::shared_ptr<Observer> m_observer;
    std::string m_out;
    size_t m_sent = 0;
    bool m_isOpen = false;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isPaused = false;
    bool m_keepsAlive = true;
    /// Of the present exchange.
    bool m_sentBytes = false;
    bool m_sawBytes = false;
    /// The response now read is the awaited one.
    bool m_isAwaited = false;
    bool m_isWhole = false;
    TimePoint m_idleSince {};
    std::optional<Duration> m_keepAlive;
};

} // namespace lentilbay::http
