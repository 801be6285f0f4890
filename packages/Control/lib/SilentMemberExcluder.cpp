// Excludes silent daemons, based on acknowledgements that have been in the table for long enough.
#include "SilentMemberExcluder.h"

#include "ConfigurationRows.h"

#include <set>
#include <utility>

namespace lentilbay {
namespace {

/// How long after a version became known its acknowledgements are expected in the table.
constexpr Duration expectedAcknowledgementDelay = std::chrono::seconds(3);

} // namespace

SilentMemberExcluder::SilentMemberExcluder(
    ConfigurationContext& context, AcknowledgementWriter& acknowledgementWriter)
    : m_context(context)
    , m_acknowledgementWriter(acknowledgementWriter)
{
}

void SilentMemberExcluder::step(const Roster& roster, uint64_t newestVersion, TimePoint now)
{
    if (m_busy)
        return;
    std::set<DataCentreId> centres;
    for (const auto& member : roster.members)
        centres.insert(member.dataCentre);
    TableRead read;
    for (const auto& centre : centres)
        read.keys.push_back(floorKey(centre));
    m_busy = true;
    m_context.store.call(
        std::move(read), [this, roster, newestVersion](const StoreReply& reply, TimePoint at) {
            m_busy = false;
            if (reply.status != StoreStatus::Done)
                return;
            Observation observation { .at = at, .newestVersion = newestVersion, .acknowledgements = {} };
            for (const auto& row : reply.rows) {
                for (const auto& [id, it] : parseFloors(row).value_or(Acknowledgements()))
                    mergeAcknowledgement(observation.acknowledgements, id, it);
            }
            m_observations.push_back(std::move(observation));
            excludeSilent(roster);
        });
    const auto oldestNeeded = now - m_context.options.exclusionDelay - 2 * expectedAcknowledgementDelay;
    while (m_observations.size() > 1 && m_observations[1].at < oldestNeeded)
        m_observations.pop_front();
}

const SilentMemberExcluder::Observation* SilentMemberExcluder::observationAt(TimePoint time) const
{
    const Observation* out = nullptr;
    for (const auto& it : m_observations) {
        if (it.at <= time)
            out = &it;
    }
    return out;
}

void SilentMemberExcluder::excludeSilent(const Roster& roster)
{
    const auto& latest = m_observations.back();
    const auto* atVote = observationAt(latest.at - m_context.options.exclusionDelay);
    const auto* beforeVote
        = atVote == nullptr ? nullptr : observationAt(atVote->at - expectedAcknowledgementDelay);
    if (beforeVote == nullptr)
        return;
    const auto version = beforeVote->newestVersion;
    std::set<DaemonId> voters;
    for (const auto& [id, it] : atVote->acknowledgements) {
        if (!it.inferred && it.floor >= version)
            voters.insert(id);
    }
    for (const auto& silent : membersBelow(roster, latest.acknowledgements, version)) {
        auto acknowledgement = latest.acknowledgements.at(silent.id);
        if (silent.region != m_context.blackboard.region || roster.sequence < acknowledgement.rosterSequence)
            continue;
        if (!canExclude(roster, silent, acknowledgement, voters))
            continue;
        acknowledgement.floor = version;
        acknowledgement.inferred = true;
        m_acknowledgementWriter.record(silent.dataCentre, silent.id, acknowledgement);
    }
}

} // namespace lentilbay
