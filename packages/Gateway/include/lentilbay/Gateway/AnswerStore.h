// Stores the outcomes of finished requests and, within a memory budget, their responses. Serves callers that
// lost their connection and requests that repeat an Idempotency-Key.
#pragma once

#include "lentilbay/Gateway/Caller.h"
#include "lentilbay/Gateway/ErrorBody.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Time.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace lentilbay {

struct AnswerStoreOptions {
    /// Retention period, counted from the end of the request.
    Duration retentionPeriod = std::chrono::minutes { 10 };
    size_t maxRequests = 20'000;
    /// Limit for the bodies of all stored responses together. The oldest responses are evicted first; their
    /// outcomes are kept.
    uint64_t maxAnswerBytes = 32 << 20U;
};

struct FinishedRequest {
    OrganisationId organisation;
    RequestOutcome outcome;
    /// The error that was sent to the caller, if any.
    std::optional<Refusal> refusal;
    /// Empty if there was no response or if it was evicted.
    std::optional<CallerAnswer> answer;
    TimePoint finishedAt {};
};

class AnswerStore {
public:
    explicit AnswerStore(AnswerStoreOptions options)
        : m_options(options)
    {
    }

    /// Stores a request; its id must not be present yet.
    void add(FinishedRequest request);
    /// Returns the request, or nullptr if it is unknown or has been evicted.
    const FinishedRequest* find(const RequestId& id) const;
    /// Evicts requests whose retention period has passed.
    void expire(TimePoint now);

    size_t size() const { return m_requests.size(); }
    uint64_t answerBytes() const { return m_answerBytes; }

private:
    void evictAnswer(FinishedRequest& request);
    void evictOldest();

    AnswerStoreOptions m_options;
    std::unordered_map<RequestId, FinishedRequest> m_requests;
    /// Invariant: holds each key of m_requests once, in the order in which the requests ended.
    std::deque<RequestId> m_order;
    /// Number of requests at the front of m_order whose responses have been evicted.
    size_t m_evictedAnswers = 0;
    uint64_t m_answerBytes = 0;
};

} // namespace lentilbay
