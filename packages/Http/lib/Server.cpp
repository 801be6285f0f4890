// The server side of HTTP/1.1 on Asio.
#include "lentilbay/Http/Server.h"

#include "InputAge.h"
#include "ReadBuffer.h"
#include "ServerConnection.h"
#include "lentilbay/Support/SteadyClock.h"

#include <asio/buffer.hpp>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace lentilbay::http {
namespace {

namespace ip = asio::ip;

/// Buffered bytes after the current request beyond which reading stops.
constexpr size_t maxUnparsedBytes = 65'536;
/// Reads of one connection in a row, after which other connections get their turn.
constexpr int maxReadsInARow = 16;
/// A connection that was read this recently is not read again to find out whether its client has left.
constexpr Duration maxReadAge = std::chrono::milliseconds(100);
/// Requests are dated as they are read, unless they may have waited for longer. Longer than the period of the
/// timers by which a process watches its event loop.
constexpr Duration negligibleInputAge = std::chrono::milliseconds(300);
/// A client that has closed its connection resets it within this time once it is sent something.
constexpr Duration resetTimeout = std::chrono::milliseconds(50);
/// The beginning of each response.
constexpr std::string_view protocolVersion = "HTTP/1.1 ";
/// How long a closing connection waits for the client to close its side.
constexpr Duration lingerTimeout = std::chrono::seconds(1);
/// How long a client may stop reading its last answer while the server is stopping.
constexpr Duration maxStallOfStop = std::chrono::seconds(3);
/// The requests of one connection that are handled once the server is stopping, if the client sends them
/// without waiting for responses.
constexpr size_t maxRequestsSinceStop = 16;
/// Connections accepted in a row. A busy event loop comes to the listening socket rarely, and connections
/// that wait for it grow old with their requests.
constexpr int maxAcceptsInARow = 64;
/// The pause after a failed accept; descriptors become free as requests end.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
/// Connections that the kernel queues while the process is busy or suspended.
constexpr int listenBacklog = 1024;
/// After this time, a client whose request was refused for want of memory may try again.
constexpr std::string_view evictedRetryAfterSeconds = "1";
/// A buffer that a large response has left behind is released beyond this size.
constexpr size_t maxIdleBufferBytes = 65'536;

} // namespace

Exchange::Exchange(std::shared_ptr<ServerConnection> connection, HttpRequest request, ArrivalTime arrival)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_arrival(arrival)
{
}

void Exchange::respond(int status, std::string_view reason, const Headers& headers, std::string_view body)
{
    if (m_isDone)
        return;
    if (m_hasBegun) {
        rejectSecondResponse(status);
        return;
    }
    m_hasBegun = m_isDone = true;
    if (auto connection = std::exchange(m_connection, nullptr)) {
        connection->sendHead(status, reason, headers, body.size());
        if (!connection->isHead())
            connection->send(body);
        connection->responseFinished();
    }
}

void Exchange::begin(int status, std::string_view reason, const Headers& headers)
{
    if (m_isDone)
        return;
    if (m_hasBegun) {
        rejectSecondResponse(status);
        return;
    }
    m_hasBegun = true;
    if (m_connection)
        m_connection->sendHead(status, reason, headers, std::nullopt);
}

void Exchange::write(std::string_view piece)
{
    if (!m_isDone && m_connection && !piece.empty())
        m_connection->sendChunk(piece);
}

void Exchange::finish()
{
    if (m_isDone)
        return;
    m_isDone = true;
    if (auto connection = std::exchange(m_connection, nullptr)) {
        connection->send("0\r\n\r\n");
        connection->responseFinished();
    }
}

void Exchange::abort()
{
    if (m_isDone)
        return;
    m_isDone = true;
    if (auto connection = std::exchange(m_connection, nullptr))
        connection->responseAborted();
}

void Exchange::rejectSecondResponse(int status)
{
    if (m_connection)
        m_connection->reportSecondResponse(m_request, status);
    abort();
}

void Exchange::detectDisconnect(TimePoint now)
{
    if (const auto connection = m_connection)
        connection->detectDisconnect(now);
}

bool Exchange::isClientUncertain() const { return m_connection && m_connection->isClientUncertain(); }

size_t Exchange::unsentBytes() const { return m_connection ? m_connection->unsentBytes() : 0; }

