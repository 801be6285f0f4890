// Limits the number of connections, the size of a frame and the time to transfer one.
#include "PeerStreams.h"

#include "lentilbay/Fleet/PeerCodec.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <utility>

namespace lentilbay {
namespace {

using asio::ip::tcp;

constexpr size_t lengthPrefixBytes = 4;
constexpr size_t chunkBytes = 65'536;
constexpr size_t maxIncomingStreams = 64;
constexpr size_t maxOutgoingStreams = 64;
constexpr size_t maxQueuedBytes = 4 * maxFrameBytes;
constexpr auto frameTimeout = std::chrono::seconds(15);
constexpr auto connectTimeout = std::chrono::seconds(3);

} // namespace

class PeerStreams::Incoming : public std::enable_shared_from_this<Incoming> {
public:
    Incoming(std::shared_ptr<PeerStreams> owner, tcp::socket socket)
        : m_owner(std::move(owner))
        , m_socket(std::move(socket))
        , m_timer(m_owner->m_context)
    {
        ++m_owner->m_incomingCount;
    }
    ~Incoming() { --m_owner->m_incomingCount; }
    Incoming(const Incoming&) = delete;
    Incoming& operator=(const Incoming&) = delete;

    void readFrame()
    {
        if (m_owner->m_closed)
            return;
        m_timer.expires_after(frameTimeout);
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code& ec) {
            if (auto self = weak.lock(); self && !ec)
                self->stop();
        });
        asio::async_read(m_socket, asio::buffer(m_lengthPrefix),
            [self = shared_from_this()](const asio::error_code& ec, size_t) {
                if (ec)
                    return self->stop();
                uint32_t length = 0;
                for (size_t i = 0; i < lengthPrefixBytes; ++i)
                    length |= static_cast<uint32_t>(self->m_lengthPrefix[i]) << (8 * i);
                if (length > maxFrameBytes)
                    return self->stop();
                self->m_frame.clear();
                self->readBody(length);
            });
    }

private:
    /// Reads in chunks, so that memory grows with the bytes received and not with the announced length.
    void readBody(size_t left)
    {
        if (m_owner->m_closed)
            return; // the handler may have been destroyed
        if (left == 0) {
            m_owner->m_handler(m_frame);
            return readFrame();
        }
        const auto offset = m_frame.size();
        const auto chunk = std::min(left, chunkBytes);
        m_frame.resize(offset + chunk);
        asio::async_read(m_socket, asio::buffer(m_frame.data() + offset, chunk),
            [self = shared_from_this(), left, chunk](const asio::error_code& ec, size_t) {
                if (ec)
                    return self->stop();
                self->readBody(left - chunk);
            });
    }

    void stop()
    {
        asio::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

    std::shared_ptr<PeerStreams> m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<uint8_t, lengthPrefixBytes> m_lengthPrefix {};
    std::string m_frame;
};

class PeerStreams::Outgoing : public std::enable_shared_from_this<Outgoing> {
public:
    Outgoing(PeerStreams& owner, const tcp::endpoint& peer)
        : m_owner(owner.weak_from_this())
        , m_peer(peer)
        , m_socket(owner.m_context)
        , m_timer(owner.m_context)
    {
    }

    bool enqueue(std::string packet)
    {
        if (m_queuedBytes + packet.size() > maxQueuedBytes)
            return false;
        std::string frame;
        for (size_t i = 0; i < lengthPrefixBytes; ++i)
            frame.push_back(static_cast<char>(static_cast<uint8_t>(packet.size() >> (8 * i))));
        frame += packet;
        m_queuedBytes += frame.size();
        m_queue.push_back(std::move(frame));
        return true;
    }

    void connect()
    {
        startTimeout(connectTimeout);
        m_socket.async_connect(m_peer, [self = shared_from_this()](const asio::error_code& ec) {
            if (ec)
                return self->stop();
            self->m_connected = true;
            self->write();
        });
    }

    void write()
    {
        if (!m_connected || m_writing || m_queue.empty())
            return;
        m_writing = true;
        startTimeout(frameTimeout);
        asio::async_write(m_socket, asio::buffer(m_queue.front()),
            [self = shared_from_this()](const asio::error_code& ec, size_t) {
                if (ec)
                    return self->stop();
                self->m_writing = false;
                self->m_queuedBytes -= self->m_queue.front().size();
                self->m_queue.pop_front();
                self->write();
            });
    }

    void stop()
    {
        asio::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        if (auto owner = m_owner.lock()) {
            owner->m_failedPackets += m_queue.size();
            auto it = owner->m_outgoing.find(m_peer);
            if (it != owner->m_outgoing.end() && it->second.get() == this)
                owner->m_outgoing.erase(it);
        }
        m_queue.clear();
    }

private:
    /// Closes the connection after the timeout unless a later call restarts it; this also closes idle
    /// connections.
    void startTimeout(std::chrono::seconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code& ec) {
            if (auto self = weak.lock(); self && !ec)
                self->stop();
        });
    }

    std::weak_ptr<PeerStreams> m_owner;
    tcp::endpoint m_peer;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::deque<std::string> m_queue;
    size_t m_queuedBytes = 0;
    bool m_connected = false;
    bool m_writing = false;
};

PeerStreams::PeerStreams(asio::io_context& context, Handler handler)
    : m_context(context)
    , m_acceptor(context)
    , m_handler(std::move(handler))
{
}

void PeerStreams::listen(const tcp::endpoint& endpoint)
{
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

void PeerStreams::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const asio::error_code& ec, tcp::socket socket) {
        if (self->m_closed)
            return;
        if (!ec && self->m_incomingCount < maxIncomingStreams)
            std::make_shared<Incoming>(self, std::move(socket))->readFrame();
        self->accept();
    });
}

bool PeerStreams::send(const tcp::endpoint& peer, std::string packet)
{
    if (m_closed)
        return false;
    auto it = m_outgoing.find(peer);
    if (it == m_outgoing.end()) {
        if (m_outgoing.size() >= maxOutgoingStreams)
            return false;
        it = m_outgoing.emplace(peer, std::make_shared<Outgoing>(*this, peer)).first;
        it->second->connect();
    }
    const auto stream = it->second;
    if (!stream->enqueue(std::move(packet)))
        return false;
    stream->write();
    return true;
}

void PeerStreams::close()
{
    m_closed = true;
    asio::error_code ignored;
    m_acceptor.close(ignored);
    const auto streams = std::exchange(m_outgoing, {});
    for (const auto& [peer, stream] : streams)
        stream->stop();
}

} // namespace lentilbay
