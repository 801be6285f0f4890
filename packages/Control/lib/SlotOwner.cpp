// Leases the slots of the endpoints that this daemon owns.
#include "lentilbay/Control/SlotOwner.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lentilbay {
namespace {

uint32_t total(const UseByRank& uses) { return std::accumulate(uses.begin(), uses.end(), 0U); }

int lowestRankInUse(const UseByRank& uses)
{
    for (int rank = maxTiers - 1; rank >= 0; --rank) {
        if (uses[static_cast<size_t>(rank)] > 0)
            return rank;
    }
    return -1;
}

uint64_t incarnationOf(const Blackboard& blackboard, const DaemonId& id)
{
    auto it = blackboard.members.find(id);
    return it == blackboard.members.end() ? 0 : it->second.incarnation;
}

/// Whether the entry must hear of the change now rather than with its next report.
bool differs(const GrantReport& before, const GrantReport& after)
{
    if (before.grants.size() != after.grants.size())
        return true;
    for (size_t i = 0; i < before.grants.size(); ++i) {
        const auto& a = before.grants[i];
        const auto& b = after.grants[i];
        if (a.endpoint != b.endpoint || a.slots != b.slots || a.lowestRank != b.lowestRank
            || a.leaving != b.leaving)
            return true;
    }
    return std::any_of(
        after.verdicts.begin(), after.verdicts.end(), [](const auto& it) { return it.recall > 0; });
}

} // namespace

SlotOwner::SlotOwner(Blackboard& blackboard, const Ownership& ownership, SlotOptions options)
    : m_blackboard(blackboard)
    , m_ownership(ownership)
    , m_options(options)
{
}

void SlotOwner::demandReported(const DaemonId& from, const DemandReport& report, TimePoint now)
{
    auto& entry = m_entries[from];
    const bool restarted = report.incarnation > entry.report.incarnation;
    if (report.incarnation < entry.report.incarnation
        || (!restarted && report.sequence <= entry.report.sequence))
        return;
    if (restarted)
        entry = Entry {};
    entry.report = report;
    entry.heardAt = now;
    std::erase_if(entry.unacknowledged, [&](const auto& sent) { return sent.sequence <= report.grantSeen; });
    entry.owesAnswer = true;
    m_dirty = true;
    m_nextWake = now;
}

void SlotOwner::loadReported(const EndpointId& endpoint, const LoadReport& load, bool leaving)
{
    auto* state = m_blackboard.findEndpointState(endpoint);
    if (state == nullptr)
        return;
    m_dirty = m_dirty || state->leaving != leaving;
    state->load = load;
    state->leaving = leaving;
}

void SlotOwner::ownershipChanged(TimePoint now)
{
    m_ownsSince = now;
    m_strangersUntil = now + m_options.grantLifetime;
    m_dirty = true;
    planNextWake(now);
}

void SlotOwner::step(TimePoint now)
{
    const bool due = m_dirty || now >= m_plannedAt + m_options.busyInterval;
    if (!due)
        return;
    m_dirty = false;
    m_plannedAt = now;
    forgetSilentEntries(now);
    const auto domain = this->domain();
    std::vector<std::vector<Commitment>> commitments;
    std::vector<uint32_t> spare;
    const bool maySpare = hasHeardAll(now);
    for (const auto position : domain.positions)
        spare.push_back(maySpare ? capacityOf(m_blackboard.endpoints[position]) : 0);
    for (const auto& [id, entry] : m_entries) {
        commitments.emplace_back();
        for (size_t k = 0; k < domain.positions.size(); ++k) {
            const auto& name = m_blackboard.endpoints[domain.positions[k]].endpoint.name;
            commitments.back().push_back(commitmentOf(entry, name, now));
            spare[k] -= std::min(spare[k], commitments.back().back().slots);
        }
    }
    const auto plan = planSlots(problemOf(domain, commitments));
    ++m_turn;
    noteRecalls(domain, plan, now);
    size_t number = 0;
    for (auto& [id, entry] : m_entries) {
        auto report = reportFor(number, entry, domain, plan, commitments, spare, now);
        ++number;
        const bool isNews = differs(entry.last, report);
        if (entry.owesAnswer || (isNews && now >= entry.sentAt + m_options.leastGap))
            send(id, entry, std::move(report), now);
        else if (isNews)
            m_dirty = true;
    }
    planNextWake(now);
}

