// The edge daemon: connects the listeners, store followers, peer heartbeats and signals to EdgeState.
#pragma once

#include "lentilbay/Edge/ActiveConfiguration.h"
#include "lentilbay/Edge/ConfigurationCatchUp.h"
#include "lentilbay/Edge/DaemonRoster.h"
#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Edge/EndpointCatchUp.h"
#include "lentilbay/Edge/EndpointReportExchange.h"
#include "lentilbay/Edge/PeerDocument.h"
#include "lentilbay/Edge/PeerSummaries.h"
#include "lentilbay/Edge/QuotaCheckpoints.h"
#include "lentilbay/Edge/StopSchedule.h"
#include "lentilbay/Edge/StoreFollower.h"
#include "lentilbay/Edge/StoreWriter.h"
#include "lentilbay/Edge/TransferBudget.h"
#include "lentilbay/Http/EventLoop.h"
#include "lentilbay/Http/Server.h"
#include "lentilbay/Support/EventLoopWatch.h"
#include "lentilbay/Support/SignalTime.h"
#include "lentilbay/platform/Documents.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>
#include <set>

namespace lentilbay::edge {

class EdgeDaemon {
public:
    /// Throws std::system_error if a listen address cannot be used.
    EdgeDaemon(platform::ProcessSettings settings, std::function<void()> reload);

