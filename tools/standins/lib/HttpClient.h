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
    /// The whole call ends by then.
    Duration timeout = std::chrono::seconds(30);
    /// Called with the answer's bytes as they come, if set; false closes the connection.
    std::function<bool(std::string_view)> onData;
};

struct HttpReply {
    /// 0 where no status line came.
    int status = 0;
    std::vector<HttpHeader> headers;
    /// Empty where onData was set.
    std::string body;
    /// Why the answer is not whole; empty where it is.
    std::string error;
    /// The error is that the call's timeout passed.
    bool timedOut = false;

    std::string header(const std::string& name) const;
};

/// Sends each call once, over a connection of its own. For use by one thread at a time.
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