SlotOwner::Domain SlotOwner::domain() const
{
    Domain out;
    out.positions = m_ownership.endpointsOf(m_blackboard.self);
    for (size_t k = 0; k < out.positions.size(); ++k) {
        const auto& endpoint = m_blackboard.endpoints[out.positions[k]].endpoint;
        out.endpointNumbers.emplace(endpoint.name, k);
        for (const auto& service : endpoint.services) {
            if (out.poolNumbers.emplace(service, out.pools.size()).second)
                out.pools.push_back(service);
        }
    }
    return out;
}

void SlotOwner::forgetSilentEntries(TimePoint now)
{
    std::erase_if(
        m_entries, [&](const auto& it) { return now >= it.second.heardAt + m_options.entryForgottenAfter; });
    for (auto& [id, entry] : m_entries) {
        std::erase_if(entry.unacknowledged, [&](const auto& sent) { return now >= sent.lapses; });
        std::erase_if(entry.recalled, [&](const auto& recalled) { return now >= recalled.until; });
    }
    std::erase_if(m_holds, [&](const auto& it) { return now >= it.second.until; });
}

SlotOwner::Commitment SlotOwner::commitmentOf(
    const Entry& entry, const EndpointId& endpoint, TimePoint now) const
{
    Commitment out;
    const auto note = [&](uint32_t slots, int rank) {
        if (slots == 0)
            return;
        out.slots = std::max(out.slots, slots);
        out.admittedRank = std::max(out.admittedRank, rank);
    };
    for (const auto& use : entry.report.uses) {
        if (use.endpoint != endpoint)
            continue;
        for (const auto& it : use.uses) {
            if (it.rank < maxTiers)
                out.uses[it.rank] += it.inFlight;
        }
        if (now < entry.heardAt + m_options.grantLifetime)
            note(use.slotsHeld, use.lowestRank);
    }
    for (const auto& sent : entry.unacknowledged) {
        for (const auto& grant : sent.grants) {
            if (grant.endpoint == endpoint)
                note(grant.slots, grant.lowestRank);
        }
    }
    out.slots = std::max(out.slots, total(out.uses));
    return out;
}

SlotProblem SlotOwner::problemOf(
    const Domain& domain, const std::vector<std::vector<Commitment>>& commitments) const
{
    SlotProblem problem { .pools = domain.pools.size(), .firstTurn = m_turn };
    for (const auto position : domain.positions) {
        const auto& state = m_blackboard.endpoints[position];
        SlotProblem::EndpointCapacity endpoint { .slots = capacityOf(state) };
        for (const auto& service : state.endpoint.services)
            endpoint.pools.push_back(domain.poolNumbers.at(service));
        problem.endpoints.push_back(std::move(endpoint));
    }
    size_t number = 0;
    for (const auto& [id, entry] : m_entries) {
        SlotProblem::Entry out;
        auto it = m_blackboard.members.find(id);
        const bool lives = it != m_blackboard.members.end() && it->second.status == MemberStatus::Alive;
        out.takesIdleSlots = lives && it->second.dataCentre == m_blackboard.dataCentre;
        for (const auto& demand : entry.report.demands) {
            auto pool = domain.poolNumbers.find(demand.service);
            if (pool != domain.poolNumbers.end() && demand.rank < maxTiers)
                out.demands.push_back({ pool->second, demand.rank, demand.waiting, demand.urgent });
        }
        for (const auto& commitment : commitments[number]) {
            out.uses.push_back(commitment.uses);
            out.held.push_back(commitment.slots);
        }
        out.recalled.assign(domain.pools.size(), 0);
        for (const auto& recalled : entry.recalled) {
            if (auto pool = domain.poolNumbers.find(recalled.service); pool != domain.poolNumbers.end())
                out.recalled[pool->second] += recalled.slots;
        }
        problem.entries.push_back(std::move(out));
        ++number;
    }
    return problem;
}

