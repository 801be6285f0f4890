// Tests of HttpServer with clients that close only their sending side and still read.
#include "lentilbay/Http/Server.h"

#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace lentilbay::http {
namespace {

using namespace std::chrono_literals;

TEST(HalfClose, RequestOfAClientThatStillReadsWasDropped)
{
    asio::io_context context;
    HttpServer server(context,
        HttpServerOptions { .address = { asio::ip::make_address("127.0.0.1"), 0 },
            .handler = [](std::shared_ptr<Exchange> it) { it->respond(200, "OK", {}, "answer"); },
            .malformed = {} });
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
    asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    client.shutdown(asio::ip::tcp::socket::shutdown_send);
    context.run_for(100ms);
    client.non_blocking(true);
    std::string received(1024, '\0');
    std::error_code ec;
    received.resize(client.read_some(asio::buffer(received), ec));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << ec.message();
}

} // namespace
} // namespace lentilbay::http