ServerConnection::ServerConnection(HttpServer& server, ip::tcp::socket socket)
    : m_server(&server)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_parser(server.m_options.limits().parser)
    , m_acceptedAt(bootNow())
    , m_connectedSince(m_acceptedAt - server.m_options.maxInputAge(m_acceptedAt))
    , m_received { .earliest = m_acceptedAt, .latest = m_acceptedAt }
    , m_requestCharge(server.m_options.requestMemory,
          [this] {
              m_parser.discard();
              releaseBuffer(m_unparsed);
              asio::post(m_socket.get_executor(), [weak = weak_from_this()] {
                  if (const auto self = weak.lock())
                      self->rejectEvicted();
              });
          })
    , m_responseCharge(server.m_options.responseMemory, [this] {
        releaseBuffer(m_out);
        m_outBegin = 0;
        asio::post(m_socket.get_executor(), [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->close(CloseReason::MemoryExhausted);
        });
    })
{
    std::error_code ec;
    m_socket.non_blocking(true, ec);
    m_socket.set_option(ip::tcp::no_delay(true), ec);
    // Errors are ignored: if the client has already disconnected, the first read reports it.
}

void ServerConnection::start()
{
    armTimer();
    awaitReadable();
}

void ServerConnection::awaitReadable()
{
    if (m_isReading || m_isClosed || m_hasInputEnded || m_unparsed.size() > maxUnparsedBytes
        || m_requestCharge.isEvicted())
        return;
    m_isReading = true;
    m_socket.async_wait(ip::tcp::socket::wait_read, [self = shared_from_this()](std::error_code ec) {
        self->m_isReading = false;
        if (self->m_isClosed)
            return;
        if (ec) {
            self->close(CloseReason::Client);
            return;
        }
        self->readAvailable(bootNow());
        if (!self->m_isClosed && !self->m_isClosing && !self->m_exchange)
            self->parse();
        self->awaitReadable();
    });
}

void ServerConnection::readAvailable(TimePoint now)
{
    if (m_hasInputEnded || m_requestCharge.isEvicted())
        return;
    m_readAt = now;
    const auto arrival = inputArrival(now);
    for (int i = 0; i < maxReadsInARow && m_unparsed.size() <= maxUnparsedBytes; ++i) {
        auto& buffer = readBuffer();
        std::error_code ec;
        const size_t n = m_socket.read_some(asio::buffer(buffer), ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again)
            return;
        if (ec == asio::error::eof) {
            handleEndOfInput();
            return;
        }
        if (ec) {
            close(CloseReason::Client);
            return;
        }
        if (m_isClosing) {
            m_droppedBytes += n;
            m_droppedAt = m_droppedAt.value_or(now);
            continue;
        }
        m_received = arrival;
        m_receivedBytes += n;
        const std::string_view bytes(buffer.data(), n);
        if (m_exchange || !m_unparsed.empty()) {
            m_unparsed += bytes;
        } else {
            const size_t taken = m_parser.feed(bytes);
            m_unparsed.assign(bytes.substr(taken));
        }
        if (m_parser.error() != ParseError::None || !chargeRequest())
            return;
    }
}

ArrivalTime ServerConnection::inputArrival(TimePoint now)
{
    auto bound = m_server->m_options.maxInputAge(now);
    // The event loop has not come round since it accepted the connection, which may have waited as well.
    if (now - bound <= m_acceptedAt)
        bound = now - m_connectedSince;
    if (bound <= negligibleInputAge)
        return { .earliest = now, .latest = now };
    if (const auto age = lastInputAge(m_socket.native_handle()))
        return { .earliest = now - std::min(*age, bound), .latest = now - std::min(*age, bound) };
    return { .earliest = bound < unknownInputAge ? now - bound : now, .latest = now };
}

void ServerConnection::handleEndOfInput()
{
    m_hasInputEnded = true;
    // The client has sent all that it wants to, and still reads the last response.
    if (m_isClosing && unsentBytes() > 0) {
        awaitReset();
        return;
    }
    const bool hasRequest = m_exchange || m_parser.isComplete() || !m_unparsed.empty();
    if (m_isClosing || !hasRequest) {
        close(CloseReason::Client);
        return;
    }
    awaitReset();
    // A response that has begun shows by itself whether the client still reads.
    if ((m_exchange && m_exchange->hasBegun()) || m_outBegin != m_out.size())
        return;
    m_isClientUncertain = true;
    setTimer(resetTimeout, [this] { clientStays(); });
    m_hasSentVersion = true;
    send(protocolVersion);
    detectReset();
}

