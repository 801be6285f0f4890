// A minimal TCP server for tests: it sends scripted responses and records the requests that it receives.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentilbay {

/// What the server does after a complete request has arrived.
struct ScriptedResponse {
    /// "{id}" stands for the id of the request.
    std::string bytes;
    enum class Then : uint8_t { KeepOpen, Close, Reset } then = Then::KeepOpen;
    /// Resets the connection when the next request on it begins, as a server with an idle timeout may do.
    bool resetOnNextRequest = false;
    std::chrono::milliseconds delay {};
    /// If not zero, the bytes are sent in pieces of this size, with this pause after each.
    size_t pieceBytes = 0;
    std::chrono::milliseconds pieceDelay {};
    /// Written on the same connection once the next request on it has arrived, before the response to that.
    std::string beforeNextResponse = {};
};

class RawServer {
public:
    explicit RawServer(asio::io_context& context);

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::string url(const std::string& path) const;
    /// Sets a function that produces the response to each request and overrides the script.
    void setResponder(std::function<ScriptedResponse(const std::string& request)> responder)
    {
        m_responder = std::move(responder);
    }
    /// Queues the response to a future request, in order of arrival. The server does not respond to requests
    /// for which none is queued.
    void script(ScriptedResponse answer) { m_script.push_back(std::move(answer)); }
    /// All requests received, complete or partial, one entry each.
    const std::vector<std::string>& requests() const { return *m_requests; }
    /// Number of received requests that start with the text.
    size_t requestsStartingWith(const std::string& begin) const;
    size_t connections() const { return m_connections; }
    /// Stops accepting connections.
    void stopListening() { m_acceptor.close(); }

private:
    struct Connection;
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::deque<ScriptedResponse> m_script;
    std::function<ScriptedResponse(const std::string&)> m_responder;
    std::shared_ptr<std::vector<std::string>> m_requests = std::make_shared<std::vector<std::string>>();
    size_t m_connections = 0;
};

/// A response with chunked transfer encoding; without the final chunk unless `isComplete`.
std::string chunkedResponse(const std::vector<std::string>& chunks, bool isComplete = true);

/// A response with a Content-Length.
std::string httpResponse(int status, const std::string& body, const std::string& fields = "");

} // namespace lentilbay
