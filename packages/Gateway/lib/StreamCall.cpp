// Relays a model engine's token stream chunk by chunk, at the pace of the caller.
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
            pausedByCaller();
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
        const bool good = m_relay.take(bytes, m_out);
        if (m_relay.nextToken() > before) {
            progressed();
            listener().tokensArrived(exchange(), m_relay.nextToken() - before);
        }
        if (!m_out.empty())
            listener().streamArrived(exchange(), m_out);
        if (!good)
            stopCall();
    }

    void answerEnded(HttpEnd end) override
    {
        if (m_relay.isWhole()) {
            listener().streamArrived(exchange(), StreamRelay::doneEvent);
            listener().usageArrived(exchange(), m_relay.usage()->cachedTokens);
            return report(AnswerEnd::Whole);
        }
        if (head().status >= firstErrorStatus)
            return refusedByEngine(end);
        if (resumes() >= options().maxResumes)
            return report(AnswerEnd::Broken);
        m_relay.beginResumed();
        resumeFrom(m_relay.nextToken());
    }

    void refusedByEngine(HttpEnd end)
    {
        const auto verdict = verdictOf(head().status);
        // Once it ran, an error to a call that resumes says nothing of the request itself.
        if (hasRun() || end != HttpEnd::Whole || verdict == EngineVerdict::Unknown)
            return report(AnswerEnd::Broken);
        if (verdict == EngineVerdict::NotRun)
            return report(AnswerEnd::Refused);
        listener().answerArrived(exchange(), takeAnswer());
        report(AnswerEnd::Whole);
    }

    bool hasRun() const { return resumes() > 0 || m_relay.nextToken() > 0; }

    StreamRelay m_relay;
    std::string m_out;
};

} // namespace

std::shared_ptr<EndpointCall> makeStreamCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange)
{
    return std::make_shared<StreamCall>(dispatcher, std::move(exchange));
}

} // namespace lentilbay
