// A small raw TCP server for tests: it hands out scripted answers and records what was written to it.
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

/// What the server does once a whole request has arrived.
struct ScriptedAnswer {
    std::string bytes;
    enum class Then : uint8_t { KeepOpen, Close, Reset } then = Then::KeepOpen;
    /// Resets the connection when the next request on it begins, as a server with an idle limit may.
    bool closeWhenNextRequestBegins = false;
    std::chrono::milliseconds delay {};
};

class RawServer {
public:
    explicit RawServer(asio::io_context& context);

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::string url(const std::string& path) const;
    /// Answers each request; without it the script does.
    void setResponder(std::function<ScriptedAnswer(const std::string& request)> responder)
    {
        m_responder = std::move(responder);
    }
    /// The answers to the next requests, in the order in which the requests arrive. Without one the server
    /// stalls.
    void script(ScriptedAnswer answer) { m_script.push_back(std::move(answer)); }
    /// All requests seen, whole or in part: one entry for each that began.
    const std::vector<std::string>& requests() const { return *m_requests; }
    /// How many of them begin with the text.
    size_t requestsTo(const std::string& begin) const;
    size_t connections() const { return m_connections; }
    /// Accepts no more connections.
    void stopListening() { m_acceptor.close(); }

private:
    struct Connection;
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::deque<ScriptedAnswer> m_script;
    std::function<ScriptedAnswer(const std::string&)> m_responder;
    std::shared_ptr<std::vector<std::string>> m_requests = std::make_shared<std::vector<std::string>>();
    size_t m_connections = 0;
};

/// An answer in chunks, which ends there or not.
std::string chunkedAnswer(const std::vector<std::string>& chunks, bool whole = true);

/// An answer with a Content-Length.
std::string httpAnswer(int status, const std::string& body, const std::string& fields = "");

} // namespace lentilbay
