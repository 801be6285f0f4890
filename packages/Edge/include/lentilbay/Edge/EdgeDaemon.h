// The daemon on the users' platform: listeners, followers of the store, peers and signals around EdgeState.
#pragma once

#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Edge/StoreFollower.h"
#include "lentilbay/Http/Server.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>

namespace lentilbay::edge {

class EdgeDaemon {
public:
    /// Throws std::system_error where an address cannot be used.
    EdgeDaemon(platform::ProcessSettings settings, std::function<void()> reload);

    /// Returns after a graceful stop.
    void run();

private:
    void followStore();
    /// Once the other daemons are known after a restart.
    void grantStartLevels();
    void configurationRow(const platform::StoreRow& row);
    void endpointRow(const platform::StoreRow& row);
    void daemonRow(const platform::StoreRow& row);
    void announce(TimePoint now);
    void announcementFailed(const std::string& reason);
    void readDaemons();
    void receivePeers();
    void peerHeard(const PeerStatus& status, TimePoint now);
    void sendStatuses();
    /// Requests leave endpoints that have fallen silent.
    void checkRequests(TimePoint now);
    PeerStatus makeStatus(TimePoint now);
    void takeQuotas(const PeerStatus& status, TimePoint now);
    Duration periodTo(Place place) const;
    /// The counter of the bytes that go there.
    static std::string_view sentBytesName(Place place);
    using Gauges = std::vector<std::pair<std::string, double>>;
    Gauges gauges(TimePoint now) const;
    /// Whether others of this data centre read the store, and their view is young enough.
    bool mayRest(const StoreFollower& follower, TimePoint now) const;
    /// Whether another daemon of this data centre is the one that reads the store for it.
    bool isHelper() const;
    Duration feedWait() const;
    Duration restingSpacing() const;
    void takeViews(const PeerStatus& status, TimePoint now);
    static TableView viewOf(const StoreFollower& follower, TimePoint now);
    void serveReadiness();
    void serveMetrics();
    void arm(asio::steady_timer& timer, Duration period, std::function<void()> action);
    void awaitSignal();
    void stop();
    void checkStop();

    asio::io_context m_context { 1 };
    EdgeState m_state;
    std::function<void()> m_reload;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    TimePoint m_startedAt;
    /// The quotas count all use: from the first start on, from a peer's levels, or since long enough.
    bool m_countsAllUse;
    bool m_hasStartLevels = false;
    std::map<std::string, TimePoint> m_nextStatus;
    asio::signal_set m_signals;
    asio::steady_timer m_lineTimer;
    asio::steady_timer m_peerTimer;
    asio::steady_timer m_slowTimer;
    asio::ip::udp::socket m_peerSocket;
    std::array<char, 65'536> m_datagram {};
    asio::ip::udp::endpoint m_sender;
    std::unique_ptr<http::HttpServer> m_front;
    std::unique_ptr<http::HttpServer> m_readiness;
    std::unique_ptr<http::HttpServer> m_metricsServer;
    std::unique_ptr<StoreFollower> m_configuration;
    std::unique_ptr<StoreFollower> m_endpoints;
    std::unique_ptr<StoreFollower> m_daemons;
    std::shared_ptr<http::ClientConnection> m_announcement;
    TimePoint m_nextAnnouncement {};
    bool m_isAnnounced = false;
    bool m_readsDaemons = false;
};

} // namespace lentilbay::edge
