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

/// Bounds of a call.
struct StoreCallLimits {
    /// Many times the usual response time of the store; bounds connecting and the call.
    Duration timeout = std::chrono::seconds(1);
    /// Many times the size of the few rows that most calls read.
    size_t maxReplyBytes = 65'536;
};

class StoreWriter {
public:
    StoreWriter(asio::io_context& context, const asio::ip::tcp::endpoint& store)
        : m_context(context)
        , m_store(store)
    {
    }
    ~StoreWriter();
    StoreWriter(const StoreWriter&) = delete;
    StoreWriter& operator=(const StoreWriter&) = delete;
    StoreWriter(StoreWriter&&) = delete;
    StoreWriter& operator=(StoreWriter&&) = delete;

    bool isBusy() const { return m_connection != nullptr; }
    /// Sends an encoded call and calls `done` with whether the store acknowledged it. Requires !isBusy().
    void send(std::string request, std::function<void(bool acknowledged)> done);
    /// The same, and passes on the whole answer.
    void call(std::string request, std::function<void(const StoreReply& reply)> done,
        const StoreCallLimits& limits = {});

private:
    /// Called with the answer, or an empty one if there is none.
    using Finish = std::function<void(const StoreReply& reply)>;
    static void sendRequest(
        http::ClientConnection& call, std::string request, size_t maxReplyBytes, const Finish& finish);

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_store;
    std::shared_ptr<http::ClientConnection> m_connection;
    std::function<void(const StoreReply&)> m_done;
    /// Expires with this object; handlers of a connection may run after it was destroyed.
    std::shared_ptr<const bool> m_lifetime = std::make_shared<const bool>(true);
    asio::steady_timer m_timer { m_context };
};

} // namespace lentilbay::edge
