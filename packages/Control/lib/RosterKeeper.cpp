// Registration and scans of the roster.
#include "RosterKeeper.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr Duration leastPause = std::chrono::milliseconds(250);
} // namespace

RosterKeeper::RosterKeeper(ConfigurationContext& context)
    : m_context(context)
    , m_backoff(leastPause, context.options.longestPause)
    , m_scan(context)
{
}

void RosterKeeper::failed(TimePoint now)
{
    m_busy = false;
    m_backoff.failed(now, m_context.random);
}

void RosterKeeper::step(TimePoint now)
{
    if (m_busy || m_off || !m_backoff.isDue(now))
        return;
    if (!m_registered || m_leaving)
        writeOwnRow(now);
    else if (!m_hasRead || m_read < m_heard)
        beginScan();
}

void RosterKeeper::writeOwnRow(TimePoint)
{
    m_busy = true;
    TableRead read { .keys = { rosterSequenceKey(), rosterMemberKey(m_context.blackboard.self) } };
    m_context.store.call(std::move(read), [this](const StoreReply& reply, TimePoint at) {
        if (reply.status != StoreStatus::Done || reply.rows.size() != 2)
            return failed(at);
        writeRows(reply.rows);
    });
}

void RosterKeeper::writeRows(const std::vector<std::optional<TableRow>>& rows)
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
        // After a lost answer the rows are read and written once more, which does no harm.
        if (reply.status != StoreStatus::Done)
            return failed(at);
        m_busy = false;
        m_backoff.succeeded();
        m_registered = true;
        m_off = m_leaving;
    });
}

void RosterKeeper::beginScan()
{
    m_busy = true;
    m_scan.begin([this](std::optional<Roster> roster, TimePoint at) {
        // An older answer than one before is not taken for the present.
        if (!roster || roster->sequence < m_read)
            return failed(at);
        m_busy = false;
        m_backoff.succeeded();
        m_hasRead = true;
        m_read = roster->sequence;
        hear(m_read);
        onRoster(std::move(*roster), at);
    });
}

} // namespace lentilbay
