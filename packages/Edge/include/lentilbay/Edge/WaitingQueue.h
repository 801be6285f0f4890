// The queue of requests that wait for an endpoint: carries out the decisions of Policy/DeadlineQueue.
//
// Handles bursts in which requests arrive faster than the endpoints complete them. Each service has a
// DeadlineQueue, which decides on the order and on refusals; EndpointRegistry decides which endpoint a
// request gets and whether one has room. A request that is refused learns when its start was expected.
#pragma once

#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Policy/DeadlineQueue.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace lentilbay::edge {

struct WaitingRequest {
    uint64_t number = 0;
    /// 0 is the most urgent.
    int rank = 0;
    /// An endpoint has worked on it. It is never rejected while it can still be answered.
    bool hasBegun = false;
    /// See DeadlineRequest.
    bool isRequeued = false;
    ChoiceQuery query;
    TimePoint arrivedAt {};
    /// The caller's deadline or the route's timeout, whichever is earlier.
    TimePoint expiresAt {};
};

struct WaitingQueueOptions {
    DeadlineQueueOptions order = {};
    /// The fraction of the slots that this daemon's requests can expect to get.
    double slotShare = 1.0;
};

struct StartedRequest {
    uint64_t number = 0;
    std::shared_ptr<EndpointState> endpoint;
    /// As in the Work that was recorded as sent there.
    double cachedTokens = 0;
};

struct RejectedRequest {
    uint64_t number = 0;
    /// std::nullopt if no endpoint may continue the request, or it has no time left.
    std::optional<RefusalCause> cause;
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
    struct Service {
        DeadlineQueue queue;
        /// Mean prompt tokens of the requests.
        Estimate prompts { 0, promptWeight };
        /// When the queue was last contended.
        std::optional<TimePoint> contendedAt;
    };

    void decideFor(const ServiceId& id, Service& service, TimePoint now, Decisions& out);
    /// Rejects requests that no endpoint may continue or that have no time left.
    void rejectWithoutTime(const ServiceId& id, Service& service, TimePoint now, Decisions& out);
    bool start(const DeadlineRequest& request, TimePoint now, Decisions& out);

    /// The weight of the newest prompt in the mean: a few hundred requests are a second or more of a daemon's
    /// traffic.
    static constexpr double promptWeight = 0.01;

    EndpointRegistry& m_endpointRegistry;
    WaitingQueueOptions m_options;
    std::map<ServiceId, Service> m_services;
    std::unordered_map<uint64_t, WaitingRequest> m_requests;
};

} // namespace lentilbay::edge