    /// Runs until a graceful shutdown has completed.
    void run();

private:
    void followStore();
    void followSharedRows();
    /// Gives the quotas their initial levels after a restart, once the other daemons are known.
    void grantInitialQuotas();
    void applyConfigurationRow(const platform::StoreRow& row);
    using ApplyDocument
        = std::function<ActiveConfiguration::Outcome(const ActiveConfiguration::Document& document)>;
    /// Puts a configuration in force if `apply` decides so; `source` is logged. Returns whether the one in
    /// force contains its changes.
    bool applyConfiguration(const std::string& text, const std::string& source, const ApplyDocument& apply);
    /// Records that the configuration in force was complete at `at`, if that can be known.
    void confirmConfiguration(TimePoint at);
    /// Applies a peer's answer to a call; no document if it has the one whose hash the call stated.
    void applyPeerConfiguration(const std::string& daemon, const std::string& document,
        const std::optional<ConfigurationView>& stated, const ConfigurationCall& call);
    /// Reads the view from a peer if it is about to become too old to verify keys.
    void catchUpConfigurationView(TimePoint now);
    /// The newest view of the configuration's table, read from the store or from a peer.
    TableView configurationView(TimePoint now) const;
    /// Reads the configuration from a peer that has a newer one, if it is time to.
    void catchUpWithPeers(TimePoint now);
    void readConfigurationFrom(const std::string& daemon, TimePoint now);
    /// Decides whether requests are refused because a newer version than the one in force is known.
    void updateOutdated(uint64_t version, TimePoint now);
    void serveConfiguration(http::Exchange& exchange);
    /// Responds with a document, or refuses it for now if the link has to carry others first.
    void serveDocument(
        http::Exchange& exchange, const std::string& document, const http::Headers& headers = {});
    /// Answers the calls of other daemons: for the configuration and the endpoints, and requests that they
    /// forward.
    void servePeers();
    /// Limits on what callers may send.
    http::ServerLimits callerLimits() const;
    /// Collects evidence of the state of the links to the endpoints.
    void observeLinks(TimePoint now);
    /// Determines the state of the links, and acts on a change.
    void updateLinks(TimePoint now);
    void applyEndpointRow(const platform::StoreRow& row);
    /// Reads the list of endpoints from a peer if the store does not answer and it is time to.
    void catchUpEndpoints(TimePoint now);
    /// Applies a peer's answer to a call that began at `askedAt`.
    void applyPeerEndpoints(const std::string& daemon, const std::string& document, TimePoint askedAt);
    void serveEndpoints(http::Exchange& exchange, const EndpointListQuery& query);
    /// Whether a row that may be older than the known one may be applied.
    bool isHarmlessEndpointRow(const platform::StoreRow& row) const;
    void applyDaemonRow(const platform::StoreRow& row);
    /// Records the era of the store. In a later one than before, all tables are read again and what this
    /// daemon has written is written again.
    void handleStoreEra(uint64_t era, TimePoint now);
    void announce(TimePoint now);
    void announcementFailed(const std::string& reason);
    void startDaemonFollower();
    void readDaemonsAfterAnnouncement();
    void receiveHeartbeats();
    void handleHeartbeat(const PeerHeartbeat& heartbeat, TimePoint now);
    void sendHeartbeats();
    /// Sends a datagram to a peer and returns whether it was sent.
    bool sendDatagram(const PeerTable::Peer& peer, std::string_view datagram);
    void sendStreamMessage(const std::string& daemon, const StreamMessage& message);
    void handleDatagram(std::string_view datagram, TimePoint now);
    /// Applies a message about a stream; answers a query to its sender.
    void handleStreamMessage(const StreamMessage& message, WireRevision sender, TimePoint now);
    void connectRollouts();
    /// Applies a row of the table with the configuration that is not the configuration.
    void applyOrderRow(const platform::StoreRow& row);
    /// Tells the controller of rollouts which of the other daemons are alive.
    void updateRollouts(const std::vector<std::string>& daemons);
    /// Does what is due for rollouts; requests that wait are queued again if they may go elsewhere now.
    void pollRollouts(TimePoint now);
    /// Applies a message about a rollout, and answers a report to its sender.
    void handleRolloutMessage(std::string_view datagram, TimePoint now);
    /// Moves requests away from stalled endpoints.
    void checkStalledRequests(TimePoint now);
    PeerHeartbeat makeHeartbeat(TimePoint now);
    /// Chooses the aggregators of the fleet, and logs whether this daemon is one.
    void updateAggregators(TimePoint now);
    /// Applies what an aggregator knows of the daemons.
    void applyMembers(const PeerHeartbeat& heartbeat, TimePoint now);
    /// Applies the sums of an aggregator, and what it knows of the daemons.
    void applySummary(const PeerHeartbeat& heartbeat, TimePoint now);
    /// Encodes the summary and the members for the receivers of that content.
    std::string encodeSections(PeerSummaries::Content content, TimePoint now) const;
    /// Completes a heartbeat for one peer.
    void addressHeartbeat(PeerHeartbeat& heartbeat, const PeerTable::Peer& peer, TimePoint now);
    /// Applies what a peer knows of endpoints' statements about themselves.
    void applyPeerSignals(const PeerHeartbeat& heartbeat, TimePoint now);
    /// Divides the rates that endpoints state among the daemons that are alive.
    void updateSignals(TimePoint now);
    /// Applies what a peer knows of what crashes endpoints.
    void applyPeerCrashTriggers(const PeerHeartbeat& heartbeat, TimePoint now);
    /// Decides which parts of prompts and which requests are blocked.
    void updateCrashTriggers(std::vector<std::string> others, TimePoint now);
    /// The other daemons that are alive and not shutting down.
    std::vector<std::string> aliveDaemons() const;
    void applySharedRow(const platform::StoreRow& row);
    void sharedRowDeleted(const std::string& key);
    void sharedRowLost(const std::string& key) { m_sharedRows.erase(key); }
    /// The shared rows that this daemon has to keep in the platform's store, by key.
    std::map<std::string, std::string> ownedRows(TimePoint now) const;
    /// Writes a row, or deletes it if the value is empty.
    void writeSharedRow(const std::string& key, const std::string& value);
    /// Writes one row at a time that differs from what the store has.
    void storeSharedRows(TimePoint now);
    /// @param isCounted whether the sender's use is not part of a sum that this daemon receives
    void applyPeerQuotas(const PeerHeartbeat& heartbeat, bool isCounted, TimePoint now);
    /// The name of the counter for bytes sent to daemons of that locality.
    static std::string_view sentBytesCounter(Locality locality);
    using Gauges = std::vector<std::pair<std::string, double>>;
    Gauges gauges(TimePoint now) const;
    /// For how long the view from other daemons of this data centre, which read the store, is recent enough.
    Duration skipPollingFor(const StoreFollower& follower, TimePoint now) const;
    /// Whether another daemon of this data centre is the one that reads the store for it.
    bool hasOtherReader() const;
    /// Whether this daemon is the one of its data centre that writes the checkpoints of the quotas.
    bool writesCheckpoints() const;
    Duration longPollWait() const;
    Duration passiveSpacing() const;
    void applyPeerViews(const PeerHeartbeat& heartbeat, TimePoint now);
    static TableView viewOf(const StoreFollower& follower, TimePoint now);
    /// Deletes the row of a daemon that is gone, if there is one and this daemon is to do so.
    void deleteStaleRow(TimePoint now);
    /// Deletes a row in which a daemon has announced itself.
    void deleteDaemonRow(const DaemonRoster::Row& row);
    /// Called when this daemon's own row may be missing in the store.
    void announceAgain(TimePoint now);
    /// Counts and logs a response that was dropped because another one had begun.
    void recordSecondResponse(const http::HttpRequest& request, int status);
    /// Counts how a connection ended, and logs it if something was left to answer. `peer` is who had opened
    /// it.
    void recordConnectionEnd(const http::ConnectionEnd& end, std::string_view peer);
    /// Whether the load balancer should send new connections to this daemon.
    bool isReady(TimePoint now) const;
    void serveReadiness();
    void serveMetrics();
    /// Does what is due at short intervals.
    void poll(TimePoint now);
    /// Whether something waits that poll() must look at soon.
    bool hasUrgentWork();
    void schedulePoll(Duration delay);
    /// Brings the next poll() forward.
    void hastenPoll();
    void schedulePeriodic(asio::steady_timer& timer, Duration period, std::function<void()> action);
    void awaitSignal();
    void stop(TimePoint now);
    /// Checks at once if the grace period is about to end, otherwise when the event loop is idle.
    void scheduleStopCheck(TimePoint now);
    /// Ends the process if nothing is left to answer, or if the grace period is about to end.
    void checkStop(TimePoint now);
    StopSchedule stopSchedule() const;
    /// Ends all requests.
    void endRequests(TimePoint now);

