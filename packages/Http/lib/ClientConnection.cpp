// The client side of HTTP/1.1 on Asio.
#include "lentilbay/Http/ClientConnection.h"

#include "ReadBuffer.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace lentilbay::http {
namespace {

namespace ip = asio::ip;

/// TCP_USER_TIMEOUT: closes a connection whose bytes stay unacknowledged, because a host that lost power
/// sends no reset.
constexpr unsigned userTimeoutMilliseconds = 3'000;
constexpr int firstClientError = 400;
constexpr int firstServerError = 500;

/// The "timeout=N" parameter of a Keep-Alive header, in whole seconds.
std::optional<Duration> keepAliveOf(const Headers& headers)
{
    const auto* value = headers.find("Keep-Alive");
    if (!value)
        return std::nullopt;
    const auto position = value->find("timeout=");
    if (position == std::string::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char* begin = value->data() + position + std::string_view("timeout=").size();
    if (std::from_chars(begin, value->data() + value->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

ClientConnection::ClientConnection(asio::io_context& context, std::shared_ptr<MemoryBudget> memory)
    : m_socket(context)
    , m_timer(context)
    , m_parser({ .head = [this](HttpResponseHead head) { handleHead(std::move(head)); },
          .body =
              [this](std::string_view piece) {
                  const auto observer = m_observer;
                  if (m_isExpectedResponse && observer)
                      observer->body(piece);
              },
          .end = [this] { handleEnd(); } })
    , m_charge(std::move(memory), [this] {
        asio::post(m_socket.get_executor(), [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && self->m_charge.isEvicted())
                self->fail(FailurePoint::InvalidResponse);
        });
    })
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
            self->awaitReadable();
        }
        std::exchange(*shared, nullptr)(!ec);
    });
}

void ClientConnection::exchange(std::string request, bool isHead, Observer observer, uint64_t requestHash)
{
    m_observer = std::make_shared<Observer>(std::move(observer));
    m_out = std::move(request);
    m_sent = 0;
    m_lastRequestHash = requestHash;
    m_hasSentBytes = m_hasReceivedBytes = m_isExpectedResponse = m_isComplete = false;
    m_parser.expectNoBody(isHead);
    if (!m_isOpen || (m_wasUsed && hasInput())) {
        // The input may already be due to be read, and is no response to this request.
        m_isOpen = m_keepsAlive = false;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(); });
        return;
    }
    flush();
    awaitReadable();
}

bool ClientConnection::hasInput()
{
    pollfd state { .fd = m_socket.native_handle(), .events = POLLIN, .revents = 0 };
    return poll(&state, 1, 0) > 0;
}

void ClientConnection::flush()
{
    if (m_isWriting || !m_isOpen || m_sent == m_out.size())
        return;
    std::error_code ec;
    const size_t n = m_socket.write_some(asio::buffer(m_out.data() + m_sent, m_out.size() - m_sent), ec);
    m_sent += n;
    m_hasSentBytes = m_hasSentBytes || n > 0;
    if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
        // A response may have arrived before the reset; reading shows whether it did. The error of a reset
        // that follows the end of the peer's output is "broken pipe".
        m_keepsAlive = false;
        m_isReset = m_isReset || ec != asio::error::broken_pipe;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_isOpen && self->m_hasSentBytes)
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

void ClientConnection::awaitReadable()
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
        awaitReadable();
        return;
    }
    if (ec == asio::error::eof) {
        handleEndOfStream();
        return;
    }
    if (ec) {
        fail();
        return;
    }
    parse({ buffer.data(), n });
    awaitReadable();
}

void ClientConnection::parse(std::string_view bytes)
{
    if (!m_observer) {
        // Unsolicited bytes: no request is outstanding.
        fail();
        return;
    }
    m_hasReceivedBytes = true;
    while (!bytes.empty() && m_isOpen && m_observer) {
        const size_t taken = m_parser.feed(bytes);
        bytes.remove_prefix(std::min(taken, bytes.size()));
        if (m_parser.hasFailed() || !m_charge.resize(m_parser.heldBytes())) {
            fail(FailurePoint::InvalidResponse);
            return;
        }
        if (!m_isComplete)
            continue;
        if (!bytes.empty())
            m_keepsAlive = false;
        // The endpoint responded before it had read the whole request body. The rest of that body would
        // precede the next request.
        if (m_sent != m_out.size())
            m_keepsAlive = false;
        m_isComplete = false;
        // Whoever has paused the reading of this response may not resume it any more.
        m_isPaused = false;
        m_idleSince = bootNow();
        m_wasUsed = true;
        auto observer = std::exchange(m_observer, nullptr);
        if (!m_keepsAlive)
            close();
        // Null if a callback of this response closed the connection.
        if (observer)
            observer->complete();
        return;
    }
}

void ClientConnection::handleHead(HttpResponseHead head)
{
    const auto observer = m_observer;
    m_isRefusal = head.status >= firstClientError && head.status < firstServerError;
    m_isExpectedResponse = observer && observer->head(head);
    if (!head.keepsAlive)
        m_keepsAlive = false;
    if (auto seconds = keepAliveOf(head.headers))
        m_keepAlive = seconds;
}

void ClientConnection::handleEnd() { m_isComplete = std::exchange(m_isExpectedResponse, false); }

void ClientConnection::handleEndOfStream()
{
    m_keepsAlive = false;
    // Before the request is sent, the end may be that of a reset, whose error a write has taken, or of an
    // endpoint that has crashed. Only a refusal in order of a request that was not read to its end is whole.
    const bool isRequestSent = m_sent == m_out.size();
    const bool mayBeWhole = isRequestSent || (m_isRefusal && !m_isReset);
    if (m_observer && mayBeWhole && m_parser.finishAtEof() && m_isComplete) {
        auto observer = std::exchange(m_observer, nullptr);
        close();
        observer->complete();
        return;
    }
    fail();
}

void ClientConnection::fail()
{
    fail(!m_hasSentBytes         ? FailurePoint::NothingSent
            : m_hasReceivedBytes ? FailurePoint::DuringResponse
                                 : FailurePoint::BeforeResponse);
}

void ClientConnection::fail(FailurePoint at)
{
    const auto self = shared_from_this();
    auto observer = std::exchange(m_observer, nullptr);
    close();
    if (observer)
        observer->failed(at);
}

void ClientConnection::close()
{
    std::error_code ec;
    if (m_isOpen && m_observer && m_hasSentBytes && !m_hasReceivedBytes)
        m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    m_isOpen = false;
    m_keepsAlive = false;
    m_observer.reset();
    m_charge.release();
    m_timer.cancel();
    m_socket.close(ec);
}

void ClientConnection::pauseReading() { m_isPaused = true; }

void ClientConnection::resumeReading()
{
    m_isPaused = false;
    awaitReadable();
}

} // namespace lentilbay::http
