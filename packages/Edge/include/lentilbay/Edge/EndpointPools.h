// Pools of idle connections to endpoints. A pool never holds more connections than the daemon has had
// concurrent requests at the endpoint, which the endpoint's slots bound, and one more for requests that the
// endpoint gets a second time.
//
// An endpoint may write a second copy of a response where the next one is expected. The copy is recognised by
// its request id, unless the next request is the same one: that is sent on another connection.
#pragma once

#include "lentilbay/Http/ClientConnection.h"
#include "lentilbay/Model/RoutedEndpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentilbay::edge {

struct LeaseQuery {
    RoutedEndpoint endpoint;
    /// A connection that has been idle for longer is not used: the endpoint may be closing it, and it would
    /// then be unknown whether the request was executed.
    Duration maxIdleAge = std::chrono::seconds(60);
    /// Identifies the request that is to be sent. A connection that may bring a second copy of the response
    /// to it is left to other requests. 0 if there can be no such copy.
    uint64_t requestHash = 0;
};

class EndpointPools {
public:
    /// @param memory bounds the heads of answers that are being read; nullptr for no bound
    explicit EndpointPools(asio::io_context& context, std::shared_ptr<MemoryBudget> memory = nullptr)
        : m_context(context)
        , m_memory(std::move(memory))
    {
    }

    /// Calls `done` with an open connection, or with nullptr if none could be established. If an idle one was
    /// withheld from the request, a new one is not used before it is clear that the endpoint keeps it.
    void lease(const LeaseQuery& query, std::function<void(std::shared_ptr<http::ClientConnection>)> done);
    /// Whether lease() would find an open connection.
    bool hasIdle(const LeaseQuery& query, TimePoint now) const;
    /// Whether there are idle connections, but each of them may bring a second copy of the response to the
    /// request.
    bool withholds(const LeaseQuery& query, TimePoint now) const;
    /// Tries a new connection, which is kept for later if it is established.
    void probe(const RoutedEndpoint& endpoint);
    /// Calls `done` with whether the endpoint's process accepts a new connection and keeps it. The observer
    /// of connections is told of a success only.
    void checkAlive(const RoutedEndpoint& endpoint, std::function<void(bool isAlive)> done);
    /// The same for the observers only, unless such a check is in progress.
    void checkAlive(const RoutedEndpoint& endpoint);
    /// Called with what such a check has found.
    void setAliveObserver(std::function<void(const EndpointId&, bool isAlive)> observer)
    {
        m_aliveObserver = std::move(observer);
    }
    /// Called with whether a new connection was established, which a proxy may do for an endpoint that is
    /// gone.
    void setConnectObserver(std::function<void(const EndpointId&, bool isConnected)> observer)
    {
        m_connectObserver = std::move(observer);
    }
    /// Returns a connection to the pool, or closes it if it cannot be reused.
    void release(const RoutedEndpoint& endpoint, std::shared_ptr<http::ClientConnection> connection);
    /// Closes connections that their endpoint is about to close, or whose endpoint was removed.
    void closeExpired(TimePoint now, const std::function<bool(const EndpointId&)>& isListed);
    /// Closes the idle connections to those endpoints.
    void closeIdle(const std::function<bool(const EndpointId&)>& isClosed);
    size_t idleConnections() const;
    uint64_t opened() const { return m_opened; }
    /// How many leases did not get an idle connection because it might bring a copy of a former response.
    uint64_t withheld() const { return m_withheld; }

private:
    struct Pool {
        /// The one at the end is used next.
        std::vector<std::shared_ptr<http::ClientConnection>> idle;
        /// Until then a spare one is used now and then, so that it stays usable for all requests.
        TimePoint keepsSpareUntil {};
    };

    void noteWithheld(Pool& pool, TimePoint now);
    /// Puts a spare connection that has been idle for a while in the place of the one that is used next.
    static void refreshSpare(Pool& pool, TimePoint now);
    void connect(
        const RoutedEndpoint& endpoint, std::function<void(std::shared_ptr<http::ClientConnection>)> done);
    /// The same without the observer.
    void open(
        const RoutedEndpoint& endpoint, std::function<void(std::shared_ptr<http::ClientConnection>)> done);
    /// The same, with nullptr also if the endpoint closes the connection at once.
    void openLasting(
        const RoutedEndpoint& endpoint, std::function<void(std::shared_ptr<http::ClientConnection>)> done);

    asio::io_context& m_context;
    std::shared_ptr<MemoryBudget> m_memory;
    std::map<EndpointId, Pool> m_pools;
    std::function<void(const EndpointId&, bool)> m_connectObserver;
    std::function<void(const EndpointId&, bool)> m_aliveObserver;
    std::set<EndpointId> m_checked;
    uint64_t m_opened = 0;
    uint64_t m_withheld = 0;
};

} // namespace lentilbay::edge
