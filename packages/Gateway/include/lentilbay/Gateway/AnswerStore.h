// Remembers how requests ended and, within a budget of bytes, their answers, for callers that lost their
// connection and for requests with the same Idempotency-Key.
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
    /// How long a request is remembered after it has ended.
    Duration keepFor = std::chrono::minutes { 10 };
    size_t maxRequests = 20'000;
    /// Of all answers together; the oldest answers go first, their outcomes stay.
    uint64_t maxAnswerBytes = 32 << 20U;
};

struct FinishedRequest {
    OrganisationId organisation;
    RequestOutcome outcome;
    /// The refusal that the caller got, if it got one.
    std::optional<Refusal> refusal;
    /// Nothing where there was none or its bytes were given up.
    std::optional<CallerAnswer> answer;
    TimePoint finishedAt {};
};

class AnswerStore {
public:
    explicit AnswerStore(AnswerStoreOptions options)
        : m_options(options)
    {
    }

    /// Remembers a request; its id must be new.
    void add(FinishedRequest request);
    /// The request, or nullptr where it is unknown or was forgotten.
    const FinishedRequest* find(const RequestId& id) const;
    /// Forgets what is too old.
    void expire(TimePoint now);

    size_t size() const { return m_requests.size(); }
    uint64_t answerBytes() const { return m_answerBytes; }

private:
    void forgetAnswer(FinishedRequest& request);
    void forgetOldest();

    AnswerStoreOptions m_options;
    std::unordered_map<RequestId, FinishedRequest> m_requests;
    /// In the order in which the requests ended; holds each key of m_requests once.
    std::deque<RequestId> m_order;
    /// Requests at the front of m_order whose answers were given up.
    size_t m_withoutAnswer = 0;
    uint64_t m_answerBytes = 0;
};

} // namespace lentilbay
