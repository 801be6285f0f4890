// HTTP/1.1 server: accepts connections and passes each complete request to a handler as an Exchange.
//
// RESTinio, which the project uses elsewhere, is not used here: it reports a closed connection only when it
// reads the next request, and its header and idle timeouts cannot be changed at run time.
#pragma once

#include "lentilbay/Http/MessageParser.h"
#include "lentilbay/Support/MemoryBudget.h"
#include "lentilbay/Support/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace lentilbay::http {

class ServerConnection;

struct ServerLimits {
    ParserLimits parser;
    /// From the first byte of a request to the end of its header fields.
    Duration headerTimeout = std::chrono::seconds(10);
    /// How long a connection may stay idle between requests.
    Duration idleTimeout = std::chrono::seconds(60);
};

/// When input arrived at this host, as far as that is known.
struct ArrivalTime {
    TimePoint earliest {};
    TimePoint latest {};
};

/// A request and the means to respond to it. It may outlive its connection; responses are then discarded.
class Exchange {
public:
    Exchange(std::shared_ptr<ServerConnection> connection, HttpRequest request, ArrivalTime arrival);

    const HttpRequest& request() const { return m_request; }
    HttpRequest& request() { return m_request; }
    /// When the last byte of the request arrived; the event loop may have read it later.
    const ArrivalTime& arrival() const { return m_arrival; }

    /// Called once if the client closes its connection before the response is complete.
    void onClientDisconnect(std::function<void()> callback) { m_clientDisconnected = std::move(callback); }
    /// Notices a disconnect that has reached this host although the event loop has not come to it yet. The
    /// callback of onClientDisconnect() may be called.
    void detectDisconnect(TimePoint now);
    /// Whether the client has closed its sending side and is about to show whether it still reads. Afterwards
    /// the callback of onClientDisconnect() or of onClientStays() is called.
    bool isClientUncertain() const;
    void onClientStays(std::function<void()> callback) { m_clientStays = std::move(callback); }
    /// Called when the send buffer is empty again after a write that could not complete immediately.
    void onDrained(std::function<void()> callback) { m_drained = std::move(callback); }

    // A second response would be read as part of the first one. Whoever calls respond() or begin() after a
    // response has begun is at fault, and the response is aborted instead.

    /// Sends a complete response.
    void respond(int status, std::string_view reason, const Headers& headers, std::string_view body);
    /// Begins a response with chunked coding; its body follows by write() and finish().
    void begin(int status, std::string_view reason, const Headers& headers);
    void write(std::string_view piece);
    void finish();
    /// Closes the connection without completing the response, so that the client sees that it is truncated.
    void abort();

    bool hasBegun() const { return m_hasBegun; }
    bool isDone() const { return m_isDone; }
    /// Bytes passed to write() that are not yet sent.
    size_t unsentBytes() const;

private:
    friend class ServerConnection;

    void rejectSecondResponse(int status);

    std::shared_ptr<ServerConnection> m_connection;
    HttpRequest m_request;
    ArrivalTime m_arrival;
    std::function<void()> m_clientDisconnected;
    std::function<void()> m_clientStays;
    std::function<void()> m_drained;
    bool m_hasBegun = false;
    bool m_isDone = false;
};

/// Why a connection was closed.
enum class CloseReason : uint8_t {
    /// The client closed or reset it, or it could not be written to.
    Client,
    /// It was announced with the last response.
    LastResponse,
    /// A request was malformed, too large or took too long to arrive.
    InvalidRequest,
    /// The server ran out of memory for requests, or for responses that the client does not read.
    MemoryExhausted,
    /// A response was aborted.
    Aborted,
    IdleTimeout,
    /// The server is stopping.
    Stop,
};

/// How a connection ended; for logs only.
struct ConnectionEnd {
    CloseReason reason = CloseReason::Client;
    /// Requests that were passed to the handler.
    size_t requests = 0;
    /// Bytes from the client that belong to none of these requests.
    size_t unansweredBytes = 0;
    /// Bytes of responses that were not passed to the kernel.
    size_t unsentBytes = 0;
    /// The response to a request was not complete.
    bool hadOpenRequest = false;
    /// How long it had waited for the client when that was decided; zero if it had not.
    Duration waitedFor {};
    /// From the decision to close it until it was closed.
    Duration closingFor {};
    /// From that decision until bytes of the client were first read and dropped; not set if there were none.
    std::optional<Duration> droppedAfter;
};

/// The bound of the age of input if nothing is known about the event loop.
constexpr Duration unknownInputAge = std::chrono::hours(1);

struct HttpServerOptions {
    asio::ip::tcp::endpoint address;
    /// Queried for each request, so that a new configuration applies to open connections.
    std::function<ServerLimits()> limits = [] { return ServerLimits {}; };
    /// The longest time for which input that is read now may have waited for the event loop. If that is not
    /// negligible, the kernel is asked for the time at which it arrived.
    std::function<Duration(TimePoint now)> maxInputAge = [](TimePoint) { return unknownInputAge; };
    std::function<void(std::shared_ptr<Exchange>)> handler;
    /// Called when a request is rejected as malformed or too large; for logs only.
    std::function<void(ParseError)> malformed;
    /// Called when a handler responds to a request whose response has begun, with the status of the second
    /// response; for logs only.
    std::function<void(const HttpRequest&, int status)> repeated;
    /// Called for each connection when it has been closed; for logs only.
    std::function<void(const ConnectionEnd&)> closed;
    /// Bounds what is kept of requests; nullptr for no bound. An unfinished one that is evicted is refused
    /// with status 503, one that is being handled is not evicted.
    std::shared_ptr<MemoryBudget> requestMemory;
    /// Bounds what clients have not read of their responses; the connection of one that is evicted is closed.
    std::shared_ptr<MemoryBudget> responseMemory;
    /// Calls a function once the event loop has handled everything that was ready, as EventLoop::whenIdle()
    /// does. If it is not set, functions are called without waiting for that.
    std::function<void(std::function<void()>)> whenIdle;
};

class HttpServer {
public:
    /// Throws std::system_error if it cannot listen on the address.
    HttpServer(asio::io_context& context, HttpServerOptions options);
    ~HttpServer();

    /// From now on a response closes its connection, unless a further request has arrived on it.
    void closeAfterResponses();
    /// Closes the connections on which no request is being handled and none has begun to arrive. What has
    /// arrived is read first, also if the event loop has not come to it yet.
    void closeIdle(TimePoint now);
    /// Responds to requests that have arrived in part with status 503 and these headers. Complete ones are
    /// handled, also if the event loop has not come to them yet.
    void refuseUnfinished(const Headers& headers, TimePoint now);
    /// Accepts the connections that wait for it, and no others.
    void stopAccepting();
    /// The port listened on; chosen by the system if the address has port 0.
    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    size_t connections() const { return m_connections.size(); }

private:
    friend class ServerConnection;

    void accept();
    /// Accepts up to `n` connections. Returns why there are not so many.
    std::error_code acceptWaiting(int n);

    asio::io_context& m_context;
    HttpServerOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_closesAfterResponses = false;
};

} // namespace lentilbay::http