void ServerConnection::detectReset()
{
    if (m_isClosed)
        return;
    // Reading returns the end of the input, also after a reset.
    pollfd state { .fd = m_socket.native_handle(), .events = 0, .revents = 0 };
    if (poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) != 0)
        close(CloseReason::Client);
}

void ServerConnection::clientStays()
{
    detectReset();
    if (m_isClosed || !std::exchange(m_isClientUncertain, false))
        return;
    if (!m_exchange) {
        parse();
        return;
    }
    if (const auto callback = std::exchange(m_exchange->m_clientStays, nullptr))
        callback();
}

void ServerConnection::awaitReset()
{
    m_socket.async_wait(ip::tcp::socket::wait_error, [self = shared_from_this()](std::error_code ec) {
        if (!ec)
            self->detectReset();
    });
}

void ServerConnection::detectDisconnect(TimePoint now)
{
    if (m_isClosed)
        return;
    if (m_hasInputEnded)
        detectReset();
    else if (now - m_readAt >= maxReadAge)
        readAvailable(now);
}

bool ServerConnection::takeArrived(TimePoint now)
{
    if (m_isClosed || m_isClosing || m_exchange)
        return false;
    const auto before = m_receivedBytes;
    readAvailable(now);
    const bool hasArrived = m_isClosed || m_receivedBytes != before || !m_unparsed.empty();
    if (hasArrived && !m_isClosed)
        parse();
    return hasArrived;
}

void ServerConnection::closeIfIdle(CloseReason reason, TimePoint now)
{
    const bool isIdle = !m_isClosed && !m_isClosing && !m_exchange && !m_parser.isMidRequest()
        && !m_parser.isComplete() && !m_requestCharge.isEvicted();
    if (isIdle && !takeArrived(now))
        closeGracefully(reason);
}

void ServerConnection::refuseUnfinished(const Headers& headers, TimePoint now)
{
    if (m_isClientUncertain)
        clientStays();
    takeArrived(now);
    if (!m_isClosed && !m_isClosing && !m_exchange && m_parser.isMidRequest())
        refuse(503, headers, CloseReason::Stop);
}

void ServerConnection::refuse(int status, const Headers& headers, CloseReason reason)
{
    m_keepsAlive = false;
    m_isHead = false;
    m_isRefused = true;
    sendHead(status, reasonPhrase(status), headers, 0);
    closeGracefully(reason);
}

bool ServerConnection::isLastRequest() const
{
    return m_server->m_closesAfterResponses
        && (m_requestsSinceStop >= maxRequestsSinceStop || !hasNextRequest());
}

void ServerConnection::parse()
{
    if (m_isClientUncertain || m_isClosing || m_requestCharge.isEvicted())
        return;
    if (!m_unparsed.empty() && !m_parser.isComplete() && m_parser.error() == ParseError::None) {
        const size_t taken = m_parser.feed(m_unparsed);
        m_unparsed.erase(0, taken);
        if (m_unparsed.empty())
            m_unparsed.shrink_to_fit();
    }
    if (m_parser.error() != ParseError::None) {
        rejectMalformed();
        return;
    }
    if (m_parser.isComplete()) {
        handleRequest();
        return;
    }
    if (m_hasInputEnded) {
        closeGracefully(CloseReason::LastResponse);
        return;
    }
    if (m_parser.awaitsBody() && !m_continueSent) {
        // A client that sent Expect: 100-continue waits for this interim response before it sends the body.
        m_continueSent = true;
        if (m_parser.expectsContinue())
            send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    armTimer();
}

void ServerConnection::handleRequest()
{
    m_keepsAlive = m_parser.keepsAlive();
    auto request = m_parser.take();
    m_parser.setLimits(m_server->m_options.limits().parser);
    m_isHead = request.method == "HEAD";
    m_continueSent = false;
    ++m_requests;
    if (m_server->m_closesAfterResponses)
        ++m_requestsSinceStop;
    cancelTimer();
    // The body is copied when it is sent on.
    m_handledBytes = memoryOf(request.headers) + 2 * request.body.size();
    m_requestCharge.setEvictable(false);
    chargeRequest();
    m_exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request), m_received);
    // Keeps the exchange alive: a handler that responds immediately resets m_exchange.
    auto exchange = m_exchange;
    m_server->m_options.handler(std::move(exchange));
}

