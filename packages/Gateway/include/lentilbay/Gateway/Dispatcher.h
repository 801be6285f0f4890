// Sends requests to endpoints. Each request is dispatched once; a broken stream is resumed on the same
// engine.
#pragma once

#include "lentilbay/Gateway/Exchange.h"
#include "lentilbay/Platform/HttpClient.h"
#include "lentilbay/Support/Time.h"

#include <chrono>
#include <functional>
#include <memory>

namespace lentilbay {

struct DispatcherOptions {
    /// Limit for non-streamed responses; larger ones are rejected.
    uint64_t maxAnswerBytes = 16 << 20U;
    /// Reading from the endpoint pauses while more than this many bytes are queued for the caller.
    size_t maxBacklogBytes = 256 << 10U;
    /// Maximum number of consecutive resume attempts that yield no new token.
    int maxResumes = 3;
    Duration firstResumeDelay = std::chrono::milliseconds { 50 };
    Duration cancelTimeout = std::chrono::seconds { 2 };
};

/// Receives the events of a dispatch. The callbacks may run inside the HTTP client.
class DispatchListener {
public:
    virtual ~DispatchListener() = default;

    virtual bool mayDispatch(Exchange& exchange) = 0;
    virtual void connectFailed(Exchange& exchange) = 0;
    virtual void tokensArrived(Exchange& exchange, uint32_t tokens) = 0;
    /// Reports how many prompt tokens were served from the engine's cache; called before answerEnded().
    virtual void usageArrived(Exchange& exchange, uint32_t cachedTokens) = 0;
    /// A complete response arrived; answerEnded(Whole) follows.
    virtual void answerArrived(Exchange& exchange, CallerAnswer answer) = 0;
    /// Events of a token stream arrived.
    virtual void streamArrived(Exchange& exchange, std::string_view events) = 0;
    virtual void answerEnded(Exchange& exchange, AnswerEnd end) = 0;
};

/// Calls the function once, after the delay.
using DelayedCall = std::function<void(Duration, std::function<void()>)>;

class Dispatcher {
public:
    Dispatcher(
        HttpClient& client, DispatchListener& listener, DelayedCall callAfter, DispatcherOptions options);

    /// Sends the request to the endpointUrl of the exchange.
    void dispatch(const std::shared_ptr<Exchange>& exchange);
    /// Aborts the request and, on a model engine, calls its cancel API; answerEnded(Cancelled) follows.
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
