// Tests of HttpServer with clients that close only their sending side and still read.
#include "lentilbay/Http/Server.h"

#include <asio/read.hpp>
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

TEST(HalfClose, ClientThatStillReadsWasTakenForOneThatHadLeft)
{
    asio::io_context context;
    std::shared_ptr<Exchange> exchange;
    HttpServer server(context,
        HttpServerOptions { .address = { asio::ip::make_address("127.0.0.1"), 0 },
            .handler = [&](std::shared_ptr<Exchange> it) { exchange = std::move(it); },
            .malformed = {} });
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
    asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    context.run_for(20ms);
    context.restart();
    ASSERT_TRUE(exchange);
    int disconnects = 0;
    int stays = 0;
    exchange->onClientDisconnect([&] { ++disconnects; });
    exchange->onClientStays([&] { ++stays; });
    client.shutdown(asio::ip::tcp::socket::shutdown_send);
    context.run_for(20ms);
    context.restart();
    EXPECT_TRUE(exchange->isClientUncertain());
    context.run_for(100ms);
    context.restart();
    EXPECT_FALSE(exchange->isClientUncertain());
    EXPECT_EQ(stays, 1);
    EXPECT_EQ(disconnects, 0);
    exchange->respond(200, "OK", {}, "answer");
    context.run_for(20ms);
    std::string received;
    std::error_code ec;
    asio::read(client, asio::dynamic_buffer(received), ec);
    EXPECT_EQ(ec, asio::error::eof);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200 OK\r\n")) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\nanswer")) << received;
    EXPECT_EQ(server.connections(), 0U);
}

TEST(HalfClose, ClientThatLeavesAfterItsRequestIsNoticed)
{
    asio::io_context context;
    std::shared_ptr<Exchange> exchange;
    HttpServer server(context,
        HttpServerOptions { .address = { asio::ip::make_address("127.0.0.1"), 0 },
            .handler = [&](std::shared_ptr<Exchange> it) { exchange = std::move(it); },
            .malformed = {} });
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
    asio::write(client, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    context.run_for(20ms);
    context.restart();
    ASSERT_TRUE(exchange);
    int disconnects = 0;
    int stays = 0;
    exchange->onClientDisconnect([&] { ++disconnects; });
    exchange->onClientStays([&] { ++stays; });
    client.close();
    context.run_for(150ms);
    EXPECT_EQ(disconnects, 1);
    EXPECT_EQ(stays, 0);
    EXPECT_EQ(server.connections(), 0U);
}

} // namespace
} // namespace lentilbay::http
