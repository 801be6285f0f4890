// Main loop shared by the stand-in programs.
#pragma once

#include "HttpServer.h"

#include <iostream>

namespace lentilbay::standins {

/// Serves on 127.0.0.1 until SIGTERM or SIGINT and returns the exit code. Prints the port to standard output
/// once the server listens.
template <class Service> int runStandIn(const char* name, int port, Service& service)
{
    try {
        HttpServer server(
            static_cast<uint16_t>(port), [&](const HttpRequest& request, HttpExchangePtr exchange) {
                service.handle(request, std::move(exchange));
            });
        service.start([&](Duration delay, std::function<void()> function) {
            server.callAfter(delay, std::move(function));
        });
        std::cout << "listening on 127.0.0.1:" << server.port() << std::endl;
        server.run();
    } catch (const std::exception& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace lentilbay::standins
