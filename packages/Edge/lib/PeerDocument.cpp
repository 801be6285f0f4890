// Calls to peers for a document.
#include "lentilbay/Edge/PeerDocument.h"

#include "lentilbay/Support/SteadyClock.h"

#include <fmt/format.h>

namespace lentilbay::edge {
namespace {

namespace ip = asio::ip;

/// Several times the longest round trip between data centres.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// A peer that sends nothing for this long is given up.
constexpr Duration maxAnswerPause = std::chrono::milliseconds(800);
/// Bounds a call to a peer whose answer arrives in ever smaller pieces.
constexpr Duration maxCallDuration = std::chrono::seconds(20);
/// Several times a document of the largest fleet.
constexpr size_t maxDocumentBytes = 8'388'608;

} // namespace

bool PeerDocument::isReceiving(TimePoint now) const
{
    return m_call && now - m_activeAt < maxAnswerPause && now - m_startedAt < maxCallDuration;
}

bool PeerDocument::read(const std::string& daemon, const PeerTable::Peer& peer, const std::string& target,
    TimePoint now, Done done)
{
    std::error_code ec;
    const auto host = ip::make_address(peer.host, ec);
    if (ec)
        return false;
    if (m_call)
        m_call->close();
    // A call that was dropped while it connected still reports that it has failed.
    auto call = m_call = std::make_shared<http::ClientConnection>(m_context);
    m_startedAt = m_activeAt = now;
    const std::weak_ptr<http::ClientConnection> weak = call;
    call->connect({ host, peer.port }, connectTimeout,
        [this, weak, daemon, target, done = std::move(done)](bool isConnected) {
            const auto current = weak.lock();
            if (!current || current != m_call)
                return;
            if (!isConnected) {
                m_call.reset();
                return; // The next call goes to another peer if there is one.
            }
            auto body = std::make_shared<std::string>();
            auto headers = std::make_shared<http::Headers>();
            current->exchange(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, daemon), false,
                { .head =
                        [this, headers](const http::HttpResponseHead& head) {
                            *headers = head.headers;
                            // The peer has no document, or its link is busy; another one may be asked.
                            if (head.status != 200 && m_call)
                                std::exchange(m_call, nullptr)->close();
                            return head.status == 200;
                        },
                    .body =
                        [this, body](std::string_view piece) {
                            m_activeAt = bootNow();
                            if (body->size() + piece.size() <= maxDocumentBytes)
                                *body += piece;
                            else if (m_call)
                                std::exchange(m_call, nullptr)->close();
                        },
                    .complete =
                        [this, body, headers, done] {
                            if (m_call)
                                std::exchange(m_call, nullptr)->close();
                            done(*body, *headers);
                        },
                    .failed = [this](http::FailurePoint) { m_call.reset(); } });
        });
    return true;
}

} // namespace lentilbay::edge
