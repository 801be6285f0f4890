#include "LoadClient.h"

#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cassert>
#include <memory>
#include <string_view>

namespace lentilbay {
namespace {

struct Run {
    explicit Run(const LoadOptions& options)
        : options(options)
        , timer(context)
    {
    }

    LoadOptions options;
    asio::io_context context { 1 };
    asio::steady_timer timer;
    LoadResult result;
    size_t sent = 0;
};

/// One connection with at most one outstanding request.
class Connection {
public:
    explicit Connection(Run& run)
        : m_run(run)
        , m_socket(run.context)
    {
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), run.options.port });
        m_socket.set_option(asio::ip::tcp::no_delay(true));
    }

    bool isIdle() const { return m_idle; }

    void send(TimePoint due)
    {
        ++m_run.sent;
        m_idle = false;
        m_due = due;
        asio::write(m_socket, asio::buffer(m_run.options.request));
        read();
    }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buf), [this](const asio::error_code& ec, size_t n) {
            assert(!ec && "the server must not close the connection before the response is complete");
            (void)ec;
            received({ m_buf.data(), n });
        });
    }

    void received(std::string_view bytes)
    {
        const auto& endMarker = m_run.options.endMarker;
        m_tail.append(bytes);
        const bool isComplete = m_tail.find(endMarker) != std::string::npos;
        if (!isComplete) {
            m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), endMarker.size()));
            return read();
        }
        m_tail.clear();
        m_idle = true;
        m_run.result.latencies.push_back(steadyNow() - m_due);
        if (m_run.result.latencies.size() >= m_run.options.answers)
            return m_run.context.stop();
        if (m_run.options.rate == 0)
            send(steadyNow());
    }

    Run& m_run;
    asio::ip::tcp::socket m_socket;
    std::array<char, 65536> m_buf {};
    /// The last received bytes, which may hold the beginning of the end marker.
    std::string m_tail;
    TimePoint m_due {};
    bool m_idle = true;
};

/// Sends each request when it is due, on any idle connection. Latency is measured from the due time, so that
/// waiting for the server is included.
void sendAtRate(Run& run, std::vector<std::unique_ptr<Connection>>& connections, TimePoint begin)
{
    const auto due = begin + fromSeconds(static_cast<double>(run.sent) / run.options.rate);
    run.timer.expires_at(std::chrono::steady_clock::time_point { due.time_since_epoch() });
    run.timer.async_wait([&run, &connections, begin, due](const asio::error_code& ec) {
        if (ec)
            return;
        const auto it = std::find_if(
            connections.begin(), connections.end(), [](const auto& it) { return it->isIdle(); });
        if (it != connections.end())
            (*it)->send(due);
        else
            ++run.sent; // No idle connection: the request is skipped, which makes the run longer.
        sendAtRate(run, connections, begin);
    });
}

} // namespace

Duration LoadResult::quantile(double fraction) const
{
    return latencies[static_cast<size_t>(fraction * static_cast<double>(latencies.size() - 1))];
}

LoadResult runLoad(const LoadOptions& options)
{
    Run run(options);
    std::vector<std::unique_ptr<Connection>> connections;
    for (size_t i = 0; i < options.connections; ++i)
        connections.push_back(std::make_unique<Connection>(run));
    const auto begin = steadyNow();
    if (options.rate > 0) {
        sendAtRate(run, connections, begin);
    } else {
        for (const auto& it : connections)
            it->send(steadyNow());
    }
    run.context.run();
    run.result.elapsed = steadyNow() - begin;
    std::sort(run.result.latencies.begin(), run.result.latencies.end());
    return run.result;
}

} // namespace lentilbay
