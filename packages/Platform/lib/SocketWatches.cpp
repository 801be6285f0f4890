#include "SocketWatches.h"

#include <sys/socket.h>
#include <utility>

namespace lentilbay {

struct SocketWatches::Watch {
    asio::posix::stream_descriptor descriptor;
    int socket = -1;
    /// Whether the socket was opened here.
    bool owned = false;
    /// False once the socket is closed or forgotten; pending waits then do nothing.
    bool open = true;
    bool wantsRead = false;
    bool wantsWrite = false;
    /// Invariant: at most one wait for each direction is pending.
    bool waitsRead = false;
    bool waitsWrite = false;
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
    watch->wantsRead = read;
    watch->wantsWrite = write;
    const auto kept = watch;
    wait(kept, SocketReady::Read);
    wait(kept, SocketReady::Write);
}

void SocketWatches::unwatch(int socket)
{
    const auto it = m_watches.find(socket);
    if (it == m_watches.end())
        return;
    it->second->wantsRead = it->second->wantsWrite = false;
    if (it->second->owned)
        return;
    it->second->open = false;
    it->second->descriptor.release();
    m_watches.erase(it);
}

void SocketWatches::wait(const std::shared_ptr<Watch>& watch, SocketReady direction)
{
    using Descriptor = asio::posix::stream_descriptor;
    const bool reads = direction == SocketReady::Read;
    auto& waits = reads ? watch->waitsRead : watch->waitsWrite;
    const bool wants = reads ? watch->wantsRead : watch->wantsWrite;
    if (!watch->open || !wants || waits)
        return;
    waits = true;
    watch->descriptor.async_wait(reads ? Descriptor::wait_read : Descriptor::wait_write,
        [this, watch, direction](const asio::error_code& ec) {
            if (watch->open)
                ready(watch, direction, static_cast<bool>(ec));
        });
}

void SocketWatches::ready(const std::shared_ptr<Watch>& watch, SocketReady direction, bool failed)
{
    const bool reads = direction == SocketReady::Read;
    (reads ? watch->waitsRead : watch->waitsWrite) = false;
    if (failed)
        return;
    if (reads ? watch->wantsRead : watch->wantsWrite)
        m_handler(watch->socket, direction);
    wait(watch, direction);
}

} // namespace lentilbay
