// The order of news of one daemon, and how often each piece is passed on.
#include "MemberTable.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace lentilbay {
namespace {

/// News is sent this often for each doubling of the number of daemons.
constexpr uint32_t sendsPerDoubling = 3;

auto rankOf(const MemberUpdate& update)
{
    return std::tuple(update.incarnation, update.refutation, update.health);
}

} // namespace

bool supersedes(const MemberUpdate& candidate, const MemberUpdate& known)
{
    if (rankOf(candidate) != rankOf(known))
        return rankOf(candidate) > rankOf(known);
    return candidate.leaving && !known.leaving;
}

bool MemberTable::merge(const MemberUpdate& update, TimePoint now)
{
    auto it = m_records.find(update.id);
    if (it != m_records.end() && !supersedes(update, it->second.update))
        return false;
    auto& record = m_records[update.id];
    const bool sameProcess = it != m_records.end() && record.update.incarnation == update.incarnation;
    const bool wasLeaving = sameProcess && record.update.leaving;
    if (!sameProcess || record.update.health != update.health)
        record.since = now;
    record.update = update;
    record.update.leaving = update.leaving || wasLeaving;
    record.sendsLeft = sendsOfNews();
    return true;
}

uint32_t MemberTable::sendsOfNews() const
{
    return sendsPerDoubling * static_cast<uint32_t>(std::bit_width(m_records.size()));
}

void MemberTable::renewNews(const DaemonId& id)
{
    if (auto it = m_records.find(id); it != m_records.end())
        it->second.sendsLeft = sendsOfNews();
}

const MemberTable::Record* MemberTable::find(const DaemonId& id) const
{
    auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

std::vector<MemberUpdate> MemberTable::updates() const
{
    std::vector<MemberUpdate> out;
    out.reserve(m_records.size());
    for (const auto& [id, record] : m_records)
        out.push_back(record.update);
    return out;
}

std::vector<MemberUpdate> MemberTable::takeNews(size_t count, const std::optional<DaemonId>& about)
{
    std::vector<MemberUpdate> out;
    if (const auto* record = about ? find(*about) : nullptr) {
        if (record->update.health != MemberHealth::Alive)
            out.push_back(record->update);
    }
    std::vector<Record*> pending;
    for (auto& [id, record] : m_records) {
        if (record.sendsLeft > 0)
            pending.push_back(&record);
    }
    std::stable_sort(pending.begin(), pending.end(),
        [](const Record* a, const Record* b) { return a->sendsLeft > b->sendsLeft; });
    for (auto* it : pending) {
        if (out.size() >= count)
            break;
        --it->sendsLeft;
        if (out.empty() || out.front().id != it->update.id)
            out.push_back(it->update);
    }
    return out;
}

std::vector<DaemonId> MemberTable::forgetDead(Duration retention, size_t most, TimePoint now)
{
    std::vector<std::pair<TimePoint, DaemonId>> dead;
    for (const auto& [id, record] : m_records) {
        if (record.update.health == MemberHealth::Dead)
            dead.emplace_back(record.since, id);
    }
    std::sort(dead.begin(), dead.end());
    const auto surplus = dead.size() > most ? dead.size() - most : 0;
    std::vector<DaemonId> forgotten;
    for (size_t i = 0; i < dead.size(); ++i) {
        if (i >= surplus && now - dead[i].first < retention)
            break;
        forgotten.push_back(dead[i].second);
        m_records.erase(dead[i].second);
    }
    return forgotten;
}

void MemberTable::restartSuspicions(TimePoint now)
{
    for (auto& [id, record] : m_records) {
        if (record.update.health == MemberHealth::Suspect)
            record.since = now;
    }
}

} // namespace lentilbay
