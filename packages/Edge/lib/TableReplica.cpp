// Decides which rows of the store's answers are newer than what is known.
#include "lentilbay/Edge/TableReplica.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lentilbay::edge {
namespace {

/// A deletion this soon after an outage may be an entry that expired during it.
constexpr Duration postOutageWindow = std::chrono::seconds(3);
/// How long deleted rows are remembered. No copy that the store comes back from is this old.
constexpr Duration removedRowLifetime = std::chrono::seconds(120);
/// How many earlier values of a row are remembered.
constexpr size_t maxEarlierValues = 8;

} // namespace

bool TableReplica::enterEra(uint64_t era)
{
    if (era <= m_era)
        return false;
    m_era = era;
    forgetPosition();
    return true;
}

void TableReplica::forgetPosition()
{
    m_covered.reset();
    m_snapshot.clear();
    m_snapshotVersion.reset();
    m_nextPage.clear();
}

std::vector<RowChange> TableReplica::apply(const platform::StoreRows& rows, TimePoint now)
{
    assert(rows.version.era == m_era && "positions of different eras are not comparable");
    std::vector<RowChange> out;
    if (m_covered) {
        for (const auto& row : rows.rows)
            applyRow(row, now, out);
        m_covered = std::max(*m_covered, rows.version);
        return out;
    }
    if (!m_snapshotVersion)
        m_snapshotVersion = rows.version;
    for (const auto& row : rows.rows)
        m_snapshot[row.key] = row;
    if (rows.hasMore && !rows.rows.empty()) {
        // The smallest key after the last one is that key followed by a zero byte.
        m_nextPage = rows.rows.back().key + '\0';
        return out;
    }
    applySnapshot(now, out);
    return out;
}

void TableReplica::applyRow(const platform::StoreRow& row, TimePoint now, std::vector<RowChange>& out)
{
    m_changed = std::max(m_changed, row.version);
    if (row.isDeleted) {
        remove(row.key, row.version, now, out);
        return;
    }
    const auto it = m_rows.find(row.key);
    if (it != m_rows.end() && row.version < it->second.version)
        return;
    write(row, out);
}

void TableReplica::write(const platform::StoreRow& row, std::vector<RowChange>& out)
{
    Known known { .version = row.version, .valueHash = hashOf(row.value) };
    if (const auto* before = find(row.key)) {
        known.earlierHashes = before->earlierHashes;
        if (before->valueHash && before->valueHash != known.valueHash)
            known.earlierHashes.push_back(*before->valueHash);
        std::erase(known.earlierHashes, *known.valueHash);
        if (known.earlierHashes.size() > maxEarlierValues)
            known.earlierHashes.erase(known.earlierHashes.begin());
    }
    if (m_options.keepsValues)
        known.value = row.value;
    m_deletions.erase(row.key);
    m_withheld.erase(row.key);
    m_removed.erase(row.key);
    m_rows[row.key] = std::move(known);
    out.push_back({ .kind = RowChange::Kind::Written, .row = row });
}

const TableReplica::Known* TableReplica::find(const std::string& key) const
{
    if (const auto it = m_rows.find(key); it != m_rows.end())
        return &it->second;
    const auto it = m_removed.find(key);
    return it == m_removed.end() ? nullptr : &it->second.known;
}

bool TableReplica::mayBeOlder(const platform::StoreRow& row) const
{
    const auto* known = find(row.key);
    if (!known || known->version.era == row.version.era)
        return false;
    return row.version.number < known->version.number
        || std::ranges::find(known->earlierHashes, hashOf(row.value)) != known->earlierHashes.end();
}

bool TableReplica::isWithheld(const platform::StoreRow& row) const
{
    return m_options.copiedRowDelay > Duration::zero() && mayBeOlder(row)
        && !(m_options.isHarmless && m_options.isHarmless(row));
}

void TableReplica::applySnapshot(TimePoint now, std::vector<RowChange>& out)
{
    for (const auto& [key, row] : m_snapshot) {
        m_changed = std::max(m_changed, row.version);
        const auto it = m_rows.find(key);
        if (it != m_rows.end()) {
            m_deletions.erase(key);
            if (row.version <= it->second.version)
                continue;
            const bool isOfFormerEra = it->second.version.era < row.version.era;
            if (isOfFormerEra && hashOf(row.value) == it->second.valueHash) {
                it->second.version = row.version;
                m_withheld.erase(key);
                if (key == m_options.rowOfEachEra)
                    out.push_back({ .kind = RowChange::Kind::Written, .row = row });
                continue;
            }
        }
        if (isWithheld(row))
            m_withheld[key] = { .row = row, .until = now + m_options.copiedRowDelay };
        else
            write(row, out);
    }
    const auto known = m_rows;
    for (const auto& [key, it] : known) {
        if (m_snapshot.contains(key))
            continue;
        const bool isLost = it.version.era < m_era;
        if (!isLost) {
            remove(key, it.version, now, out);
            continue;
        }
        const Deletion deletion { .version = it.version, .dueAt = now + m_options.deletionDelay };
        if (m_options.forgetsLostRows)
            m_rows.erase(key);
        else if (!m_deletions.try_emplace(key, deletion).second)
            continue;
        out.push_back({ .kind = RowChange::Kind::Lost, .row = { .key = key } });
    }
    std::erase_if(m_withheld, [&](const auto& it) { return !m_snapshot.contains(it.first); });
    // The snapshot does not show rows that were deleted before, so all of it counts as changed.
    m_changed = std::max(m_changed, *m_snapshotVersion);
    m_covered = m_snapshotVersion;
    m_snapshot.clear();
    m_snapshotVersion.reset();
    m_nextPage.clear();
}

