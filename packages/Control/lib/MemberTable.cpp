// Orders updates about one daemon, and limits how often each update is gossiped.
#include "MemberTable.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace lentilbay {
namespace {

/// Number of times an update is sent, per doubling of the number of daemons.
constexpr uint32_t sendsPerDoubling = 3;

auto precedenceOf(const MemberUpdate& update)
{
    return std::tuple(update.incarnation, update.refutation, update.health);
}

} // namespace

bool supersedes(const MemberUpdate& candidate, const MemberUpdate& known)
{
    if (precedenceOf(candidate) != precedenceOf(known))
        return precedenceOf(candidate) > precedenceOf(known);
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
        record.healthSince = now;
    record.update = update;
    record.update.leaving = update.leaving || wasLeaving;
    record.remainingSends = sendsPerUpdate();
    return true;
}

uint32_t MemberTable::sendsPerUpdate() const
{
    return sendsPerDoubling * static_cast<uint32_t>(std::bit_width(m_records.size()));
}

void MemberTable::requeueUpdate(const DaemonId& id)
{
    if (auto it = m_records.find(id); it != m_records.end())
        it->second.remainingSends = sendsPerUpdate();
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

std::vector<MemberUpdate> MemberTable::takeUpdates(size_t count, const std::optional<DaemonId>& about)
{
    std::vector<MemberUpdate> out;
    if (const auto* record = about ? find(*about) : nullptr) {
        if (record->update.health != MemberHealth::Alive)
            out.push_back(record->update);
    }
    std::vector<Record*> pending;
    for (auto& [id, record] : m_records) {
        if (record.remainingSends > 0)
            pending.push_back(&record);
    }
    std::stable_sort(pending.begin(), pending.end(),
        [](const Record* a, const Record* b) { return a->remainingSends > b->remainingSends; });
    for (auto* it : pending) {
        if (out.size() >= count)
            break;
        --it->remainingSends;
        if (out.empty() || out.front().id != it->update.id)
            out.push_back(it->update);
    }
    return out;
}

std::vector<DaemonId> MemberTable::removeDead(Duration retention, size_t limit, TimePoint now)
{
    std::vector<std::pair<TimePoint, DaemonId>> dead;
    for (const auto& [id, record] : m_records) {
        if (record.update.health == MemberHealth::Dead)
            dead.emplace_back(record.healthSince, id);
    }
    std::sort(dead.begin(), dead.end());
    const auto surplus = dead.size() > limit ? dead.size() - limit : 0;
    std::vector<DaemonId> removed;
    for (size_t i = 0; i < dead.size(); ++i) {
        if (i >= surplus && now - dead[i].first < retention)
            break;
        removed.push_back(dead[i].second);
        m_records.erase(dead[i].second);
    }
    return removed;
}

void MemberTable::restartSuspicions(TimePoint now)
{
    for (auto& [id, record] : m_records) {
        if (record.update.health == MemberHealth::Suspect)
            record.healthSince = now;
    }
}

} // namespace lentilbay
