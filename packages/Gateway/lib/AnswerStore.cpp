// Stores finished requests and evicts the oldest ones.
#include "lentilbay/Gateway/AnswerStore.h"

#include <cassert>

namespace lentilbay {

void AnswerStore::add(FinishedRequest request)
{
    const auto id = request.outcome.id;
    if (request.answer)
        m_answerBytes += request.answer->body->size();
    const bool isNew = m_requests.emplace(id, std::move(request)).second;
    assert(isNew && "a request must end only once");
    (void)isNew;
    m_order.push_back(id);
    while (m_order.size() > m_options.maxRequests)
        evictOldest();
    while (m_answerBytes > m_options.maxAnswerBytes) {
        assert(m_evictedAnswers < m_order.size() && "stored bytes must belong to a response");
        evictAnswer(m_requests.at(m_order[m_evictedAnswers++]));
    }
}

const FinishedRequest* AnswerStore::find(const RequestId& id) const
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : &it->second;
}

void AnswerStore::expire(TimePoint now)
{
    while (!m_order.empty() && m_requests.at(m_order.front()).finishedAt + m_options.retentionPeriod <= now)
        evictOldest();
}

void AnswerStore::evictAnswer(FinishedRequest& request)
{
    if (!request.answer)
        return;
    m_answerBytes -= request.answer->body->size();
    request.answer.reset();
}

void AnswerStore::evictOldest()
{
    const auto it = m_requests.find(m_order.front());
    evictAnswer(it->second);
    m_requests.erase(it);
    m_order.pop_front();
    if (m_evictedAnswers > 0)
        --m_evictedAnswers;
}

} // namespace lentilbay
