// HTTP server for callers, implemented with RESTinio. Enforces size limits and reports closed connections.
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
    /// 0 selects a free port.
    uint16_t port = 0;
    size_t maxConnections = 10'000;
    /// Bodies of up to four times this limit are still read, so that the caller gets a specific error
    /// response; beyond that the connection is closed.
    uint64_t maxBodyBytes = 4 << 20U;
    /// Limit for each header field and for the path, enforced in the same way.
    size_t maxFieldBytes = 16 << 10U;
    size_t maxFields = 100;
    /// A connection is closed if it sends no request, or accepts no response data, for this long.
    Duration idleTimeout = std::chrono::minutes { 2 };
};

class CallerServer {
public:
    using RequestHandler = std::function<void(CallerRequest, std::shared_ptr<CallerChannel>)>;
    using DisconnectHandler = std::function<void(ConnectionId)>;

    /// The handlers run on the single thread of the io_context.
    CallerServer(asio::io_context& context, CallerServerOptions options, RequestHandler onRequest,
        DisconnectHandler onDisconnect);
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;
    ~CallerServer();

    /// Starts listening. Throws std::system_error if the address is in use.
    void open();
    /// Stops listening. Established connections stay open.
    void close();
    /// From now on, closes each connection after its response.
    void closeAfterResponses();

    uint16_t port() const;
    size_t connections() const;
    /// Returns the number of responses that have not been fully written.
    size_t unwrittenAnswers() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace lentilbay
