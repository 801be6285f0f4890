// Asks a model engine for a whole answer; one that breaks off is read again from the engine as a stream.
#include "EndpointCall.h"
#include "EngineStatus.h"
#include "lentilbay/Gateway/AnswerAssembler.h"

#include <optional>

namespace lentilbay {
namespace {

class CompletionCall final : public EndpointCall {
public:
    using EndpointCall::EndpointCall;

    bool bytesArrived(std::string_view bytes) override
    {
        if (m_assembler && head().status == statusOk) {
            const auto before = m_assembler->nextToken();
            const bool good = m_assembler->take(bytes);
            tokens(m_assembler->nextToken() - before);
            if (!good)
                stopCall();
            return true;
        }
        if (!collect(bytes))
            stopCall();
        return true;
    }

private:
    void tokens(uint32_t n)
    {
        if (n == 0)
            return;
        progressed();
        listener().tokensArrived(exchange(), n);
    }

    void answerEnded(HttpEnd end) override
    {
        if (m_assembler)
            return resumedEnded();
        if (tooLarge())
            return report(AnswerEnd::Broken);
        if (end != HttpEnd::Whole || !head().isFramed()) {
            m_assembler.emplace();
            return resumeFrom(0);
        }
        if (head().status != statusOk)
            return refusedByEngine();
        const auto facts = parseChunk(body());
        if (!facts || facts->hasError)
            return report(AnswerEnd::Broken);
        tokens(facts->usage ? facts->usage->completionTokens : 1);
        if (facts->usage)
            listener().usageArrived(exchange(), facts->usage->cachedTokens);
        whole(takeAnswer());
    }

    void refusedByEngine()
    {
        const auto verdict = verdictOf(head().status);
        if (verdict != EngineVerdict::CallersFault)
            return report(verdict == EngineVerdict::NotRun ? AnswerEnd::Refused : AnswerEnd::Broken);
        whole(takeAnswer());
    }

    void resumedEnded()
    {
        if (auto answer = m_assembler->answer(exchange().chat)) {
            listener().usageArrived(exchange(), m_assembler->usage()->cachedTokens);
            return whole({ .status = statusOk,
                .fields = { { "Content-Type", "application/json" } },
                .body = std::make_shared<std::string>(std::move(*answer)) });
        }
        if (head().status >= firstErrorStatus || resumes() >= options().maxResumes)
            return report(AnswerEnd::Broken);
        m_assembler->beginResumed();
        resumeFrom(m_assembler->nextToken());
    }

    void whole(CallerAnswer answer)
    {
        listener().answerArrived(exchange(), std::move(answer));
        report(AnswerEnd::Whole);
    }

    /// Set once the first answer broke off.
    std::optional<AnswerAssembler> m_assembler;
};

} // namespace

std::shared_ptr<EndpointCall> makeCompletionCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange)
{
    return std::make_shared<CompletionCall>(dispatcher, std::move(exchange));
}

} // namespace lentilbay
