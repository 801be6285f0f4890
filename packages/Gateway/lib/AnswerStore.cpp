#include "lentilbay/Gateway/AnswerStore.h"

#include <cassert>

namespace lentilbay {

void AnswerStore::add(FinishedRequest request)
{
    const auto id = request.outcome.id;
    if (request.answer)
        m_answerBytes += request.answer->body->size();
    const bool isNew = m_requests.emplace(id, std::move(request)).second;
    assert(isNew && "a request ends once");
    (void)isNew;
    m_order.push_back(id);
    while (m_order.size() > m_options.maxRequests)
        forgetOldest();
    while (m_answerBytes > m_options.maxAnswerBytes) {
        assert(m_withoutAnswer < m_order.size() && "the bytes belong to some answer");
        forgetAnswer(m_requests.at(m_order[m_withoutAnswer++]));
    }
}

const FinishedRequest* AnswerStore::find(const RequestId& id) const
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : &it->second;
}

void AnswerStore::expire(TimePoint now)
{
    while (!m_order.empty() && m_requests.at(m_order.front()).finishedAt + m_options.keepFor <= now)
        forgetOldest();
}

void AnswerStore::forgetAnswer(FinishedRequest& request)
{
    if (!request.answer)
        return;
    m_answerBytes -= request.answer->body->size();
    request.answer.reset();
}

void AnswerStore::forgetOldest()
{
    const auto it = m_requests.find(m_order.front());
    forgetAnswer(it->second);
    m_requests.erase(it);
    m_order.pop_front();
    if (m_withoutAnswer > 0)
        --m_withoutAnswer;
}

} // namespace lentilbay