bool ServerConnection::chargeRequest()
{
    return m_requestCharge.resize(m_handledBytes + m_parser.heldBytes() + m_unparsed.size());
}

void ServerConnection::releaseRequest()
{
    m_handledBytes = 0;
    m_requestCharge.setEvictable(true);
    chargeRequest();
}

void ServerConnection::rejectEvicted()
{
    if (m_isClosed)
        return;
    m_requestCharge.release();
    if (m_isClosing)
        return;
    if (m_server->m_options.malformed)
        m_server->m_options.malformed(ParseError::MemoryExhausted);
    Headers headers;
    headers.add("Retry-After", evictedRetryAfterSeconds);
    refuse(503, headers, CloseReason::MemoryExhausted);
}

void ServerConnection::rejectMalformed()
{
    int status = 400;
    if (m_parser.error() == ParseError::HeadersTooLarge)
        status = 431;
    else if (m_parser.error() == ParseError::BodyTooLarge)
        status = 413;
    if (m_server->m_options.malformed)
        m_server->m_options.malformed(m_parser.error());
    refuse(status, {}, CloseReason::InvalidRequest);
}

void ServerConnection::sendHead(
    int status, std::string_view reason, const Headers& headers, std::optional<size_t> length)
{
    // While a response without length is being sent, further requests may arrive; the connection is closed
    // once it is idle.
    const bool endsWithResponse = length && isLastRequest();
    if (endsWithResponse || (m_hasInputEnded && m_unparsed.empty()))
        m_keepsAlive = false;
    const auto version = std::exchange(m_hasSentVersion, false) ? std::string_view() : protocolVersion;
    std::string head = fmt::format("{}{} {}\r\n", version, status, reason);
    appendHeaders(head, headers);
    if (!length)
        head += "Transfer-Encoding: chunked\r\n";
    else if (status != 204 && status != 304)
        head += fmt::format("Content-Length: {}\r\n", *length);
    if (!m_keepsAlive)
        head += "Connection: close\r\n";
    head += "\r\n";
    m_out += head;
}

void ServerConnection::sendChunk(std::string_view piece)
{
    m_out += fmt::format("{:x}\r\n", piece.size());
    m_out += piece;
    send("\r\n");
}

void ServerConnection::send(std::string_view bytes)
{
    m_out += bytes;
    flush();
}

void ServerConnection::flush()
{
    // What follows a part that was given up would not be understood.
    if (m_isWriting || m_isClosed || m_outBegin == m_out.size() || m_responseCharge.isEvicted())
        return;
    std::error_code ec;
    const size_t n
        = m_socket.write_some(asio::buffer(m_out.data() + m_outBegin, m_out.size() - m_outBegin), ec);
    if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
        // Closing is posted because the caller may still be using the exchange that close() ends.
        asio::post(
            m_socket.get_executor(), [self = shared_from_this()] { self->close(CloseReason::Client); });
        return;
    }
    m_outBegin += n;
    if (m_outBegin == m_out.size()) {
        if (m_out.capacity() > maxIdleBufferBytes)
            releaseBuffer(m_out);
        m_out.clear();
        m_outBegin = 0;
        m_responseCharge.resize(0);
        return;
    }
    m_responseCharge.resize(m_out.size());
    awaitWritable();
}

void ServerConnection::awaitWritable()
{
    m_isWriting = true;
    m_socket.async_wait(ip::tcp::socket::wait_write, [self = shared_from_this()](std::error_code ec) {
        self->m_isWriting = false;
        if (self->m_isClosed)
            return;
        if (ec) {
            self->close(CloseReason::Client);
            return;
        }
        self->flush();
        if (const auto exchange = self->m_exchange; exchange && !self->m_isWriting) {
            if (const auto drained = exchange->m_drained)
                drained();
        }
        if (!self->m_isWriting && self->m_isClosing)
            self->closeGracefully(CloseReason::LastResponse);
    });
}

