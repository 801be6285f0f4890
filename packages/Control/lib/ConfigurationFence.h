// Decides whether this daemon may start work under the configuration in force. Private to Control.
//
// At each instant this needs at least one valid proof: a recent confirmation that the version is the newest,
// a quorum of reachable registered daemons, or, before this daemon is in the roster itself, a sponsor. The
// validity of each proof is counted from the time of the request, so a late reply shortens it and never
// extends it.
#pragma once

#include "ConfigurationContext.h"

#include <map>
#include <optional>
#include <vector>

namespace lentilbay {

class ConfigurationFence {
public:
    explicit ConfigurationFence(ConfigurationContext& context);

    /// The newest known version was confirmed to be the newest at that time.
    void noteHeadConfirmed(TimePoint at);
    /// A registered daemon answered a report that was sent at that time.
    void noteReachable(const DaemonId& id, TimePoint sentAt);
    /// The table holds an acknowledgement of this incarnation with this roster sequence.
    void noteRecorded(uint64_t rosterSequence, TimePoint now);
    /// A daemon that may start work itself holds its floor down to this daemon's, in answer to a report sent
    /// at that time.
    void noteSponsored(TimePoint sentAt);
    /// Adds a consistent snapshot of the roster.
    void noteRoster(Roster roster);

    /// Fences this daemon permanently, regardless of later proofs.
    void retire() { m_retired = true; }

    /// Recomputes the decision; call it before and after each event. `behindSince`: see ConfigurationReplica.
    void refresh(bool hasConfiguration, std::optional<TimePoint> behindSince, TimePoint now);

    bool isFenced() const { return m_fenced; }
    /// Whether this daemon is registered in the roster and has confirmed the newest version since then.
    bool isAdmitted() const { return m_admitted; }
    bool isRecorded() const { return m_recordedAt.has_value(); }
    std::optional<TimePoint> headConfirmedAt() const { return m_headConfirmedAt; }
    /// The newest snapshot, or nullptr if there is none.
    const Roster* roster() const { return m_rosters.empty() ? nullptr : &m_rosters.back(); }

private:
    TimePoint quorumUntil() const;
    TimePoint proofValidUntil() const;

    ConfigurationContext& m_context;
    std::optional<TimePoint> m_headConfirmedAt;
    std::optional<TimePoint> m_sponsoredAt;
    std::optional<TimePoint> m_recordedAt;
    std::map<DaemonId, TimePoint> m_reachableAt;
    /// The rosters that other daemons may compute quorums with, from the oldest to the newest. A quorum must
    /// hold in each of them.
    std::vector<Roster> m_rosters;
    TimePoint m_workUntil {};
    bool m_fenced = true;
    bool m_admitted = false;
    bool m_retired = false;
};

} // namespace lentilbay
