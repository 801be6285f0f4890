// Implements CallerServer with RESTinio. No other translation unit of the package includes RESTinio.
#include "lentilbay/Gateway/CallerServer.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <restinio/all.hpp>
#include <unordered_set>

namespace lentilbay {
namespace {

/// Multiple of a size limit up to which RESTinio reads, so that the caller gets a specific error response.
constexpr uint64_t readLimitFactor = 4;
/// RESTinio detects a disconnect only while it may read the next request.
constexpr size_t maxPipelinedRequests = 8;
constexpr size_t concurrentAccepts = 4;
constexpr size_t readBufferBytes = 16'384;
constexpr auto maxRequestDuration = std::chrono::hours { 24 };

/// Outlives the server, because write notifications may arrive after its destruction.
struct Counters {
    /// Open connections. Filters duplicates, because RESTinio may report the closing of a connection twice.
    std::unordered_set<ConnectionId> connections;
    size_t unwrittenAnswers = 0;
    bool closeAfterResponses = false;
};

struct StateListener {
    std::shared_ptr<Counters> counters;
    CallerServer::DisconnectHandler onDisconnect;

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept // NOLINT: RESTinio's name
    {
        const auto cause = notice.cause();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
            counters->connections.insert(notice.connection_id());
            return;
        }
        const bool closed = restinio::holds_alternative<restinio::connection_state::closed_t>(cause);
        if (closed && counters->connections.erase(notice.connection_id()) > 0)
            onDisconnect(notice.connection_id());
    }
};

struct ServerTraits : restinio::default_single_thread_traits_t {
    using connection_state_listener_t = StateListener; // NOLINT: RESTinio's name
    static constexpr bool use_connection_count_limiter = true; // NOLINT: RESTinio's name
};

using Server = restinio::http_server_t<ServerTraits>;
using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t statusLine(int status)
{
    return { restinio::http_status_code_t(static_cast<uint16_t>(status)),
        http_status_str(static_cast<http_status>(status)) };
}

template <class Response> void appendFields(Response& response, std::vector<HttpField>& fields)
{
    for (auto& [name, value] : fields)
        response.append_header(std::move(name), std::move(value));
}

/// Writes one chunk at a time and buffers further bytes for the next one.
class RestinioChannel final : public CallerChannel, public std::enable_shared_from_this<RestinioChannel> {
public:
    RestinioChannel(restinio::request_handle_t request, std::shared_ptr<Counters> counters)
        : m_request(std::move(request))
        , m_counters(std::move(counters))
        , m_upgradeRequested(m_request->header().has_field(restinio::http_field::upgrade)
              || m_request->header().method() == restinio::http_method_connect())
    {
    }

    ~RestinioChannel() override
    {
        if (m_stream)
            --m_counters->unwrittenAnswers;
    }

    void answer(CallerAnswer answer) override
    {
        auto response = m_request->create_response(statusLine(answer.status));
        if (mustClose())
            response.connection_close();
        appendFields(response, answer.fields);
        response.set_body(std::move(answer.body));
        ++m_counters->unwrittenAnswers;
        response.done([counters = m_counters](const auto&) { --counters->unwrittenAnswers; });
    }

    void beginStream(std::vector<HttpField> fields) override
    {
        m_stream = std::make_unique<Stream>(
            m_request->create_response<restinio::chunked_output_t>(statusLine(HTTP_STATUS_OK)));
        if (mustClose())
            m_stream->connection_close();
        appendFields(*m_stream, fields);
        m_stream->flush();
        ++m_counters->unwrittenAnswers;
    }

    void write(std::string_view bytes) override
    {
        m_pending += bytes;
        if (m_inFlightBytes == 0)
            flush();
    }

    void endStream() override
    {
        if (!m_pending.empty())
            m_stream->append_chunk(std::move(m_pending));
        m_pending.clear();
        m_stream->done([counters = m_counters](const auto&) { --counters->unwrittenAnswers; });
        m_stream.reset();
    }

    size_t backlog() const override { return m_inFlightBytes + m_pending.size(); }

    void onDrained(std::function<void()> function) override { m_onDrained = std::move(function); }

private:
    /// RESTinio reads no further requests from a connection that requested an upgrade.
    bool mustClose() const { return m_counters->closeAfterResponses || m_upgradeRequested; }

