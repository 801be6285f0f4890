// The newest report of each daemon on one rollout, kept by the daemons that may coordinate it next.
//
// The coordinator's counts are in memory, and those of a daemon that is killed are in nobody's later reports.
// In a small fleet they are a large part of what is known of the new version: without them, a bad version
// looks good if the coordinator is killed as well.
#pragma once

#include "lentilbay/Policy/Rollout.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay::edge {

class RolloutReportLog {
public:
    struct Entry {
        RolloutReport report;
        TimePoint receivedAt {};
    };

    /// Keeps the report if it is newer than the one that is known of its sender.
    void add(const RolloutReport& report, TimePoint now);
    /// One for each incarnation of a daemon.
    std::vector<Entry> all() const;
    /// The reports of incarnations that have sent none for a while, and may have ended.
    std::vector<RolloutReport> ofSilent(TimePoint now) const;

private:
    std::map<std::pair<std::string, uint64_t>, Entry> m_entries;
};

} // namespace lentilbay::edge
