// A small raw TCP server for tests: it hands out scripted answers and records what was written to it.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
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
    /// Closes the connection this long after the answer, as a server with an idle limit does.
    bool closeWhenNextRequestBegins = false;
};

class RawServer {
public:
    explicit RawServer(asio::io_context& context);

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::string url(const std::string& path) const;
    /// The answers to the next requests, in the order in which the requests arrive.
    void script(ScriptedAnswer answer) { m_script.push_back(std::move(answer)); }
    /// All requests seen, whole or in part: one entry for each that began.
    const std::vector<std::string>& requests() const { return *m_requests; }
    size_t connections() const { return m_connections; }
    /// Accepts no more connections.
    void stopListening() { m_acceptor.close(); }

private:
    struct Connection;
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::deque<ScriptedAnswer> m_script;
    std::shared_ptr<std::vector<std::string>> m_requests = std::make_shared<std::vector<std::string>>();
    size_t m_connections = 0;
};

/// An answer with a Content-Length.
std::string httpAnswer(int status, const std::string& body, const std::string& fields = "");

} // namespace lentilbay
