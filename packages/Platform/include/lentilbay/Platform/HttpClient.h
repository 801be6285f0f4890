// Outgoing HTTP: libcurl's multi interface driven by an Asio io_context.
//
// The client never writes a request twice. libcurl repeats a request silently when a kept connection turns
// out to be closed; the client asks the handler before the first byte is written and refuses any second
// attempt, so that a handler which counts its dispatches can rely on one yes being one write at most.
#pragma once

#include "lentilbay/Support/Time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio {
class io_context;
}

namespace lentilbay {

struct HttpClientOptions {
    Duration connectTimeout = std::chrono::seconds { 1 };
    /// Connections to one host and port, in use or idle.
    uint32_t maxConnectionsPerHost = 512;
    /// An idle connection that is older is not used again. Keep it below the endpoints' own limit.
    Duration maxIdleAge = std::chrono::seconds { 4 };
    /// Idle connections kept in all.
    uint32_t maxIdleConnections = 1024;
};

using HttpField = std::pair<std::string, std::string>;

struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<HttpField> fields;
    /// Null sends no body.
    std::shared_ptr<const std::string> body;
    /// From the start of the call to its end; 0 means no limit.
    Duration timeout {};
};

/// How a call ended.
enum class HttpEnd : uint8_t {
    /// The answer came whole, as far as its framing tells.
    Whole,
    /// No connection came about; nothing was written.
    ConnectFailed,
    /// The handler refused to begin or the call was stopped before; nothing was written.
    Withdrawn,
    /// The request may have been written in part or whole, and the answer did not come whole.
    Broken,
    /// As Broken, because the time was up.
    TimedOut,
    /// The caller of the client stopped the call after it may have been written.
    Stopped,
};

/// The first part of an answer. Names of fields are in lower case.
struct HttpHead {
    int status = 0;
    std::vector<HttpField> fields;

    /// The value of the field, or nothing where it is absent.
    const std::string* find(std::string_view name) const;
    /// Whether the end of the body can be told from a broken connection.
    bool isFramed() const;
};

/// Receives what happens to one call. No function is called after ended().
class HttpHandler {
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler&) = delete;
    HttpHandler& operator=(const HttpHandler&) = delete;
    virtual ~HttpHandler() = default;

    /// A connection stands and the first byte is about to be written; asked once. False withdraws the call.
    virtual bool mayWrite() { return true; }
    virtual void headArrived(const HttpHead& head) { (void)head; }
    /// Bytes of the body. False takes none of them and pauses the call until resume(), then they come again.
    virtual bool bytesArrived(std::string_view bytes) = 0;
    virtual void ended(HttpEnd end, const std::string& detail) = 0;
};

using HttpCallId = uint64_t;

/// Runs calls on the io_context, whose one thread must make all calls of this class.
class HttpClient {
public:
    HttpClient(asio::io_context& context, HttpClientOptions options);
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    /// Drops calls that still run, without calling their handlers.
    ~HttpClient();

    /// Begins a call. The handler is kept until the call has ended.
    HttpCallId start(HttpCall call, std::shared_ptr<HttpHandler> handler);
    /// Ends a call early; its handler hears Withdrawn or Stopped. A call that has ended is ignored.
    void stop(HttpCallId id);
    /// Continues a call that bytesArrived() paused.
    void resume(HttpCallId id);

    size_t runningCalls() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
