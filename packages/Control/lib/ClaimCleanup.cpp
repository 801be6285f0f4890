// Removes rows whose retention has ended: one daemon of each region looks, a page at a time.
#include "ClaimState.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr auto claimsTable = "claims";
/// Between two pages of one pass.
constexpr Duration pagePeriod = std::chrono::seconds(1);

} // namespace

bool ClaimController::State::isCleaner() const
{
    const auto own = rendezvousWeight(claimsTable, blackboard.self.text());
    return std::none_of(blackboard.members.begin(), blackboard.members.end(), [&](const auto& it) {
        const auto& [id, member] = it;
        return id != blackboard.self && member.region == blackboard.region
            && member.status == MemberStatus::Alive && rendezvousWeight(claimsTable, id.text()) > own;
    });
}

void ClaimController::State::scanForExpired(TimePoint now)
{
    if (scanning || now < nextScan || now < storeRestsUntil)
        return;
    nextScan = now + options.cleanupPeriod;
    if (!isCleaner())
        return;
    scanning = true;
    submit({ .kind = CallKind::Scan },
        TableScan { .table = claimsTable, .after = scanAfter, .limit = options.cleanupPage }, now);
}

void ClaimController::State::removeExpired(const StoreReply& page, TimePoint now)
{
    TableTransaction removal;
    for (const auto& it : page.rows) {
        if (!it)
            continue;
        scanAfter = it->key;
        const auto row = parseClaimRow(it->value);
        if (row && isExpired(*row) && removal.writes.size() < options.maxBatch)
            removal.writes.push_back(
                { .key = { .table = claimsTable, .key = it->key }, .expectedVersion = it->version });
    }
    if (page.rows.size() < options.cleanupPage)
        scanAfter.clear();
    else
        nextScan = now + pagePeriod;
    if (removal.writes.empty())
        return;
    budget.spend(removal.writes.size());
    counters.rowsRemoved += removal.writes.size();
    submit({ .kind = CallKind::Remove }, std::move(removal), now);
}

} // namespace lentilbay
