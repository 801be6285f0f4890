// The rows in which the daemons announce their addresses in the platform's store, where nothing expires.
//
// A daemon that starts takes each listed daemon for one that may be admitting unheard, and reserves a share
// of the quotas for it. Therefore a daemon deletes its row when it stops, and one of the others deletes the
// rows of those that were lost. Rows are deleted only in the version that was read: a daemon that has
// announced itself again since then stays listed. A daemon whose row was deleted although it lives, because
// it was cut off from the others for long, finds it missing and announces itself again, whereby they learn of
// each other again.
#pragma once

#include "lentilbay/Edge/PeerHeartbeat.h"

#include <map>
#include <optional>
#include <string>

namespace lentilbay::edge {

class DaemonRoster {
public:
    explicit DaemonRoster(std::string self)
        : m_self(std::move(self))
    {
    }

    struct Row {
        std::string daemon;
        /// The version of the row in the store.
        uint64_t version = 0;

        auto operator<=>(const Row&) const = default;
    };

    /// Records a row that was read.
    void recordRow(const Row& row) { m_versions[row.daemon] = row.version; }
    /// Records that a row is not in the store any more, or not in the version that was read.
    void forgetRow(const std::string& daemon) { m_versions.erase(daemon); }
    /// Forgets all rows, because the store has come back from a copy and gives out versions again.
    void clear() { m_versions.clear(); }
    /// This daemon's own row, if it has been read.
    std::optional<Row> ownRow() const;
    /// A row to be deleted by this daemon, if there is one: of a daemon that has been forgotten, as it was
    /// silent for so long. Of the daemons that hear each other, the one with the least name deletes them.
    std::optional<Row> nextStale(const PeerTable& peers) const;

private:
    std::string m_self;
    std::map<std::string, uint64_t> m_versions;
};

} // namespace lentilbay::edge
