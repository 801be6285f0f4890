// Kept connections to endpoints. A daemon holds no more of them than it has had requests at the endpoint at
// once, which its slots bound.
#pragma once

#include "lentilbay/Http/ClientConnection.h"
#include "lentilbay/Model/RoutedEndpoint.h"

#include <map>
#include <vector>

namespace lentilbay::edge {

struct LeaseQuery {
    RoutedEndpoint endpoint;
    /// A connection that has been idle for longer is not used: the endpoint may just be closing it, and then
    /// nobody can tell whether the request ran.
    Duration freshest = std::chrono::seconds(60);
};

class EndpointPools {
public:
    explicit EndpointPools(asio::io_context& context)
        : m_context(context)
    {
    }

    /// Calls back with an open connection, or with nullptr where none came about.
    void lease(const LeaseQuery& query, std::function<void(std::shared_ptr<http::ClientConnection>)> done);
    /// Takes a connection back; one that cannot be used again is closed.
    void giveBack(const RoutedEndpoint& endpoint, std::shared_ptr<http::ClientConnection> connection);
    /// Closes connections that are about to be closed by their endpoint, or whose endpoint is gone.
    void step(TimePoint now, const std::function<bool(const EndpointId&)>& isListed);
    size_t idleConnections() const;
    uint64_t opened() const { return m_opened; }

private:
    asio::io_context& m_context;
    std::map<EndpointId, std::vector<std::shared_ptr<http::ClientConnection>>> m_idle;
    uint64_t m_opened = 0;
};

} // namespace lentilbay::edge
