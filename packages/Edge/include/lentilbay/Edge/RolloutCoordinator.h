// The coordinator's part of one rollout: judges the target version, and keeps the order's rows in the store.
//
// Two rows are written together, on condition that nobody else has changed them: the status for the operator,
// and a row of the daemons' own table, from which another coordinator goes on. No permit is issued before the
// store has acknowledged that the order runs. The class makes no calls itself: the caller sends what
// nextCall() returns and passes the answer back.
#pragma once

#include "lentilbay/Edge/RolloutMessages.h"
#include "lentilbay/Edge/RolloutReportLog.h"
#include "lentilbay/Edge/StoreWriter.h"
#include "lentilbay/Policy/Rollout.h"
#include "lentilbay/platform/StoreCalls.h"

#include <memory>
#include <optional>

namespace lentilbay::edge {

/// Whether both are the same order, also if the second was written again, as another version of its row,
/// after the store had come back from an older copy.
bool continuesOrder(const RolloutOrder& first, const RolloutOrder& second);

/// The call that reads the row with the state of a service's order.
std::string readRolloutRowRequest(const std::string& storeHost, const ServiceId& service);
/// The state of the order in the answer to that call, if there is one.
std::optional<RolloutRow> rolloutRowIn(const StoreReply& reply, const RolloutOrder& order);

class RolloutCoordinator {
public:
    struct Options {
        /// Of the store, for the header field of the calls.
        std::string storeHost;
        RolloutLimits limits;
        /// What this daemon has heard of the order before it became the coordinator.
        std::shared_ptr<const RolloutReportLog> reports;
    };

    /// @param begunAt when the order was accepted, or earlier
    RolloutCoordinator(RolloutOrder order, Options options, TimePoint begunAt);

    /// Judges the version by what has been reported, whether the store answers or not.
    void update(TimePoint now);
    /// The call that is due, if any. Nothing is returned while the answer to the last one is awaited.
    std::optional<std::string> nextCall(TimePoint now);
    void handleReply(const StoreReply& reply, TimePoint sentAt, TimePoint now);

    void apply(const RolloutReport& report, TimePoint now);
    /// std::nullopt until the store has acknowledged the order.
    std::optional<RolloutPermit> permit(TimePoint now) const;
    /// The final phase, once the store has it.
    std::optional<RolloutPhase> committed() const;

    /// Whether the order is valid, so that it may begin.
    void setValid(bool isValid) { m_isValid = isValid; }
    void setTargetEndpoints(size_t n);
    /// hashOf() the versions that served the service before the order.
    void addFormerVersions(const std::vector<uint64_t>& versions);
    const std::vector<uint64_t>& formerVersions() const { return m_formerVersions; }
    /// States a later time at which the order cannot have been accepted yet. Ignored once the daemons have
    /// had the time to report theirs, or if the store states it.
    void setBegun(TimePoint begunAt, TimePoint now);
    /// The operator has taken the order back: it is reverted.
    void withdraw() { m_isWithdrawn = true; }
    /// The rows may have been lost: they are read again, and written if they are older than what is known.
    void readAgain();

    uint64_t transactions() const { return m_transactions; }

private:
    enum class Step : uint8_t { ReadState, ReadStatus, Idle };
    enum class Call : uint8_t { None, ReadState, ReadStatus, Write };

    std::string key() const;
    /// Judges anew, by what is known of the order: its begin has become known.
    void resetJudge(const std::optional<RolloutState>& restored = std::nullopt);
    /// Whether the store lacks a later phase, or many bad responses.
    bool mustWrite(RolloutPhase phase, TimePoint now) const;
    std::string writeRequest(RolloutPhase phase, TimePoint now);
    void handleRead(const StoreReply& reply, TimePoint sentAt, TimePoint now);
    void handleWrite(const StoreReply& reply, TimePoint sentAt, TimePoint now);
    /// Applies the row of the own table; nullptr if there is none.
    void adoptState(const platform::StoreRow* row, TimePoint now);
    void adoptStatus(const platform::StoreRow* row);
    void recordClock(const platform::StoreRows& rows, TimePoint sentAt);
    /// The store's clock, as far as it is known; 0 otherwise.
    uint64_t storeClock(TimePoint now) const;

    RolloutOrder m_order;
    Options m_options;
    TimePoint m_begunAt;
    RolloutJudge m_judge;
    std::vector<uint64_t> m_formerVersions;
    bool m_isWithdrawn = false;
    bool m_isValid = false;
    Step m_step = Step::ReadState;
    Call m_call = Call::None;
    TimePoint m_nextCallAt {};
    /// The versions of the rows; 0: there is no such row.
    uint64_t m_stateVersion = 0;
    uint64_t m_statusVersion = 0;
    /// The phase that the store holds for this order.
    std::optional<RolloutPhase> m_written;
    uint64_t m_writtenBad = 0;
    /// Those of the write whose answer is awaited.
    RolloutPhase m_writing = RolloutPhase::Canary;
    uint64_t m_writingBad = 0;
    /// The status row says something else than the state row.
    bool m_isStatusWrong = false;
    bool m_hasBegun = false;
    bool m_isRestored = false;
    /// The store's clock, and when it showed that.
    std::optional<Duration> m_clock;
    TimePoint m_clockAt {};
    RolloutDecision m_decision;
    TimePoint m_nextDecisionAt {};
    uint64_t m_transactions = 0;
};

} // namespace lentilbay::edge
