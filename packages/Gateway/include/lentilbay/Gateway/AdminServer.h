// HTTP server for operators and monitoring, separate from the one for callers.
//
// /healthz, /readyz and /metrics need no authentication; all paths under /admin require the bearer token from
// the settings.
#pragma once

#include "lentilbay/Gateway/CallerServer.h"
#include "lentilbay/Support/ResultCode.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilbay {

struct AdminOptions {
    CallerServerOptions server;
    /// "<salt>$<hash>" of the token. If empty, all requests under /admin are rejected.
    std::string tokenHash;
};

struct AdminReply {
    int status = 200;
    std::string body = "{}";
    std::string contentType = "application/json";

    auto operator<=>(const AdminReply&) const = default;
};

/// Returns {"error": {"code", "message"}} with the HTTP status of the code.
AdminReply adminError(ResultCode code, const std::string& detail = "");

class AdminServer {
public:
    using Answer = std::function<void(AdminReply)>;
    /// Must call the Answer exactly once, either synchronously or later.
    using Handler = std::function<void(const CallerRequest&, Answer)>;

    AdminServer(asio::io_context& context, AdminOptions options);

    /// Registers a handler for a path or, if the path ends in '/', for all paths with that prefix. The
    /// longest match wins.
    void add(std::string method, std::string path, Handler handler);

    void open() { m_server.open(); }
    void close() { m_server.close(); }
    uint16_t port() const { return m_server.port(); }
    size_t unwrittenAnswers() const { return m_server.unwrittenAnswers(); }

private:
    struct Page {
        std::string method;
        std::string path;
        Handler handler;
    };

    void handle(const CallerRequest& request, const std::shared_ptr<CallerChannel>& channel) const;
    bool isAllowed(const CallerRequest& request) const;
    /// Returns the best match for the path. Falls back to a page with another method if none has the
    /// request's method; returns nullptr if no path matches.
    const Page* find(const CallerRequest& request) const;

    std::string m_tokenHash;
    std::vector<Page> m_pages;
    CallerServer m_server;
};

} // namespace lentilbay