void TableReplica::remove(
    const std::string& key, StoreVersion version, TimePoint now, std::vector<RowChange>& out)
{
    m_withheld.erase(key);
    const bool followsOutage = m_reconnectedAt != TimePoint {} && now - m_reconnectedAt < postOutageWindow;
    if (followsOutage && m_lastOutage >= m_options.minOutageToExpire
        && m_options.deletionDelay > Duration::zero()) {
        m_deletions.try_emplace(
            key, Deletion { .version = version, .dueAt = m_reconnectedAt + m_options.deletionDelay });
        return;
    }
    removeNow(key, version, now, out);
}

void TableReplica::removeNow(
    const std::string& key, StoreVersion version, TimePoint now, std::vector<RowChange>& out)
{
    m_deletions.erase(key);
    Known known;
    if (const auto* before = find(key))
        known = *before;
    if (known.valueHash)
        known.earlierHashes.push_back(*std::exchange(known.valueHash, std::nullopt));
    known.version = std::max(known.version, version);
    known.value.clear();
    m_rows.erase(key);
    std::erase_if(m_removed, [&](const auto& it) { return now - it.second.at > removedRowLifetime; });
    m_removed[key] = { .known = std::move(known), .at = now };
    out.push_back({ .kind = RowChange::Kind::Deleted, .row = { .key = key } });
}

bool TableReplica::applyPeerView(StoreVersion covered, StoreVersion changed)
{
    assert(m_covered && covered.era == m_era && "a view of another era says nothing about this one");
    if (changed > *m_covered)
        return false;
    m_covered = std::max(*m_covered, covered);
    return true;
}

std::optional<std::vector<RowChange>> TableReplica::applyPeerRows(const ReplicaRows& peer, TimePoint now)
{
    const auto& rows = peer.rows;
    assert(rows.version.era == m_era && "rows of another era say nothing about this one");
    if (m_covered && rows.version < *m_covered)
        return std::nullopt;
    forgetPosition();
    m_snapshotVersion = rows.version;
    // The peer may list rows whose deletion this replica has applied or delays, because the peer delays it.
    // Such a row does not undo the deletion unless it is newer.
    const auto deletions = m_deletions;
    for (const auto& row : rows.rows) {
        const auto it = m_removed.find(row.key);
        const bool isRemoved = it != m_removed.end()
            && (row.version <= it->second.known.version || peer.delayedDeletions.contains(row.key));
        if (!isRemoved)
            m_snapshot[row.key] = row;
    }
    std::vector<RowChange> out;
    applySnapshot(now, out);
    for (const auto& [key, deletion] : deletions) {
        if (const auto it = m_rows.find(key); it != m_rows.end() && it->second.version <= deletion.version)
            m_deletions.try_emplace(key, deletion);
    }
    for (const auto& [key, left] : peer.delayedDeletions) {
        // After the history was lost, a list may be older than what has been read.
        if (const auto it = m_rows.find(key); it != m_rows.end() && it->second.version <= rows.version)
            m_deletions.try_emplace(key, Deletion { .version = rows.version, .dueAt = now + left });
    }
    return out;
}

std::optional<ReplicaRows> TableReplica::rows(TimePoint now) const
{
    assert(m_options.keepsValues && "the values are not known");
    if (!m_covered)
        return std::nullopt;
    ReplicaRows out { .rows = { .version = *m_covered } };
    out.rows.rows.reserve(m_rows.size());
    for (const auto& [key, it] : m_rows) {
        // A version of a former era is lower than all of this one for a reader that has read neither.
        const auto version = it.version.era == m_era ? it.version : StoreVersion { .era = m_era };
        out.rows.rows.push_back({ .key = key, .value = it.value, .version = version });
    }
    for (const auto& [key, it] : m_deletions)
        out.delayedDeletions[key] = std::max(Duration::zero(), it.dueAt - now);
    return out;
}

void TableReplica::reconnected(Duration outage, TimePoint now)
{
    m_reconnectedAt = now;
    m_lastOutage = outage;
}

std::vector<RowChange> TableReplica::takeDue(std::optional<TimePoint> completeAsOf, TimePoint now)
{
    std::vector<RowChange> out;
    const auto deletions = m_deletions;
    for (const auto& [key, it] : deletions) {
        if (it.dueAt <= now && completeAsOf >= it.dueAt)
            removeNow(key, it.version, now, out);
    }
    const auto withheld = m_withheld;
    for (const auto& [key, it] : withheld) {
        if (it.until <= now)
            write(it.row, out);
    }
    return out;
}

} // namespace lentilbay::edge
