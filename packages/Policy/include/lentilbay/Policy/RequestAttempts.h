// Decides whether a request is sent once more after a send without a usable answer.
//
// What bounds the sends is what they may cost. An endpoint that may have run the request counts against the
// route's attempts; each further arrival at an endpoint takes a retry from the budget of the service; a send
// that found no connection costs nothing. A request that no endpoint has run therefore goes on until its
// deadline; if several have rejected it, at these as well, once they have had time to get room again.
#pragma once

#include "lentilbay/Policy/WindowedRetryBudget.h"
#include "lentilbay/Support/Identifier.h"

#include <vector>

namespace lentilbay {

class RequestAttempts {
public:
    /// The evidence of a failure against its endpoint from which another endpoint is likely to do better.
    static constexpr double minEvidenceToAskAgain = 0.5;

    /// An endpoint, or a peer, has been chosen.
    void begin(const EndpointId& endpoint);
    /// The request is being sent on a connection.
    void recordArrival();
    /// The connection was closed before a byte of the request was sent. Returns whether it was a new one, so
    /// that the endpoint accepts no requests; otherwise it had been idle, and the endpoint may be chosen
    /// again.
    bool recordClosedUnsent();
    /// The endpoint rejected the request for lack of room, and did not run it.
    void recordRejection();
    /// The endpoint accepts no further connection at present.
    void recordNoConnection() { m_rejecting.push_back(m_last); }
    /// A peer refused the request without having sent it to an endpoint.
    void recordRefusalByPeer();
    void recordPossibleExecution() { ++m_possibleExecutions; }
    /// The endpoint broke off before it had begun an answer.
    void recordBroken() { ++m_broken; }

    /// Endpoints that the request is not to be sent to.
    const std::vector<EndpointId>& tried() const { return m_tried; }
    /// The endpoint that was chosen last; empty if none was.
    const EndpointId& last() const { return m_last; }
    /// The number of sends that reached an endpoint, executed or not.
    int arrivals() const { return m_arrivals; }
    /// The number of those that the endpoint may have executed.
    int possibleExecutions() const { return m_possibleExecutions; }
    /// The number of peers that refused the request without having sent it.
    int refusalsByPeers() const { return m_refusalsByPeers; }
    /// Whether idle connections to the endpoint are not to be used.
    bool needsNewConnection(const EndpointId& endpoint) const;
    /// Allows the endpoints that rejected the request to be chosen again, if none has run it. Returns false
    /// if only one has rejected it: its caller is told at once and may find another daemon with more room.
    bool reconsiderRejections();
    /// Allows the endpoints that rejected the request, or accepted no connection, to be chosen again.
    void retryRejecting();

    struct Limits {
        /// How many endpoints may execute the request.
        int maxExecutions = 1;
        bool isAtMostOnce = false;
        /// Of the last failure against its endpoint.
        double failureEvidence = 1;
        WindowedRetryLimits budget;
    };
    /// Whether the request may be sent once more; takes a retry from the budget if that is needed.
    bool maySendAgain(const Limits& limits, WindowedRetryBudget& budget, TimePoint now);

private:
    std::vector<EndpointId> m_tried;
    EndpointId m_last;
    /// Those of the tried ones that may get room again.
    std::vector<EndpointId> m_rejecting;
    /// Where an idle connection turned out to be closed.
    std::vector<EndpointId> m_stale;
    int m_arrivals = 0;
    int m_possibleExecutions = 0;
    int m_broken = 0;
    int m_refusalsByPeers = 0;
    /// A retry has been taken from the budget and no endpoint reached with it.
    bool m_hasRetry = false;
};

} // namespace lentilbay
