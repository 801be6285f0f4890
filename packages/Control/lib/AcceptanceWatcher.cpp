// Computes how far a version is accepted, from the roster and the acknowledgements stored in the table.
#include "AcceptanceWatcher.h"

#include "ConfigurationRows.h"

#include <set>
#include <utility>

namespace lentilbay {
namespace {

constexpr Duration readInterval = std::chrono::milliseconds(250);

} // namespace

AcceptanceWatcher::AcceptanceWatcher(ConfigurationContext& context)
    : m_context(context)
    , m_scan(context)
{
}

void AcceptanceWatcher::step(const ConfigurationHead& newest, TimePoint now)
{
    if (m_busy || now >= m_watchUntil || now < m_nextRead)
        return;
    m_busy = true;
    m_nextRead = now + readInterval;
    // The scan starts after the version was committed. A daemon that registers later reads the head later
    // still, so it never starts work under an older version.
    m_scan.begin([this, version = newest.version](std::optional<Roster> roster, TimePoint) {
        m_busy = roster.has_value();
        if (roster)
            readFloors(*roster, version);
    });
}

void AcceptanceWatcher::readFloors(const Roster& roster, uint64_t newest)
{
    std::set<DataCentreId> centres;
    for (const auto& member : roster.members)
        centres.insert(member.dataCentre);
    TableRead read;
    for (const auto& centre : centres)
        read.keys.push_back(floorKey(centre));
    m_context.store.call(std::move(read), [this, roster, newest](const StoreReply& reply, TimePoint) {
        m_busy = false;
        if (reply.status != StoreStatus::Done)
            return;
        Acknowledgements acknowledgements;
        for (const auto& row : reply.rows) {
            const auto floors = parseFloors(row);
            if (!floors)
                return;
            for (const auto& [id, it] : *floors)
                mergeAcknowledgement(acknowledgements, id, it);
        }
        updateProgress(roster, newest, acknowledgements);
    });
}

void AcceptanceWatcher::updateProgress(
    const Roster& roster, uint64_t newest, const Acknowledgements& acknowledgements)
{
    m_progress.newest = newest;
    m_progress.waiting = membersBelow(roster, acknowledgements, newest);
    m_progress.daemons
        = static_cast<uint64_t>(std::count_if(roster.members.begin(), roster.members.end(), isPresent));
    m_progress.acknowledged = m_progress.daemons - m_progress.waiting.size();
    auto accepted = newest;
    for (const auto& member : m_progress.waiting)
        accepted = std::min(accepted, acknowledgements.at(member.id).floor);
    // Floors never decrease, so an accepted version stays accepted even if a stale read returns lower floors.
    m_progress.accepted = std::max(m_progress.accepted, accepted);
}

} // namespace lentilbay
