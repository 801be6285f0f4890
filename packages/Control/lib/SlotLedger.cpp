// Records the demand reports of entry daemons and the grants sent to them.
#include "lentilbay/Control/SlotLedger.h"

#include <algorithm>
#include <numeric>

namespace lentilbay {

uint32_t totalUse(const UseByRank& uses) { return std::accumulate(uses.begin(), uses.end(), 0U); }

int Commitment::lowestRunningRank() const
{
    for (int rank = maxTiers - 1; rank >= 0; --rank) {
        if (uses[static_cast<size_t>(rank)] > 0)
            return rank;
    }
    return -1;
}

void Commitment::addGrant(uint32_t granted, int rank)
{
    if (granted == 0)
        return;
    slots = std::max(slots, granted);
    admittedRank = std::max(admittedRank, std::min(rank, maxTiers - 1));
}

bool SlotLedger::recordDemand(
    const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now)
{
    auto& entry = m_entries[from];
    const bool restarted = report.incarnation > entry.report.incarnation;
    const bool isOld = report.incarnation < entry.report.incarnation
        || (!restarted && report.sequence <= entry.report.sequence);
    if (isOld)
        return false;
    if (restarted)
        entry = EntryRecord {};
    entry.report = report;
    entry.address = address;
    entry.lastReportAt = now;
    std::erase_if(
        entry.unacknowledged, [&](const auto& sent) { return sent.sequence <= report.lastGrantSequence; });
    entry.replyPending = true;
    return true;
}

void SlotLedger::expireEntries(TimePoint now)
{
    std::erase_if(
        m_entries, [&](const auto& it) { return now >= it.second.lastReportAt + m_options.entryTimeout; });
    for (auto& [id, entry] : m_entries) {
        std::erase_if(entry.unacknowledged, [&](const auto& sent) { return now >= sent.expiresAt; });
        std::erase_if(entry.recalled, [&](const auto& recalled) { return now >= recalled.until; });
    }
}

void SlotLedger::recordSent(EntryRecord& entry, const GrantReport& report, TimePoint now)
{
    entry.sentAt = now;
    entry.replyPending = false;
    entry.unacknowledged.push_back(
        { report.sequence, entry.lastReportAt + m_options.grantLifetime, report.grants });
    entry.last = report;
}

std::vector<Commitment> SlotLedger::commitmentsOf(const EntryRecord& entry, const Blackboard& blackboard,
    const std::vector<size_t>& positions, TimePoint now) const
{
    std::vector<Commitment> out(positions.size());
    const auto find = [&](const EndpointId& endpoint) -> Commitment* {
        const auto known = blackboard.endpointPositions.find(endpoint);
        if (known == blackboard.endpointPositions.end())
            return nullptr;
        const auto it = std::lower_bound(positions.begin(), positions.end(), known->second);
        return it == positions.end() || *it != known->second
            ? nullptr
            : &out[static_cast<size_t>(it - positions.begin())];
    };
    const bool mayHold = now < entry.lastReportAt + m_options.grantLifetime;
    for (const auto& use : entry.report.uses) {
        auto* commitment = find(use.endpoint);
        if (commitment == nullptr)
            continue;
        for (const auto& it : use.uses) {
            if (it.rank < maxTiers)
                commitment->uses[it.rank] += it.inFlight;
        }
        if (mayHold)
            commitment->addGrant(use.slotsHeld, use.lowestRank);
    }
    for (const auto& sent : entry.unacknowledged) {
        for (const auto& grant : sent.grants) {
            if (auto* commitment = find(grant.endpoint))
                commitment->addGrant(grant.slots, grant.lowestRank);
        }
    }
    for (auto& it : out)
        it.slots = std::max(it.slots, totalUse(it.uses));
    return out;
}

bool SlotLedger::allReportedSince(const Blackboard& blackboard, TimePoint since) const
{
    return std::all_of(blackboard.members.begin(), blackboard.members.end(), [&](const auto& it) {
        const auto& member = it.second;
        if (member.status != MemberStatus::Alive || member.dataCentre != blackboard.dataCentre)
            return true;
        auto entry = m_entries.find(it.first);
        return entry != m_entries.end() && entry->second.lastReportAt >= since;
    });
}

bool SlotLedger::viewsAgree(const Blackboard& blackboard, uint64_t view, TimePoint now) const
{
    return std::all_of(blackboard.members.begin(), blackboard.members.end(), [&](const auto& it) {
        const auto& member = it.second;
        if (member.status == MemberStatus::Dead || member.dataCentre != blackboard.dataCentre)
            return true;
        auto entry = m_entries.find(it.first);
        return entry != m_entries.end() && entry->second.report.viewHash == view
            && now < entry->second.lastReportAt + m_options.occupancyLifetime;
    });
}

} // namespace lentilbay
