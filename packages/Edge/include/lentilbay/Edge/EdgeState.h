// What the parts of the edge daemon share: the configuration in force, the endpoints, quotas and counters.
#pragma once

#include "lentilbay/Edge/EdgeMetrics.h"
#include "lentilbay/Edge/EndpointBook.h"
#include "lentilbay/Edge/EndpointPools.h"
#include "lentilbay/Edge/PeerStatus.h"
#include "lentilbay/Edge/WaitingLine.h"
#include "lentilbay/Model/RouteTable.h"
#include "lentilbay/Policy/RepeatBudget.h"
#include "lentilbay/Policy/SharedQuota.h"
#include "lentilbay/platform/ProcessSettings.h"

#include <unordered_map>

namespace lentilbay::edge {

class EdgeRequest;

/// A blackboard: the front reads it, the followers and peers write it. One thread uses it.
class EdgeState {
public:
    EdgeState(asio::io_context& context, platform::ProcessSettings settings, uint64_t seed);

    asio::io_context& context;
    platform::ProcessSettings settings;
    Places places;
    /// nullptr until the first configuration was read.
    std::shared_ptr<const RouteTable> routes;
    /// The configuration was complete up to this moment; never set back.
    std::optional<TimePoint> routesConfirmedAt;
    /// The endpoints were read at least once.
    bool knowsEndpoints = false;
    /// The other daemons were read, or this is the first start of the fleet. Without them, a restarted daemon
    /// doesn't know its share of the quotas.
    bool knowsDaemons = false;
    /// When SIGTERM came.
    std::optional<TimePoint> stopRequestedAt;
    EndpointBook book;
    WaitingLine line;
    EndpointPools pools;
    PeerTable peers;
    Random random;
    EdgeMetrics metrics;
    /// By number, the requests that are waiting or running.
    std::unordered_map<uint64_t, std::shared_ptr<EdgeRequest>> requests;

    uint64_t nextNumber() { return ++m_lastNumber; }
    /// The age of the configuration, or nothing where there is none.
    std::optional<Duration> routesAge(TimePoint now) const;
    /// Whether keys can be judged: the configuration is young enough that no key of it can have been revoked
    /// for longer than the bound allows.
    bool canJudgeKeys(TimePoint now) const;
    SharedQuota& quota(const RoutedOrganisation& organisation, TimePoint now);
    QuotaLimits quotaLimits(const TokenQuota& quota) const;
    std::map<OrganisationId, SharedQuota>& quotas() { return m_quotas; }
    QuotaSharers quotaSharers() const;
    RepeatBudget& repeats(const ServiceId& service) { return m_repeats[service]; }
    RepeatLimits repeatLimits() const;
    /// Lets waiting requests start and turns away those without a chance; their EdgeRequests are told.
    void step(TimePoint now);

private:
    uint64_t m_lastNumber = 0;
    std::map<OrganisationId, SharedQuota> m_quotas;
    std::map<ServiceId, RepeatBudget> m_repeats;
    bool m_isStepping = false;
};

} // namespace lentilbay::edge
