// Carries requests to endpoints: one dispatch each, resumed at the same engine where its stream breaks.
#pragma once

#include "lentilbay/Gateway/Exchange.h"
#include "lentilbay/Platform/HttpClient.h"
#include "lentilbay/Support/Time.h"

#include <chrono>
#include <functional>
#include <memory>

namespace lentilbay {

struct DispatcherOptions {
    /// A larger answer to a caller that asked for no stream is refused.
    uint64_t maxAnswerBytes = 16 << 20U;
    /// The endpoint is not read from while so many bytes wait for the caller.
    size_t maxBacklogBytes = 256 << 10U;
    /// How often in a row a stream is resumed without a new token.
    int maxResumes = 3;
    Duration firstResumeDelay = std::chrono::milliseconds { 50 };
    Duration cancelTimeout = std::chrono::seconds { 2 };
};

/// Hears what becomes of a dispatch. The functions may be called from inside the HTTP client.
class DispatchListener {
public:
    virtual ~DispatchListener() = default;

    virtual bool mayDispatch(Exchange& exchange) = 0;
    virtual void connectFailed(Exchange& exchange) = 0;
    virtual void tokensArrived(Exchange& exchange, uint32_t tokens) = 0;
    /// How much of the prompt the engine had cached; comes before answerEnded().
    virtual void usageArrived(Exchange& exchange, uint32_t cachedTokens) = 0;
    /// A whole answer came; answerEnded(Whole) follows.
    virtual void answerArrived(Exchange& exchange, CallerAnswer answer) = 0;
    /// Events of a token stream.
    virtual void streamArrived(Exchange& exchange, std::string_view events) = 0;
    virtual void answerEnded(Exchange& exchange, AnswerEnd end) = 0;
};

/// Calls the function once after the delay.
using DelayedCall = std::function<void(Duration, std::function<void()>)>;

class Dispatcher {
public:
    Dispatcher(
        HttpClient& client, DispatchListener& listener, DelayedCall callAfter, DispatcherOptions options);

    /// Dispatches to the exchange's endpointUrl.
    void dispatch(const std::shared_ptr<Exchange>& exchange);
    /// Stops the work, at a model engine by its cancel call too; answerEnded(Cancelled) follows.
    void cancel(const std::shared_ptr<Exchange>& exchange);

    HttpClient& client() { return m_client; }
    DispatchListener& listener() { return m_listener; }
    const DispatcherOptions& options() const { return m_options; }
    void callAfter(Duration delay, std::function<void()> function)
    {
        m_callAfter(delay, std::move(function));
    }

private:
    HttpClient& m_client;
    DispatchListener& m_listener;
    DelayedCall m_callAfter;
    DispatcherOptions m_options;
};

} // namespace lentilbay
