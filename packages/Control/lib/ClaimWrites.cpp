// Group commit of claims, and what is concluded from each answer of the table.
#include "ClaimState.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {
namespace {

constexpr auto claimsTable = "claims";
/// After the table has failed, it is left alone for this long.
constexpr Duration restAfterFailure = std::chrono::milliseconds(200);
/// A reply that has not come by twice the timeout counts as lost.
constexpr int lostAfterTimeouts = 2;

} // namespace

void ClaimController::State::requeue(
    const std::string& rowKey, Record& record, uint64_t expected, TimePoint now)
{
    record.expected = expected;
    enter(record, Phase::Queued, now);
    queue.push(record.request.organisation, rowKey);
}

void ClaimController::State::submit(Call call, StoreOperation operation, TimePoint now)
{
    call.answeredBy = now + lostAfterTimeouts * options.storeTimeout;
    const auto id = ++lastCall;
    calls.emplace(id, std::move(call));
    blackboard.storeOutbox.push_back({ .id = id,
        .user = StoreUser::Claims,
        .operation = std::move(operation),
        .timeout = options.storeTimeout });
}

void ClaimController::State::writeNext(TimePoint now)
{
    while (!queue.empty() && now >= storeRestsUntil && writesInFlight < options.maxWritesInFlight) {
        const auto room = std::min<size_t>(options.maxBatch, budget.available(now));
        if (room == 0)
            return;
        Call call { .kind = CallKind::Write };
        TableTransaction transaction;
        for (auto& rowKey : queue.take(room)) {
            const auto it = records.find(rowKey);
            // Given up, or queued anew, since it was pushed.
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
                .expectedVersion = record.expected });
            call.claims.emplace_back(rowKey, record.nonce);
            enter(record, Phase::Writing, now);
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

void ClaimController::State::readUnclear(TimePoint now)
{
    if (unclear.empty() || now < storeRestsUntil)
        return;
    Call call { .kind = CallKind::Read };
    TableRead read;
    while (!unclear.empty() && call.claims.size() < options.maxBatch) {
        const auto rowKey = *unclear.begin();
        unclear.erase(unclear.begin());
        auto& record = records.at(rowKey);
        enter(record, Phase::Reading, now);
        call.claims.emplace_back(rowKey, record.nonce);
        read.keys.push_back({ .table = claimsTable, .key = rowKey });
    }
    submit(std::move(call), std::move(read), now);
}

void ClaimController::State::expireCalls(TimePoint now)
{
    std::vector<std::pair<uint64_t, Call>> lost;
    for (const auto& [id, call] : calls) {
        if (now >= call.answeredBy)
            lost.emplace_back(id, call);
    }
    for (const auto& [id, call] : lost) {
        calls.erase(id);
        answered(call, { .id = id, .status = StoreStatus::Ambiguous }, now);
    }
}

ClaimController::State::Record* ClaimController::State::awaiting(
    const std::pair<std::string, uint64_t>& claim, Phase phase)
{
    const auto it = records.find(claim.first);
    const bool awaits = it != records.end() && it->second.nonce == claim.second && it->second.phase == phase;
    return awaits ? &it->second : nullptr;
}

void ClaimController::State::answered(const Call& call, const StoreReply& reply, TimePoint now)
{
    const bool failed = reply.status == StoreStatus::Unavailable || reply.status == StoreStatus::Ambiguous;
    if (failed)
        storeRestsUntil = now + restAfterFailure;
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
        auto* record = awaiting(call.claims[i], isWrite ? Phase::Writing : Phase::Reading);
        if (record == nullptr)
            continue;
        const auto& rowKey = call.claims[i].first;
        if (isWrite && reply.status == StoreStatus::Done) {
            hold(*record, now);
        } else if (isWrite && reply.status == StoreStatus::Unavailable) {
            requeue(rowKey, *record, record->expected, now);
        } else if (failed || i >= reply.rows.size()) {
            enter(*record, Phase::Unclear, now);
            unclear.insert(rowKey);
        } else {
            judgeRow(rowKey, *record, reply.rows[i], now);
        }
    }
}

void ClaimController::State::judgeRow(
    const std::string& rowKey, Record& record, const std::optional<TableRow>& row, TimePoint now)
{
    // Written again with the same nonce: should an earlier write still land, it is this claim all the same.
    if (!row)
        return requeue(rowKey, record, 0, now);
    const auto found = parseClaimRow(row->value);
    if (!found)
        return refuseElsewhere(rowKey, ResultCode::ClaimHolderGone, Ran::Unknown);
    if (found->nonce == record.nonce)
        return hold(record, now);
    if (record.deadNonces.contains(found->nonce) || isExpired(*found))
        return requeue(rowKey, record, row->version, now);
    if (found->bodyHash != record.request.bodyHash)
        return refuseElsewhere(rowKey, ResultCode::IdempotencyKeyReused, Ran::No);
    // A row of this daemon that it does not know is that of an earlier process, or was forgotten.
    if (found->daemon == blackboard.self)
        return refuseElsewhere(rowKey, ResultCode::ClaimHolderGone, Ran::Unknown);
    follow(rowKey, record, *found, row->version, now);
}

} // namespace lentilbay
