// Merging acknowledgements into the table by compare-and-swap.
#include "FloorRecorder.h"

#include "ConfigurationRows.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr Duration leastPause = std::chrono::milliseconds(250);
/// Acknowledgements that come within it share a write.
constexpr Duration writeSpacing = std::chrono::milliseconds(100);

Acknowledgements merged(Acknowledgements into, const Acknowledgements& other)
{
    for (const auto& [id, it] : other)
        mergeAcknowledgement(into, id, it);
    return into;
}

} // namespace

FloorRecorder::Row::Row(const ConfigurationOptions& options)
    : backoff(leastPause, options.longestPause)
{
}

FloorRecorder::FloorRecorder(ConfigurationContext& context)
    : m_context(context)
{
}

void FloorRecorder::note(
    const DataCentreId& dataCentre, const DaemonId& id, const Acknowledgement& acknowledgement)
{
    auto& row = m_rows.try_emplace(dataCentre, m_context.options).first->second;
    mergeAcknowledgement(row.wanted, id, acknowledgement);
}

const Acknowledgement* FloorRecorder::recorded(const DataCentreId& dataCentre, const DaemonId& id) const
{
    const auto row = m_rows.find(dataCentre);
    if (row == m_rows.end())
        return nullptr;
    const auto it = row->second.recorded.find(id);
    return it == row->second.recorded.end() ? nullptr : &it->second;
}

bool FloorRecorder::isDirty(const Row& row) const { return merged(row.recorded, row.wanted) != row.recorded; }

void FloorRecorder::step(TimePoint now)
{
    for (auto& [dataCentre, row] : m_rows) {
        if (row.isBusy || !row.backoff.isDue(now) || !isDirty(row))
            continue;
        if (row.version)
            write(dataCentre, row);
        else
            read(dataCentre, row);
    }
}

void FloorRecorder::read(const DataCentreId& dataCentre, Row& row)
{
    row.isBusy = true;
    m_context.store.call(
        TableRead { .keys = { floorKey(dataCentre) } }, [this, &row](const StoreReply& reply, TimePoint at) {
            row.isBusy = false;
            const bool isRead = reply.status == StoreStatus::Done && reply.rows.size() == 1;
            const auto present = isRead ? parseFloors(reply.rows[0]) : std::nullopt;
            if (!present)
                return row.backoff.failed(at, m_context.random);
            row.recorded = merged(*present, row.recorded);
            row.version = rowVersion(reply.rows[0]);
            row.backoff.succeeded();
        });
}

void FloorRecorder::write(const DataCentreId& dataCentre, Row& row)
{
    auto next = merged(row.recorded, row.wanted);
    std::erase_if(next, [this](const auto& it) {
        const auto* member = m_roster == nullptr ? nullptr : findMember(*m_roster, it.first);
        return member != nullptr && !isPresent(*member);
    });
    TableTransaction transaction;
    transaction.writes.push_back({ floorKey(dataCentre), printFloors(next), row.version });
    row.isBusy = true;
    m_context.store.call(std::move(transaction), [this, &row, next](const StoreReply& reply, TimePoint at) {
        row.isBusy = false;
        if (reply.status == StoreStatus::Done) {
            row.recorded = next;
            row.wanted = merged(next, row.wanted);
            // Another writer is noticed by the next write's condition.
            row.version = *row.version + 1;
            return row.backoff.succeeded(at + writeSpacing);
        }
        row.version.reset();
        if (reply.status != StoreStatus::Conflict)
            row.backoff.failed(at, m_context.random);
    });
}

} // namespace lentilbay
