// Reports readiness of libcurl's sockets through Asio: one watch per socket, with at most one pending wait
// per direction.
#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace lentilbay {

enum class SocketDirection : uint8_t { Read, Write };

class SocketWatches {
public:
    using Handler = std::function<void(int socket, SocketDirection)>;

    SocketWatches(asio::io_context& context, Handler handler);
    SocketWatches(const SocketWatches&) = delete;
    SocketWatches& operator=(const SocketWatches&) = delete;
    ~SocketWatches();

    /// Opens a socket, to be closed with close(). Returns -1 on failure.
    int open(int family, int type, int protocol);
    void close(int socket);
    /// Watches a socket for the given directions. A socket that was not opened here remains owned by whoever
    /// opened it.
    void watch(int socket, bool read, bool write);
    void unwatch(int socket);

private:
    struct Watch;

    void wait(const std::shared_ptr<Watch>& watch, SocketDirection direction);
    void onReady(const std::shared_ptr<Watch>& watch, SocketDirection direction, bool failed);

    asio::io_context& m_context;
    Handler m_handler;
    std::unordered_map<int, std::shared_ptr<Watch>> m_watches;
};

} // namespace lentilbay
