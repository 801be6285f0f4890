// TCP transport between daemons: length-prefixed packets, one connection per direction, closed when idle.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lentilbay {

class PeerStreams : public std::enable_shared_from_this<PeerStreams> {
public:
    using Handler = std::function<void(std::string_view packet)>;

    PeerStreams(asio::io_context& context, Handler handler);

    /// Throws asio::system_error if the address cannot be bound.
    void listen(const asio::ip::tcp::endpoint& endpoint);
    /// Queues a packet. Returns false if the queue to the peer is full, too many connections are open, or
    /// close() was called.
    bool send(const asio::ip::tcp::endpoint& peer, std::string packet);
    void close();
    /// Number of packets that were still queued when their connection failed or was closed.
    uint64_t failedPackets() const { return m_failedPackets; }

private:
    class Incoming;
    class Outgoing;

    void accept();

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    bool m_closed = false;
    size_t m_incomingCount = 0;
    uint64_t m_failedPackets = 0;
    std::map<asio::ip::tcp::endpoint, std::shared_ptr<Outgoing>> m_outgoing;
};

} // namespace lentilbay
