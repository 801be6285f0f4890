// Idle connections by endpoint.
#include "lentilbay/Edge/EndpointPools.h"

#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace lentilbay::edge {
namespace {

/// Several times the longest round trip; a partitioned endpoint does not answer at all.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// Endpoints close idle connections after a time that they may not announce.
constexpr Duration defaultKeepAlive = std::chrono::seconds(5);
/// A connection is closed this long before its endpoint would close it.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(900);
/// A proxy accepts connections for an endpoint that has failed, and closes them at once.
constexpr Duration aliveCheckDuration = std::chrono::milliseconds(50);

Duration maxIdleTimeOf(const http::ClientConnection& connection)
{
    return std::max<Duration>(
        std::chrono::milliseconds(100), connection.keepAlive().value_or(defaultKeepAlive) - keepAliveMargin);
}

} // namespace

void EndpointPools::lease(
    const LeaseQuery& query, std::function<void(std::shared_ptr<http::ClientConnection>)> done)
{
    const auto now = bootNow();
    auto& idle = m_idle[query.endpoint.id];
    while (!idle.empty()) {
        auto connection = idle.back();
        idle.pop_back();
        const auto age = now - connection->idleSince();
        if (connection->isReusable() && age < maxIdleTimeOf(*connection) && age < query.maxIdleAge) {
            done(std::move(connection));
            return;
        }
        connection->close();
    }
    connect(query.endpoint, std::move(done));
}

void EndpointPools::connect(
    const RoutedEndpoint& endpoint, std::function<void(std::shared_ptr<http::ClientConnection>)> done)
{
    open(endpoint,
        [this, id = endpoint.id, done = std::move(done)](std::shared_ptr<http::ClientConnection> connection) {
            if (m_connectObserver)
                m_connectObserver(id, connection != nullptr);
            done(std::move(connection));
        });
}

void EndpointPools::open(
    const RoutedEndpoint& endpoint, std::function<void(std::shared_ptr<http::ClientConnection>)> done)
{
    std::error_code ec;
    const auto host = asio::ip::make_address(endpoint.host, ec);
    if (ec) {
        // The codec validates addresses, so this is not expected; reported as unreachable.
        asio::post(m_context, [done = std::move(done)] { done(nullptr); });
        return;
    }
    ++m_opened;
    auto connection = std::make_shared<http::ClientConnection>(m_context, m_memory);
    connection->connect({ host, endpoint.port }, connectTimeout,
        [connection, done = std::move(done)](bool isConnected) { done(isConnected ? connection : nullptr); });
}

bool EndpointPools::hasIdle(const RoutedEndpoint& endpoint, Duration maxIdleAge, TimePoint now) const
{
    const auto it = m_idle.find(endpoint.id);
    return it != m_idle.end() && std::ranges::any_of(it->second, [&](const auto& connection) {
        const auto age = now - connection->idleSince();
        return connection->isReusable() && age < maxIdleTimeOf(*connection) && age < maxIdleAge;
    });
}

void EndpointPools::probe(const RoutedEndpoint& endpoint)
{
    connect(endpoint, [this, endpoint](std::shared_ptr<http::ClientConnection> connection) {
        if (connection)
            release(endpoint, std::move(connection));
    });
}

void EndpointPools::checkAlive(const RoutedEndpoint& endpoint, std::function<void(bool isAlive)> done)
{
    const auto finished = [this, id = endpoint.id, done = std::move(done)](bool isAlive) {
        if (m_aliveObserver)
            m_aliveObserver(id, isAlive);
        done(isAlive);
    };
    const auto connected
        = [this, endpoint, finished](const std::shared_ptr<http::ClientConnection>& connection) {
              if (!connection) {
                  finished(false);
                  return;
              }
              auto timer = std::make_shared<asio::steady_timer>(m_context, aliveCheckDuration);
              timer->async_wait([this, endpoint, finished, connection, timer](std::error_code) {
                  const bool isAlive = connection->isOpen();
                  release(endpoint, connection);
                  finished(isAlive);
              });
          };
    open(endpoint, connected);
}

void EndpointPools::checkAlive(const RoutedEndpoint& endpoint)
{
    if (m_checked.insert(endpoint.id).second)
        checkAlive(endpoint, [this, id = endpoint.id](bool) { m_checked.erase(id); });
}

void EndpointPools::closeIdle(const std::function<bool(const EndpointId&)>& isClosed)
{
    for (auto& [id, idle] : m_idle) {
        if (!isClosed(id))
            continue;
        for (const auto& it : std::exchange(idle, {}))
            it->close();
    }
}

void EndpointPools::release(
    const RoutedEndpoint& endpoint, std::shared_ptr<http::ClientConnection> connection)
{
    if (!connection->isReusable()) {
        connection->close();
        return;
    }
    m_idle[endpoint.id].push_back(std::move(connection));
}

void EndpointPools::closeExpired(TimePoint now, const std::function<bool(const EndpointId&)>& isListed)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        const bool stays = isListed(it->first);
        std::erase_if(it->second, [&](const auto& connection) {
            if (stays && connection->isReusable()
                && now - connection->idleSince() < maxIdleTimeOf(*connection))
                return false;
            connection->close();
            return true;
        });
        it = stays || !it->second.empty() ? std::next(it) : m_idle.erase(it);
    }
}

size_t EndpointPools::idleConnections() const
{
    size_t n = 0;
    for (const auto& [id, idle] : m_idle)
        n += idle.size();
    return n;
}

} // namespace lentilbay::edge
