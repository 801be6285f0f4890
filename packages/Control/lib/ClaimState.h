// Internal state of ClaimController and the functions that operate on it.
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
        /// Waiting in the queue to be written.
        Queued,
        Writing,
        /// The reply to the write was lost, so the row must be read.
        Ambiguous,
        Reading,
        /// This daemon may dispatch the request, or has dispatched it.
        Held,
        /// The request ended and was or may have been dispatched.
        Finished,
        /// The request ended without dispatch, so its nonce is never used.
        Abandoned,
        /// Another daemon holds the claim and is queried for the outcome.
        HeldElsewhere,
    };
    struct Record {
        ClaimRequest request;
        uint64_t nonce = 0;
        Phase phase = Phase::Queued;
        /// Start of the current phase.
        TimePoint since {};
        /// The version that the row must have for the write to succeed; 0: absent.
        uint64_t expectedVersion = 0;
        /// Earlier nonces of this process for the key, none of which was or will be dispatched.
        std::set<uint64_t> abandonedNonces;
        /// Valid in phase Finished.
        ResultCode code = ResultCode::Ok;
        Executed ran = Executed::No;
        /// Valid in phase HeldElsewhere.
        ClaimRow holder;
        uint64_t holderVersion = 0;
        TimePoint holderLastReport {};
        TimePoint nextQuery {};
    };
    enum class CallKind : uint8_t { Write, Read, Scan, Remove };
    struct Call {
        CallKind kind;
        TimePoint deadline {};
        /// Row keys and nonces covered by a Write or Read.
        std::vector<std::pair<std::string, uint64_t>> claims;
    };

    State(Blackboard& board, const AnswerSource& source, ClaimOptions claimOptions);

    // Requests and decisions (ClaimController.cpp).
    void claim(const std::string& rowKey, const ClaimRequest& request, TimePoint now);
    void acquire(Record& record, TimePoint now);
    void setPhase(Record& record, Phase phase, TimePoint now)
    {
        record.phase = phase;
        record.since = now;
    }
    void refuse(const std::string& rowKey, ResultCode code, Executed ran);
    void erase(const std::string& rowKey);
    void evictOldRecords(TimePoint now);
    ClaimReport reportOf(const ClaimReference& claim) const;

    // Writes and reads of rows (ClaimWrites.cpp).
    void requeue(const std::string& rowKey, Record& record, uint64_t expectedVersion, TimePoint now);
    void writeNext(TimePoint now);
    void readAmbiguous(TimePoint now);
    void expireCalls(TimePoint now);
    void handleReply(const Call& call, const StoreReply& reply, TimePoint now);
    void resolveRow(
        const std::string& rowKey, Record& record, const std::optional<TableRow>& row, TimePoint now);
    Record* findAwaiting(const std::pair<std::string, uint64_t>& claim, Phase phase);
    void submit(Call call, StoreOperation operation, TimePoint now);
    bool isExpired(const ClaimRow& row) const { return wallNow - row.claimedAt >= options.retention; }

    // Claims held elsewhere (ClaimFollowing.cpp).
    void follow(
        const std::string& rowKey, Record& record, const ClaimRow& row, uint64_t version, TimePoint now);
    void queryHolders(TimePoint now);
    bool holderIsGone(const Record& record, TimePoint now) const;
    void handleReport(const ClaimReport& report, TimePoint now);

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
    /// Row keys of records in phase Ambiguous, and of those in phase HeldElsewhere.
    std::set<std::string> ambiguousKeys;
    std::set<std::string> followedKeys;
    std::map<uint64_t, Call> calls;
    uint64_t lastCallId = 0;
    uint32_t writesInFlight = 0;
    /// After a failed call, no claim is written or read and no scan starts before this time.
    TimePoint storeBackoffUntil {};
    /// Wall-clock time of the last step.
    WallTimePoint wallNow {};
    TimePoint nextEviction {};
    TimePoint nextScan {};
    std::string scanAfterKey;
    bool scanning = false;
};

} // namespace lentilbay
