// One connection of a client: reads requests one after another and writes their answers.
#pragma once

#include "lentilbay/Http/Server.h"

#include <array>
#include <asio/steady_timer.hpp>

namespace lentilbay::http {

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(HttpServer& server, asio::ip::tcp::socket socket);

    void start();
    /// Closes the connection; the client of an unfinished answer counts as gone.
    void close();
    bool isIdle() const { return !m_exchange && !m_parser.isInside() && m_out.empty(); }

    // For the Exchange that is current.
    void sendHead(int status, std::string_view reason, const Headers& headers, std::optional<size_t> length);
    void send(std::string_view bytes);
    void sendChunk(std::string_view piece);
    void answerEnded();
    void answerAborted();
    size_t unsentBytes() const { return m_out.size() - m_outBegin; }
    bool isHead() const { return m_isHead; }

private:
    void awaitBytes();
    void readSome();
    /// Parses what is there until a request is whole.
    void parse();
    void requestWhole();
    void refuseMalformed();
    void flush();
    void awaitWritable();
    void armTimer();
    /// Stops sending, and reads on for a moment so that the client gets the last answer whole.
    void closeGently();

    HttpServer* m_server;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    RequestParser m_parser;
    /// Bytes that came behind the current request.
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
    bool m_continueSent = false;
};

} // namespace lentilbay::http
