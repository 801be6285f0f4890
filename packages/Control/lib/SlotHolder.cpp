// Requests slots from owners and writes their grants and occupancy reports to the blackboard.
#include "lentilbay/Control/SlotHolder.h"

#include <algorithm>
#include <utility>

namespace lentilbay {
namespace {

TimePoint decodeSentAt(int64_t sentAt) { return TimePoint { Duration { sentAt } }; }

/// Returns whether demand has grown or become urgent, so that the owner must receive it before the next
/// regular report.
bool hasGrown(const std::vector<PoolDemand>& before, const std::vector<PoolDemand>& after)
{
    return std::any_of(after.begin(), after.end(), [&](const PoolDemand& demand) {
        auto it = std::find_if(before.begin(), before.end(),
            [&](const PoolDemand& old) { return old.service == demand.service && old.rank == demand.rank; });
        return it == before.end() || demand.urgent > it->urgent || demand.waiting > 2 * it->waiting;
    });
}

} // namespace

SlotHolder::SlotHolder(Blackboard& blackboard, const Ownership& ownership, SlotOptions options)
    : m_blackboard(blackboard)
    , m_ownership(ownership)
    , m_options(options)
{
}

void SlotHolder::grantReported(const DaemonId& from, const GrantReport& report, TimePoint now)
{
    auto& owner = m_owners[from];
    if (report.incarnation < owner.incarnation)
        return;
    if (report.incarnation > owner.incarnation) {
        owner.incarnation = report.incarnation;
        owner.lastGrantSequence = 0;
        owner.receivedOccupancies.clear();
    }
    if (report.sequence <= owner.lastGrantSequence)
        return;
    owner.lastGrantSequence = report.sequence;
    const auto requestedAt = decodeSentAt(report.sentAt);
    if (applyGrants(from, report, requestedAt + m_options.grantLifetime, now))
        owner.acknowledgementPending = true;
    applyOccupancyReports(owner, report, requestedAt);
    refreshOccupancy(now);
    m_nextWake = now;
}

/// Returns whether the report reduced the slots or the admitted rank of any endpoint.
bool SlotHolder::applyGrants(
    const DaemonId& from, const GrantReport& report, TimePoint expiresAt, TimePoint now)
{
    std::vector<std::pair<size_t, const EndpointGrant*>> granted;
    for (const auto& grant : report.grants) {
        const auto it = m_blackboard.endpointPositions.find(grant.endpoint);
        if (it != m_blackboard.endpointPositions.end())
            granted.emplace_back(it->second, &grant);
    }
    std::sort(granted.begin(), granted.end());
    bool hasReduced = false;
    for (const auto position : m_ownership.endpointsOf(from)) {
        const auto it = std::lower_bound(
            granted.begin(), granted.end(), std::pair(position, static_cast<const EndpointGrant*>(nullptr)));
        const auto* grant = it == granted.end() || it->first != position ? nullptr : it->second;
        auto& state = m_blackboard.endpoints[position];
        const auto before = state.grant;
        applyGrant(state, grant, expiresAt);
        hasReduced = hasReduced || state.grant.slots < before.slots
            || (state.grant.slots > 0 && state.grant.lowestRank < before.lowestRank);
        if (grant != nullptr && from != m_blackboard.self)
            applyLoad(state, *grant, now);
    }
    return hasReduced;
}

/// A null `grant` clears the grant: endpoints that the report does not name are not granted.
void SlotHolder::applyGrant(EndpointState& state, const EndpointGrant* grant, TimePoint expiresAt)
{
    state.grant = {};
    if (grant == nullptr)
        return;
    state.grant = { .slots = grant->slots,
        .lowestRank = std::min<int>(grant->lowestRank, maxTiers - 1),
        .expiresAt = expiresAt };
    state.leaving = grant->leaving;
}

void SlotHolder::applyLoad(EndpointState& state, const EndpointGrant& grant, TimePoint now)
{
    if (grant.loadAgeMilliseconds == EndpointGrant::unknownLoadAge)
        return;
    state.load = LoadReport { .running = grant.running,
        .waiting = grant.waiting,
        .kvTokensUsed = grant.kvTokensUsed,
        .measuredAt = now - std::chrono::milliseconds(grant.loadAgeMilliseconds) };
}

void SlotHolder::applyOccupancyReports(Owner& owner, const GrantReport& report, TimePoint requestedAt)
{
    owner.receivedOccupancies.clear();
    for (const auto& occupancy : report.occupancyReports) {
        owner.receivedOccupancies[occupancy.service] = { occupancy, requestedAt };
        auto* pool = m_blackboard.findPool(occupancy.service);
        if (pool == nullptr || occupancy.recall == 0)
            continue;
        pool->recall.forRank = occupancy.recallForRank;
        pool->recall.slots += occupancy.recall;
    }
}

void SlotHolder::step(TimePoint now)
{
    const bool isIdle = m_nextWake && now < *m_nextWake && !demandHasChanged();
    if (isIdle)
        return;
    refreshOccupancy(now);
    std::erase_if(
        m_owners, [&](const auto& it) { return !m_ownership.endpointsByOwner().contains(it.first); });
    std::optional<TimePoint> wake;
    for (const auto& id : ownersToReport(now)) {
        auto& owner = m_owners[id];
        auto report = reportTo(id, owner, now);
        if (dueAt(owner, report, now) <= now)
            send(id, owner, report, now);
        const auto next = dueAt(owner, report, now);
        wake = wake ? std::min(*wake, next) : next;
    }
    m_nextWake = wake.value_or(now + m_options.idleInterval);
}

/// Stores the current demand of all pools and returns whether it differs from the previous call.
bool SlotHolder::demandHasChanged()
{
    std::vector<PoolCounts> demand;
    for (const auto& pool : m_blackboard.pools)
        demand.push_back({ pool.waiting, pool.urgent });
    return std::exchange(m_lastDemand, demand) != demand;
}

void SlotHolder::send(const DaemonId& to, Owner& owner, const DemandReport& report, TimePoint now)
{
    m_lastSequence = report.sequence;
    owner.sentAt = now;
    owner.acknowledgementPending = false;
    owner.lastDemands = report.demands;
    m_blackboard.outbox.push_back({ to, report, m_ownership.addressOf(to) });
}

std::set<DaemonId> SlotHolder::ownersToReport(TimePoint now) const
{
    std::set<DaemonId> out;
    for (const auto& [id, endpoints] : m_ownership.endpointsByOwner()) {
        if (m_ownership.dataCentreOf(id) == m_blackboard.dataCentre)
            out.insert(id);
    }
    for (const auto& pool : m_blackboard.pools) {
        const auto distance = searchDistance(pool, now);
        for (const auto position : pool.endpoints) {
            const auto& state = m_blackboard.endpoints[position];
            const bool isInUse
                = state.inFlightTotal() > 0 || (state.grant.slots > 0 && now < state.grant.expiresAt);
            const auto& owner = m_ownership.ownerOf(position);
            if (!owner.empty() && (isInUse || m_ownership.distanceOf(position) <= distance))
                out.insert(owner);
        }
    }
    return out;
}

/// Returns the distance up to which owners receive the pool's demand. It exceeds a distance only if no slot
/// is free within it, or if demand is urgent.
Distance SlotHolder::searchDistance(const PoolState& pool, TimePoint now) const
{
    const auto sum = [](const auto& counts) {
        uint32_t n = 0;
        for (const auto it : counts)
            n += it;
        return n;
    };
    if (sum(pool.waiting) == 0)
        return Distance::SameDataCentre;
    if (sum(pool.urgent) > 0)
        return Distance::OtherRegion;
    if (!hasNoFreeSlot(pool, Distance::SameDataCentre, now))
        return Distance::SameDataCentre;
    return hasNoFreeSlot(pool, Distance::SameRegion, now) ? Distance::OtherRegion : Distance::SameRegion;
}

bool SlotHolder::hasNoFreeSlot(const PoolState& pool, Distance within, TimePoint now) const
{
    for (const auto position : pool.endpoints) {
        if (m_ownership.distanceOf(position) > within || m_ownership.ownerOf(position).empty())
            continue;
        const auto* known = freshOccupancy(m_ownership.ownerOf(position), pool.service, now);
        if (known == nullptr || known->report.hasFreeSlot)
            return false;
    }
    return true;
}

const SlotHolder::ReceivedOccupancy* SlotHolder::freshOccupancy(
    const DaemonId& owner, const ServiceId& service, TimePoint now) const
{
    auto it = m_owners.find(owner);
    if (it == m_owners.end())
        return nullptr;
    auto received = it->second.receivedOccupancies.find(service);
    const bool isFresh = received != it->second.receivedOccupancies.end()
        && now < received->second.requestedAt + m_options.occupancyLifetime;
    return isFresh ? &received->second : nullptr;
}

TimePoint SlotHolder::dueAt(const Owner& owner, const DemandReport& report, TimePoint now) const
{
    if (!owner.sentAt)
        return now;
    if (hasGrown(owner.lastDemands, report.demands))
        return *owner.sentAt + m_options.minReportInterval;
    if (owner.acknowledgementPending)
        return *owner.sentAt + m_options.acknowledgementDelay;
    const bool isBusy = !report.demands.empty() || !owner.lastDemands.empty();
    return *owner.sentAt + (isBusy ? m_options.busyInterval : m_options.idleInterval);
}

DemandReport SlotHolder::reportTo(const DaemonId& to, const Owner& owner, TimePoint now) const
{
    DemandReport out { .incarnation = m_blackboard.incarnationOf(m_blackboard.self),
        .sequence = m_lastSequence + 1,
        .lastGrantSequence = owner.lastGrantSequence,
        .sentAt = now.time_since_epoch().count() };
    out.viewHash = m_ownership.viewHash(m_ownership.dataCentreOf(to));
    std::set<ServiceId> services;
    for (const auto position : m_ownership.endpointsOf(to)) {
        const auto& state = m_blackboard.endpoints[position];
        services.insert(state.endpoint.services.begin(), state.endpoint.services.end());
        auto use = useOf(state, now);
        if (use.slotsHeld > 0 || !use.uses.empty())
            out.uses.push_back(std::move(use));
    }
    for (const auto& service : services) {
        const auto position = m_blackboard.poolPositions.find(service);
        if (position == m_blackboard.poolPositions.end())
            continue;
        const auto& pool = m_blackboard.pools[position->second];
        for (size_t rank = 0; rank < maxTiers; ++rank) {
            if (pool.waiting[rank] > 0)
                out.demands.push_back(
                    { service, static_cast<uint8_t>(rank), pool.waiting[rank], pool.urgent[rank] });
        }
    }
    return out;
}

EndpointUse SlotHolder::useOf(const EndpointState& state, TimePoint now) const
{
    EndpointUse out { .endpoint = state.endpoint.name };
    if (now < state.grant.expiresAt) {
        out.slotsHeld = state.grant.slots;
        out.lowestRank = static_cast<uint8_t>(state.grant.lowestRank);
    }
    for (size_t rank = 0; rank < maxTiers; ++rank) {
        if (state.inFlight[rank] > 0)
            out.uses.push_back({ static_cast<uint8_t>(rank), state.inFlight[rank] });
    }
    return out;
}

/// Merges the occupancy reports of all owners of a pool. The occupancy of a pool is unknown if the report of
/// any owner is missing or has expired.
void SlotHolder::refreshOccupancy(TimePoint now)
{
    for (auto& pool : m_blackboard.pools) {
        PoolOccupancy out { .lowestServedRank = -1, .hasFreeSlot = false, .requestedAt = now };
        for (const auto position : pool.endpoints) {
            const auto& owner = m_ownership.ownerOf(position);
            const auto* known = freshOccupancy(owner, pool.service, now);
            if (known == nullptr) {
                out = PoolOccupancy {};
                break;
            }
            out.lowestServedRank = std::max<int>(out.lowestServedRank, known->report.lowestServedRank);
            out.lowestRunningRank = std::max<int>(out.lowestRunningRank, known->report.lowestRunningRank);
            out.hasFreeSlot = out.hasFreeSlot || known->report.hasFreeSlot;
            out.requestedAt = std::min(*out.requestedAt, known->requestedAt);
        }
        pool.occupancy = out;
    }
}

} // namespace lentilbay
