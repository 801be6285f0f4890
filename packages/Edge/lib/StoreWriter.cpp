// Calls to the platform's store.
#include "lentilbay/Edge/StoreWriter.h"

#include "lentilbay/platform/StoreCalls.h"

#include <cassert>
#include <utility>

namespace lentilbay::edge {
namespace {

constexpr int httpOk = 200;

} // namespace

void StoreWriter::send(std::string request, std::function<void(bool)> done)
{
    call(std::move(request),
        [done = std::move(done)](const StoreReply& reply) { done(reply.status == httpOk); });
}

StoreWriter::~StoreWriter()
{
    if (m_connection)
        m_connection->close();
}

void StoreWriter::call(
    std::string request, std::function<void(const StoreReply&)> done, const StoreCallLimits& limits)
{
    assert(!isBusy() && "one call at a time");
    auto call = std::make_shared<http::ClientConnection>(m_context);
    m_connection = call;
    m_done = std::move(done);
    // A handler of a call that has ended finds another call, or none, or runs after the destructor.
    const Finish finish = [this, call, lifetime = std::weak_ptr(m_lifetime)](const StoreReply& reply) {
        if (lifetime.expired() || m_connection != call)
            return;
        m_timer.cancel();
        m_connection.reset();
        call->close();
        std::exchange(m_done, nullptr)(reply);
    };
    m_timer.expires_after(limits.timeout);
    m_timer.async_wait([finish](std::error_code ec) {
        if (!ec)
            finish({});
    });
    call->connect(m_store, limits.timeout,
        [call, finish, request = std::move(request), maxReplyBytes = limits.maxReplyBytes](
            bool isConnected) mutable {
            // The connection of a call that has ended is closed.
            if (isConnected && call->isOpen())
                sendRequest(*call, std::move(request), maxReplyBytes, finish);
            else
                finish({});
        });
}

void StoreWriter::sendRequest(
    http::ClientConnection& call, std::string request, size_t maxReplyBytes, const Finish& finish)
{
    const auto reply = std::make_shared<StoreReply>();
    call.exchange(std::move(request), false,
        { .head =
                [reply](const http::HttpResponseHead& head) {
                    reply->status = head.status;
                    reply->era = platform::decodeStoreEra(head.headers).value_or(0);
                    return true;
                },
            .body =
                [reply, maxReplyBytes](std::string_view piece) {
                    if (reply->body.size() + piece.size() <= maxReplyBytes)
                        reply->body += piece;
                },
            .complete = [finish, reply] { finish(*reply); },
            .failed = [finish](http::FailurePoint) { finish({}); } });
}

} // namespace lentilbay::edge
