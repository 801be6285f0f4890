// HttpServer over RESTinio. Each accepted socket registers itself, so that an injected fault can abort the
// connection of one exchange; RESTinio has no function for this.
#include "HttpServer.h"

#include <algorithm>
#include <asio.hpp>
#include <restinio/all.hpp>
#include <unordered_set>

namespace lentilbay::standins {

namespace {

constexpr auto unlimited = std::chrono::hours(24);

/// A TCP socket that can be looked up by its peer's address while it is open. The registry is per thread.
class TrackedSocket : public asio::ip::tcp::socket {
public:
    explicit TrackedSocket(asio::io_context& context)
        : asio::ip::tcp::socket(context)
    {
        openSockets().insert(this);
    }
    TrackedSocket(TrackedSocket&& other) noexcept
        : asio::ip::tcp::socket(std::move(static_cast<asio::ip::tcp::socket&>(other)))
    {
        openSockets().insert(this);
    }
    ~TrackedSocket() { openSockets().erase(this); }
    TrackedSocket& operator=(TrackedSocket&&) = delete;

    /// Shuts down the connection with this peer in both directions.
    static void abortConnection(const asio::ip::tcp::endpoint& peer)
    {
        for (auto* it : openSockets()) {
            asio::error_code ec;
            if (!it->is_open() || it->remote_endpoint(ec) != peer || ec)
                continue;
            it->set_option(asio::socket_base::linger(true, 0), ec);
            it->shutdown(asio::socket_base::shutdown_both, ec);
            return;
        }
    }

private:
    static std::unordered_set<TrackedSocket*>& openSockets()
    {
        thread_local std::unordered_set<TrackedSocket*> sockets;
        return sockets;
    }
};

struct ServerTraits : restinio::default_single_thread_traits_t {
    using stream_socket_t = TrackedSocket;
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

restinio::http_status_line_t statusLine(int status)
{
    return restinio::http_status_line_t { restinio::http_status_code_t(static_cast<uint16_t>(status)),
        status < 400 ? "OK" : "Error" };
}

class RestinioExchange : public HttpExchange {
public:
    RestinioExchange(restinio::request_handle_t request, std::shared_ptr<asio::io_context> context)
        : m_context(std::move(context))
        , m_request(std::move(request))
    {
    }

    void reply(int status, std::string body, std::vector<HttpHeader> headers) override
    {
        if (m_broken)
            return;
        auto response = m_request->create_response(statusLine(status));
        for (auto& it : headers)
            response.append_header(std::move(it.name), std::move(it.value));
        response.set_body(std::move(body));
        response.done();
    }

    void beginStream(std::string contentType) override
    {
        if (m_broken)
            return;
        m_stream = std::make_unique<Stream>(
            m_request->create_response<restinio::chunked_output_t>(statusLine(200)));
        m_stream->append_header(restinio::http_field::content_type, std::move(contentType));
        m_stream->flush();
    }

    void writeChunk(std::string bytes) override
    {
        if (!m_stream || m_broken)
            return;
        m_stream->append_chunk(std::move(bytes));
        m_stream->flush();
    }

    void endStream() override
    {
        if (m_stream && !m_broken)
            m_stream->done();
        m_stream.reset();
    }

    void breakConnection() override
    {
        m_broken = true;
        TrackedSocket::abortConnection(m_request->remote_endpoint());
        m_stream.reset();
    }

private:
    using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

    /// Keeps the context alive for the timer of the request's connection: a stand-in may hold an exchange
    /// longer than its server exists.
    std::shared_ptr<asio::io_context> m_context;
    restinio::request_handle_t m_request;
    std::unique_ptr<Stream> m_stream;
    bool m_broken = false;
};

HttpRequest toRequest(const restinio::request_t& request)
{
    HttpRequest result { .method = request.header().method().c_str(),
        .path = std::string(request.header().path()),
        .query = std::string(request.header().query()),
        .body = request.body() };
    request.header().for_each_field([&](const restinio::http_header_field_t& field) {
        result.headers.push_back({ .name = field.name(), .value = field.value() });
    });
    return result;
}

bool equalsIgnoringCase(const std::string& a, const std::string& b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

std::string HttpRequest::header(const std::string& name) const { return findHeader(headers, name); }

std::string findHeader(const std::vector<HttpHeader>& headers, const std::string& name)
{
    for (const auto& it : headers) {
        if (equalsIgnoringCase(it.name, name))
            return it.value;
    }
    return {};
}

std::string HttpRequest::parameter(const std::string& name) const
{
    const auto values = restinio::parse_query(restinio::string_view_t(query.data(), query.size()));
    if (!values.has(name))
        return {};
    const auto value = values[name];
    return std::string(value.data(), value.size());
}

struct HttpServer::State {
    std::shared_ptr<asio::io_context> context = std::make_shared<asio::io_context>(1);
    asio::signal_set signals { *context, SIGTERM, SIGINT };
    uint16_t port = 0;
    std::unique_ptr<restinio::http_server_t<ServerTraits>> server;
};

HttpServer::HttpServer(uint16_t port, HttpHandler handler)
    : m_state(std::make_unique<State>())
{
    // Weak to avoid a reference cycle: pending operations of the context own this handler.
    auto onRequest = [handler = std::move(handler), context = std::weak_ptr(m_state->context)](
                         restinio::request_handle_t request) {
        handler(toRequest(*request), std::make_shared<RestinioExchange>(request, context.lock()));
        return restinio::request_accepted();
    };
    m_state->server = std::make_unique<restinio::http_server_t<ServerTraits>>(
        restinio::external_io_context(*m_state->context), [&](auto& settings) {
            settings.address("127.0.0.1")
                .port(port)
                .request_handler(std::move(onRequest))
                .read_next_http_message_timelimit(unlimited)
                .handle_request_timeout(unlimited)
                .write_http_response_timelimit(unlimited)
                .max_pipelined_requests(64)
                .concurrent_accepts_count(4)
                .socket_options_setter(
                    [](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
                .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
                    m_state->port = acceptor.local_endpoint().port();
                });
        });
    m_state->server->open_sync();
    m_state->signals.async_wait([this](const asio::error_code& ec, int) {
        if (!ec)
            m_state->context->stop();
    });
}

HttpServer::~HttpServer() = default;

uint16_t HttpServer::port() const { return m_state->port; }

void HttpServer::run() { m_state->context->run(); }

void HttpServer::stop() { m_state->context->stop(); }

void HttpServer::callAfter(Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<asio::steady_timer>(*m_state->context, delay);
    timer->async_wait([timer, function = std::move(function)](const asio::error_code& ec) {
        if (!ec)
            function();
    });
}

} // namespace lentilbay::standins
