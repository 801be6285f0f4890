// Whether this daemon may start work under the configuration in force. Private to Control.
//
// Some support is needed at each instant: a recent proof that the version is the newest, a quorum of
// registered daemons in sight, or (before it stands in the roster itself) a daemon that answers for it. Every
// proof is dated by when this daemon asked, so a late answer is worth less and never more.
#pragma once

#include "ConfigurationContext.h"

#include <map>
#include <optional>
#include <vector>

namespace lentilbay {

class ConfigurationFence {
public:
    explicit ConfigurationFence(ConfigurationContext& context);

    /// The version that is known as the newest was the newest at that time.
    void noteFresh(TimePoint at);
    /// A registered daemon answered a report that was sent at that time.
    void noteSeen(const DaemonId& id, TimePoint sentAt);
    /// The table holds an acknowledgement of this incarnation with that roster sequence.
    void noteRecorded(uint64_t rosterSequence, TimePoint now);
    /// A daemon that takes work itself keeps its floor down to this daemon's, as of a report sent then.
    void noteSponsored(TimePoint sentAt);
    /// A consistent snapshot of the roster.
    void noteRoster(Roster roster);

    /// This daemon takes no new work any more, whatever is known later.
    void retire() { m_retired = true; }

    /// Decides anew; call it before and after each event. `behindSince`: see ConfigurationReplica.
    void refresh(bool hasConfiguration, std::optional<TimePoint> behindSince, TimePoint now);

    bool isFenced() const { return m_fenced; }
    /// Whether this daemon stands in the roster and has confirmed the newest version since.
    bool isAdmitted() const { return m_admitted; }
    bool isRecorded() const { return m_recordedAt.has_value(); }
    std::optional<TimePoint> freshAt() const { return m_freshAt; }
    /// The newest snapshot, or nullptr.
    const Roster* roster() const { return m_rosters.empty() ? nullptr : &m_rosters.back(); }

private:
    TimePoint quorumUntil() const;
    TimePoint supportedUntil() const;

    ConfigurationContext& m_context;
    std::optional<TimePoint> m_freshAt;
    std::optional<TimePoint> m_sponsoredAt;
    std::optional<TimePoint> m_recordedAt;
    std::map<DaemonId, TimePoint> m_seen;
    /// From the one that others count with (or an older one) to the newest. A quorum must hold in each.
    std::vector<Roster> m_rosters;
    TimePoint m_workUntil {};
    bool m_fenced = true;
    bool m_admitted = false;
    bool m_retired = false;
};

} // namespace lentilbay
