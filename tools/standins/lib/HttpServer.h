// A small HTTP server on loopback for stand-ins: one thread, timers, and answers that can be broken off.
//
// RESTinio stays inside HttpServer.cpp, so that including this header is cheap.
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

/// The value of the header whatever the case of its name, or empty.
std::string findHeader(const std::vector<HttpHeader>& headers, const std::string& name);

struct HttpRequest {
    /// "GET", "POST", ...
    std::string method;
    /// Without the query.
    std::string path;
    /// What follows the '?', undecoded.
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;

    std::string header(const std::string& name) const;
    /// The value of a query parameter, or empty.
    std::string parameter(const std::string& name) const;
};

/// The answer to one request. All calls come from the server's thread.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    /// Sends a whole answer; the last call for this exchange.
    virtual void reply(int status, std::string body, std::vector<HttpHeader> headers) = 0;
    /// Begins a chunked answer.
    virtual void beginStream(std::string contentType) = 0;
    virtual void writeChunk(std::string bytes) = 0;
    virtual void endStream() = 0;
    /// Closes the connection at once; nothing more is sent.
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
    /// Listens on 127.0.0.1; port 0 takes a free one. Throws std::system_error where the port is taken.
    HttpServer(uint16_t port, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    uint16_t port() const;
    /// Serves until SIGTERM, SIGINT or stop().
    void run();
    /// May be called from any thread.
    void stop();
    /// Calls the function on the server's thread after the delay; returns a number for cancelTimer().
    void callAfter(Duration delay, std::function<void()> function);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::standins
