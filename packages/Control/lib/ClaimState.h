// The state behind ClaimController, and its steps.
#pragma once

#include "ClaimQueue.h"
#include "ClaimRow.h"

#include "lentilbay/Control/ClaimController.h"
#include "lentilbay/Support/Random.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilbay {

struct ClaimController::State {
    enum class Phase : uint8_t {
        /// In the queue for a write.
        Queued,
        Writing,
        /// The answer to the write was lost; the row must be read.
        Unclear,
        Reading,
        /// This daemon may dispatch, or has.
        Held,
        /// The request ended after its dispatch, or may have been dispatched.
        Ended,
        /// The request ended without a dispatch, so its nonce is dead.
        Dead,
        /// Another daemon holds the claim and is asked for the outcome.
        Elsewhere,
    };
    struct Record {
        ClaimRequest request;
        uint64_t nonce = 0;
        Phase phase = Phase::Queued;
        /// When the phase began.
        TimePoint since {};
        /// The version that the row must have for the write; 0: absent.
        uint64_t expected = 0;
        /// Earlier nonces of this process for the key; none of them was or will be dispatched.
        std::set<uint64_t> deadNonces;
        /// Where Ended.
        ResultCode code = ResultCode::Ok;
        Ran ran = Ran::No;
        /// Where Elsewhere.
        ClaimRow holder;
        uint64_t holderVersion = 0;
        TimePoint holderHeard {};
        TimePoint nextQuery {};
    };
    enum class CallKind : uint8_t { Write, Read, Scan, Remove };
    struct Call {
        CallKind kind;
        TimePoint answeredBy {};
        /// The rows and nonces that a Write or Read is about.
        std::vector<std::pair<std::string, uint64_t>> claims;
    };

    State(Blackboard& board, const AnswerSource& source, ClaimOptions given);

    // Requests and decisions (ClaimController.cpp).
    void claim(const std::string& rowKey, const ClaimRequest& request, TimePoint now);
    void hold(Record& record, TimePoint now);
    void enter(Record& record, Phase phase, TimePoint now)
    {
        record.phase = phase;
        record.since = now;
    }
    void refuseElsewhere(const std::string& rowKey, ResultCode code, Ran ran);
    void erase(const std::string& rowKey);
    void forgetOld(TimePoint now);
    ClaimReport reportOf(const ClaimReference& claim) const;

    // Writes and reads of rows (ClaimWrites.cpp).
    void requeue(const std::string& rowKey, Record& record, uint64_t expected, TimePoint now);
    void writeNext(TimePoint now);
    void readUnclear(TimePoint now);
    void expireCalls(TimePoint now);
    void answered(const Call& call, const StoreReply& reply, TimePoint now);
    void judgeRow(
        const std::string& rowKey, Record& record, const std::optional<TableRow>& row, TimePoint now);
    Record* awaiting(const std::pair<std::string, uint64_t>& claim, Phase phase);
    void submit(Call call, StoreOperation operation, TimePoint now);
    bool isExpired(const ClaimRow& row) const { return wallNow - row.claimedAt >= options.retention; }

    // Claims held elsewhere (ClaimFollowing.cpp).
    void follow(
        const std::string& rowKey, Record& record, const ClaimRow& row, uint64_t version, TimePoint now);
    void askHolders(TimePoint now);
    bool holderIsGone(const Record& record, TimePoint now) const;
    void reported(const ClaimReport& report, TimePoint now);

    // Removal of expired rows (ClaimCleanup.cpp).
    void scanForExpired(TimePoint now);
    void removeExpired(const StoreReply& page, TimePoint now);
    bool isCleaner() const;

    Blackboard& blackboard;
    const AnswerSource& answers;
    ClaimOptions options;
    Random random;
    ClaimCounters counters;
    std::vector<ClaimDecision> decisions;

    /// By row key. Bounded by maxRecords.
    std::unordered_map<std::string, Record> records;
    std::unordered_map<RequestId, std::string> rowKeys;
    ClaimQueue queue;
    WriteBudget budget;
    /// Row keys that are Unclear, and those that are Elsewhere.
    std::set<std::string> unclear;
    std::set<std::string> followed;
    std::map<uint64_t, Call> calls;
    uint64_t lastCall = 0;
    uint32_t writesInFlight = 0;
    /// After a failed call nothing is sent until then.
    TimePoint storeRestsUntil {};
    /// As of the last step.
    WallTimePoint wallNow {};
    TimePoint nextForget {};
    TimePoint nextScan {};
    std::string scanAfter;
    bool scanning = false;
};

} // namespace lentilbay
