// State that the components of the edge daemon share: the active configuration, the endpoints, quotas and
// counters.
#pragma once

#include "lentilbay/Edge/CrashAttribution.h"
#include "lentilbay/Edge/EdgeMetrics.h"
#include "lentilbay/Edge/EndpointPools.h"
#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Edge/LinkMonitor.h"
#include "lentilbay/Edge/PeerForwarding.h"
#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Edge/RolloutController.h"
#include "lentilbay/Edge/StreamDirectory.h"
#include "lentilbay/Edge/StreamOriginStore.h"
#include "lentilbay/Edge/VersionHistory.h"
#include "lentilbay/Edge/WaitingQueue.h"
#include "lentilbay/Model/RouteTable.h"
#include "lentilbay/Policy/FailureSources.h"
#include "lentilbay/Policy/QuotaCheckpoint.h"
#include "lentilbay/Policy/RetryReservations.h"
#include "lentilbay/Policy/SharedQuota.h"
#include "lentilbay/Policy/WindowedRetryBudget.h"
#include "lentilbay/platform/ProcessSettings.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>

namespace lentilbay::edge {

class EdgeRequest;

/// Shared mutable state: request handling reads it, store followers and peer heartbeats write it. Not
/// thread-safe; used by one thread only.
class EdgeState {
public:
    EdgeState(asio::io_context& context, platform::ProcessSettings settings, uint64_t seed);

    asio::io_context& context;
    platform::ProcessSettings settings;
    Topology topology;
    /// nullptr until the first configuration has been read.
    std::shared_ptr<const RouteTable> routes;
    /// The configuration is known to be complete as of this time; never moves backwards.
    std::optional<TimePoint> routesConfirmedAt;
    /// The list of endpoints is known to be complete as of this time; std::nullopt until it has been read.
    /// Set by confirmEndpoints().
    std::optional<TimePoint> endpointsConfirmedAt;
    /// Whether the other daemons have been read from the store, or this is the first start of the fleet.
    /// Without them a restarted daemon does not know its share of the quotas.
    bool knowsDaemons = false;
    /// Whether what was admitted of the quotas before this process started may still be read in time.
    bool awaitsQuotaHistory = false;
    /// Whether no peer may have a newer configuration that the store has lost; see ConfigurationCatchUp.
    bool isConfigurationSettled = true;
    /// Whether a newer version than the one in force has been known for so long that requests must not be
    /// served by the latter.
    bool isConfigurationOutdated = false;
    /// When SIGTERM was handled; set together with `graceEndsAt`.
    std::optional<TimePoint> stopRequestedAt;
    /// When the process may be killed: the grace period after SIGTERM, which may have waited for the event
    /// loop.
    std::optional<TimePoint> graceEndsAt;
    /// Bounds what is kept of requests: those of callers and peers that are being read or handled.
    std::shared_ptr<MemoryBudget> requestMemory;
    /// Bounds what is kept of answers: heads, bodies and events of endpoints and peers until they are
    /// complete, and what callers have not read.
    std::shared_ptr<MemoryBudget> answerMemory;
    EndpointRegistry endpointRegistry;
    WaitingQueue queue;
    EndpointPools pools;
    LinkMonitor links;
    PeerRelays relays;
    CrashAttribution crashes;
    FailureSources failureSources;
    StreamDirectory streams;
    StreamOriginStore streamOrigins;
    VersionHistory versions;
    /// The calls of `rollouts` to the store.
    StoreWriter rolloutCalls;
    RolloutController rollouts;
    PeerTable peers;
    Random random;
    EdgeMetrics metrics;
    /// The requests that are waiting or running, by number.
    std::unordered_map<uint64_t, std::shared_ptr<EdgeRequest>> requests;

