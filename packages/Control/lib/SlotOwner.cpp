// Leases the slots of the endpoints that this daemon owns.
#include "lentilbay/Control/SlotOwner.h"

#include <algorithm>
#include <utility>

namespace lentilbay {
namespace {

/// Returns whether the change must be sent immediately rather than with the reply to the next demand report.
bool needsImmediateReport(const GrantReport& before, const GrantReport& after)
{
    const auto sameGrant = [](const EndpointGrant& a, const EndpointGrant& b) {
        return a.endpoint == b.endpoint && a.slots == b.slots && a.lowestRank == b.lowestRank
            && a.leaving == b.leaving;
    };
    if (!std::equal(
            before.grants.begin(), before.grants.end(), after.grants.begin(), after.grants.end(), sameGrant))
        return true;
    return std::any_of(after.occupancyReports.begin(), after.occupancyReports.end(),
        [](const auto& it) { return it.recall > 0; });
}

bool offers(const EndpointState& state, const ServiceId& service)
{
    const auto& services = state.endpoint.services;
    return std::find(services.begin(), services.end(), service) != services.end();
}

} // namespace

SlotOwner::SlotOwner(Blackboard& blackboard, const Ownership& ownership, SlotOptions options)
    : m_blackboard(blackboard)
    , m_ownership(ownership)
    , m_options(options)
    , m_ledger(options)
{
}

void SlotOwner::demandReported(
    const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now)
{
    if (!m_ledger.recordDemand(from, address, report, now))
        return;
    m_dirty = true;
    m_nextWake = now;
}

void SlotOwner::loadReported(const EndpointId& endpoint, const LoadReport& load, bool leaving, TimePoint now)
{
    auto* state = m_blackboard.findEndpointState(endpoint);
    if (state == nullptr)
        return;
    m_dirty = m_dirty || state->leaving != leaving || !hasRecentLoad(endpoint, now);
    if (m_dirty)
        m_nextWake = now;
    m_lastLoadAt[endpoint] = now;
    state->load = load;
    state->leaving = leaving;
}

void SlotOwner::ownershipChanged(TimePoint now)
{
    m_ownedSince = now;
    m_unknownGrantsUntil = now + m_options.grantLifetime;
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
    m_ledger.expireEntries(now);
    std::erase_if(m_lastLoadAt, [&](const auto& it) { return !hasRecentLoad(it.first, now); });
    std::erase_if(m_rankLimits, [&](const auto& it) { return now >= it.second.until; });
    const auto domain = domainAt(now);
    const auto plan = planSlots(problemOf(domain));
    ++m_firstEntry;
    recordRecalls(domain, plan, now);
    auto spare = spareSlots(domain, now);
    size_t entryIndex = 0;
    for (auto& [id, entry] : m_ledger.entries()) {
        auto report = reportFor(entryIndex, entry, domain, plan, spare, now);
        ++entryIndex;
        const bool hasChanged = needsImmediateReport(entry.last, report);
        if (entry.replyPending || (hasChanged && now >= entry.sentAt + m_options.minReportInterval))
            send(id, entry, std::move(report), now);
        else if (hasChanged)
            m_dirty = true;
    }
    planNextWake(now);
}

SlotOwner::Domain SlotOwner::domainAt(TimePoint now)
{
    Domain out;
    const auto& positions = m_ownership.endpointsOf(m_blackboard.self);
    for (const auto position : positions) {
        const auto& state = m_blackboard.endpoints[position];
        out.endpoints.push_back(&state);
        const bool isAvailable = !state.leaving && hasRecentLoad(state.endpoint.name, now);
        out.capacities.push_back(isAvailable ? state.usableSlots() : 0);
        for (const auto& service : state.endpoint.services) {
            if (out.poolIndices.emplace(service, out.pools.size()).second)
                out.pools.push_back(service);
        }
    }
    for (const auto& [id, entry] : m_ledger.entries())
        out.commitments.push_back(m_ledger.commitmentsOf(entry, m_blackboard, positions, now));
    updateOccupancy(out, now);
    return out;
}

/// Returns whether the endpoint has answered a load query within SlotOptions::endpointLoadTimeout.
bool SlotOwner::hasRecentLoad(const EndpointId& endpoint, TimePoint now) const
{
    auto it = m_lastLoadAt.find(endpoint);
    return it != m_lastLoadAt.end() && now < it->second + m_options.endpointLoadTimeout;
}

/// Subtracts requests that no entry has reported from the capacities.
void SlotOwner::updateOccupancy(Domain& domain, TimePoint now)
{
    std::map<EndpointId, EndpointOccupancy> known;
    for (size_t k = 0; k < domain.endpoints.size(); ++k) {
        const auto& state = *domain.endpoints[k];
        auto& occupancy = known[state.endpoint.name] = m_occupancy[state.endpoint.name];
        uint32_t reported = 0;
        for (const auto& commitment : domain.commitments)
            reported += totalUse(commitment[k].uses);
        occupancy.noteReported(reported, now);
        occupancy.evaluate(state.load, now);
        domain.capacities[k] -= std::min(domain.capacities[k], occupancy.unreportedRequests());
    }
    m_occupancy = std::move(known);
}

SlotProblem SlotOwner::problemOf(const Domain& domain) const
{
    SlotProblem problem { .pools = domain.pools.size(), .firstEntry = m_firstEntry };
    for (size_t k = 0; k < domain.endpoints.size(); ++k) {
        SlotProblem::EndpointCapacity endpoint { .slots = domain.capacities[k] };
        for (const auto& service : domain.endpoints[k]->endpoint.services)
            endpoint.pools.push_back(domain.poolIndices.at(service));
        problem.endpoints.push_back(std::move(endpoint));
    }
    for (const auto& [id, entry] : m_ledger.entries())
        problem.entries.push_back(problemEntryOf(id, entry, domain, problem.entries.size()));
    return problem;
}

SlotProblem::Entry SlotOwner::problemEntryOf(
    const DaemonId& id, const EntryRecord& entry, const Domain& domain, size_t entryIndex) const
{
    SlotProblem::Entry out;
    auto it = m_blackboard.members.find(id);
    out.receivesIdleSlots = it != m_blackboard.members.end() && it->second.status == MemberStatus::Alive
        && it->second.dataCentre == m_blackboard.dataCentre;
    for (const auto& demand : entry.report.demands) {
        auto pool = domain.poolIndices.find(demand.service);
        if (pool != domain.poolIndices.end() && demand.rank < maxTiers)
            out.demands.push_back({ pool->second, demand.rank, demand.waiting, demand.urgent });
    }
    for (const auto& commitment : domain.commitments[entryIndex]) {
        out.uses.push_back(commitment.uses);
        out.held.push_back(commitment.slots);
    }
    out.recalled.assign(domain.pools.size(), 0);
    for (const auto& recalled : entry.recalled) {
        if (auto pool = domain.poolIndices.find(recalled.service); pool != domain.poolIndices.end())
            out.recalled[pool->second] += recalled.slots;
    }
    return out;
}

void SlotOwner::recordRecalls(const Domain& domain, const SlotPlan& plan, TimePoint now)
{
    for (const auto& recall : plan.recalls) {
        auto it = std::next(m_ledger.entries().begin(), static_cast<std::ptrdiff_t>(recall.entry));
        it->second.recalled.push_back(
            { domain.pools[recall.pool], recall.slots, now + m_options.recallTimeout });
    }
}

/// Returns, by endpoint, the slots that no entry can hold. A new owner has none until all live daemons of the
/// data centre have reported their usage or the grants of previous owners have expired.
std::vector<uint32_t> SlotOwner::spareSlots(const Domain& domain, TimePoint now) const
{
    if (now < m_unknownGrantsUntil && !m_ledger.allReportedSince(m_blackboard, m_ownedSince))
        return std::vector<uint32_t>(domain.endpoints.size(), 0);
    auto spare = domain.capacities;
    for (const auto& commitments : domain.commitments) {
        for (size_t k = 0; k < spare.size(); ++k)
            spare[k] -= std::min(spare[k], commitments[k].slots);
    }
    return spare;
}

int SlotOwner::admittedRankOf(
    const EndpointState& state, const Domain& domain, const SlotPlan& plan, TimePoint now) const
{
    int rank = maxTiers - 1;
    for (const auto& service : state.endpoint.services) {
        rank = std::min(rank, plan.admittedRank[domain.poolIndices.at(service)]);
        if (auto it = m_rankLimits.find(service); it != m_rankLimits.end() && now < it->second.until)
            rank = std::min(rank, it->second.rank);
    }
    return rank;
}

GrantReport SlotOwner::reportFor(size_t entryIndex, const EntryRecord& entry, const Domain& domain,
    const SlotPlan& plan, std::vector<uint32_t>& spare, TimePoint now) const
{
    GrantReport report { .incarnation = m_blackboard.incarnationOf(m_blackboard.self),
        .sequence = m_lastSequence + 1,
        .sentAt = entry.report.sentAt };
    for (size_t k = 0; k < domain.endpoints.size(); ++k) {
        const auto& state = *domain.endpoints[k];
        const auto target = plan.targets[entryIndex][k];
        const auto committed = domain.commitments[entryIndex][k].slots;
        const auto added = target > committed ? std::min(target - committed, spare[k]) : 0;
        spare[k] -= added;
        const auto slots = domain.capacities[k] == 0 ? 0 : std::min(target, committed + added);
        if (slots > 0 || state.leaving)
            report.grants.push_back(grantOf(state, slots, admittedRankOf(state, domain, plan, now), now));
    }
    report.occupancyReports = occupancyReportsFor(entryIndex, entry, domain, plan, now);
    return report;
}

EndpointGrant SlotOwner::grantOf(
    const EndpointState& state, uint32_t slots, int lowestRank, TimePoint now) const
{
    EndpointGrant grant { .endpoint = state.endpoint.name,
        .slots = slots,
        .lowestRank = static_cast<uint8_t>(lowestRank),
        .leaving = state.leaving,
        .loadAgeMilliseconds = EndpointGrant::unknownLoadAge };
    if (!state.load || now - state.load->measuredAt >= m_options.loadLifetime)
        return grant;
    grant.running = state.load->running;
    grant.waiting = state.load->waiting;
    grant.kvTokensUsed = state.load->kvTokensUsed;
    grant.loadAgeMilliseconds = static_cast<uint32_t>(toMilliseconds(now - state.load->measuredAt));
    return grant;
}

std::vector<PoolOccupancyReport> SlotOwner::occupancyReportsFor(size_t entryIndex, const EntryRecord& entry,
    const Domain& domain, const SlotPlan& plan, TimePoint now) const
{
    std::vector<PoolOccupancyReport> out;
    for (size_t pool = 0; pool < domain.pools.size(); ++pool) {
        auto occupancy = occupancyReportOf(pool, entryIndex, domain, plan, now);
        const auto& demands = entry.report.demands;
        const bool isRelevant = occupancy.recall > 0
            || std::any_of(demands.begin(), demands.end(),
                [&](const auto& demand) { return demand.service == occupancy.service; });
        if (isRelevant)
            out.push_back(std::move(occupancy));
    }
    return out;
}

PoolOccupancyReport SlotOwner::occupancyReportOf(
    size_t pool, size_t entryIndex, const Domain& domain, const SlotPlan& plan, TimePoint now) const
{
    PoolOccupancyReport occupancy { .service = domain.pools[pool], .hasFreeSlot = plan.freeSlots[pool] > 0 };
    int lowest = -1;
    int running = -1;
    for (size_t k = 0; k < domain.endpoints.size(); ++k) {
        const auto& state = *domain.endpoints[k];
        if (!offers(state, occupancy.service))
            continue;
        // Includes the grants sent along with this report.
        lowest = std::max(lowest, admittedRankOf(state, domain, plan, now));
        for (const auto& commitments : domain.commitments) {
            lowest = std::max(lowest, commitments[k].admittedRank);
            running = std::max(running, commitments[k].lowestRunningRank());
        }
        const auto used = totalUse(domain.commitments[entryIndex][k].uses);
        occupancy.hasFreeSlot = occupancy.hasFreeSlot || plan.targets[entryIndex][k] > used;
    }
    lowest = std::max(lowest, running);
    occupancy.lowestRunningRank = static_cast<int8_t>(running);
    occupancy.lowestServedRank
        = static_cast<int8_t>(isConclusive(occupancy.service, domain, now) ? lowest : maxTiers);
    for (const auto& recall : plan.recalls) {
        if (recall.entry != entryIndex || recall.pool != pool)
            continue;
        occupancy.recall += recall.slots;
        occupancy.recallForRank = std::max(occupancy.recallForRank, static_cast<uint8_t>(recall.forRank));
    }
    return occupancy;
}

/// Returns whether this owner knows all work on its endpoints of the pool.
bool SlotOwner::isConclusive(const ServiceId& service, const Domain& domain, TimePoint now) const
{
    const auto view = m_ownership.viewHash(m_blackboard.dataCentre);
    if (now < m_unknownGrantsUntil || !m_ledger.viewsAgree(m_blackboard, view, now))
        return false;
    return std::none_of(domain.endpoints.begin(), domain.endpoints.end(), [&](const auto* state) {
        return offers(*state, service) && m_occupancy.at(state->endpoint.name).unreportedRequests() > 0;
    });
}

void SlotOwner::limitRanks(const GrantReport& report, TimePoint now)
{
    for (const auto& occupancy : report.occupancyReports) {
        if (occupancy.hasFreeSlot || occupancy.lowestServedRank >= maxTiers - 1)
            continue;
        const int rank = std::max<int>(occupancy.lowestServedRank, 0);
        auto& limit = m_rankLimits[occupancy.service];
        const bool isLive = now < limit.until;
        limit.rank = isLive ? std::min(limit.rank, rank) : rank;
        limit.until = now + m_options.occupancyLifetime;
    }
}

void SlotOwner::send(const DaemonId& to, EntryRecord& entry, GrantReport report, TimePoint now)
{
    limitRanks(report, now);
    m_lastSequence = report.sequence;
    m_ledger.recordSent(entry, report, now);
    const bool isMember = m_blackboard.members.contains(to);
    m_blackboard.outbox.push_back({ to, std::move(report), isMember ? std::string() : entry.address });
}

void SlotOwner::planNextWake(TimePoint now)
{
    if (m_ledger.entries().empty())
        m_nextWake = std::nullopt;
    else
        m_nextWake = now + (m_dirty ? m_options.minReportInterval : m_options.busyInterval);
}

} // namespace lentilbay
