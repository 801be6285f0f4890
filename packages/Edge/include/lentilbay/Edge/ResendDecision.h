// Decides whether a request is offered to another endpoint: after one has failed it, has stalled, or was lost
// with the links to the endpoints.
//
// Judges for each failure whether the endpoint or the request is its cause, as requests that fail alike at
// two endpoints are not sent to more of them.
#pragma once

#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Edge/EndpointSend.h"
#include "lentilbay/Policy/RequestAttempts.h"

namespace lentilbay::edge {

/// What decides about another send besides the sends so far.
struct ResendContext {
    const ServiceId& service;
    const Route& route;
    /// The endpoints that may serve the request.
    VersionRule versions;
    /// A peer sends the request through this daemon.
    bool isForwarded = false;
    /// The request is sent through peers only.
    bool isUnverified = false;
    /// Events were relayed of which it is not known which version wrote them.
    bool isVersionUnknown = false;
};

void logSuspicion(const EndpointState& endpoint, SendOutcome outcome);

class ResendDecision {
public:
    ResendDecision(EdgeState& state, RequestAttempts& attempts)
        : m_state(state)
        , m_attempts(attempts)
    {
    }

    /// Sets what the request has in common with others that may fail as it does.
    void setFailureKeys(std::vector<uint64_t> keys) { m_failureKeys = std::move(keys); }
    /// Records that an endpoint has answered the request.
    void recordSuccess(const EndpointState& endpoint, TimePoint now);

    struct Judgement {
        SendOutcome outcome = SendOutcome::Failed;
        /// Against the endpoint.
        double evidence = 1;
    };
    /// Decides whether an endpoint's failure shows something of the endpoint or of the request.
    Judgement judgeFailure(const RequestId& request, const std::shared_ptr<EndpointState>& endpoint,
        SendFailure failure, TimePoint now);
    /// Records that an endpoint has failed after its send had ended.
    static void recordLateFailure(EndpointState& endpoint, TimePoint now);
    /// Whether another endpoint is likely to do better than the one that failed last.
    bool mayOthersDoBetter() const { return m_failureEvidence >= RequestAttempts::minEvidenceToAskAgain; }

    /// Whether the request may be sent to another endpoint, or through another peer, and there is one; takes
    /// a retry from the budget if that is needed.
    bool maySendElsewhere(const ResendContext& context, TimePoint now)
    {
        return hasAlternative(context, now) && takeSend(context, now);
    }
    /// Whether the request may be sent once more; takes a retry from the budget if that is needed.
    bool takeSend(const ResendContext& context, TimePoint now);
    /// Whether the endpoint has been silent for so long that the request should be moved.
    bool hasStalled(
        const ResendContext& context, const EndpointSend& send, bool isStream, TimePoint now) const;
    /// Whether the request should leave a connection that was lost with the links, or with a peer.
    bool mayLeaveLostLink(const ResendContext& context, const EndpointSend& send, TimePoint now);

private:
    /// Whether one more endpoint may execute the request in addition to the present one.
    bool hasExecutionLeft(const ResendContext& context) const;
    bool hasAlternative(const ResendContext& context, TimePoint now);

    struct FailedSend {
        std::shared_ptr<EndpointState> endpoint;
        SendFailure failure = SendFailure::Unreachable;
        double evidence = 1;
        TimePoint at {};
    };

    EdgeState& m_state;
    RequestAttempts& m_attempts;
    std::vector<uint64_t> m_failureKeys;
    std::vector<FailedSend> m_failedSends;
    /// Of the last failure against its endpoint.
    double m_failureEvidence = 1;
};

} // namespace lentilbay::edge
