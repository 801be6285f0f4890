// What an owner knows of the entries that use its endpoints: what they want, use and may still hold.
//
// A grant counts until its entry has acknowledged a later report or it has lapsed by the owner's clock, which
// is never earlier than by the entry's.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/SlotMessages.h"
#include "lentilbay/Control/SlotOptions.h"
#include "lentilbay/Control/SlotPlan.h"

#include <map>
#include <string>
#include <vector>

namespace lentilbay {

/// The sum over all ranks.
uint32_t totalUse(const UseByRank& uses);

/// What an entry may hold of an endpoint, by all that the owner knows.
struct Commitment {
    uint32_t slots = 0;
    /// The greatest rank that a grant still out admits, or -1 where none is out.
    int admittedRank = -1;
    UseByRank uses {};

    /// The greatest rank that runs, or -1.
    int lowestRunningRank() const;
    /// A grant of so many slots, for work down to this rank, may be out.
    void note(uint32_t granted, int rank);
};

struct LedgerEntry {
    struct SentGrant {
        uint64_t sequence = 0;
        TimePoint lapses;
        std::vector<EndpointGrant> grants;
    };

    struct Recalled {
        ServiceId service;
        uint32_t slots = 0;
        TimePoint until;
    };

    DemandReport report;
    /// Where the newest report came from; empty where the members know it.
    std::string address;
    /// When the newest report came.
    TimePoint heardAt;
    /// The grant reports that the entry has not acknowledged yet.
    std::vector<SentGrant> unacknowledged;
    /// Recalled work that may not have ended yet.
    std::vector<Recalled> recalled;
    TimePoint sentAt;
    bool owesAnswer = false;
    /// What the last report said, to see what is new.
    GrantReport last;
};

class SlotLedger {
public:
    explicit SlotLedger(SlotOptions options)
        : m_options(options)
    {
    }

    /// Takes in a report; returns false for one that is older than one already seen.
    bool hear(const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now);
    void forgetSilent(TimePoint now);
    void noteSent(LedgerEntry& entry, const GrantReport& report, TimePoint now);
    /// One for each of the endpoints, which are given by their positions in the blackboard in ascending
    /// order.
    std::vector<Commitment> commitmentsOf(const LedgerEntry& entry, const Blackboard& blackboard,
        const std::vector<size_t>& positions, TimePoint now) const;
    /// Whether all live daemons of the data centre have reported at or after an instant.
    bool hasHeardAll(const Blackboard& blackboard, TimePoint since) const;
    /// Whether all daemons of the data centre that may still use endpoints have lately reported the same
    /// view.
    bool viewsAgree(const Blackboard& blackboard, uint64_t view, TimePoint now) const;

    std::map<DaemonId, LedgerEntry>& entries() { return m_entries; }
    const std::map<DaemonId, LedgerEntry>& entries() const { return m_entries; }

private:
    SlotOptions m_options;
    std::map<DaemonId, LedgerEntry> m_entries;
};

} // namespace lentilbay
