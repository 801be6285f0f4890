// The calls to an endpoint that make up one dispatch.
#pragma once

#include "lentilbay/Gateway/Dispatcher.h"

#include <memory>
#include <string>

namespace lentilbay {

/// The first call begins the dispatch; calls that resume it belong to the same dispatch.
class EndpointCall : public HttpHandler, public std::enable_shared_from_this<EndpointCall> {
public:
    EndpointCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange)
        : m_dispatcher(dispatcher)
        , m_exchange(std::move(exchange))
    {
    }

    void begin();
    /// Nothing more is reported of this call.
    void abandon();
    /// The caller has taken what was written to it.
    void callerDrained();

    bool mayWrite() final;
    void headArrived(const HttpHead& head) override { m_head = head; }
    void ended(HttpEnd end, const std::string& detail) final;

protected:
    /// What to do after a call that may have been written has ended.
    virtual void answerEnded(HttpEnd end) = 0;

    /// Takes bytes into a whole answer; false where it is too large.
    bool collect(std::string_view bytes);
    /// The collected answer as the caller gets it.
    CallerAnswer takeAnswer();
    void startCall(HttpCall call);
    /// Asks the engine for the stream from a token on, after a delay that grows with the attempts.
    void resumeFrom(uint32_t token);
    void stopCall() { m_dispatcher.client().stop(m_call); }
    void pausedByCaller() { m_paused = true; }
    void report(AnswerEnd end);

    Exchange& exchange() { return *m_exchange; }
    DispatchListener& listener() { return m_dispatcher.listener(); }
    const DispatcherOptions& options() const { return m_dispatcher.options(); }
    const HttpHead& head() const { return m_head; }
    const std::string& body() const { return *m_body; }
    int resumes() const { return m_resumes; }
    void progressed() { m_resumes = 0; }
    /// Whether the collected bytes went beyond the limit.
    bool tooLarge() const { return m_tooLarge; }

private:
    Dispatcher& m_dispatcher;
    std::shared_ptr<Exchange> m_exchange;
    HttpCallId m_call = 0;
    HttpHead m_head;
    std::shared_ptr<std::string> m_body = std::make_shared<std::string>();
    /// Invariant: never set back. From then on no other endpoint may be tried.
    bool m_begun = false;
    bool m_abandoned = false;
    bool m_paused = false;
    bool m_tooLarge = false;
    int m_resumes = 0;
};

/// The call of a plain service: its answer is relayed as it is.
std::shared_ptr<EndpointCall> makeServiceCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange);
/// The call of a model engine for a caller that wants no stream.
std::shared_ptr<EndpointCall> makeCompletionCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange);
/// The call of a model engine whose stream is relayed.
std::shared_ptr<EndpointCall> makeStreamCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange);

} // namespace lentilbay
