#include "Responder.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <fmt/format.h>
#include <future>
#include <restinio/all.hpp>
#include <thread>

namespace lentilbay {
namespace {

using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

constexpr auto load
    = R"({"running":0,"waiting":0,"kv_tokens_used":0,"kv_tokens":1000000000,"age_ms":0,"leaving":false})";
constexpr auto answer
    = R"({"id":"x","object":"text_completion","choices":[{"index":0,"text":"copper cathode grade A"}],)"
      R"("usage":{"prompt_tokens":8,"completion_tokens":5,"cached_tokens":0}})";
constexpr auto streamTimeout = std::chrono::hours { 1 };

/// Streams the tokens; each is written after the previous write has finished.
struct TokenStream : std::enable_shared_from_this<TokenStream> {
    TokenStream(Stream stream, uint32_t count)
        : stream(std::move(stream))
        , count(count)
    {
    }

    void next()
    {
        const bool last = index + 1 == count;
        stream.append_chunk(fmt::format(
            "data: {{\"id\":\"d1-0123456789abcdef-1\",\"object\":\"text_completion\",\"token_index\":{},"
            "\"choices\":[{{\"index\":0,\"text\":\"word{} \"}}]{}}}\n\n",
            index, index,
            last ? fmt::format(",\"usage\":{{\"prompt_tokens\":8,\"completion_tokens\":{}}}", count) : ""));
        ++index;
        if (last) {
            stream.append_chunk("data: [DONE]\n\n");
            stream.done();
            return;
        }
        stream.flush([self = shared_from_this()](const auto& ec) {
            if (!ec)
                self->next();
        });
    }

    Stream stream;
    uint32_t count;
    uint32_t index = 0;
};

} // namespace

struct Responder::State {
    asio::io_context context { 1 };
    std::thread thread;
    uint16_t port = 0;
    std::atomic<int64_t> processorMicroseconds { 0 };
};

Responder::Responder(uint32_t streamTokens)
    : m_state(std::make_unique<State>())
{
    std::promise<void> listening;
    m_state->thread = std::thread([&, state = m_state.get(), streamTokens] {
        auto handler = [state, streamTokens](const restinio::request_handle_t& request) {
            state->processorMicroseconds = threadProcessorTime().count();
            if (request->body().find("\"stream\":true") == std::string::npos)
                return request->create_response()
                    .append_header("Content-Type", "application/json")
                    .set_body(request->header().path() == "/load" ? load : answer)
                    .done();
            std::make_shared<TokenStream>(
                request->create_response<restinio::chunked_output_t>(), streamTokens)
                ->next();
            return restinio::request_accepted();
        };
        restinio::http_server_t<restinio::default_single_thread_traits_t> server(
            restinio::external_io_context(state->context), [&](auto& settings) {
                settings.address("127.0.0.1")
                    .port(0)
                    .request_handler(handler)
                    .write_http_response_timelimit(streamTimeout)
                    .handle_request_timeout(streamTimeout)
                    .read_next_http_message_timelimit(streamTimeout)
                    .socket_options_setter([](auto& it) { it.set_option(asio::ip::tcp::no_delay(true)); })
                    .acceptor_post_bind_hook(
                        [state](auto& acceptor) { state->port = acceptor.local_endpoint().port(); });
            });
        server.open_sync();
        listening.set_value();
        state->context.run();
    });
    listening.get_future().wait();
}

Responder::~Responder()
{
    m_state->context.stop();
    m_state->thread.join();
}

uint16_t Responder::port() const { return m_state->port; }

Duration Responder::processorTime() const { return Duration { m_state->processorMicroseconds.load() }; }

Duration threadProcessorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec });
}

} // namespace lentilbay
