// The callers' side of a daemon: reads requests, hands their facts to the entry controller, carries out its
// commands and gives each caller its one answer.
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

/// What the daemon adds to the gateway.
struct GatewayHooks {
    /// The entry controller was told something: it must step soon, and carryOut() must follow.
    std::function<void()> wake;
    /// A keyed request must be claimed; answered by EntryController::claimed().
    std::function<void(const KeyedRequest&)> claim;
    /// A request has reached its one outcome.
    std::function<void(const RequestOutcome&)> finished;
    DelayedCall callAfter;
};

class Gateway final : public DispatchListener {
public:
    /// All references must outlive the gateway.
    Gateway(Blackboard& blackboard, EntryController& entry, HttpClient& client, GatewayOptions options,
        GatewayHooks hooks);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway() override;

    /// A caller's request was read.
    void arrive(CallerRequest request, std::shared_ptr<CallerChannel> channel);
    /// A caller's connection was closed.
    void callerLeft(ConnectionId connection);
    /// Carries out the entry controller's commands and takes its outcomes until there are none left.
    void carryOut();
    /// Forgets old answers; called now and then.
    void expire(TimePoint now) { m_answers.expire(now); }

    /// Refuses a request whose claim is held elsewhere.
    void refuse(const RequestId& id, Refusal refusal);
    /// Gives a request whose claim is held here the answer of the earlier one, now or when it comes.
    void followAnswer(const RequestId& id, const RequestId& earlier);

    /// Gives a request whose claim is held by another daemon that daemon's answer.
    void giveAnswer(const RequestId& id, CallerAnswer answer);
    /// A request that has ended, or nullptr where it is open, unknown or forgotten.
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
    Result<void> take(
        CallerRequest& request, const std::shared_ptr<CallerChannel>& channel, const RequestId& id);
    Result<void> answerOutcome(const OutcomeQuery& query, const Organisation& organisation,
        CallerChannel& channel, const RequestId& id) const;
    void begin(EndpointRequest request, std::shared_ptr<CallerChannel> channel);
    std::shared_ptr<Exchange> find(const RequestId& id) const;
    void carry(const ClaimCommand& command);
    void carry(const DispatchCommand& command);
    void carry(const CancelCommand& command);
    void carry(const RefuseCommand& command);
    void refuse(Exchange& exchange, const Refusal& refusal);
    void record(const RequestOutcome& outcome);
    void closeIfDone(const std::shared_ptr<Exchange>& exchange);
    void give(Exchange& exchange, const FinishedRequest& finished);
    void forgetConnection(const Exchange& exchange);

    Blackboard& m_blackboard;
    EntryController& m_entry;
    GatewayOptions m_options;
    GatewayHooks m_hooks;
    Authenticator m_authenticator;
    Dispatcher m_dispatcher;
    AnswerStore m_answers;
    std::string m_idPrefix;
    uint64_t m_lastId = 0;
    /// From arrival until there is an outcome and the caller has its answer or has left.
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> m_exchanges;
    /// The exchanges whose callers may still leave.
    std::unordered_map<ConnectionId, std::unordered_set<RequestId>> m_connections;
};

} // namespace lentilbay