void SlotOwner::noteRecalls(const Domain& domain, const SlotPlan& plan, TimePoint now)
{
    for (const auto& recall : plan.recalls) {
        auto it = std::next(m_entries.begin(), static_cast<std::ptrdiff_t>(recall.entry));
        it->second.recalled.push_back(
            { domain.pools[recall.pool], recall.slots, now + m_options.recallPatience });
    }
}

uint32_t SlotOwner::capacityOf(const EndpointState& state) const
{
    return state.leaving ? 0 : state.endpoint.slots;
}

/// Whether all live daemons nearby have said what they use since this one became owner. Before that it would
/// lend slots that are in use.
bool SlotOwner::hasHeardAll(TimePoint now) const
{
    if (now >= m_strangersUntil)
        return true;
    return std::all_of(m_blackboard.members.begin(), m_blackboard.members.end(), [&](const auto& it) {
        const auto& member = it.second;
        if (member.status != MemberStatus::Alive || member.dataCentre != m_blackboard.dataCentre)
            return true;
        auto entry = m_entries.find(it.first);
        return entry != m_entries.end() && entry->second.heardAt >= m_ownsSince;
    });
}

bool SlotOwner::verdictsAreSound(TimePoint now) const
{
    if (now < m_strangersUntil)
        return false;
    const auto view = m_ownership.viewHash(m_blackboard.dataCentre);
    for (const auto& [id, member] : m_blackboard.members) {
        const bool mayHold
            = member.status != MemberStatus::Dead && member.dataCentre == m_blackboard.dataCentre;
        if (!mayHold)
            continue;
        auto it = m_entries.find(id);
        const bool agrees = it != m_entries.end() && it->second.report.viewHash == view
            && now < it->second.heardAt + m_options.verdictLifetime;
        if (!agrees)
            return false;
    }
    return true;
}

int SlotOwner::admittedRankOf(
    const EndpointState& state, const Domain& domain, const SlotPlan& plan, TimePoint now) const
{
    int rank = maxTiers - 1;
    for (const auto& service : state.endpoint.services) {
        rank = std::min(rank, plan.admittedRank[domain.poolNumbers.at(service)]);
        if (auto it = m_holds.find(service); it != m_holds.end() && now < it->second.until)
            rank = std::min(rank, it->second.rank);
    }
    return rank;
}

GrantReport SlotOwner::reportFor(size_t number, const Entry& entry, const Domain& domain,
    const SlotPlan& plan, const std::vector<std::vector<Commitment>>& commitments,
    std::vector<uint32_t>& spare, TimePoint now) const
{
    GrantReport report { .incarnation = incarnationOf(m_blackboard, m_blackboard.self),
        .sequence = m_lastSequence + 1,
        .sentAt = entry.report.sentAt };
    for (size_t k = 0; k < domain.positions.size(); ++k) {
        const auto& state = m_blackboard.endpoints[domain.positions[k]];
        const auto target = plan.targets[number][k];
        const auto committed = commitments[number][k].slots;
        const auto added = target > committed ? std::min(target - committed, spare[k]) : 0;
        spare[k] -= added;
        EndpointGrant grant { .endpoint = state.endpoint.name,
            .slots = state.leaving ? 0 : std::min(target, committed + added),
            .lowestRank = static_cast<uint8_t>(admittedRankOf(state, domain, plan, now)),
            .leaving = state.leaving,
            .loadAgeMilliseconds = EndpointGrant::unknownLoadAge };
        if (state.load && now - state.load->measuredAt < m_options.loadLifetime) {
            grant.running = state.load->running;
            grant.waiting = state.load->waiting;
            grant.kvTokensUsed = state.load->kvTokensUsed;
            grant.loadAgeMilliseconds = static_cast<uint32_t>(toMilliseconds(now - state.load->measuredAt));
        }
        if (grant.slots > 0 || grant.leaving)
            report.grants.push_back(std::move(grant));
    }
    report.verdicts = verdictsFor(number, entry, domain, plan, commitments, now);
    return report;
}

