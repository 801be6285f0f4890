// Writes claims in groups and evaluates the replies of the table.
#include "ClaimState.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {
namespace {

constexpr auto claimsTable = "claims";
/// Time without calls after a failed call.
constexpr Duration storeBackoff = std::chrono::milliseconds(200);
/// A reply is considered lost after this multiple of the store time-out.
constexpr int replyTimeoutFactor = 2;

} // namespace

void ClaimController::State::requeue(
    const std::string& rowKey, Record& record, uint64_t expectedVersion, TimePoint now)
{
    record.expectedVersion = expectedVersion;
    setPhase(record, Phase::Queued, now);
    queue.push(record.request.organisation, rowKey);
}

void ClaimController::State::submit(Call call, StoreOperation operation, TimePoint now)
{
    call.deadline = now + replyTimeoutFactor * options.storeTimeout;
    const auto id = ++lastCallId;
    calls.emplace(id, std::move(call));
    blackboard.storeOutbox.push_back({ .id = id,
        .user = StoreUser::Claims,
        .operation = std::move(operation),
        .timeout = options.storeTimeout });
}

void ClaimController::State::writeNext(TimePoint now)
{
    while (!queue.empty() && now >= storeBackoffUntil && writesInFlight < options.maxWritesInFlight) {
        const auto room = std::min<size_t>(options.maxBatch, budget.available(now));
        if (room == 0)
            return;
        Call call { .kind = CallKind::Write };
        TableTransaction transaction;
        for (auto& rowKey : queue.take(room)) {
            const auto it = records.find(rowKey);
            // The claim was abandoned or queued again after it was pushed.
            if (it == records.end() || it->second.phase != Phase::Queued)
                continue;
            auto& record = it->second;
            const ClaimRow row { .daemon = blackboard.self,
                .address = options.address,
                .incarnation = blackboard.members.contains(blackboard.self)
                    ? blackboard.members.at(blackboard.self).incarnation
                    : 0,
                .nonce = record.nonce,
                .bodyHash = record.request.bodyHash,
                .request = record.request.id,
                .claimedAt = wallNow };
            transaction.writes.push_back({ .key = { .table = claimsTable, .key = rowKey },
                .value = printClaimRow(row),
                .expectedVersion = record.expectedVersion });
            call.claims.emplace_back(rowKey, record.nonce);
            setPhase(record, Phase::Writing, now);
        }
        if (call.claims.empty())
            continue;
        budget.spend(call.claims.size());
        counters.rowsWritten += call.claims.size();
        ++counters.transactions;
        ++writesInFlight;
        submit(std::move(call), std::move(transaction), now);
    }
}

void ClaimController::State::readAmbiguous(TimePoint now)
{
    if (ambiguousKeys.empty() || now < storeBackoffUntil)
        return;
    Call call { .kind = CallKind::Read };
    TableRead read;
    while (!ambiguousKeys.empty() && call.claims.size() < options.maxBatch) {
        const auto rowKey = *ambiguousKeys.begin();
        ambiguousKeys.erase(ambiguousKeys.begin());
        auto& record = records.at(rowKey);
        setPhase(record, Phase::Reading, now);
        call.claims.emplace_back(rowKey, record.nonce);
        read.keys.push_back({ .table = claimsTable, .key = rowKey });
    }
    submit(std::move(call), std::move(read), now);
}

void ClaimController::State::expireCalls(TimePoint now)
{
    std::vector<std::pair<uint64_t, Call>> lost;
    for (const auto& [id, call] : calls) {
        if (now >= call.deadline)
            lost.emplace_back(id, call);
    }
    for (const auto& [id, call] : lost) {
        calls.erase(id);
        handleReply(call, { .id = id, .status = StoreStatus::Ambiguous }, now);
    }
}

ClaimController::State::Record* ClaimController::State::findAwaiting(
    const std::pair<std::string, uint64_t>& claim, Phase phase)
{
    const auto it = records.find(claim.first);
    const bool isAwaiting
        = it != records.end() && it->second.nonce == claim.second && it->second.phase == phase;
    return isAwaiting ? &it->second : nullptr;
}

void ClaimController::State::handleReply(const Call& call, const StoreReply& reply, TimePoint now)
{
    const bool failed = reply.status == StoreStatus::Unavailable || reply.status == StoreStatus::Ambiguous;
    if (failed)
        storeBackoffUntil = now + storeBackoff;
    if (call.kind == CallKind::Scan) {
        scanning = false;
        if (!failed)
            removeExpired(reply, now);
        return;
    }
    if (call.kind == CallKind::Remove)
        return;
    const bool isWrite = call.kind == CallKind::Write;
    if (isWrite)
        --writesInFlight;
    counters.conflicts += reply.status == StoreStatus::Conflict ? 1 : 0;
    counters.ambiguous += reply.status == StoreStatus::Ambiguous ? 1 : 0;
    for (size_t i = 0; i < call.claims.size(); ++i) {
        auto* record = findAwaiting(call.claims[i], isWrite ? Phase::Writing : Phase::Reading);
        if (record == nullptr)
            continue;
        const auto& rowKey = call.claims[i].first;
        if (isWrite && reply.status == StoreStatus::Done) {
            acquire(*record, now);
        } else if (isWrite && reply.status == StoreStatus::Unavailable) {
            requeue(rowKey, *record, record->expectedVersion, now);
        } else if (failed || i >= reply.rows.size()) {
            setPhase(*record, Phase::Ambiguous, now);
            ambiguousKeys.insert(rowKey);
        } else {
            resolveRow(rowKey, *record, reply.rows[i], now);
        }
    }
}

void ClaimController::State::resolveRow(
    const std::string& rowKey, Record& record, const std::optional<TableRow>& row, TimePoint now)
{
    // Uses the same nonce again: if an earlier write still takes effect, it belongs to this claim as well.
    if (!row)
        return requeue(rowKey, record, 0, now);
    const auto found = parseClaimRow(row->value);
    if (!found)
        return refuse(rowKey, ResultCode::ClaimHolderGone, Executed::Unknown);
    if (found->nonce == record.nonce)
        return acquire(record, now);
    if (record.abandonedNonces.contains(found->nonce) || isExpired(*found))
        return requeue(rowKey, record, row->version, now);
    if (found->bodyHash != record.request.bodyHash)
        return refuse(rowKey, ResultCode::IdempotencyKeyReused, Executed::No);
    // An unknown row of this daemon was written by an earlier process, or its record has been evicted.
    if (found->daemon == blackboard.self)
        return refuse(rowKey, ResultCode::ClaimHolderGone, Executed::Unknown);
    follow(rowKey, record, *found, row->version, now);
}

} // namespace lentilbay
