// The server side of HTTP/1.1: accepts connections and gives each whole request to a handler as an Exchange.
//
// RESTinio, which the project uses elsewhere, tells of a closed connection only when it reads the next
// request, and bounds neither the wait for a header nor an idle connection by settings that change while it
// runs.
#pragma once

#include "lentilbay/Http/MessageParser.h"
#include "lentilbay/Support/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace lentilbay::http {

class ServerConnection;

struct ServerLimits {
    ParserLimits parser;
    /// From the first byte of a request to the end of its header fields.
    Duration headerTimeout = std::chrono::seconds(10);
    /// The time that a connection may lie idle between requests.
    Duration idleTimeout = std::chrono::seconds(60);
};

/// One request and the way of its answer. It may outlive its connection; answers then go nowhere.
class Exchange {
public:
    Exchange(std::shared_ptr<ServerConnection> connection, HttpRequest request, TimePoint arrivedAt);

    const HttpRequest& request() const { return m_request; }
    HttpRequest& request() { return m_request; }
    TimePoint arrivedAt() const { return m_arrivedAt; }

    /// Called once when the client closes its connection before the answer is whole.
    void onClientLeft(std::function<void()> callback) { m_clientLeft = std::move(callback); }
    /// Called when unsent bytes have gone out.
    void onDrained(std::function<void()> callback) { m_drained = std::move(callback); }

    /// Sends a whole answer.
    void respond(int status, std::string_view reason, const Headers& headers, std::string_view body);
    /// Begins an answer whose body follows in pieces, with chunked coding.
    void begin(int status, std::string_view reason, const Headers& headers);
    void write(std::string_view piece);
    void finish();
    /// Ends the answer so that it cannot be taken for whole: the connection closes.
    void abort();

    bool hasBegun() const { return m_hasBegun; }
    bool isDone() const { return m_isDone; }
    /// Bytes given to write() that wait for the client to read.
    size_t unsentBytes() const;

private:
    friend class ServerConnection;

    std::shared_ptr<ServerConnection> m_connection;
    HttpRequest m_request;
    TimePoint m_arrivedAt;
    std::function<void()> m_clientLeft;
    std::function<void()> m_drained;
    bool m_hasBegun = false;
    bool m_isDone = false;
};

struct HttpServerOptions {
    asio::ip::tcp::endpoint address;
    /// Read for each request, so that a new configuration takes effect on open connections.
    std::function<ServerLimits()> limits = [] { return ServerLimits {}; };
    std::function<void(std::shared_ptr<Exchange>)> handler;
    /// Called when a request cannot be read; only for logs.
    std::function<void(ParseError)> malformed;
};

class HttpServer {
public:
    /// Throws std::system_error where the address cannot be listened on.
    HttpServer(asio::io_context& context, HttpServerOptions options);
    ~HttpServer();

    /// From now on each answer closes its connection.
    void closeAfterAnswers();
    /// Closes the connections on which no request is being read or answered.
    void closeIdle();
    void stopAccepting();
    /// The port that it listens on; of use where the address left it to the system.
    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    size_t connections() const { return m_connections.size(); }

private:
    friend class ServerConnection;

    void accept();

    asio::io_context& m_context;
    HttpServerOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_closesAfterAnswers = false;
};

} // namespace lentilbay::http
