// Registers this daemon in the roster and takes snapshots of the roster.
#include "RosterClient.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr Duration minBackoff = std::chrono::milliseconds(250);
} // namespace

RosterClient::RosterClient(ConfigurationContext& context)
    : m_context(context)
    , m_backoff(minBackoff, context.options.maxBackoff)
    , m_scan(context)
{
}

void RosterClient::recordFailure(TimePoint now)
{
    m_busy = false;
    m_backoff.recordFailure(now, m_context.random);
}

void RosterClient::step(TimePoint now)
{
    if (m_busy || m_hasLeft || !m_backoff.isDue(now))
        return;
    if (!m_registered || m_leaving)
        writeOwnRow(now);
    else if (!m_hasSnapshot || m_snapshotSequence < m_latestSequence)
        beginScan();
}

void RosterClient::writeOwnRow(TimePoint)
{
    m_busy = true;
    TableRead read { .keys = { rosterSequenceKey(), rosterMemberKey(m_context.blackboard.self) } };
    m_context.store.call(std::move(read), [this](const StoreReply& reply, TimePoint at) {
        if (reply.status != StoreStatus::Done || reply.rows.size() != 2)
            return recordFailure(at);
        writeRows(reply.rows);
    });
}

void RosterClient::writeRows(const std::vector<std::optional<TableRow>>& rows)
{
    const auto sequence = parseSequence(rows[0]);
    auto member = parseMember(rows[1]).value_or(RosterMember { .id = m_context.blackboard.self });
    const bool changesNames = isPresent(member) == m_leaving;
    member.region = m_context.blackboard.region;
    member.dataCentre = m_context.blackboard.dataCentre;
    member.address = m_context.options.address;
    member.incarnation = m_context.options.incarnation;
    if (changesNames)
        (m_leaving ? member.removed : member.added) = sequence + 1;
    TableTransaction transaction;
    transaction.writes.push_back({ rosterMemberKey(member.id), printMember(member), rowVersion(rows[1]) });
    if (changesNames)
        transaction.writes.push_back(
            { rosterSequenceKey(), std::to_string(sequence + 1), rowVersion(rows[0]) });
    m_context.store.call(std::move(transaction), [this](const StoreReply& reply, TimePoint at) {
        // If the reply to the write was lost, both rows are read and written again, which is idempotent.
        if (reply.status != StoreStatus::Done)
            return recordFailure(at);
        m_busy = false;
        m_backoff.recordSuccess();
        m_registered = true;
        m_hasLeft = m_leaving;
    });
}

void RosterClient::beginScan()
{
    m_busy = true;
    m_scan.begin([this](std::optional<Roster> roster, TimePoint at) {
        // A stale read that returns an older roster than the current snapshot is rejected.
        if (!roster || roster->sequence < m_snapshotSequence)
            return recordFailure(at);
        m_busy = false;
        m_backoff.recordSuccess();
        m_hasSnapshot = true;
        m_snapshotSequence = roster->sequence;
        noteSequence(m_snapshotSequence);
        onRoster(std::move(*roster), at);
    });
}

} // namespace lentilbay