    http::EventLoop m_loop;
    asio::io_context& m_context { m_loop.context() };
    EdgeState m_state;
    std::function<void()> m_reload;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    TimePoint m_startedAt;
    EventLoopWatch m_loopWatch;
    /// The quotas account for all use: this is the first start, levels were adopted from a peer, or the
    /// daemon has run for longer than the quota window.
    bool m_countsAllUse;
    bool m_hasInitialQuotas = false;
    QuotaCheckpoints m_quotaCheckpoints;
    std::map<std::string, TimePoint> m_nextHeartbeatAt;
    PeerSummaries m_summaries;
    EndpointReportExchange m_endpointReports { m_state };
    /// The daemon has started so recently that it may not have heard the one that reads the store for it.
    bool m_awaitsReader = true;
    /// The peers whose use of quotas was last counted as part of a sum.
    std::set<std::string> m_summarisedPeers;
    asio::signal_set m_signals;
    /// After `m_signals`, whose handler it passes signals on to.
    SignalTime m_signalTime;
    asio::steady_timer m_pollTimer;
    /// Whether the next poll() is an idle period away.
    bool m_isPollIdle = false;
    asio::steady_timer m_heartbeatTimer;
    asio::steady_timer m_maintenanceTimer;
    asio::steady_timer m_stopTimer;
    /// Whether a check of the stop waits for the event loop to be idle.
    bool m_isStopCheckPending = false;
    asio::ip::udp::socket m_peerSocket;
    std::array<char, 65'536> m_datagram {};
    asio::ip::udp::endpoint m_sender;
    std::unique_ptr<http::HttpServer> m_callerServer;
    std::unique_ptr<http::HttpServer> m_readinessServer;
    std::unique_ptr<http::HttpServer> m_metricsServer;
    std::unique_ptr<http::HttpServer> m_peerServer;
    std::unique_ptr<StoreFollower> m_configurationFollower;
    std::unique_ptr<StoreFollower> m_endpointFollower;
    std::unique_ptr<StoreFollower> m_daemonFollower;
    std::unique_ptr<StoreFollower> m_sharedRowFollower;
    uint64_t m_storeEra = 0;
    /// The revision of the registry of which the links know the endpoints.
    uint64_t m_linksRevision = 0;
    LinkState m_linkState = LinkState::Up;
    /// Whether endpoints stated something about themselves when that was last divided among the daemons.
    bool m_hadSignals = false;
    ActiveConfiguration m_activeConfiguration;
    /// Of the routes of `m_state.routes`, in their order; empty if that was decoded as a whole.
    std::vector<platform::TextHash> m_routeTexts;
    ConfigurationCatchUp m_catchUp;
    ConfigurationViews m_configurationViews;
    /// The calls to peers for their configuration and their list of endpoints.
    PeerDocument m_configurationDocument;
    PeerDocument m_endpointDocument;
    /// For the same documents of this daemon.
    TransferBudget m_transferBudget;
    EndpointCatchUp m_endpointCatchUp;
    StoreWriter m_sharedRowWriter;
    /// The shared rows in the store, as far as known to this daemon, by key.
    std::map<std::string, std::string> m_sharedRows;
    DaemonRoster m_roster;
    StoreWriter m_rosterWriter;
    TimePoint m_nextRowDeletion {};
    std::shared_ptr<http::ClientConnection> m_announcement;
    TimePoint m_nextAnnouncement {};
    bool m_isAnnounced = false;
    bool m_isDaemonFollowerStarted = false;
};

} // namespace lentilbay::edge
