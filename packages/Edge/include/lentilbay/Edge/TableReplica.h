// A daemon's copy of one table of the platform's store: which rows exist, and how new each of them is.
//
// A row, a snapshot and a peer's view are compared by their StoreVersion alone. The store may come back from
// an older copy of itself, in a new era. The copy may contain rows that are older than what this daemon has
// read, and lack rows that were written since; the operator and the endpoints write those again, with other
// version numbers. Therefore:
// - The first snapshot of an era replaces nothing that is newer. A row that differs from the known one and
// has
//   a lower version number may be older, or may have been written again already. Unless its reader can tell
//   from its content that it does no harm, it is withheld until it is written again, or for a time after
//   which it has to be true.
// - A known row that the snapshot lacks is lost, not deleted, and is deleted only if nobody writes it again.
#pragma once

#include "lentilbay/Support/Time.h"
#include "lentilbay/platform/StoreCalls.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay::edge {

struct TableReplicaOptions {
    /// How long a deletion is delayed after an outage or a change of the era, because the owner of the row
    /// may write it again.
    Duration deletionDelay {};
    /// No row expires in a shorter outage, so deletions after it are not delayed.
    Duration minOutageToExpire {};
    /// How long a row of an older copy is withheld; zero: such rows are applied at once.
    Duration copiedRowDelay {};
    /// Whether a row that may be older than the known one does no harm; none: no such row.
    std::function<bool(const platform::StoreRow&)> isHarmless = {};
    /// Rows that the store has lost are reported as lost only, and not deleted later: the reader of the table
    /// writes them itself.
    bool forgetsLostRows = false;
    /// The key of a row whose reader must know what each era's snapshot contains, also if the row has not
    /// changed; empty: none.
    std::string rowOfEachEra;
    /// Whether the values of the rows are kept, so that another daemon can read them from this one.
    bool keepsValues = false;
};

/// A change of a row for the reader of the table.
struct RowChange {
    enum class Kind : uint8_t {
        Written,
        Deleted,
        /// The store has lost the row; it is deleted later unless it is written again.
        Lost,
    };

    Kind kind = Kind::Written;
    /// Only the key is set unless the row was written.
    platform::StoreRow row;

    auto operator<=>(const RowChange&) const = default;
};

/// The rows of a replica for another daemon.
struct ReplicaRows {
    /// With those that the store has deleted, but whose deletion is delayed.
    platform::StoreRows rows;
    /// By key, the time left until each of those is deleted.
    std::map<std::string, Duration> delayedDeletions;
};

class TableReplica {
public:
    explicit TableReplica(TableReplicaOptions options)
        : m_options(std::move(options))
    {
    }

    /// The version up to which the replica is complete; std::nullopt if a snapshot must be read.
    std::optional<StoreVersion> covered() const { return m_covered; }
    /// The version of the newest change in the replica.
    StoreVersion changed() const { return m_changed; }
    uint64_t era() const { return m_era; }
    /// Where the next page of a snapshot begins; empty for the first page.
    const std::string& nextPage() const { return m_nextPage; }

    /// Records the store's era. Returns whether it is later than the known one, and a snapshot must be read.
    bool enterEra(uint64_t era);
    /// Drops the position in the history, so that a snapshot is read; the rows are kept.
    void forgetPosition();
    /// Applies the store's answer to the call that is due: a page of a snapshot, or changes since covered().
    /// It must be of the current era.
    std::vector<RowChange> apply(const platform::StoreRows& rows, TimePoint now);
    /// The view of a peer that is complete up to `covered` and has no change after `changed`, in the current
    /// era. Returns false if it has a change that this replica lacks.
    bool applyPeerView(StoreVersion covered, StoreVersion changed);
    /// Applies all rows of a peer's replica, in the current era. Returns std::nullopt if they are older than
    /// this replica.
    std::optional<std::vector<RowChange>> applyPeerRows(const ReplicaRows& peer, TimePoint now);
    /// The rows as they apply at `now`, and the version up to which they are complete. Needs `keepsValues`.
    std::optional<ReplicaRows> rows(TimePoint now) const;
    /// Records that the store was reached again, after `outage` in which nobody is known to have read it.
    void reconnected(Duration outage, TimePoint now);
    /// Returns the delayed changes that are due; deletions only if the replica is known to be complete as of
    /// their time.
    std::vector<RowChange> takeDue(std::optional<TimePoint> completeAsOf, TimePoint now);
    /// Whether takeDue() may return something later.
    bool hasDelayedChanges() const { return !m_deletions.empty() || !m_withheld.empty(); }

private:
    /// What is known of a row. The hashes of earlier values tell rows of an older copy from new ones if the
    /// copy was made in an earlier era, whose version numbers are not comparable.
    struct Known {
        StoreVersion version;
        /// Of the current value; not set if the row was deleted.
        std::optional<uint64_t> valueHash;
        std::vector<uint64_t> earlierHashes;
        /// Empty unless values are kept.
        std::string value;
    };
    struct Withheld {
        platform::StoreRow row;
        TimePoint until {};
    };
    struct Removed {
        Known known;
        TimePoint at {};
    };

    void applySnapshot(TimePoint now, std::vector<RowChange>& out);
    void applyRow(const platform::StoreRow& row, TimePoint now, std::vector<RowChange>& out);
    void write(const platform::StoreRow& row, std::vector<RowChange>& out);
    const Known* find(const std::string& key) const;
    /// Whether a row of the first snapshot of an era may be older than what is known of it.
    bool mayBeOlder(const platform::StoreRow& row) const;
    bool isWithheld(const platform::StoreRow& row) const;
    void remove(const std::string& key, StoreVersion version, TimePoint now, std::vector<RowChange>& out);
    void removeNow(const std::string& key, StoreVersion version, TimePoint now, std::vector<RowChange>& out);

    TableReplicaOptions m_options;
    uint64_t m_era = 0;
    std::optional<StoreVersion> m_covered;
    StoreVersion m_changed;
    /// While a snapshot is read: the rows so far, and the version of its first page.
    std::map<std::string, platform::StoreRow> m_snapshot;
    std::optional<StoreVersion> m_snapshotVersion;
    std::string m_nextPage;
    std::map<std::string, Known> m_rows;
    /// Rows that were deleted recently. A copy of the store may still contain them.
    std::map<std::string, Removed> m_removed;
    std::map<std::string, Withheld> m_withheld;
    struct Deletion {
        StoreVersion version;
        TimePoint dueAt {};
    };
    std::map<std::string, Deletion> m_deletions;
    TimePoint m_reconnectedAt {};
    Duration m_lastOutage {};
};

} // namespace lentilbay::edge