    void flush()
    {
        m_inFlightBytes = m_pending.size();
        m_stream->append_chunk(std::move(m_pending));
        m_pending.clear();
        m_stream->flush([weak = weak_from_this()](const auto& ec) {
            if (const auto self = weak.lock(); self && !ec)
                self->chunkWritten();
        });
    }

    void chunkWritten()
    {
        m_inFlightBytes = 0;
        if (m_stream && !m_pending.empty())
            return flush();
        if (m_onDrained)
            m_onDrained();
    }

    restinio::request_handle_t m_request;
    std::shared_ptr<Counters> m_counters;
    bool m_upgradeRequested = false;
    std::unique_ptr<Stream> m_stream;
    std::function<void()> m_onDrained;
    /// Size of the chunk that RESTinio is writing.
    size_t m_inFlightBytes = 0;
    std::string m_pending;
};

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

CallerRequest toRequest(const restinio::request_t& request)
{
    const auto& header = request.header();
    CallerRequest out { .method = header.method().c_str(),
        .path = std::string(header.path()),
        .query = std::string(header.query()),
        .body = request.body(),
        .connection = request.connection_id() };
    header.for_each_field([&](const restinio::http_header_field_t& field) {
        out.fields.emplace_back(lowerCase(field.name()), field.value());
    });
    return out;
}

} // namespace

const std::string* CallerRequest::find(std::string_view name) const
{
    const auto it
        = std::find_if(fields.begin(), fields.end(), [&](const auto& it) { return it.first == name; });
    return it == fields.end() ? nullptr : &it->second;
}

struct CallerServer::State {
    CallerServerOptions options;
    std::shared_ptr<Counters> counters = std::make_shared<Counters>();
    uint16_t port = 0;
    std::unique_ptr<Server> server;
};

CallerServer::CallerServer(asio::io_context& context, CallerServerOptions options, RequestHandler onRequest,
    DisconnectHandler onDisconnect)
    : m_state(std::make_shared<State>(State { .options = options }))
{
    auto counters = m_state->counters;
    auto handler = [counters, onRequest = std::move(onRequest)](restinio::request_handle_t request) {
        auto read = toRequest(*request);
        onRequest(std::move(read), std::make_shared<RestinioChannel>(std::move(request), counters));
        return restinio::request_accepted();
    };
    auto listener = std::make_shared<StateListener>(StateListener { counters, std::move(onDisconnect) });
    m_state->server = std::make_unique<Server>(restinio::external_io_context(context), [&](auto& settings) {
        settings.address(options.address)
            .port(options.port)
            .request_handler(std::move(handler))
            .connection_state_listener(std::move(listener))
            .max_parallel_connections(options.maxConnections)
            .read_next_http_message_timelimit(options.idleTimeout)
            .write_http_response_timelimit(options.idleTimeout)
            .handle_request_timeout(maxRequestDuration)
            .max_pipelined_requests(maxPipelinedRequests)
            .concurrent_accepts_count(concurrentAccepts)
            .buffer_size(readBufferBytes)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_body_size(options.maxBodyBytes * readLimitFactor)
                                          .max_url_size(options.maxFieldBytes * readLimitFactor)
                                          .max_field_name_size(options.maxFieldBytes)
                                          .max_field_value_size(options.maxFieldBytes * readLimitFactor)
                                          .max_field_count(options.maxFields * readLimitFactor))
            .acceptor_options_setter(
                [](auto& it) { it.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
            .socket_options_setter([](auto& it) { it.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_post_bind_hook([state = m_state.get()](asio::ip::tcp::acceptor& acceptor) {
                state->port = acceptor.local_endpoint().port();
            });
    });
}

CallerServer::~CallerServer() = default;

void CallerServer::open() { m_state->server->open_sync(); }

void CallerServer::close() { m_state->server->close_sync(); }

void CallerServer::closeAfterResponses() { m_state->counters->closeAfterResponses = true; }

uint16_t CallerServer::port() const { return m_state->port; }

size_t CallerServer::connections() const { return m_state->counters->connections.size(); }

size_t CallerServer::unwrittenAnswers() const { return m_state->counters->unwrittenAnswers; }

} // namespace lentilbay
