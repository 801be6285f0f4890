// The daemons of this region, and the updates about them that are still to be gossiped.
#pragma once

#include "lentilbay/Control/MembershipMessages.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lentilbay {

/// Whether `candidate` is a later update about the same daemon than `known`.
bool supersedes(const MemberUpdate& candidate, const MemberUpdate& known);

class MemberTable {
public:
    struct Record {
        MemberUpdate update;
        /// When the current health state began, as observed here.
        TimePoint healthSince {};
        /// How often the update is still to be sent.
        uint32_t remainingSends = 0;
    };

    /// Stores the update and queues it for gossip if it supersedes the known one; returns whether it did.
    bool merge(const MemberUpdate& update, TimePoint now);
    const Record* find(const DaemonId& id) const;
    const std::map<DaemonId, Record>& records() const { return m_records; }
    std::vector<MemberUpdate> updates() const;

    /// Takes up to `count` updates, the least often sent first, and counts each as sent. An update about
    /// `about` comes first, unless that daemon is alive.
    std::vector<MemberUpdate> takeUpdates(size_t count, const std::optional<DaemonId>& about);

    /// Queues the update about a daemon for as many sends as a new one.
    void requeueUpdate(const DaemonId& id);

    /// Removes dead daemons after `retention`, and those dead the longest if there are more than `limit`.
    std::vector<DaemonId> removeDead(Duration retention, size_t limit, TimePoint now);
    /// Restarts the timeouts of all suspicions, after a pause in which this daemon could not read replies.
    void restartSuspicions(TimePoint now);

private:
    uint32_t sendsPerUpdate() const;

    std::map<DaemonId, Record> m_records;
};

} // namespace lentilbay
