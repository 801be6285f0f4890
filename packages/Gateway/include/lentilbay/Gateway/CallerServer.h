// An HTTP listener by RESTinio. It reads requests within limits and tells when a connection closes.
#pragma once

#include "lentilbay/Gateway/Caller.h"
#include "lentilbay/Support/Time.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace lentilbay {

struct CallerServerOptions {
    std::string address = "127.0.0.1";
    /// 0 takes a free port.
    uint16_t port = 0;
    size_t maxConnections = 10'000;
    /// Larger bodies are read up to four times the limit, so that the caller hears why; then the connection
    /// is closed.
    uint64_t maxBodyBytes = 4 << 20U;
    /// The limit on one header field and on the path, treated likewise.
    size_t maxFieldBytes = 16 << 10U;
    size_t maxFields = 100;
    /// A connection that sends nothing, or takes none of its answer, for so long is closed.
    Duration idleTimeout = std::chrono::minutes { 2 };
};

class CallerServer {
public:
    using RequestHandler = std::function<void(CallerRequest, std::shared_ptr<CallerChannel>)>;
    using LeftHandler = std::function<void(ConnectionId)>;

    /// The io_context's one thread calls the handlers.
    CallerServer(
        asio::io_context& context, CallerServerOptions options, RequestHandler onRequest, LeftHandler onLeft);
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;
    ~CallerServer();

    /// Begins to listen; throws std::system_error where the address is taken.
    void open();
    /// Stops listening. Connections that stand go on.
    void close();
    /// From now on each answer closes its connection.
    void closeAfterAnswers();

    uint16_t port() const;
    size_t connections() const;
    /// Answers that were given but not yet wholly written.
    size_t unwrittenAnswers() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace lentilbay
