// Weighted rendezvous hashing of slots, and the selection of endpoints that lend slots.
#include "lentilbay/Policy/SlotAssignment.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <iterator>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace lentilbay {
namespace {

/// What depends on where a daemon is, as seen from the endpoint. Less preference for near daemons sends more
/// requests between regions, which are billed; more of it leaves data centres with few endpoints without
/// slots. Measured in EndpointCapacityFleetTest.
struct Nearness {
    /// How often the daemon is assigned a slot, in comparison with others.
    double weight = 1;
    /// If all daemons were as near, how many would select the endpoint for each slot that it can lend. Not
    /// all of them have requests.
    double borrowersPerSlot = 1;
};
constexpr Nearness inOwnDataCentre { .weight = 16, .borrowersPerSlot = 6 };
constexpr Nearness inOwnRegion { .weight = 4, .borrowersPerSlot = 2 };
constexpr Nearness inOtherRegion { .weight = 1, .borrowersPerSlot = 1 };
/// For this long a daemon may use a selected endpoint. Reports are about as old.
constexpr Duration lendingPeriod = std::chrono::milliseconds(400);
/// The free slots that a report must show beyond the one that is taken.
constexpr double slotsLeftFree = 1;
/// An endpoint with so many requests or fewer is nearly idle.
constexpr double nearlyIdleLoad = 1;

/// An endpoint that was not used during so many changes of the daemons may be gone, and is forgotten.
constexpr uint64_t maxUnusedChanges = 100;

/// A number in (0, 1) that is the same on all hosts.
double fractionOf(uint64_t first, uint64_t second, uint64_t seed)
{
    const auto bytes = std::bit_cast<std::array<char, 2 * sizeof(uint64_t)>>(std::array { first, second });
    constexpr unsigned unusedBits = 11;
    constexpr double range = 9007199254740992.0;
    return (static_cast<double>(hashOf({ bytes.data(), bytes.size() }, seed) >> unusedBits) + 0.5) / range;
}

Nearness nearnessOf(const Topology& topology, const DataCentreId& daemon, const DataCentreId& endpoint)
{
    if (daemon == endpoint)
        return inOwnDataCentre;
    const auto own = topology.regions.find(daemon);
    const auto other = topology.regions.find(endpoint);
    const bool isOwnRegion
        = own != topology.regions.end() && other != topology.regions.end() && own->second == other->second;
    return isOwnRegion ? inOwnRegion : inOtherRegion;
}

} // namespace

void SlotAssignment::setDaemons(
    const Topology& topology, const std::string& self, std::vector<Daemon> daemons)
{
    std::ranges::sort(daemons);
    if (m_self == self && m_daemons == daemons)
        return;
    if (m_self != self || m_topology != topology || daemons.empty())
        m_assigned.clear();
    std::vector<Daemon> gone;
    std::vector<Daemon> come;
    std::ranges::set_difference(m_daemons, daemons, std::back_inserter(gone));
    std::ranges::set_difference(daemons, m_daemons, std::back_inserter(come));
    m_topology = topology;
    m_self = self;
    m_selfHash = hashOf(self);
    m_daemons = std::move(daemons);
    std::set<DataCentreId> dataCentres;
    for (const auto& it : m_daemons)
        dataCentres.insert(it.dataCentre);
    m_dataCentres.assign(dataCentres.begin(), dataCentres.end());
    m_weights.clear();
    m_candidates = candidates(m_daemons);
    update(gone, come);
}

std::vector<SlotAssignment::Candidate> SlotAssignment::candidates(const std::vector<Daemon>& daemons) const
{
    std::vector<Candidate> out;
    out.reserve(daemons.size());
    for (const auto& it : daemons) {
        const auto dataCentre = std::ranges::lower_bound(m_dataCentres, it.dataCentre);
        out.push_back({ .hash = hashOf(it.name),
            .dataCentre = static_cast<size_t>(dataCentre - m_dataCentres.begin()) });
    }
    return out;
}

const std::vector<double>& SlotAssignment::weightsAt(const DataCentreId& endpoint) const
{
    const auto [it, isNew] = m_weights.try_emplace(endpoint);
    if (isNew) {
        for (const auto& daemon : m_dataCentres)
            it->second.push_back(nearnessOf(m_topology, daemon, endpoint).weight);
    }
    return it->second;
}