    uint64_t nextRequestNumber() { return ++m_lastNumber; }
    /// When all requests must have ended because the daemon stops; std::nullopt while it is not stopping.
    std::optional<TimePoint> requestsEndAt() const;
    /// Returns the age of the configuration, or std::nullopt if none has been read.
    std::optional<Duration> routesAge(TimePoint now) const;
    /// The software version of all endpoints of a service that may have begun a stream which a client may
    /// still resume, if it is known that there is just one.
    std::optional<uint64_t> soleVersion(const ServiceId& service, TimePoint now) const;
    /// The same for the service whose name has this hash.
    std::optional<uint64_t> soleVersionOf(uint64_t serviceHash, TimePoint now) const;
    /// Whether API keys can be verified: the configuration is recent enough that no key in it can have been
    /// revoked for longer than the revocation bound allows.
    bool canVerifyKeys(TimePoint now) const;
    /// Whether a configuration that was known to be complete then contains all keys that may have been
    /// revoked for longer than the bound allows.
    bool verifiesKeysAsOf(TimePoint confirmedAt, TimePoint now) const;
    SharedQuota& quota(const RoutedOrganisation& organisation, TimePoint now);
    QuotaLimits quotaLimits(const TokenQuota& quota) const;
    std::map<OrganisationId, SharedQuota>& quotas() { return m_quotas; }
    RetryReservations& retryReservations(const OrganisationId& organisation)
    {
        return m_retryReservations[organisation];
    }
    /// Drops what was assigned to retries of organisations that the configuration no longer has.
    void dropWithdrawnReservations();
    size_t organisationsWithReservations() const { return m_retryReservations.size(); }
    /// What a checkpoint states of the quotas, by the time of this process.
    struct QuotaHistory {
        std::unordered_map<uint64_t, QuotaUse> uses;
        TimePoint takenAt {};
        TimePoint restartedAt {};
    };
    /// Counts what other daemons have admitted, by hashOf() the organisation's name.
    void applyUse(std::span<const std::pair<uint64_t, double>> use, TimePoint now);
    /// Restores the quotas, also those that are used for the first time later.
    void restoreQuotas(QuotaHistory history, TimePoint now);
    WindowedRetryBudget& retryBudget(const ServiceId& service) { return m_retryBudgets[service]; }
    WindowedRetryLimits retryLimits() const;
    /// How a request is sent; `hasConnection` is whether an established connection to the endpoint is idle.
    SendPath sendPath(bool hasConnection) const
    {
        return edge::sendPath(links.state(), hasConnection, relays.size() > 0);
    }
    /// Whether this daemon may lack departures of endpoints that must be known by now, while a peer does not.
    /// If no peer knows more, requests are sent by the list that there is.
    bool prefersPeers(TimePoint now) const
    {
        return endpointsConfirmedAt && now - *endpointsConfirmedAt > settings.bounds.endpointDrain
            && relays.hasRecent();
    }
    /// The oldest list of endpoints by which requests are sent: a departure must be known when the request
    /// reaches the endpoint.
    Duration maxEndpointsAge() const { return settings.bounds.endpointDrain - sendTime; }
    /// Whether the list is older although the store answers this daemon: the event loop is late, or the
    /// daemon has just started. It then reads the store before it sends.
    bool mustReadEndpoints(TimePoint now) const
    {
        return m_readEndpoints && endpointsConfirmedAt && now - *endpointsConfirmedAt > maxEndpointsAge()
            && !(m_isStoreUnreachable && m_isStoreUnreachable());
    }
    /// Records that something was received from an endpoint to which a request was sent at that time.
    void recordHeard(const EndpointIncarnation& endpoint, TimePoint sentAt, TimePoint now);
    /// Logs what an endpoint is now known to state about itself; `source` is the peer that reported it, or
    /// empty.
    void logSignals(const EndpointId& endpoint, const std::string& source) const;
    /// Starts waiting requests that an endpoint can take and rejects those that cannot start in time, by
    /// calling their EdgeRequests.
    void dispatchWaiting(TimePoint now);
    /// Queues all waiting requests again, because the links, or the versions that may serve them, have
    /// changed, and starts those that an endpoint can take once all of them are queued.
    void queueAllAgain(TimePoint now);
    /// Divides the slots of the endpoints among the daemons of a large fleet; to be called regularly.
    void assignSlots(TimePoint now);
    /// Records that the list of endpoints is complete as of a time.
    void confirmEndpoints(TimePoint at, TimePoint now);
    /// Covers the way of a request to its endpoint.
    static constexpr Duration sendTime = std::chrono::milliseconds(200);
    /// Many times the usual response time of the store, and short for a client that resumes a stream.
    static constexpr Duration endpointReadTimeout = std::chrono::milliseconds(150);
    /// Calls back when the list of endpoints is known to be complete as of `since`, with true, or after the
    /// timeout, with false. The callback may be called immediately.
    void awaitEndpoints(TimePoint since, std::function<void(bool isCurrent)> done, TimePoint now,
        Duration timeout = endpointReadTimeout);
    /// Sets what is called to read the list of endpoints from the platform's store at once.
    void setEndpointReader(std::function<void(TimePoint now)> reader) { m_readEndpoints = std::move(reader); }
    /// Sets what says whether the platform's store does not answer this daemon.
    void setStoreStatus(std::function<bool()> isUnreachable)
    {
        m_isStoreUnreachable = std::move(isUnreachable);
    }
    /// Sets what says when the platform's store has last answered this daemon.
    void setStoreContact(std::function<TimePoint()> reachedAt) { m_storeReachedAt = std::move(reachedAt); }
    /// The time after which a caller whose key cannot be verified may retry.
    Duration keysRetryAfter(TimePoint now) const;
    /// Sets what is called when there may be work that must be looked at again soon.
    void setPollRequester(std::function<void()> requester) { m_requestPoll = std::move(requester); }
    void requestPoll() const
    {
        if (m_requestPoll)
            m_requestPoll();
    }

private:
    /// Records that a new connection to an endpoint could or could not be established.
    void recordConnection(const EndpointState& endpoint, bool isConnected, TimePoint now);
    /// Records for the other daemons that an endpoint accepts no connection.
    void recordGone(const EndpointState& endpoint, TimePoint now);
    /// Records whether an endpoint which broke off an answer keeps a new connection, or is gone.
    void recordAliveCheck(EndpointState& endpoint, bool isAlive, TimePoint now);

    uint64_t m_lastNumber = 0;
    void restoreQuota(const OrganisationId& organisation, SharedQuota& quota, TimePoint now) const;

    std::map<OrganisationId, SharedQuota> m_quotas;
    std::optional<QuotaHistory> m_quotaHistory;
    std::map<OrganisationId, RetryReservations> m_retryReservations;
    std::map<ServiceId, WindowedRetryBudget> m_retryBudgets;
    struct EndpointWaiter {
        TimePoint since {};
        std::function<void(bool isCurrent)> done;
        std::unique_ptr<asio::steady_timer> timeout;
    };
    /// By a number of their own: the handler of a timeout that has expired runs also after it was cancelled.
    std::map<uint64_t, EndpointWaiter> m_endpointWaiters;
    uint64_t m_lastWaiter = 0;
    std::function<void(TimePoint now)> m_readEndpoints;
    std::function<bool()> m_isStoreUnreachable;
    std::function<TimePoint()> m_storeReachedAt;
    bool m_isDispatching = false;
    std::function<void()> m_requestPoll;
};

} // namespace lentilbay::edge
