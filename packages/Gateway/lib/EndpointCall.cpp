// Common parts of the calls to endpoints: start, resumption and collected responses.
#include "EndpointCall.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

/// Hop-by-hop fields and fields that RESTinio writes itself.
constexpr std::array<std::string_view, 9> connectionFields { "connection", "content-length", "keep-alive",
    "proxy-authenticate", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };

} // namespace

void EndpointCall::begin()
{
    auto fields = m_exchange->fields;
    fields.emplace_back("X-Request-Id", m_exchange->id().text());
    if (!m_exchange->identity.idempotencyKey.empty())
        fields.emplace_back("Idempotency-Key", m_exchange->identity.idempotencyKey);
    startCall({ .method = m_exchange->method,
        .url = m_exchange->endpointUrl + m_exchange->target,
        .fields = std::move(fields),
        .body = m_exchange->body });
}

void EndpointCall::abandon()
{
    m_abandoned = true;
    stopCall();
}

void EndpointCall::callerDrained()
{
    if (!m_paused)
        return;
    m_paused = false;
    m_dispatcher.client().resume(m_call);
}

bool EndpointCall::mayWrite()
{
    if (m_abandoned)
        return false;
    if (!m_dispatched)
        m_dispatched = listener().mayDispatch(*m_exchange);
    return m_dispatched;
}

void EndpointCall::ended(HttpEnd end, const std::string&)
{
    m_paused = false;
    if (m_abandoned)
        return;
    if (m_dispatched)
        return answerEnded(end);
    if (end == HttpEnd::ConnectFailed)
        listener().connectFailed(*m_exchange);
}

bool EndpointCall::collect(std::string_view bytes)
{
    m_tooLarge = m_tooLarge || m_body->size() + bytes.size() > options().maxAnswerBytes;
    if (!m_tooLarge)
        m_body->append(bytes);
    return !m_tooLarge;
}

CallerAnswer EndpointCall::takeAnswer()
{
    CallerAnswer answer { .status = m_head.status, .body = std::move(m_body) };
    m_body = std::make_shared<std::string>();
    for (auto& field : m_head.fields) {
        if (std::find(connectionFields.begin(), connectionFields.end(), field.first)
            == connectionFields.end())
            answer.fields.push_back(std::move(field));
    }
    return answer;
}

void EndpointCall::startCall(HttpCall call)
{
    m_call = m_dispatcher.client().start(std::move(call), shared_from_this());
}

void EndpointCall::resumeFrom(uint32_t token)
{
    assert(m_dispatched && "only a started dispatch can be resumed");
    m_head = {};
    m_body->clear();
    const auto delay = m_resumes == 0 ? Duration {} : options().firstResumeDelay * (1 << (m_resumes - 1));
    ++m_resumes;
    const nlohmann::json body { { "request_id", m_exchange->id().text() }, { "from", token } };
    HttpCall call { .method = "POST",
        .url = m_exchange->endpointUrl + "/v1/resume",
        .fields = { { "Content-Type", "application/json" }, { "X-Request-Id", m_exchange->id().text() } },
        .body = std::make_shared<std::string>(body.dump()) };
    m_dispatcher.callAfter(delay, [self = shared_from_this(), call = std::move(call)]() mutable {
        if (!self->m_abandoned)
            self->startCall(std::move(call));
    });
}

void EndpointCall::report(AnswerEnd end)
{
    m_abandoned = true;
    listener().answerEnded(*m_exchange, end);
}

} // namespace lentilbay