void SlotAssignment::update(const std::vector<Daemon>& gone, const std::vector<Daemon>& come)
{
    ++m_changes;
    std::erase_if(
        m_assigned, [&](const auto& it) { return m_changes - it.second.usedAt > maxUnusedChanges; });
    std::unordered_set<uint64_t> lost;
    for (const auto& it : gone)
        lost.insert(hashOf(it.name));
    const auto added = candidates(come);
    std::vector<size_t> kept;
    std::vector<size_t> free;
    for (auto& [endpoint, assigned] : m_assigned) {
        kept.clear();
        free.clear();
        for (size_t slot = 0; slot < assigned.slots.size(); ++slot) {
            const bool isFree = lost.contains(assigned.slots[slot].daemon);
            if (isFree)
                assigned.slots[slot] = {};
            (isFree ? free : kept).push_back(slot);
        }
        const auto& weights = weightsAt(assigned.dataCentre);
        for (const auto& daemon : added)
            offer(endpoint, assigned, kept, daemon, weights);
        if (!free.empty()) {
            for (const auto& daemon : m_candidates)
                offer(endpoint, assigned, free, daemon, weights);
        }
        countOwn(assigned);
    }
}

void SlotAssignment::offer(uint64_t endpoint, Assigned& assigned, const std::vector<size_t>& slots,
    const Candidate& daemon, const std::vector<double>& weights) const
{
    const double weight = weights[daemon.dataCentre];
    m_comparisons += slots.size();
    for (const auto slot : slots) {
        auto& present = assigned.slots[slot];
        const double fraction = fractionOf(endpoint, slot, daemon.hash);
        // As -log(x) is at least 1 - x, this spares the logarithm of nearly all.
        if (1 - fraction >= present.distance * weight)
            continue;
        const double distance = -std::log(fraction) / weight;
        if (distance < present.distance)
            present = { .distance = distance, .daemon = daemon.hash };
    }
}

SlotAssignment::Share SlotAssignment::shareOf(const Endpoint& endpoint) const
{
    return { .endpoint = endpoint.hash,
        .slots = endpoint.slots,
        .assigned = assigned(endpoint),
        .borrowersPerSlot
        = nearnessOf(m_topology, m_topology.ownDataCentre, endpoint.dataCentre).borrowersPerSlot,
        .isInOwnDataCentre = endpoint.dataCentre == m_topology.ownDataCentre };
}

uint32_t SlotAssignment::assigned(const Endpoint& endpoint) const
{
    auto& out = m_assigned[endpoint.hash];
    out.usedAt = m_changes;
    if (out.slots.size() == endpoint.slots && out.dataCentre == endpoint.dataCentre)
        return out.own;
    if (out.dataCentre != endpoint.dataCentre)
        out.slots.clear();
    out.dataCentre = endpoint.dataCentre;
    std::vector<size_t> added;
    for (size_t slot = out.slots.size(); slot < endpoint.slots; ++slot)
        added.push_back(slot);
    out.slots.resize(endpoint.slots);
    if (!added.empty()) {
        const auto& weights = weightsAt(endpoint.dataCentre);
        for (const auto& daemon : m_candidates)
            offer(endpoint.hash, out, added, daemon, weights);
    }
    countOwn(out);
    return out.own;
}

void SlotAssignment::countOwn(Assigned& assigned) const
{
    assigned.own = static_cast<uint32_t>(std::ranges::count(assigned.slots, m_selfHash, &Slot::daemon));
}

bool SlotAssignment::mayTake(
    const Share& share, bool isLoadKnown, uint32_t own, double load, TimePoint now) const
{
    if (own < share.assigned)
        return true;
    if (!isLoadKnown)
        return false;
    const double free = share.slots - load;
    if (free < 1 + slotsLeftFree)
        return false;
    if (share.isInOwnDataCentre && load <= nearlyIdleLoad)
        return true;
    const auto period = static_cast<uint64_t>(now.time_since_epoch() / lendingPeriod);
    return fractionOf(share.endpoint, period, m_selfHash)
        < share.borrowersPerSlot * free / static_cast<double>(m_daemons.size());
}

} // namespace lentilbay