void ServerConnection::responseFinished()
{
    flush();
    m_exchange.reset();
    releaseRequest();
    m_isClientUncertain = false;
    if (!m_keepsAlive) {
        closeGracefully(CloseReason::LastResponse);
        return;
    }
    if (m_unparsed.empty()) {
        armTimer();
        awaitReadable();
        return;
    }
    // Posted because the calling handler may still be using its exchange.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isClosed && !self->m_exchange && !self->m_isClosing)
            self->parse();
        self->awaitReadable();
    });
}

void ServerConnection::reportSecondResponse(const HttpRequest& request, int status) const
{
    if (const auto& callback = m_server->m_options.repeated)
        callback(request, status);
}

void ServerConnection::responseAborted()
{
    // Nothing may follow what has been sent of the response.
    m_isClosing = true;
    m_isClientUncertain = false;
    m_closeReason = CloseReason::Aborted;
    m_exchange.reset();
    releaseRequest();
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(CloseReason::Aborted); });
}

void ServerConnection::closeGracefully(CloseReason reason)
{
    if (m_isClosed)
        return;
    if (!m_closeReason)
        m_closeReason = reason;
    m_closingSince = m_closingSince.value_or(bootNow());
    m_isClosing = true;
    m_isClientUncertain = false;
    m_droppedBytes += m_unparsed.size();
    m_unparsed.clear();
    if (m_outBegin != m_out.size())
        flush();
    linger(remainingBytes(), bootNow());
    if (m_isWriting)
        return;
    if (m_hasInputEnded) {
        // Nothing is left to read, and the kernel sends what has been written. Posted because the caller may
        // still use its exchange.
        asio::post(
            m_socket.get_executor(), [self = shared_from_this()] { self->close(CloseReason::Client); });
        return;
    }
    std::error_code ec;
    m_socket.shutdown(ip::tcp::socket::shutdown_send, ec);
    // An error means that the connection is already closed; the next read reports that.
    awaitReadable();
}

void ServerConnection::linger(size_t before, TimePoint stalledSince)
{
    setTimer(lingerTimeout, [this, before, stalledSince] {
        const auto now = bootNow();
        // Closing with unread input would reset the connection.
        readAvailable(now);
        if (m_isClosed)
            return;
        const auto remaining = remainingBytes();
        if (remaining > 0 && remaining < before)
            linger(remaining, now);
        else if (unsentBytes() > 0 && now - stalledSince < maxStall())
            linger(remaining, stalledSince);
        else
            close(CloseReason::Client);
    });
}

Duration ServerConnection::maxStall() const
{
    return m_server->m_closesAfterResponses ? maxStallOfStop : m_server->m_options.limits().idleTimeout;
}

void ServerConnection::armTimer()
{
    m_waitsSince = bootNow();
    setTimer(waitTimeout(), [this] { handleTimeout(bootNow()); });
}

Duration ServerConnection::waitTimeout() const
{
    const auto limits = m_server->m_options.limits();
    return m_parser.isMidRequest() ? limits.headerTimeout : limits.idleTimeout;
}

void ServerConnection::handleTimeout(TimePoint now)
{
    if (!m_server->m_options.whenIdle) {
        endWait(now);
        return;
    }
    // What this turn of the event loop still has to do may take long, and requests that arrive meanwhile
    // would cross the close.
    m_server->m_options.whenIdle([self = shared_from_this(), setting = m_timerSettings] {
        if (!self->m_isClosed && setting == self->m_timerSettings)
            self->endWait(bootNow());
    });
}

void ServerConnection::endWait(TimePoint now)
{
    // A late event loop comes to the timer before it comes to what has arrived meanwhile.
    if (m_exchange || m_requestCharge.isEvicted() || takeArrived(now))
        return;
    // The limits may have changed since the timer was set, and clients go by those in force.
    const auto left = m_waitsSince + waitTimeout() - now;
    if (left > Duration::zero()) {
        setTimer(left, [this] { handleTimeout(bootNow()); });
        return;
    }
    m_waitedFor = now - m_waitsSince;
    if (!m_parser.isMidRequest()) {
        closeGracefully(CloseReason::IdleTimeout);
        return;
    }
    refuse(408, {}, CloseReason::InvalidRequest);
}