std::vector<PoolVerdict> SlotOwner::verdictsFor(size_t number, const Entry& entry, const Domain& domain,
    const SlotPlan& plan, const std::vector<std::vector<Commitment>>& commitments, TimePoint now) const
{
    std::vector<PoolVerdict> out;
    const bool sound = verdictsAreSound(now);
    for (size_t pool = 0; pool < domain.pools.size(); ++pool) {
        PoolVerdict verdict { .service = domain.pools[pool], .lowestServedRank = -1 };
        verdict.hasFreeSlot = plan.freeSlots[pool] > 0;
        for (size_t k = 0; k < domain.positions.size(); ++k) {
            const auto& services = m_blackboard.endpoints[domain.positions[k]].endpoint.services;
            if (std::find(services.begin(), services.end(), verdict.service) == services.end())
                continue;
            // Grants that leave with this verdict count as well as those that are out.
            const int admittedNow
                = admittedRankOf(m_blackboard.endpoints[domain.positions[k]], domain, plan, now);
            verdict.lowestServedRank
                = static_cast<int8_t>(std::max<int>(verdict.lowestServedRank, admittedNow));
            for (const auto& commitment : commitments) {
                const int lowest = std::max(commitment[k].admittedRank, lowestRankInUse(commitment[k].uses));
                verdict.lowestServedRank
                    = static_cast<int8_t>(std::max<int>(verdict.lowestServedRank, lowest));
            }
            const auto used = total(commitments[number][k].uses);
            verdict.hasFreeSlot = verdict.hasFreeSlot || plan.targets[number][k] > used;
        }
        if (!sound)
            verdict.lowestServedRank = maxTiers - 1;
        for (const auto& recall : plan.recalls) {
            if (recall.entry != number || recall.pool != pool)
                continue;
            verdict.recall += recall.slots;
            verdict.recallForRank = std::max(verdict.recallForRank, static_cast<uint8_t>(recall.forRank));
        }
        const bool concerns = verdict.recall > 0
            || std::any_of(entry.report.demands.begin(), entry.report.demands.end(),
                [&](const auto& demand) { return demand.service == verdict.service; });
        if (concerns)
            out.push_back(std::move(verdict));
    }
    return out;
}

void SlotOwner::holdRanks(const GrantReport& report, TimePoint now)
{
    for (const auto& verdict : report.verdicts) {
        if (verdict.hasFreeSlot || verdict.lowestServedRank >= maxTiers - 1)
            continue;
        const int rank = std::max<int>(verdict.lowestServedRank, 0);
        auto& hold = m_holds[verdict.service];
        const bool isLive = now < hold.until;
        hold.rank = isLive ? std::min(hold.rank, rank) : rank;
        hold.until = now + m_options.verdictLifetime;
    }
}

void SlotOwner::send(const DaemonId& to, Entry& entry, GrantReport report, TimePoint now)
{
    holdRanks(report, now);
    m_lastSequence = report.sequence;
    entry.sentAt = now;
    entry.owesAnswer = false;
    entry.unacknowledged.push_back(
        { report.sequence, entry.heardAt + m_options.grantLifetime, report.grants });
    entry.last = report;
    m_blackboard.outbox.push_back({ to, std::move(report) });
}

void SlotOwner::planNextWake(TimePoint now)
{
    if (m_entries.empty())
        m_nextWake = std::nullopt;
    else
        m_nextWake = now + (m_dirty ? m_options.leastGap : m_options.busyInterval);
}

} // namespace lentilbay
