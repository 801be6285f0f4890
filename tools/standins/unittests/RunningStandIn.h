// Test fixture that serves a stand-in on a thread of the test process.
#pragma once

#include "HttpClient.h"
#include "HttpServer.h"

#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace lentilbay::standins {

template <class Service> class RunningStandIn {
public:
    template <class Options>
    explicit RunningStandIn(Options options)
        : m_service(options)
        , m_server(0, [this](const HttpRequest& request, HttpExchangePtr exchange) {
            m_service.handle(request, std::move(exchange));
        })
    {
        m_service.start([this](Duration delay, std::function<void()> function) {
            m_server.callAfter(delay, std::move(function));
        });
        m_thread = std::thread([this] { m_server.run(); });
    }

    ~RunningStandIn()
    {
        m_server.stop();
        m_thread.join();
    }

    std::string url(const std::string& path) const
    {
        return "http://127.0.0.1:" + std::to_string(m_server.port()) + path;
    }

    HttpReply post(const std::string& path, const nlohmann::json& body, std::vector<HttpHeader> headers = {})
    {
        return m_client.call(
            { .method = "POST", .url = url(path), .headers = std::move(headers), .body = body.dump() });
    }

    HttpReply get(const std::string& path) { return m_client.call({ .url = url(path) }); }

    nlohmann::json getJson(const std::string& path) { return nlohmann::json::parse(get(path).body); }

private:
    Service m_service;
    HttpServer m_server;
    HttpClient m_client;
    std::thread m_thread;
};

} // namespace lentilbay::standins
