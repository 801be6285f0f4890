// Requests a non-streamed response from a model engine. A broken response is fetched again as a stream.
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
            const bool valid = m_assembler->consume(bytes);
            reportTokens(m_assembler->nextToken() - before);
            if (!valid)
                stopCall();
            return true;
        }
        if (!collect(bytes))
            stopCall();
        return true;
    }

private:
    void reportTokens(uint32_t n)
    {
        if (n == 0)
            return;
        resetResumes();
        listener().tokensArrived(exchange(), n);
    }

    void answerEnded(HttpEnd end) override
    {
        if (m_assembler)
            return resumedStreamEnded();
        if (tooLarge())
            return report(AnswerEnd::Broken);
        if (end != HttpEnd::Complete || !head().isFramed()) {
            m_assembler.emplace();
            return resumeFrom(0);
        }
        if (head().status != statusOk)
            return handleErrorStatus();
        const auto fields = parseChunk(body());
        if (!fields || fields->hasError)
            return report(AnswerEnd::Broken);
        reportTokens(fields->usage ? fields->usage->completionTokens : 1);
        if (fields->usage)
            listener().usageArrived(exchange(), fields->usage->cachedTokens);
        completed(takeAnswer());
    }

    void handleErrorStatus()
    {
        const auto errorClass = classifyErrorStatus(head().status);
        if (errorClass != EngineErrorClass::ClientError)
            return report(
                errorClass == EngineErrorClass::NotExecuted ? AnswerEnd::Refused : AnswerEnd::Broken);
        completed(takeAnswer());
    }

    void resumedStreamEnded()
    {
        if (auto answer = m_assembler->answer(exchange().chat)) {
            listener().usageArrived(exchange(), m_assembler->usage()->cachedTokens);
            return completed({ .status = statusOk,
                .fields = { { "Content-Type", "application/json" } },
                .body = std::make_shared<std::string>(std::move(*answer)) });
        }
        if (head().status >= firstErrorStatus || resumes() >= options().maxResumes)
            return report(AnswerEnd::Broken);
        m_assembler->beginResumedStream();
        resumeFrom(m_assembler->nextToken());
    }

    void completed(CallerAnswer answer)
    {
        listener().answerArrived(exchange(), std::move(answer));
        report(AnswerEnd::Whole);
    }

    /// Set once the non-streamed response was interrupted.
    std::optional<AnswerAssembler> m_assembler;
};

} // namespace

std::shared_ptr<EndpointCall> makeCompletionCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange)
{
    return std::make_shared<CompletionCall>(dispatcher, std::move(exchange));
}

} // namespace lentilbay
