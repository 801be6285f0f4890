// Watches libcurl's sockets with Asio: one watch for each socket, one pending wait for each direction.
#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace lentilbay {

enum class SocketReady : uint8_t { Read, Write };

class SocketWatches {
public:
    using Handler = std::function<void(int socket, SocketReady)>;

    SocketWatches(asio::io_context& context, Handler handler);
    SocketWatches(const SocketWatches&) = delete;
    SocketWatches& operator=(const SocketWatches&) = delete;
    ~SocketWatches();

    /// Opens a socket that close() closes; -1 on failure.
    int open(int family, int type, int protocol);
    void close(int socket);
    /// Watches a socket for the directions given; one that was not opened here stays its opener's to close.
    void watch(int socket, bool read, bool write);
    void unwatch(int socket);

private:
    struct Watch;

    void wait(const std::shared_ptr<Watch>& watch, SocketReady direction);
    void ready(const std::shared_ptr<Watch>& watch, SocketReady direction, bool failed);

    asio::io_context& m_context;
    Handler m_handler;
    std::unordered_map<int, std::shared_ptr<Watch>> m_watches;
};

} // namespace lentilbay
