// The client side of HTTP/1.1 on Asio.
#include "lentilbay/Http/ClientConnection.h"

#include "ReadBuffer.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lentilbay::http {
namespace {

namespace ip = asio::ip;

/// Unacknowledged bytes close the connection after this time: a host without power sends no reset.
constexpr unsigned userTimeoutMilliseconds = 3'000;

/// The whole seconds of "timeout=N" in a Keep-Alive header.
std::optional<Duration> keepAliveOf(const Headers& headers)
{
    const auto* value = headers.find("Keep-Alive");
    if (!value)
        return std::nullopt;
    const auto at = value->find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char* begin = value->data() + at + std::string_view("timeout=").size();
    if (std::from_chars(begin, value->data() + value->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

ClientConnection::ClientConnection(asio::io_context& context)
    : m_socket(context)
    , m_timer(context)
    , m_parser({ .head = [this](HttpResponseHead head) { responseHead(std::move(head)); },
          .body =
              [this](std::string_view piece) {
                  const auto observer = m_observer;
                  if (m_isAwaited && observer)
                      observer->body(piece);
              },
          .end = [this] { responseEnd(); } })
{
}

void ClientConnection::connect(
    const ip::tcp::endpoint& address, Duration timeout, std::function<void(bool)> done)
{
    auto shared = std::make_shared<std::function<void(bool)>>(std::move(done));
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this(), shared](std::error_code ec) {
        if (!ec && *shared) {
            self->close();
            std::exchange(*shared, nullptr)(false);
        }
    });
    m_socket.async_connect(address, [self = shared_from_this(), shared](std::error_code ec) {
        self->m_timer.cancel();
        if (!*shared)
            return;
        if (ec) {
            self->close();
        } else {
            std::error_code ignored;
            self->m_isOpen = true;
            self->m_socket.non_blocking(true, ignored);
            self->m_socket.set_option(ip::tcp::no_delay(true), ignored);
            self->m_socket.set_option(
                asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(userTimeoutMilliseconds),
                ignored);
            self->awaitBytes();
        }
        std::exchange(*shared, nullptr)(!ec);
    });
}

void ClientConnection::exchange(std::string request, bool isHead, Observer observer)
{
    m_observer = std::make_shared<Observer>(std::move(observer));
    m_out = std::move(request);
    m_sent = 0;
    m_sentBytes = m_sawBytes = m_isAwaited = m_isWhole = false;
    m_parser.expectNoBody(isHead);
    if (!m_isOpen) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(); });
        return;
    }
    flush();
    awaitBytes();
}

void ClientConnection::flush()
{
    if (m_isWriting || !m_isOpen || m_sent == m_out.size())
        return;
    std::error_code ec;
    const size_t n = m_socket.write_some(asio::buffer(m_out.data() + m_sent, m_out.size() - m_sent), ec);
    m_sent += n;
    m_sentBytes = m_sentBytes || n > 0;
    if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
        // A response may have come before the reset; the reader finds out.
        m_keepsAlive = false;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_isOpen && self->m_sentBytes)
                self->readSome();
            else
                self->fail();
        });
        return;
    }
    if (m_sent == m_out.size()) {
        m_out.clear();
        m_out.shrink_to_fit();
        m_sent = 0;
        return;
    }
    m_isWriting = true;
    m_socket.async_wait(ip::tcp::socket::wait_write, [self = shared_from_this()](std::error_code waited) {
        self->m_isWriting = false;
        if (!waited && self->m_isOpen)
            self->flush();
    });
}

void ClientConnection::awaitBytes()
{
    if (m_isReading || m_isPaused || !m_isOpen)
        return;
    m_isReading = true;
    m_socket.async_wait(ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code ec) {
        self->m_isReading = false;
        if (!self->m_isOpen || self->m_isPaused)
            return;
        if (ec)
            self->fail();
        else
            self->readSome();
    });
}

void ClientConnection::readSome()
{
    const auto self = shared_from_this();
    auto& buffer = readBuffer();
    std::error_code ec;
    const size_t n = m_socket.read_some(asio::buffer(buffer), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
        awaitBytes();
        return;
    }
    if (ec == asio::error::eof) {
        endOfStream();
        return;
    }
    if (ec) {
        fail();
        return;
    }
    parse({ buffer.data(), n });
    awaitBytes();
}

void ClientConnection::parse(std::string_view bytes)
{
    if (!m_observer) {
        // Bytes that belong to no request.
        fail();
        return;
    }
    m_sawBytes = true;
    while (!bytes.empty() && m_isOpen && m_observer) {
        const size_t taken = m_parser.feed(bytes);
        bytes.remove_prefix(std::min(taken, bytes.size()));
        if (m_parser.hasFailed()) {
            fail();
            return;
        }
        if (!m_isWhole)
            continue;
        if (!bytes.empty())
            m_keepsAlive = false;
        // The rest of a request body that the endpoint did not wait for would precede the next request.
        if (m_sent != m_out.size())
            m_keepsAlive = false;
        m_isWhole = false;
        m_idleSince = bootNow();
        auto observer = std::exchange(m_observer, nullptr);
        if (!m_keepsAlive)
            close();
        // Gone where a callback of this response has closed the connection.
        if (observer)
            observer->whole();
        return;
    }
}

void ClientConnection::responseHead(HttpResponseHead head)
{
    const auto observer = m_observer;
    m_isAwaited = observer && observer->head(head);
    if (!head.keepsAlive)
        m_keepsAlive = false;
    if (auto seconds = keepAliveOf(head.headers))
        m_keepAlive = seconds;
}

void ClientConnection::responseEnd() { m_isWhole = std::exchange(m_isAwaited, false); }

void ClientConnection::endOfStream()
{
    m_keepsAlive = false;
    if (m_observer && m_parser.finishAtEnd() && m_isWhole) {
        auto observer = std::exchange(m_observer, nullptr);
        close();
        observer->whole();
        return;
    }
    fail();
}

void ClientConnection::fail()
{
    const auto self = shared_from_this();
    auto observer = std::exchange(m_observer, nullptr);
    close();
    if (observer && !m_sentBytes)
        observer->broken(BrokenAt::NothingSent);
    else if (observer)
        observer->broken(m_sawBytes ? BrokenAt::InsideResponse : BrokenAt::BeforeResponse);
}

void ClientConnection::close()
{
    std::error_code ec;
    m_isOpen = false;
    m_keepsAlive = false;
    m_observer.reset();
    m_timer.cancel();
    m_socket.close(ec);
}

void ClientConnection::pauseReading() { m_isPaused = true; }

void ClientConnection::resumeReading()
{
    m_isPaused = false;
    awaitBytes();
}

} // namespace lentilbay::http
