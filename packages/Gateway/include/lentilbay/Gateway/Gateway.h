// The caller-facing part of a daemon: parses requests, submits them to the entry controller, executes its
// commands and sends exactly one response to each caller.
#pragma once

#include "lentilbay/Control/EntryController.h"
#include "lentilbay/Gateway/AnswerStore.h"
#include "lentilbay/Gateway/Authenticator.h"
#include "lentilbay/Gateway/Dispatcher.h"
#include "lentilbay/Gateway/Exchange.h"
#include "lentilbay/Gateway/RequestRouter.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace lentilbay {

struct GatewayOptions {
    RequestLimits limits;
    DispatcherOptions dispatcher;
    AnswerStoreOptions answers;
};

/// Callbacks provided by the daemon.
struct GatewayHooks {
    /// Called after an event was passed to the entry controller. The daemon must soon call
    /// EntryController::step() and then have the gateway execute the resulting commands.
    std::function<void()> wake;
    /// Requests an idempotency claim; the result must be passed to EntryController::claimed().
    std::function<void(const RequestIdentity&)> claim;
    /// Called once for each request, with its outcome.
    std::function<void(const RequestOutcome&)> finished;
    DelayedCall callAfter;
};

class Gateway final : public DispatchListener {
public:
    /// The referenced objects must outlive the gateway.
    Gateway(Blackboard& blackboard, EntryController& entry, HttpClient& client, GatewayOptions options,
        GatewayHooks hooks);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway() override;

    /// Handles a request received from a caller.
    void arrive(CallerRequest request, std::shared_ptr<CallerChannel> channel);
    /// Handles the closing of a caller's connection.
    void callerLeft(ConnectionId connection);
    /// Executes the entry controller's commands and records its outcomes until none are left.
    void executeCommands();
    /// Evicts expired responses; must be called periodically.
    void expire(TimePoint now) { m_answers.expire(now); }

    /// Rejects a request whose claim is held by another daemon.
    void refuse(const RequestId& id, Refusal refusal);
    /// Answers a request whose claim is held by an earlier request of this daemon with that request's
    /// response, now or once it is available.
    void reuseEarlierAnswer(const RequestId& id, const RequestId& earlier);

    /// Answers a request whose claim is held by another daemon with the response obtained from that daemon.
    void deliverRemoteAnswer(const RequestId& id, CallerAnswer answer);
    /// Returns the finished request, or nullptr if it is still open, unknown or evicted.
    const FinishedRequest* finishedRequest(const RequestId& id) const { return m_answers.find(id); }

    size_t openExchanges() const { return m_exchanges.size(); }
    const std::unordered_map<RequestId, std::shared_ptr<Exchange>>& exchanges() const { return m_exchanges; }

    bool mayDispatch(Exchange& exchange) override;
    void connectFailed(Exchange& exchange) override;
    void tokensArrived(Exchange& exchange, uint32_t tokens) override;
    void usageArrived(Exchange& exchange, uint32_t cachedTokens) override;
    void answerArrived(Exchange& exchange, CallerAnswer answer) override;
    void streamArrived(Exchange& exchange, std::string_view events) override;
    void answerEnded(Exchange& exchange, AnswerEnd end) override;

private:
    RequestId newRequestId();
    Result<void> handleRequest(
        CallerRequest& request, const std::shared_ptr<CallerChannel>& channel, const RequestId& id);
    Result<void> answerOutcome(const OutcomeQuery& query, const Organisation& organisation,
        CallerChannel& channel, const RequestId& id) const;
    void admit(EndpointRequest request, std::shared_ptr<CallerChannel> channel);
    std::shared_ptr<Exchange> find(const RequestId& id) const;
    void execute(const ClaimCommand& command);
    void execute(const DispatchCommand& command);
    void execute(const CancelCommand& command);
    void execute(const RefuseCommand& command);
    void refuse(Exchange& exchange, const Refusal& refusal);
    void record(const RequestOutcome& outcome);
    void closeIfComplete(const std::shared_ptr<Exchange>& exchange);
    void replayAnswer(Exchange& exchange, const FinishedRequest& finished);
    void untrackConnection(const Exchange& exchange);

    Blackboard& m_blackboard;
    EntryController& m_entry;
    GatewayOptions m_options;
    GatewayHooks m_hooks;
    Authenticator m_authenticator;
    Dispatcher m_dispatcher;
    AnswerStore m_answers;
    std::string m_idPrefix;
    uint64_t m_lastId = 0;
    /// Holds each request from its arrival until its outcome is known and the caller has its response or has
    /// disconnected.
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> m_exchanges;
    /// The requests of each connection whose responses are not complete.
    std::unordered_map<ConnectionId, std::unordered_set<RequestId>> m_connections;
};

} // namespace lentilbay
