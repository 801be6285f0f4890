// Waits for readiness with Asio stream descriptors. libcurl performs the reads and writes itself.
#include "SocketWatches.h"

#include <sys/socket.h>
#include <utility>

namespace lentilbay {

struct SocketWatches::Watch {
    asio::posix::stream_descriptor descriptor;
    int socket = -1;
    /// Whether the socket was opened by SocketWatches::open().
    bool owned = false;
    /// False once the socket is closed or no longer watched; completed waits are then ignored.
    bool open = true;
    bool readRequested = false;
    bool writeRequested = false;
    /// Invariant: at most one wait per direction is pending.
    bool readPending = false;
    bool writePending = false;
};

SocketWatches::SocketWatches(asio::io_context& context, Handler handler)
    : m_context(context)
    , m_handler(std::move(handler))
{
}

SocketWatches::~SocketWatches()
{
    for (auto& [socket, watch] : m_watches) {
        watch->open = false;
        if (!watch->owned)
            watch->descriptor.release();
    }
}

int SocketWatches::open(int family, int type, int protocol)
{
    const int socket = ::socket(family, type | SOCK_CLOEXEC | SOCK_NONBLOCK, protocol);
    if (socket < 0)
        return -1;
    m_watches[socket] = std::make_shared<Watch>(Watch {
        .descriptor = asio::posix::stream_descriptor(m_context, socket), .socket = socket, .owned = true });
    return socket;
}

void SocketWatches::close(int socket)
{
    const auto it = m_watches.find(socket);
    if (it == m_watches.end())
        return;
    const auto watch = std::move(it->second);
    m_watches.erase(it);
    watch->open = false;
    asio::error_code ec;
    watch->descriptor.close(ec);
}

void SocketWatches::watch(int socket, bool read, bool write)
{
    auto& watch = m_watches[socket];
    if (!watch)
        watch = std::make_shared<Watch>(
            Watch { .descriptor = asio::posix::stream_descriptor(m_context, socket), .socket = socket });
    watch->readRequested = read;
    watch->writeRequested = write;
    const auto keepAlive = watch;
    wait(keepAlive, SocketDirection::Read);
    wait(keepAlive, SocketDirection::Write);
}

void SocketWatches::unwatch(int socket)
{
    const auto it = m_watches.find(socket);
    if (it == m_watches.end())
        return;
    it->second->readRequested = it->second->writeRequested = false;
    if (it->second->owned)
        return;
    it->second->open = false;
    it->second->descriptor.release();
    m_watches.erase(it);
}

void SocketWatches::wait(const std::shared_ptr<Watch>& watch, SocketDirection direction)
{
    using Descriptor = asio::posix::stream_descriptor;
    const bool isRead = direction == SocketDirection::Read;
    auto& pending = isRead ? watch->readPending : watch->writePending;
    const bool requested = isRead ? watch->readRequested : watch->writeRequested;
    if (!watch->open || !requested || pending)
        return;
    pending = true;
    watch->descriptor.async_wait(isRead ? Descriptor::wait_read : Descriptor::wait_write,
        [this, watch, direction](const asio::error_code& ec) {
            if (watch->open)
                onReady(watch, direction, static_cast<bool>(ec));
        });
}

void SocketWatches::onReady(const std::shared_ptr<Watch>& watch, SocketDirection direction, bool failed)
{
    const bool isRead = direction == SocketDirection::Read;
    (isRead ? watch->readPending : watch->writePending) = false;
    if (failed)
        return;
    if (isRead ? watch->readRequested : watch->writeRequested)
        m_handler(watch->socket, direction);
    wait(watch, direction);
}

} // namespace lentilbay
