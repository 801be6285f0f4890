// Records what each entry daemon demands, uses and may still hold of an owner's endpoints.
//
// A grant counts until its entry has acknowledged a later report or the grant has expired by the owner's
// clock. The owner counts from receipt of the demand report and the entry from sending it, so a grant never
// expires earlier at the owner than at the entry.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/SlotMessages.h"
#include "lentilbay/Control/SlotOptions.h"
#include "lentilbay/Control/SlotPlan.h"

#include <map>
#include <string>
#include <vector>

namespace lentilbay {

/// Returns the sum over all ranks.
uint32_t totalUse(const UseByRank& uses);

/// Upper bound, as known to the owner, of what an entry may hold of an endpoint.
struct Commitment {
    uint32_t slots = 0;
    /// The greatest rank (lowest tier) that any outstanding grant admits; -1 if there is none.
    int admittedRank = -1;
    UseByRank uses {};

    /// Returns the greatest rank with requests in flight; -1 if there is none.
    int lowestRunningRank() const;
    /// Records that a grant of `granted` slots for ranks up to `rank` may be outstanding.
    void addGrant(uint32_t granted, int rank);
};

/// What the owner knows of one entry daemon.
struct EntryRecord {
    struct SentGrant {
        uint64_t sequence = 0;
        TimePoint expiresAt;
        std::vector<EndpointGrant> grants;
    };

    struct Recalled {
        ServiceId service;
        uint32_t slots = 0;
        TimePoint until;
    };

    DemandReport report;
    /// The sender of the newest report; empty if the member table has its address.
    std::string address;
    /// When the newest report was received.
    TimePoint lastReportAt;
    /// Grant reports that the entry has not acknowledged yet.
    std::vector<SentGrant> unacknowledged;
    /// Recalled work that may still be running.
    std::vector<Recalled> recalled;
    TimePoint sentAt;
    bool replyPending = false;
    /// The last grant report sent, to detect changes.
    GrantReport last;
};

class SlotLedger {
public:
    explicit SlotLedger(SlotOptions options)
        : m_options(options)
    {
    }

    /// Records a demand report. Returns false and ignores it unless it is newer than the last one.
    bool recordDemand(
        const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now);
    void expireEntries(TimePoint now);
    void recordSent(EntryRecord& entry, const GrantReport& report, TimePoint now);
    /// Returns one commitment for each element of `positions`, which are positions in Blackboard::endpoints
    /// in ascending order.
    std::vector<Commitment> commitmentsOf(const EntryRecord& entry, const Blackboard& blackboard,
        const std::vector<size_t>& positions, TimePoint now) const;
    /// Returns whether all live daemons of the data centre have reported at or after `since`.
    bool allReportedSince(const Blackboard& blackboard, TimePoint since) const;
    /// Returns whether every daemon of the data centre that may still use endpoints has reported `view`
    /// within SlotOptions::occupancyLifetime.
    bool viewsAgree(const Blackboard& blackboard, uint64_t view, TimePoint now) const;

    std::map<DaemonId, EntryRecord>& entries() { return m_entries; }
    const std::map<DaemonId, EntryRecord>& entries() const { return m_entries; }

private:
    SlotOptions m_options;
    std::map<DaemonId, EntryRecord> m_entries;
};

} // namespace lentilbay
