// Asks owners for slots and writes their grants and verdicts to the blackboard.
#include "lentilbay/Control/SlotHolder.h"

#include <algorithm>
#include <utility>

namespace lentilbay {
namespace {

TimePoint fromEcho(int64_t sentAt) { return TimePoint { Duration { sentAt } }; }

uint64_t incarnationOf(const Blackboard& blackboard, const DaemonId& id)
{
    auto it = blackboard.members.find(id);
    return it == blackboard.members.end() ? 0 : it->second.incarnation;
}

/// Whether the owner must hear of the demand before the next interval: it has grown, or has become urgent.
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

void SlotHolder::granted(const DaemonId& from, const GrantReport& report, TimePoint now)
{
    auto& owner = m_owners[from];
    if (report.incarnation < owner.incarnation)
        return;
    if (report.incarnation > owner.incarnation) {
        owner.incarnation = report.incarnation;
        owner.grantSeen = 0;
        owner.verdicts.clear();
    }
    if (report.sequence <= owner.grantSeen)
        return;
    owner.grantSeen = report.sequence;
    const auto askedAt = fromEcho(report.sentAt);
    if (takeGrants(from, report, askedAt + m_options.grantLifetime, now))
        owner.owesAcknowledgement = true;
    takeVerdicts(owner, report, askedAt);
    refreshVerdicts(now);
    m_nextWake = now;
}

/// Returns whether the report took a slot or a rank away.
bool SlotHolder::takeGrants(const DaemonId& from, const GrantReport& report, TimePoint lapses, TimePoint now)
{
    bool tookAway = false;
    for (const auto position : m_ownership.endpointsOf(from)) {
        auto& state = m_blackboard.endpoints[position];
        auto it = std::find_if(report.grants.begin(), report.grants.end(),
            [&](const auto& grant) { return grant.endpoint == state.endpoint.name; });
        const auto before = state.grant;
        if (it == report.grants.end()) {
            state.grant = {};
            tookAway = tookAway || before.slots > 0;
            continue;
        }
        state.grant = {
            .slots = it->slots, .lowestRank = std::min<int>(it->lowestRank, maxTiers - 1), .lapses = lapses
        };
        state.leaving = it->leaving;
        tookAway = tookAway || state.grant.slots < before.slots || state.grant.lowestRank < before.lowestRank;
        if (it->loadAgeMilliseconds == EndpointGrant::unknownLoadAge || from == m_blackboard.self)
            continue;
        state.load = LoadReport { .running = it->running,
            .waiting = it->waiting,
            .kvTokensUsed = it->kvTokensUsed,
            .measuredAt = now - std::chrono::milliseconds(it->loadAgeMilliseconds) };
    }
    return tookAway;
}

void SlotHolder::takeVerdicts(Owner& owner, const GrantReport& report, TimePoint askedAt)
{
    owner.verdicts.clear();
    for (const auto& verdict : report.verdicts) {
        owner.verdicts[verdict.service] = { verdict, askedAt };
        auto* pool = m_blackboard.findPool(verdict.service);
        if (pool == nullptr || verdict.recall == 0)
            continue;
        pool->recall.forRank = verdict.recallForRank;
        pool->recall.slots += verdict.recall;
    }
}

void SlotHolder::step(TimePoint now)
{
    refreshVerdicts(now);
    const auto inReach = ownersInReach(now);
    std::erase_if(m_owners, [&](const auto& it) { return !m_blackboard.members.contains(it.first); });
    std::optional<TimePoint> wake;
    for (const auto& id : inReach) {
        auto& owner = m_owners[id];
        auto report = reportTo(id, owner, now);
        if (isDue(owner, report, now)) {
            owner.sequence = report.sequence;
            owner.sentAt = now;
            owner.owesAcknowledgement = false;
            owner.lastDemands = report.demands;
            m_blackboard.outbox.push_back({ id, std::move(report) });
        }
        const bool isBusy = !owner.lastDemands.empty() || owner.owesAcknowledgement;
        const auto due = *owner.sentAt
            + (owner.owesAcknowledgement ? m_options.acknowledgementGap
                    : isBusy             ? m_options.busyInterval
                                         : m_options.idleInterval);
        wake = wake ? std::min(*wake, due) : due;
    }
    m_nextWake = wake;
}

std::set<DaemonId> SlotHolder::ownersInReach(TimePoint now) const
{
    std::set<DaemonId> out;
    for (const auto& [id, member] : m_blackboard.members) {
        const bool isNear
            = member.dataCentre == m_blackboard.dataCentre && !m_ownership.endpointsOf(id).empty();
        if (isNear)
            out.insert(id);
    }
    for (const auto& pool : m_blackboard.pools) {
        const auto reach = reachOf(pool, now);
        for (const auto position : pool.endpoints) {
            const auto& state = m_blackboard.endpoints[position];
            const bool uses
                = state.inFlightTotal() > 0 || (state.grant.slots > 0 && now < state.grant.lapses);
            const auto& owner = m_ownership.ownerOf(position);
            if (!owner.empty() && (uses || m_ownership.distanceOf(position) <= reach))
                out.insert(owner);
        }
    }
    return out;
}

/// How far the pool's demand goes: beyond a distance only where no slot is free within it.
Distance SlotHolder::reachOf(const PoolState& pool, TimePoint now) const
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
        const auto* known = freshVerdict(m_ownership.ownerOf(position), pool.service, now);
        if (known == nullptr || known->verdict.hasFreeSlot)
            return false;
    }
    return true;
}

