// Relays a model engine's token stream with backpressure from the caller.
#include "EndpointCall.h"
#include "EngineStatus.h"
#include "lentilbay/Gateway/StreamRelay.h"

namespace lentilbay {
namespace {

class StreamCall final : public EndpointCall {
public:
    using EndpointCall::EndpointCall;

    bool bytesArrived(std::string_view bytes) override
    {
        if (head().status != statusOk) {
            if (!collect(bytes))
                stopCall();
            return true;
        }
        const auto& channel = exchange().channel;
        if (channel && channel->backlog() > options().maxBacklogBytes) {
            markPaused();
            return false;
        }
        relay(bytes);
        return true;
    }

private:
    void relay(std::string_view bytes)
    {
        const auto before = m_relay.nextToken();
        m_out.clear();
        const bool valid = m_relay.consume(bytes, m_out);
        if (m_relay.nextToken() > before) {
            resetResumes();
            listener().tokensArrived(exchange(), m_relay.nextToken() - before);
        }
        if (!m_out.empty())
            listener().streamArrived(exchange(), m_out);
        if (!valid)
            stopCall();
    }

    void answerEnded(HttpEnd end) override
    {
        if (m_relay.isComplete()) {
            listener().streamArrived(exchange(), StreamRelay::doneEvent);
            listener().usageArrived(exchange(), m_relay.usage()->cachedTokens);
            return report(AnswerEnd::Whole);
        }
        if (head().status >= firstErrorStatus)
            return handleErrorStatus(end);
        if (resumes() >= options().maxResumes)
            return report(AnswerEnd::Broken);
        m_relay.beginResumedStream();
        resumeFrom(m_relay.nextToken());
    }

    void handleErrorStatus(HttpEnd end)
    {
        const auto errorClass = classifyErrorStatus(head().status);
        // Once the request was started, an error response to a resume call says nothing about the request.
        if (hasStarted() || end != HttpEnd::Complete || errorClass == EngineErrorClass::Unknown)
            return report(AnswerEnd::Broken);
        if (errorClass == EngineErrorClass::NotExecuted)
            return report(AnswerEnd::Refused);
        listener().answerArrived(exchange(), takeAnswer());
        report(AnswerEnd::Whole);
    }

    bool hasStarted() const { return resumes() > 0 || m_relay.nextToken() > 0; }

    StreamRelay m_relay;
    std::string m_out;
};

} // namespace

std::shared_ptr<EndpointCall> makeStreamCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange)
{
    return std::make_shared<StreamCall>(dispatcher, std::move(exchange));
}

} // namespace lentilbay
