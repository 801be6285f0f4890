// Judging silent daemons from what stood in the table long enough.
#include "SilenceJudge.h"

#include "ConfigurationRows.h"

#include <set>
#include <utility>

namespace lentilbay {
namespace {

/// How long a version was known before acknowledgements of it are expected everywhere.
constexpr Duration acknowledgementTime = std::chrono::seconds(3);

} // namespace

SilenceJudge::SilenceJudge(ConfigurationContext& context, FloorRecorder& recorder)
    : m_context(context)
    , m_recorder(recorder)
{
}

void SilenceJudge::step(const Roster& roster, uint64_t newestVersion, TimePoint now)
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
            judge(roster);
        });
    const auto kept = now - m_context.options.countOutDelay - 2 * acknowledgementTime;
    while (m_observations.size() > 1 && m_observations[1].at < kept)
        m_observations.pop_front();
}

const SilenceJudge::Observation* SilenceJudge::observationAt(TimePoint time) const
{
    const Observation* out = nullptr;
    for (const auto& it : m_observations) {
        if (it.at <= time)
            out = &it;
    }
    return out;
}

void SilenceJudge::judge(const Roster& roster)
{
    const auto& latest = m_observations.back();
    const auto* voted = observationAt(latest.at - m_context.options.countOutDelay);
    const auto* known = voted == nullptr ? nullptr : observationAt(voted->at - acknowledgementTime);
    if (known == nullptr)
        return;
    const auto version = known->newestVersion;
    std::set<DaemonId> voters;
    for (const auto& [id, it] : voted->acknowledgements) {
        if (!it.inferred && it.floor >= version)
            voters.insert(id);
    }
    for (const auto& silent : membersBelow(roster, latest.acknowledgements, version)) {
        auto said = latest.acknowledgements.at(silent.id);
        if (silent.region != m_context.blackboard.region || roster.sequence < said.rosterSequence)
            continue;
        if (!mayCountOut(roster, silent, said, voters))
            continue;
        said.floor = version;
        said.inferred = true;
        m_recorder.note(silent.dataCentre, silent.id, said);
    }
}

} // namespace lentilbay
