// Merges acknowledgements into the table with compare-and-swap.
#include "AcknowledgementWriter.h"

#include "ConfigurationRows.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr Duration minBackoff = std::chrono::milliseconds(250);
/// Minimum time between two writes of a row; acknowledgements that arrive in between share one write.
constexpr Duration minWriteInterval = std::chrono::milliseconds(100);

Acknowledgements merged(Acknowledgements into, const Acknowledgements& other)
{
    for (const auto& [id, it] : other)
        mergeAcknowledgement(into, id, it);
    return into;
}

} // namespace

AcknowledgementWriter::Row::Row(const ConfigurationOptions& options)
    : backoff(minBackoff, options.maxBackoff)
{
}

AcknowledgementWriter::AcknowledgementWriter(ConfigurationContext& context)
    : m_context(context)
{
}

void AcknowledgementWriter::record(
    const DataCentreId& dataCentre, const DaemonId& id, const Acknowledgement& acknowledgement)
{
    auto& row = m_rows.try_emplace(dataCentre, m_context.options).first->second;
    mergeAcknowledgement(row.desired, id, acknowledgement);
}

const Acknowledgement* AcknowledgementWriter::recorded(
    const DataCentreId& dataCentre, const DaemonId& id) const
{
    const auto row = m_rows.find(dataCentre);
    if (row == m_rows.end())
        return nullptr;
    const auto it = row->second.recorded.find(id);
    return it == row->second.recorded.end() ? nullptr : &it->second;
}

bool AcknowledgementWriter::isDirty(const Row& row) const
{
    return merged(row.recorded, row.desired) != row.recorded;
}

void AcknowledgementWriter::step(TimePoint now)
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

void AcknowledgementWriter::read(const DataCentreId& dataCentre, Row& row)
{
    row.isBusy = true;
    m_context.store.call(
        TableRead { .keys = { floorKey(dataCentre) } }, [this, &row](const StoreReply& reply, TimePoint at) {
            row.isBusy = false;
            const bool isRead = reply.status == StoreStatus::Done && reply.rows.size() == 1;
            const auto stored = isRead ? parseFloors(reply.rows[0]) : std::nullopt;
            if (!stored)
                return row.backoff.recordFailure(at, m_context.random);
            row.recorded = merged(*stored, row.recorded);
            row.version = rowVersion(reply.rows[0]);
            row.backoff.recordSuccess();
        });
}

void AcknowledgementWriter::write(const DataCentreId& dataCentre, Row& row)
{
    auto next = merged(row.recorded, row.desired);
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
            row.desired = merged(next, row.desired);
            // If another daemon has written the row in the meantime, the condition of the next write fails.
            row.version = *row.version + 1;
            return row.backoff.recordSuccess(at + minWriteInterval);
        }
        row.version.reset();
        if (reply.status != StoreStatus::Conflict)
            row.backoff.recordFailure(at, m_context.random);
    });
}

} // namespace lentilbay
