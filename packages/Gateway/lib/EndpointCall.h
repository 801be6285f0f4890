// The HTTP calls to an endpoint that make up one dispatch.
#pragma once

#include "lentilbay/Gateway/Dispatcher.h"

#include <memory>
#include <string>

namespace lentilbay {

/// The first call starts the dispatch; resume calls belong to the same dispatch.
class EndpointCall : public HttpHandler, public std::enable_shared_from_this<EndpointCall> {
public:
    EndpointCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange)
        : m_dispatcher(dispatcher)
        , m_exchange(std::move(exchange))
    {
    }

    void begin();
    /// Stops the call. The listener is not notified any more.
    void abandon();
    /// Resumes reading after the caller's backlog was drained.
    void callerDrained();

    bool mayWrite() final;
    void headArrived(const HttpHead& head) override { m_head = head; }
    void ended(HttpEnd end, const std::string& detail) final;

protected:
    /// Handles the end of a call whose request may have been sent.
    virtual void answerEnded(HttpEnd end) = 0;

    /// Appends bytes to the collected response. Returns false if it exceeds the size limit.
    bool collect(std::string_view bytes);
    /// Returns the collected response without hop-by-hop fields.
    CallerAnswer takeAnswer();
    void startCall(HttpCall call);
    /// Requests the stream from the given token on. The delay doubles with each consecutive attempt.
    void resumeFrom(uint32_t token);
    void stopCall() { m_dispatcher.client().stop(m_call); }
    void markPaused() { m_paused = true; }
    void report(AnswerEnd end);

    Exchange& exchange() { return *m_exchange; }
    DispatchListener& listener() { return m_dispatcher.listener(); }
    const DispatcherOptions& options() const { return m_dispatcher.options(); }
    const HttpHead& head() const { return m_head; }
    const std::string& body() const { return *m_body; }
    int resumes() const { return m_resumes; }
    void resetResumes() { m_resumes = 0; }
    /// Whether the collected response exceeded the size limit.
    bool tooLarge() const { return m_tooLarge; }

private:
    Dispatcher& m_dispatcher;
    std::shared_ptr<Exchange> m_exchange;
    HttpCallId m_call = 0;
    HttpHead m_head;
    std::shared_ptr<std::string> m_body = std::make_shared<std::string>();
    /// Invariant: never reset. Once set, no other endpoint may be tried.
    bool m_dispatched = false;
    bool m_abandoned = false;
    bool m_paused = false;
    bool m_tooLarge = false;
    int m_resumes = 0;
};

/// Creates a call to a plain service, whose response is relayed unchanged.
std::shared_ptr<EndpointCall> makeServiceCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange);
/// Creates a call to a model engine for a non-streamed response.
std::shared_ptr<EndpointCall> makeCompletionCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange);
/// Creates a call to a model engine for a streamed response.
std::shared_ptr<EndpointCall> makeStreamCall(Dispatcher& dispatcher, std::shared_ptr<Exchange> exchange);

} // namespace lentilbay
