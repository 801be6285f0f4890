// Single-threaded HTTP server on the loopback interface for stand-ins, with timers and with exchanges whose
// connection can be aborted.
//
// Only HttpServer.cpp includes RESTinio, to keep this header cheap to include.
#pragma once

#include "lentilbay/Support/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilbay::standins {

struct HttpHeader {
    std::string name;
    std::string value;
};

/// The value of the first header with this name, compared case-insensitively; empty if there is none.
std::string findHeader(const std::vector<HttpHeader>& headers, const std::string& name);

struct HttpRequest {
    /// "GET", "POST", ...
    std::string method;
    /// Without the query string.
    std::string path;
    /// The part after the '?', not percent-decoded.
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;

    std::string header(const std::string& name) const;
    /// The value of a query parameter; empty if there is none.
    std::string parameter(const std::string& name) const;
};

/// Writes the response to one request. To be called from the server's thread only.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    /// Sends a complete response; must be the last call on this exchange.
    virtual void reply(int status, std::string body, std::vector<HttpHeader> headers) = 0;
    /// Begins a response with chunked transfer encoding.
    virtual void beginStream(std::string contentType) = 0;
    virtual void writeChunk(std::string bytes) = 0;
    virtual void endStream() = 0;
    /// Closes the connection immediately; later calls send nothing.
    virtual void breakConnection() = 0;

    void replyJson(int status, std::string body)
    {
        reply(status, std::move(body), { { .name = "Content-Type", .value = "application/json" } });
    }
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(const HttpRequest&, HttpExchangePtr)>;

class HttpServer {
public:
    /// Listens on 127.0.0.1; port 0 selects a free port. Throws std::system_error if the port is in use.
    HttpServer(uint16_t port, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    uint16_t port() const;
    /// Serves until SIGTERM, SIGINT or stop().
    void run();
    /// Thread-safe.
    void stop();
    /// Calls the function on the server's thread after the delay.
    void callAfter(Duration delay, std::function<void()> function);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::standins
