// Removes rows whose retention has ended. One daemon of each region scans the table, one page at a time.
#include "ClaimState.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr auto claimsTable = "claims";
/// Time between two pages of one scan.
constexpr Duration pageInterval = std::chrono::seconds(1);

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
    if (scanning || now < nextScan || now < storeBackoffUntil)
        return;
    nextScan = now + options.cleanupPeriod;
    if (!isCleaner())
        return;
    scanning = true;
    submit({ .kind = CallKind::Scan },
        TableScan { .table = claimsTable, .after = scanAfterKey, .limit = options.cleanupPage }, now);
}

void ClaimController::State::removeExpired(const StoreReply& page, TimePoint now)
{
    TableTransaction removal;
    for (const auto& it : page.rows) {
        if (!it)
            continue;
        scanAfterKey = it->key;
        const auto row = parseClaimRow(it->value);
        if (row && isExpired(*row) && removal.writes.size() < options.maxBatch)
            removal.writes.push_back(
                { .key = { .table = claimsTable, .key = it->key }, .expectedVersion = it->version });
    }
    if (page.rows.size() < options.cleanupPage)
        scanAfterKey.clear();
    else
        nextScan = now + pageInterval;
    if (removal.writes.empty())
        return;
    budget.spend(removal.writes.size());
    counters.rowsRemoved += removal.writes.size();
    submit({ .kind = CallKind::Remove }, std::move(removal), now);
}

} // namespace lentilbay
