// Relays the response of a plain service, regardless of its status, once it is complete.
#include "EndpointCall.h"

namespace lentilbay {
namespace {

class ServiceCall final : public EndpointCall {
public:
    using EndpointCall::EndpointCall;

    void headArrived(const HttpHead& head) override
    {
        EndpointCall::headArrived(head);
        listener().tokensArrived(exchange(), 1);
    }

    bool bytesArrived(std::string_view bytes) override
    {
        if (!collect(bytes))
            stopCall();
        return true;
    }

private:
    void answerEnded(HttpEnd end) override
    {
        // The end of a response without framing cannot be distinguished from a broken connection.
        const bool framed = head().isFramed() || exchange().method == "HEAD";
        if (end != HttpEnd::Complete || !framed || tooLarge())
            return report(AnswerEnd::Broken);
        listener().answerArrived(exchange(), takeAnswer());
        report(AnswerEnd::Whole);
    }
};

} // namespace

std::shared_ptr<EndpointCall> makeServiceCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange)
{
    return std::make_shared<ServiceCall>(dispatcher, std::move(exchange));
}

} // namespace lentilbay