void ServerConnection::setTimer(Duration delay, std::function<void()> expired)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), expired = std::move(expired), setting = ++m_timerSettings](
                           std::error_code ec) {
        if (!ec && setting == self->m_timerSettings && !self->m_isClosed)
            expired();
    });
}

void ServerConnection::cancelTimer()
{
    ++m_timerSettings;
    m_timer.cancel();
}

size_t ServerConnection::unreadBytes() const
{
    std::error_code ec;
    const size_t n = m_socket.available(ec);
    return ec ? 0 : n;
}

size_t ServerConnection::remainingBytes()
{
    int n = 0;
    const bool isKnown = ioctl(m_socket.native_handle(), SIOCOUTQ, &n) == 0;
    // The end of the connection counts as one byte.
    return unsentBytes() + (isKnown && n > 1 ? static_cast<size_t>(n) : 0);
}

void ServerConnection::close(CloseReason reason)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    const auto self = shared_from_this();
    const auto leftBytes = m_droppedBytes + m_parser.heldBytes() + m_unparsed.size() + unreadBytes();
    if (m_server->m_options.closed) {
        const auto now = bootNow();
        const auto closingSince = m_closingSince.value_or(now);
        m_server->m_options.closed({ .reason = m_closeReason.value_or(reason),
            .requests = m_requests,
            .unansweredBytes = m_isRefused ? 0 : leftBytes,
            .unsentBytes = unsentBytes(),
            .hadOpenRequest = m_exchange != nullptr,
            .waitedFor = m_waitedFor,
            .closingFor = now - closingSince,
            .droppedAfter = m_droppedAt ? std::optional(*m_droppedAt - closingSince) : std::nullopt });
    }
    std::error_code ec;
    m_requestCharge.release();
    m_responseCharge.release();
    cancelTimer();
    m_socket.close(ec);
    if (auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->m_connection.reset();
        exchange->m_isDone = true;
        exchange->m_clientStays = nullptr;
        if (auto callback = std::exchange(exchange->m_clientDisconnected, nullptr))
            callback();
    }
    m_server->m_connections.erase(self);
}

HttpServer::HttpServer(asio::io_context& context, HttpServerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_acceptor(context)
{
    m_acceptor.open(m_options.address.protocol());
    m_acceptor.set_option(ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_options.address);
    m_acceptor.listen(listenBacklog);
    m_acceptor.non_blocking(true);
    accept();
}

HttpServer::~HttpServer()
{
    for (const auto connections = m_connections; const auto& it : connections)
        it->close(CloseReason::Stop);
}

void HttpServer::accept()
{
    m_acceptor.async_wait(ip::tcp::acceptor::wait_read, [this](std::error_code ec) {
        if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!ec)
            ec = acceptWaiting(maxAcceptsInARow);
        if (!ec || ec == asio::error::would_block || ec == asio::error::try_again
            || ec == asio::error::connection_aborted) {
            accept();
            return;
        }
        // Probably out of file descriptors; retrying immediately would spin.
        auto timer = std::make_shared<asio::steady_timer>(m_context, acceptRetryDelay);
        timer->async_wait([this, timer](std::error_code) { accept(); });
    });
}

std::error_code HttpServer::acceptWaiting(int n)
{
    std::error_code ec;
    for (int i = 0; i < n && !ec; ++i) {
        ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, ec);
        if (ec)
            break;
        auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
    }
    return ec;
}

void HttpServer::closeAfterResponses() { m_closesAfterResponses = true; }

void HttpServer::closeIdle(TimePoint now)
{
    for (const auto connections = m_connections; const auto& it : connections)
        it->closeIfIdle(CloseReason::Stop, now);
}

void HttpServer::refuseUnfinished(const Headers& headers, TimePoint now)
{
    for (const auto connections = m_connections; const auto& it : connections)
        it->refuseUnfinished(headers, now);
}

void HttpServer::stopAccepting()
{
    if (!m_acceptor.is_open())
        return;
    // Connections that wait to be accepted, and the requests on them, would be reset with the listener.
    acceptWaiting(listenBacklog);
    std::error_code ec;
    m_acceptor.close(ec);
}

} // namespace lentilbay::http
