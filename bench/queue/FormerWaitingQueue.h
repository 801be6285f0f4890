// The queue of the edge plane before Policy/DeadlineQueue, as the baseline: ordered by begun, rank, late and
// objective time, with refusals by the predicted start and the bound on queued work only.
#pragma once

#include "lentilbay/Edge/WaitingQueue.h"
#include "lentilbay/Policy/WindowSum.h"

#include <list>

namespace lentilbay::edge {

class FormerWaitingQueue {
public:
    explicit FormerWaitingQueue(EndpointRegistry& endpointRegistry)
        : m_endpointRegistry(endpointRegistry)
    {
    }

    void setOptions(WaitingQueueOptions options) { m_options = options; }

    void push(WaitingRequest request);
    /// Removes the request of a caller that disconnected.
    void remove(uint64_t number);

    using Decisions = WaitingQueue::Decisions;
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
    struct Request : WaitingRequest {
        /// Whether its first event would miss the objective even if it started now.
        bool isLate = false;
    };
    std::list<Request> m_requests;
    struct Service {
        /// The work of the requests that were started, in seconds of a slot.
        WindowSum started;
        /// Since when requests have waited without interruption.
        std::optional<TimePoint> waitingSince;
    };
    std::map<ServiceId, Service> m_services;
};

} // namespace lentilbay::edge
