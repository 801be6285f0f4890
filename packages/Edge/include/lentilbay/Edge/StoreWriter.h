// Sends calls to the platform's store, one at a time. A call that fails is reported, not repeated.
#pragma once

#include "lentilbay/Http/ClientConnection.h"

namespace lentilbay::edge {

/// What the store answered to a call.
struct StoreReply {
    /// 0 if there was no complete answer; a write may have been applied then, or be applied later.
    int status = 0;
    /// The era that the store stated; 0 if it stated none.
    uint64_t era = 0;
    std::string body;
};

class StoreWriter {
public:
    StoreWriter(asio::io_context& context, const asio::ip::tcp::endpoint& store)
        : m_context(context)
        , m_store(store)
    {
    }

    bool isBusy() const { return m_connection != nullptr; }
    /// Sends an encoded call and calls `done` with whether the store acknowledged it. Requires !isBusy().
    void send(std::string request, std::function<void(bool acknowledged)> done);
    /// The same, and passes on the whole answer.
    void call(std::string request, std::function<void(const StoreReply& reply)> done);

private:
    void finish(const std::shared_ptr<http::ClientConnection>& call, const StoreReply& reply);

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_store;
    std::shared_ptr<http::ClientConnection> m_connection;
    std::function<void(const StoreReply&)> m_done;
    asio::steady_timer m_timer { m_context };
};

} // namespace lentilbay::edge