const SlotHolder::KnownVerdict* SlotHolder::freshVerdict(
    const DaemonId& owner, const ServiceId& service, TimePoint now) const
{
    auto it = m_owners.find(owner);
    if (it == m_owners.end())
        return nullptr;
    auto verdict = it->second.verdicts.find(service);
    const bool isFresh
        = verdict != it->second.verdicts.end() && now < verdict->second.askedAt + m_options.verdictLifetime;
    return isFresh ? &verdict->second : nullptr;
}

bool SlotHolder::isDue(const Owner& owner, const DemandReport& report, TimePoint now) const
{
    if (!owner.sentAt)
        return true;
    const auto age = now - *owner.sentAt;
    if (age < m_options.leastGap)
        return false;
    if (hasGrown(owner.lastDemands, report.demands))
        return true;
    if (owner.owesAcknowledgement)
        return age >= m_options.acknowledgementGap;
    const bool isBusy = !report.demands.empty() || !owner.lastDemands.empty();
    return age >= (isBusy ? m_options.busyInterval : m_options.idleInterval);
}

DemandReport SlotHolder::reportTo(const DaemonId& to, const Owner& owner, TimePoint now) const
{
    DemandReport out { .incarnation = incarnationOf(m_blackboard, m_blackboard.self),
        .sequence = owner.sequence + 1,
        .grantSeen = owner.grantSeen,
        .sentAt = now.time_since_epoch().count() };
    if (auto it = m_blackboard.members.find(to); it != m_blackboard.members.end())
        out.viewHash = m_ownership.viewHash(it->second.dataCentre);
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
    if (now < state.grant.lapses) {
        out.slotsHeld = state.grant.slots;
        out.lowestRank = static_cast<uint8_t>(state.grant.lowestRank);
    }
    for (size_t rank = 0; rank < maxTiers; ++rank) {
        if (state.inFlight[rank] > 0)
            out.uses.push_back({ static_cast<uint8_t>(rank), state.inFlight[rank] });
    }
    return out;
}

/// A pool's verdict is the one of all its owners together; without one of them there is none.
void SlotHolder::refreshVerdicts(TimePoint now)
{
    for (auto& pool : m_blackboard.pools) {
        Verdict out { .lowestServedRank = -1, .hasFreeSlot = false, .askedAt = now };
        for (const auto position : pool.endpoints) {
            const auto& owner = m_ownership.ownerOf(position);
            const auto* known = freshVerdict(owner, pool.service, now);
            if (known == nullptr) {
                out = Verdict {};
                break;
            }
            out.lowestServedRank = std::max<int>(out.lowestServedRank, known->verdict.lowestServedRank);
            out.hasFreeSlot = out.hasFreeSlot || known->verdict.hasFreeSlot;
            out.askedAt = std::min(*out.askedAt, known->askedAt);
        }
        pool.verdict = out;
    }
}

} // namespace lentilbay
