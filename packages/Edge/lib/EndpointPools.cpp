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
/// An endpoint that gets requests a second time keeps a spare connection for this long.
constexpr Duration spareLifetime = std::chrono::seconds(10);
/// A spare connection that has been idle for so long is used next, before it is too old for some requests.
constexpr Duration spareRefreshAge = std::chrono::milliseconds(150);

Duration maxIdleTimeOf(const http::ClientConnection& connection)
{
    return std::max<Duration>(
        std::chrono::milliseconds(100), connection.keepAlive().value_or(defaultKeepAlive) - keepAliveMargin);
}

bool isUsable(const http::ClientConnection& connection, const LeaseQuery& query, TimePoint now)
{
    const auto age = now - connection.idleSince();
    return connection.isReusable() && age < maxIdleTimeOf(connection) && age < query.maxIdleAge;
}

} // namespace

void EndpointPools::lease(
    const LeaseQuery& query, std::function<void(std::shared_ptr<http::ClientConnection>)> done)
{
    const auto now = bootNow();
    auto& pool = m_pools[query.endpoint.id];
    refreshSpare(pool, now);
    bool isWithheld = false;
    for (auto i = pool.idle.size(); i-- > 0;) {
        if (isUsable(*pool.idle[i], query, now) && pool.idle[i]->mayRepeatResponseTo(query.requestHash)) {
            isWithheld = true;
            continue;
        }
        auto connection = std::move(pool.idle[i]);
        pool.idle.erase(pool.idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (!isUsable(*connection, query, now)) {
            connection->close();
            continue;
        }
        if (isWithheld)
            noteWithheld(pool, now);
        done(std::move(connection));
        return;
    }
    if (!isWithheld) {
        connect(query.endpoint, std::move(done));
        return;
    }
    noteWithheld(pool, now);
    openLasting(query.endpoint, std::move(done));
}

void EndpointPools::noteWithheld(Pool& pool, TimePoint now)
{
    ++m_withheld;
    pool.keepsSpareUntil = now + spareLifetime;
}

void EndpointPools::refreshSpare(Pool& pool, TimePoint now)
{
    if (pool.idle.size() < 2 || now >= pool.keepsSpareUntil)
        return;
    const auto spare = pool.idle.end() - 2;
    if (now - (*spare)->idleSince() >= spareRefreshAge)
        std::iter_swap(spare, spare + 1);
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

void EndpointPools::openLasting(
    const RoutedEndpoint& endpoint, std::function<void(std::shared_ptr<http::ClientConnection>)> done)
{
    open(endpoint, [this, done = std::move(done)](const std::shared_ptr<http::ClientConnection>& connection) {
        if (!connection) {
            done(nullptr);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context, aliveCheckDuration);
        timer->async_wait([done, connection, timer](
                              std::error_code) { done(connection->isOpen() ? connection : nullptr); });
    });
}

bool EndpointPools::hasIdle(const LeaseQuery& query, TimePoint now) const
{
    const auto it = m_pools.find(query.endpoint.id);
    return it != m_pools.end() && std::ranges::any_of(it->second.idle, [&](const auto& connection) {
        return isUsable(*connection, query, now) && !connection->mayRepeatResponseTo(query.requestHash);
    });
}

bool EndpointPools::withholds(const LeaseQuery& query, TimePoint now) const
{
    auto any = query;
    any.requestHash = 0;
    return !hasIdle(query, now) && hasIdle(any, now);
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
    openLasting(endpoint, [this, endpoint, finished](std::shared_ptr<http::ClientConnection> connection) {
        const bool isAlive = connection != nullptr;
        if (connection)
            release(endpoint, std::move(connection));
        finished(isAlive);
    });
}

void EndpointPools::checkAlive(const RoutedEndpoint& endpoint)
{
    if (m_checked.insert(endpoint.id).second)
        checkAlive(endpoint, [this, id = endpoint.id](bool) { m_checked.erase(id); });
}

void EndpointPools::closeIdle(const std::function<bool(const EndpointId&)>& isClosed)
{
    for (auto& [id, pool] : m_pools) {
        if (!isClosed(id))
            continue;
        for (const auto& it : std::exchange(pool.idle, {}))
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
    m_pools[endpoint.id].idle.push_back(std::move(connection));
}

void EndpointPools::closeExpired(TimePoint now, const std::function<bool(const EndpointId&)>& isListed)
{
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        const bool stays = isListed(it->first);
        std::erase_if(it->second.idle, [&](const auto& connection) {
            if (stays && connection->isReusable()
                && now - connection->idleSince() < maxIdleTimeOf(*connection))
                return false;
            connection->close();
            return true;
        });
        it = stays || !it->second.idle.empty() ? std::next(it) : m_pools.erase(it);
    }
}

size_t EndpointPools::idleConnections() const
{
    size_t n = 0;
    for (const auto& [id, pool] : m_pools)
        n += pool.idle.size();
    return n;
}

} // namespace lentilbay::edge
