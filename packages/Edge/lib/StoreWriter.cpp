// Calls to the platform's store.
#include "lentilbay/Edge/StoreWriter.h"

#include "lentilbay/platform/StoreCalls.h"

#include <cassert>
#include <utility>

namespace lentilbay::edge {
namespace {

/// Many times the usual response time of the store; bounds connecting and the call.
constexpr Duration callTimeout = std::chrono::seconds(1);
/// Many times the size of the few rows that such calls read.
constexpr size_t maxReplyBytes = 65'536;
constexpr int httpOk = 200;

} // namespace

void StoreWriter::send(std::string request, std::function<void(bool)> done)
{
    call(std::move(request),
        [done = std::move(done)](const StoreReply& reply) { done(reply.status == httpOk); });
}

void StoreWriter::call(std::string request, std::function<void(const StoreReply&)> done)
{
    assert(!isBusy() && "one call at a time");
    auto call = std::make_shared<http::ClientConnection>(m_context);
    m_connection = call;
    m_done = std::move(done);
    m_timer.expires_after(callTimeout);
    m_timer.async_wait([this, call](std::error_code ec) {
        if (!ec)
            finish(call, {});
    });
    call->connect(m_store, callTimeout, [this, call, request = std::move(request)](bool connected) mutable {
        if (!connected || m_connection != call) {
            finish(call, {});
            return;
        }
        const auto reply = std::make_shared<StoreReply>();
        call->exchange(std::move(request), false,
            { .head =
                    [reply](const http::HttpResponseHead& head) {
                        reply->status = head.status;
                        reply->era = platform::decodeStoreEra(head.headers).value_or(0);
                        return true;
                    },
                .body =
                    [reply](std::string_view piece) {
                        if (reply->body.size() + piece.size() <= maxReplyBytes)
                            reply->body += piece;
                    },
                .complete = [this, call, reply] { finish(call, *reply); },
                .failed = [this, call](http::FailurePoint) { finish(call, {}); } });
    });
}

void StoreWriter::finish(const std::shared_ptr<http::ClientConnection>& call, const StoreReply& reply)
{
    if (m_connection != call)
        return;
    m_timer.cancel();
    m_connection.reset();
    call->close();
    std::exchange(m_done, nullptr)(reply);
}

} // namespace lentilbay::edge
