// One accepted connection: reads requests one after another and writes their responses.
#pragma once

#include "lentilbay/Http/Server.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <optional>

namespace lentilbay::http {

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(HttpServer& server, asio::ip::tcp::socket socket);

    void start();
    /// Closes the connection; an unfinished exchange is told that its client has disconnected. Reports the
    /// reason, unless closeGracefully() has been called with another one before.
    void close(CloseReason reason);
    /// Closes the connection if no request is being handled and none has begun to arrive, whether or not the
    /// event loop has come to it.
    void closeIfIdle(CloseReason reason, TimePoint now);
    /// Refuses the request that is being read. What has arrived is read first; a request that is then
    /// complete is handled.
    void refuseUnfinished(const Headers& headers, TimePoint now);

    // Called by the current Exchange.
    void sendHead(int status, std::string_view reason, const Headers& headers, std::optional<size_t> length);
    void send(std::string_view bytes);
    void sendChunk(std::string_view piece);
    void responseFinished();
    void responseAborted();
    void reportSecondResponse(const HttpRequest& request, int status) const;
    void detectDisconnect(TimePoint now);
    bool isClientUncertain() const { return m_isClientUncertain; }
    size_t unsentBytes() const { return m_out.size() - m_outBegin; }
    bool isHead() const { return m_isHead; }

private:
    void awaitReadable();
    /// Reads until nothing is left, so that a client that has sent a request and closed its connection is
    /// noticed before the request is handled.
    void readAvailable(TimePoint now);
    /// Reads and handles what has arrived, if no request is being handled. Returns whether something had.
    bool takeArrived(TimePoint now);
    /// Whether requests have begun to arrive after the one that is being handled.
    bool hasNextRequest() const { return !m_unparsed.empty() || unreadBytes() > 0; }
    /// Whether the last request is being handled, because the server is stopping.
    bool isLastRequest() const;
    /// When the input that can be read now arrived.
    ArrivalTime inputArrival(TimePoint now);
    /// The client has closed its sending side. Whether it has left or still reads is shown by sending it the
    /// first bytes of the response: a client that has closed its connection resets it.
    void handleEndOfInput();
    /// Closes the connection if the client has reset it.
    void detectReset();
    /// The client has not reset the connection in `resetTimeout`, so it reads.
    void clientStays();
    /// Waits for a reset after the end of the input, which is always readable.
    void awaitReset();
    /// Parses the buffered bytes up to the end of one request.
    void parse();
    void handleRequest();
    void rejectMalformed();
    /// Responds to the request that is being read that it is not handled, and closes the connection.
    void refuse(int status, const Headers& headers, CloseReason reason);
    /// Refuses the request that is being read, because its charge was evicted.
    void rejectEvicted();
    /// Updates what the requests of this connection keep. Returns false if they are to be given up.
    bool chargeRequest();
    /// The request that was handled is over.
    void releaseRequest();
    void flush();
    void awaitWritable();
    void armTimer();
    /// How long the connection may wait for the client to go on.
    Duration waitTimeout() const;
    /// Called when it has waited for so long.
    void handleTimeout(TimePoint now);
    /// Ends the wait of a client whose time is over, unless something has arrived or the limits have changed.
    void endWait(TimePoint now);
    /// Calls `expired` after a time, unless the timer is set again or cancelled meanwhile. (A handler that is
    /// already queued cannot be cancelled by the timer itself.)
    void setTimer(Duration delay, std::function<void()> expired);
    void cancelTimer();
    /// Shuts down the sending side and reads on until the client closes or `lingerTimeout` passes: closing
    /// with unread input would reset the connection, and the client could lose the end of the last response.
    void closeGracefully(CloseReason reason);
    /// Closes the connection after `lingerTimeout`, or later if the client goes on to read its last response.
    /// `before` is how much of it remained, and the client has read nothing since `stalledSince`.
    void linger(size_t before, TimePoint stalledSince);
    /// How long the client may read nothing of a response that is not yet passed to the kernel.
    Duration maxStall() const;
    /// Bytes that have arrived on the socket and were not read.
    size_t unreadBytes() const;
    /// Bytes of responses that the client's host has not acknowledged.
    size_t remainingBytes();

    HttpServer* m_server;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    RequestParser m_parser;
    /// Bytes received after the current request (pipelined requests).
    std::string m_unparsed;
    std::shared_ptr<Exchange> m_exchange;
    std::string m_out;
    size_t m_outBegin = 0;
    bool m_isWriting = false;
    bool m_keepsAlive = true;
    bool m_isHead = false;
    bool m_isClosing = false;
    bool m_isClosed = false;
    bool m_isReading = false;
    /// The client has closed its sending side, and everything that it sent has been read.
    bool m_hasInputEnded = false;
    /// Set until it is known whether a client that has closed its sending side still reads.
    bool m_isClientUncertain = false;
    /// The protocol version of the next response has been sent ahead of the rest.
    bool m_hasSentVersion = false;
    bool m_continueSent = false;
    /// The last request was answered without being handled.
    bool m_isRefused = false;
    /// Set once the connection is closing.
    std::optional<CloseReason> m_closeReason;
    std::optional<TimePoint> m_closingSince;
    Duration m_waitedFor {};
    /// When bytes of the client were first dropped because the connection was closing.
    std::optional<TimePoint> m_droppedAt;
    size_t m_requests = 0;
    /// Requests handled since the server began to stop.
    size_t m_requestsSinceStop = 0;
    size_t m_receivedBytes = 0;
    /// Bytes of the client that were dropped because the connection was closing.
    size_t m_droppedBytes = 0;
    TimePoint m_readAt {};
    /// Since when the connection has waited for the client to begin or go on with a request.
    TimePoint m_waitsSince {};
    uint64_t m_timerSettings = 0;
    TimePoint m_acceptedAt;
    /// The client connected at this time or later.
    TimePoint m_connectedSince;
    /// When the latest input arrived.
    ArrivalTime m_received;
    /// The memory of the request that is being handled.
    size_t m_handledBytes = 0;
    MemoryCharge m_requestCharge;
    MemoryCharge m_responseCharge;
};

} // namespace lentilbay::http
