// Follows claims held by another daemon, querying it until it reports the outcome or is considered gone.
#include "ClaimState.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr auto claimsTable = "claims";
constexpr size_t maxReferencesPerQuery = 64;

} // namespace

void ClaimController::State::follow(
    const std::string& rowKey, Record& record, const ClaimRow& row, uint64_t version, TimePoint now)
{
    ++counters.heldElsewhere;
    decisions.emplace_back(ClaimHeldElsewhere { .id = record.request.id });
    setPhase(record, Phase::HeldElsewhere, now);
    record.holder = row;
    record.holderVersion = version;
    record.holderLastReport = now;
    record.nextQuery = now;
    followedKeys.insert(rowKey);
}

bool ClaimController::State::holderIsGone(const Record& record, TimePoint now) const
{
    if (now - record.holderLastReport >= options.holderTimeout)
        return true;
    const auto it = blackboard.members.find(record.holder.daemon);
    return it != blackboard.members.end()
        && (it->second.status == MemberStatus::Dead || it->second.incarnation > record.holder.incarnation);
}

void ClaimController::State::queryHolders(TimePoint now)
{
    std::map<std::pair<DaemonId, std::string>, ClaimQuery> queries;
    std::vector<std::string> gone;
    for (const auto& rowKey : followedKeys) {
        auto& record = records.at(rowKey);
        if (now < record.nextQuery)
            continue;
        if (holderIsGone(record, now)) {
            gone.push_back(rowKey);
            continue;
        }
        record.nextQuery = now + options.queryPeriod;
        auto& query = queries[{ record.holder.daemon, record.holder.address }];
        if (query.claims.size() < maxReferencesPerQuery)
            query.claims.push_back(
                { .rowKey = rowKey, .nonce = record.holder.nonce, .request = record.holder.request });
    }
    for (auto& [holder, query] : queries)
        blackboard.outbox.push_back(
            { .to = holder.first, .message = std::move(query), .address = holder.second });
    for (const auto& it : gone)
        refuse(it, ResultCode::ClaimHolderGone, Executed::Unknown);
}

void ClaimController::State::handleReport(const ClaimReport& report, TimePoint now)
{
    const auto& rowKey = report.claim.rowKey;
    const auto it = records.find(rowKey);
    if (it == records.end() || it->second.phase != Phase::HeldElsewhere
        || it->second.holder.nonce != report.claim.nonce)
        return;
    auto& record = it->second;
    record.holderLastReport = now;
    switch (report.state) {
    case ClaimState::Running:
        return;
    case ClaimState::Forgotten:
        return refuse(rowKey, ResultCode::ClaimHolderGone, Executed::Unknown);
    case ClaimState::Abandoned:
        // The holder never dispatches this nonce, so the row can be removed and a later attempt can claim the
        // key.
        submit({ .kind = CallKind::Remove },
            TableTransaction { .writes = { { .key = { .table = claimsTable, .key = rowKey },
                                   .expectedVersion = record.holderVersion } } },
            now);
        budget.spend(1);
        ++counters.rowsRemoved;
        return refuse(rowKey, ResultCode::ClaimReleased, Executed::No);
    case ClaimState::Finished:
        if (report.code != static_cast<uint16_t>(ResultCode::Ok))
            return refuse(rowKey, static_cast<ResultCode>(report.code), static_cast<Executed>(report.ran));
        decisions.emplace_back(ClaimAnswered { .id = record.request.id, .report = report });
        return erase(rowKey);
    }
}

} // namespace lentilbay
