// A blocking HTTP client over libcurl for the load tool, the verifier and tests.
#pragma once

#include "HttpServer.h"
#include "lentilbay/Support/Time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay::standins {

struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    /// Limit for the whole call, from connecting to the last byte of the response.
    Duration timeout = std::chrono::seconds(30);
    /// If set, receives the bytes of the response body as they arrive; returning false closes the connection.
    std::function<bool(std::string_view)> onData;
};

struct HttpReply {
    /// 0 if no status line was received.
    int status = 0;
    std::vector<HttpHeader> headers;
    /// Empty if onData is set.
    std::string body;
    /// Why the response is incomplete; empty if it is complete.
    std::string error;
    /// Whether the call ended because its timeout expired.
    bool timedOut = false;

    std::string header(const std::string& name) const;
};

/// Sends each call exactly once, over a new connection. Not thread-safe.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    HttpReply call(const HttpCall& call);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::standins
