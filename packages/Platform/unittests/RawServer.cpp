// Reads requests and writes the scripted responses, one at a time per connection.
#include "RawServer.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

namespace lentilbay {

struct RawServer::Connection : std::enable_shared_from_this<RawServer::Connection> {
    Connection(RawServer& server, asio::ip::tcp::socket socket)
        : server(server)
        , requests(server.m_requests)
        , socket(std::move(socket))
    {
    }

    void read()
    {
        socket.async_read_some(
            asio::buffer(buf), [self = shared_from_this()](const asio::error_code& ec, size_t n) {
                if (!ec)
                    self->onReceived(n);
            });
    }

    void onReceived(size_t n)
    {
        if (!requestBegun) {
            requestBegun = true;
            requests->emplace_back();
            index = requests->size() - 1;
            if (resetOnNext)
                return reset();
        }
        (*requests)[index].append(buf.data(), n);
        if (isComplete((*requests)[index]))
            return respond();
        read();
    }

    static bool isComplete(const std::string& request)
    {
        const auto end = request.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        const auto at = request.find("Content-Length: ");
        const size_t length = at == std::string::npos ? 0 : std::stoul(request.substr(at + 16));
        return request.size() >= end + 4 + length;
    }

    void respond()
    {
        requestBegun = false;
        const auto late = std::exchange(current.beforeNextResponse, {});
        if (server.m_responder) {
            current = server.m_responder((*requests)[index]);
        } else if (server.m_script.empty()) {
            return read(); // no response is scripted: the server stalls
        } else {
            current = server.m_script.front();
            server.m_script.pop_front();
        }
        resetOnNext = current.resetOnNextRequest;
        for (auto* it : { &current.bytes, &current.beforeNextResponse })
            insertRequestId((*requests)[index], *it);
        std::error_code ignored;
        asio::write(socket, asio::buffer(late), ignored);
        timer.expires_after(current.delay);
        timer.async_wait([self = shared_from_this()](const asio::error_code& ec) {
            if (!ec)
                self->write();
        });
    }

    static void insertRequestId(const std::string& request, std::string& response)
    {
        constexpr std::string_view field = "X-Request-Id: ";
        constexpr std::string_view placeholder = "{id}";
        const auto begin = request.find(field);
        if (begin == std::string::npos)
            return;
        const auto id = begin + field.size();
        const auto end = request.find("\r\n", id);
        for (auto at = response.find(placeholder); at != std::string::npos;
             at = response.find(placeholder, at))
            response.replace(at, placeholder.size(), request, id, end - id);
    }

    void write()
    {
        const size_t n = current.pieceBytes > 0 ? std::min(current.pieceBytes, current.bytes.size())
                                                : current.bytes.size();
        asio::async_write(socket, asio::buffer(current.bytes, n),
            [self = shared_from_this()](const asio::error_code& ec, size_t written) {
                if (ec)
                    return;
                self->current.bytes.erase(0, written);
                if (self->current.bytes.empty())
                    self->onResponseWritten();
                else
                    self->writeLater();
            });
    }

    void writeLater()
    {
        timer.expires_after(current.pieceDelay);
        timer.async_wait([self = shared_from_this()](const asio::error_code& ec) {
            if (!ec)
                self->write();
        });
    }

    void onResponseWritten()
    {
        if (current.then == ScriptedResponse::Then::Reset)
            return reset();
        if (current.then == ScriptedResponse::Then::Close)
            return socket.close();
        read();
    }

    void reset()
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    RawServer& server;
    std::shared_ptr<std::vector<std::string>> requests;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer { socket.get_executor() };
    std::array<char, 16384> buf {};
    ScriptedResponse current;
    bool requestBegun = false;
    bool resetOnNext = false;
    size_t index = 0;
};

RawServer::RawServer(asio::io_context& context)
    : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
{
    accept();
}

std::string RawServer::url(const std::string& path) const
{
    return "http://127.0.0.1:" + std::to_string(port()) + path;
}

void RawServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
        if (ec)
            return;
        ++m_connections;
        std::make_shared<Connection>(*this, std::move(socket))->read();
        accept();
    });
}

size_t RawServer::requestsStartingWith(const std::string& begin) const
{
    return static_cast<size_t>(std::count_if(
        m_requests->begin(), m_requests->end(), [&](const auto& it) { return it.starts_with(begin); }));
}

std::string chunkedResponse(const std::vector<std::string>& chunks, bool isComplete)
{
    std::string out
        = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& it : chunks) {
        std::array<char, 16> size {};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), it.size(), 16).ptr;
        out.append(size.data(), end);
        out += "\r\n" + it + "\r\n";
    }
    return isComplete ? out + "0\r\n\r\n" : out;
}

std::string httpResponse(int status, const std::string& body, const std::string& fields)
{
    return "HTTP/1.1 " + std::to_string(status)
        + " Scripted\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

} // namespace lentilbay
