// The listener of operators and monitoring, apart from the callers' one.
//
// /healthz, /readyz and /metrics are open; everything under /admin needs the bearer token of the settings.
#pragma once

#include "lentilbay/Gateway/CallerServer.h"
#include "lentilbay/Support/ResultCode.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilbay {

struct AdminOptions {
    CallerServerOptions server;
    /// "<salt>$<hash>" of the token; empty allows nothing under /admin.
    std::string tokenHash;
};

struct AdminReply {
    int status = 200;
    std::string body = "{}";
    std::string contentType = "application/json";

    auto operator<=>(const AdminReply&) const = default;
};

/// {"error": {"code", "message"}} with the code's HTTP status.
AdminReply adminError(ResultCode code, const std::string& detail = "");

class AdminServer {
public:
    using Answer = std::function<void(AdminReply)>;
    /// May answer at once or later, once.
    using Handler = std::function<void(const CallerRequest&, Answer)>;

    AdminServer(asio::io_context& context, AdminOptions options);

    /// Adds a page: a path, or with a '/' at its end all paths that begin with it. The longest one that fits
    /// is called.
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
    /// The page for the path whatever its method where there is none for the method.
    const Page* find(const CallerRequest& request) const;

    std::string m_tokenHash;
    std::vector<Page> m_pages;
    CallerServer m_server;
};

} // namespace lentilbay
