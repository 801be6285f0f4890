// The queue of requests that wait for an endpoint; decides which start, wait or are rejected.
//
// Handles bursts in which requests arrive faster than the endpoints complete them. A request that cannot
// start in time is rejected at arrival with the time at which room is expected; one that waits can start in
// time at the current service rate. Requests of a service are ordered by rank, then by whether they can still
// meet their objective, then by their objective time.
#pragma once

#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Policy/WindowSum.h"

#include <list>

namespace lentilbay::edge {

struct WaitingRequest {
    uint64_t number = 0;
    /// 0 is the most urgent.
    int rank = 0;
    /// An endpoint has worked on it. It is never rejected while it can still be answered.
    bool hasBegun = false;
    ChoiceQuery query;
    TimePoint arrivedAt {};
    /// The caller's deadline or the route's timeout, whichever is earlier.
    TimePoint expiresAt {};
    /// Whether its first event would miss the objective even if it started now; set by the queue.
    bool isLate = false;
};

struct WaitingQueueOptions {
    /// Limit on queued work, in seconds that all slots of the service need for it. Requests that wait longer
    /// miss most objectives and delay those behind them.
    double maxQueuedSeconds = 2.0;
    /// The fraction of the slots that this daemon's requests can expect to get.
    double slotShare = 1.0;
    /// Upper bound of `retryAfter`.
    Duration maxRetryAfter = std::chrono::seconds(10);
};

struct StartedRequest {
    uint64_t number = 0;
    std::shared_ptr<EndpointState> endpoint;
    /// As in the Work that was recorded as sent there.
    double cachedTokens = 0;
};

struct RejectedRequest {
    uint64_t number = 0;
    /// Time until room is expected.
    Duration retryAfter {};
};

class WaitingQueue {
public:
    explicit WaitingQueue(EndpointRegistry& endpointRegistry)
        : m_endpointRegistry(endpointRegistry)
    {
    }

    void setOptions(WaitingQueueOptions options) { m_options = options; }

    void push(WaitingRequest request);
    /// Removes the request of a caller that disconnected.
    void remove(uint64_t number);

    struct Decisions {
        std::vector<StartedRequest> started;
        std::vector<RejectedRequest> rejected;
    };
    /// Starts requests that an endpoint has room for, and rejects those that cannot start in time. Calls
    /// EndpointState::recordSend() for each started request.
    Decisions decide(TimePoint now);

    size_t size() const { return m_requests.size(); }
    size_t sizeOf(const ServiceId& service) const;

private:
    void shed(const ServiceId& service, const ServiceLatency& latency, TimePoint now, Decisions& out);
    /// At which rate the service's requests have been started, in seconds of a slot's work per second.
    double serviceRate(const ServiceId& service, double slots, TimePoint now);

    double meanPrompt(const ServiceId& service) const;

    EndpointRegistry& m_endpointRegistry;
    WaitingQueueOptions m_options;
    /// Mean prompt tokens of the requests, by service.
    std::map<ServiceId, Estimate> m_prompts;
    std::list<WaitingRequest> m_requests;
    struct Service {
        /// The work of the requests that were started, in seconds of a slot.
        WindowSum started;
        /// Since when requests have waited without interruption.
        std::optional<TimePoint> waitingSince;
    };
    std::map<ServiceId, Service> m_services;
};

} // namespace lentilbay::edge
