// Decides whether this daemon may start work.
#include "ConfigurationFence.h"

#include <set>
#include <utility>

namespace lentilbay {

ConfigurationFence::ConfigurationFence(ConfigurationContext& context)
    : m_context(context)
{
    m_context.blackboard.fenced = true;
    m_context.blackboard.workAllowedUntil = TimePoint();
}

void ConfigurationFence::noteHeadConfirmed(TimePoint at)
{
    if (!m_headConfirmedAt || at > *m_headConfirmedAt)
        m_headConfirmedAt = at;
}

void ConfigurationFence::noteReachable(const DaemonId& id, TimePoint sentAt)
{
    auto& reachableAt = m_reachableAt[id];
    reachableAt = std::max(reachableAt, sentAt);
}

void ConfigurationFence::noteRecorded(uint64_t rosterSequence, TimePoint now)
{
    if (!m_recordedAt)
        m_recordedAt = now;
    while (m_rosters.size() > 1 && m_rosters.front().sequence < rosterSequence)
        m_rosters.erase(m_rosters.begin());
}

void ConfigurationFence::noteSponsored(TimePoint sentAt)
{
    if (!m_sponsoredAt || sentAt > *m_sponsoredAt)
        m_sponsoredAt = sentAt;
}

void ConfigurationFence::noteRoster(Roster roster)
{
    if (m_rosters.empty() || roster.sequence > m_rosters.back().sequence)
        m_rosters.push_back(std::move(roster));
    else if (roster.sequence == m_rosters.back().sequence)
        m_rosters.back() = std::move(roster);
}

TimePoint ConfigurationFence::quorumUntil() const
{
    std::vector<std::pair<TimePoint, DaemonId>> latestFirst;
    for (const auto& [id, at] : m_reachableAt)
        latestFirst.emplace_back(at, id);
    std::sort(latestFirst.rbegin(), latestFirst.rend());
    std::set<DaemonId> reachable { m_context.blackboard.self };
    const auto isQuorum = [&] {
        return !m_rosters.empty()
            && std::all_of(m_rosters.begin(), m_rosters.end(), [&](const Roster& roster) {
                   return reachesQuorum(roster, m_context.blackboard.region, reachable);
               });
    };
    if (isQuorum())
        return TimePoint::max();
    for (const auto& [at, id] : latestFirst) {
        reachable.insert(id);
        if (isQuorum())
            return at + m_context.options.freshnessPeriod;
    }
    return TimePoint();
}

TimePoint ConfigurationFence::proofValidUntil() const
{
    TimePoint until;
    if (m_sponsoredAt)
        until = *m_sponsoredAt + m_context.options.freshnessPeriod;
    if (!m_admitted)
        return until;
    if (m_headConfirmedAt)
        until = std::max(until, *m_headConfirmedAt + m_context.options.freshnessPeriod);
    return std::max(until, quorumUntil());
}

void ConfigurationFence::refresh(bool hasConfiguration, std::optional<TimePoint> behindSince, TimePoint now)
{
    const bool isConfirmed = m_recordedAt && m_headConfirmedAt && *m_headConfirmedAt >= *m_recordedAt;
    m_admitted = m_admitted || (isConfirmed && !behindSince);
    // Checks expiry before looking at new proofs: a proof that arrives after expiry must not hide the gap.
    if (now >= m_workUntil)
        m_fenced = true;
    auto until = proofValidUntil();
    if (m_retired || (m_fenced && (!hasConfiguration || behindSince)))
        until = TimePoint();
    if (behindSince)
        until = std::min(until, *behindSince + m_context.options.applyGracePeriod);
    m_workUntil = until;
    m_fenced = now >= until;
    m_context.blackboard.fenced = m_fenced;
    m_context.blackboard.workAllowedUntil = m_workUntil;
}

} // namespace lentilbay
