// HTTP client: libcurl's multi interface driven by an Asio io_context.
//
// The client never writes a request twice. libcurl silently resends a request if a reused connection turns
// out to be closed. The client therefore calls HttpHandler::mayWrite() before the first byte is written and
// aborts any second attempt, so that a handler that counts its dispatches can rely on at most one write per
// approval.
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
    /// Maximum number of connections to one host and port, in use or idle.
    uint32_t maxConnectionsPerHost = 512;
    /// Connections that were idle for longer are not reused. It should be below the idle timeout of the
    /// endpoints.
    Duration maxIdleAge = std::chrono::seconds { 4 };
    /// Maximum number of idle connections over all hosts.
    uint32_t maxIdleConnections = 1024;
};

using HttpField = std::pair<std::string, std::string>;

struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<HttpField> fields;
    /// Null sends no body.
    std::shared_ptr<const std::string> body;
    /// Covers the whole call, including the connection set-up; 0 means no limit.
    Duration timeout {};
};

/// How a call ended.
enum class HttpEnd : uint8_t {
    /// The complete response arrived, as far as its framing shows.
    Complete,
    /// No connection was established; nothing was written.
    ConnectFailed,
    /// mayWrite() returned false, or stop() was called before the request was written; nothing was written.
    CancelledBeforeWrite,
    /// The request may have been written, partly or completely, and the response was not received completely.
    Incomplete,
    /// As Incomplete, because the timeout expired.
    TimedOut,
    /// stop() was called after the request may have been written.
    CancelledAfterWrite,
};

/// Status and header fields of a response. Field names are in lower case.
struct HttpHead {
    int status = 0;
    std::vector<HttpField> fields;

    /// The value of the field, or null if it is absent.
    const std::string* find(std::string_view name) const;
    /// Whether the end of the body can be distinguished from a lost connection.
    bool isFramed() const;
};

/// Receives the events of one call. No function is called after ended().
class HttpHandler {
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler&) = delete;
    HttpHandler& operator=(const HttpHandler&) = delete;
    virtual ~HttpHandler() = default;

    /// Called at most once, when a connection is established and before the first byte is written. Returning
    /// false cancels the call.
    virtual bool mayWrite() { return true; }
    virtual void headArrived(const HttpHead& head) { (void)head; }
    /// Receives bytes of the body. Returning false consumes none of them and pauses the call; they are
    /// delivered again after resume().
    virtual bool bytesArrived(std::string_view bytes) = 0;
    virtual void ended(HttpEnd end, const std::string& detail) = 0;
};

using HttpCallId = uint64_t;

/// Runs HTTP calls on an io_context. All functions must be called on its single thread.
class HttpClient {
public:
    HttpClient(asio::io_context& context, HttpClientOptions options);
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    /// Abandons running calls without notifying their handlers.
    ~HttpClient();

    /// Starts a call. The handler is kept alive until the call has ended.
    HttpCallId start(HttpCall call, std::shared_ptr<HttpHandler> handler);
    /// Cancels a call; its handler receives CancelledBeforeWrite or CancelledAfterWrite. Has no effect on a
    /// call that has ended.
    void stop(HttpCallId id);
    /// Resumes a call that bytesArrived() paused.
    void resume(HttpCallId id);

    size_t runningCalls() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
