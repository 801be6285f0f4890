// The sequence is read before and after the pages; if it is the same, the set of names did not change in
// between.
#include "RosterScan.h"

#include "ConfigurationRows.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr uint32_t pageSize = 200;

} // namespace

void RosterScan::begin(Callback callback)
{
    m_callback = std::move(callback);
    m_context.store.call(
        TableRead { .keys = { rosterSequenceKey() } }, [this](const StoreReply& reply, TimePoint at) {
            if (reply.status != StoreStatus::Done || reply.rows.empty())
                return finish(std::nullopt, at);
            m_roster = Roster { .sequence = parseSequence(reply.rows.front()), .members = {} };
            readPage("");
        });
}

void RosterScan::readPage(std::string after)
{
    TableScan scan {
        .table = rosterTable, .prefix = "daemon/", .after = std::move(after), .limit = pageSize
    };
    m_context.store.call(std::move(scan), [this](const StoreReply& reply, TimePoint at) {
        if (reply.status != StoreStatus::Done)
            return finish(std::nullopt, at);
        for (const auto& row : reply.rows) {
            if (auto member = parseMember(row))
                m_roster.members.push_back(std::move(*member));
        }
        if (reply.rows.size() == pageSize && reply.rows.back())
            return readPage(reply.rows.back()->key);
        confirmSequence();
    });
}

void RosterScan::confirmSequence()
{
    m_context.store.call(
        TableRead { .keys = { rosterSequenceKey() } }, [this](const StoreReply& reply, TimePoint at) {
            const bool isSame = reply.status == StoreStatus::Done && !reply.rows.empty()
                && parseSequence(reply.rows.front()) == m_roster.sequence;
            std::sort(m_roster.members.begin(), m_roster.members.end());
            finish(isSame ? std::optional(std::move(m_roster)) : std::nullopt, at);
        });
}

void RosterScan::finish(std::optional<Roster> roster, TimePoint now)
{
    // Moved out first, since the callback may start the next scan.
    const auto callback = std::move(m_callback);
    callback(std::move(roster), now);
}

} // namespace lentilbay
