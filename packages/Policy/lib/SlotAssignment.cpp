// Weighted rendezvous hashing of slots, and the selection of endpoints that lend slots.
#include "lentilbay/Policy/SlotAssignment.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <iterator>
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
    update(gone, come);
}

void SlotAssignment::update(const std::vector<Daemon>& gone, const std::vector<Daemon>& come)
{
    ++m_changes;
    std::erase_if(
        m_assigned, [&](const auto& it) { return m_changes - it.second.usedAt > maxUnusedChanges; });
    std::unordered_set<uint64_t> lost;
    for (const auto& it : gone)
        lost.insert(hashOf(it.name));
    for (auto& [endpoint, assigned] : m_assigned) {
        std::vector<size_t> kept;
        std::vector<size_t> free;
        for (size_t slot = 0; slot < assigned.slots.size(); ++slot) {
            const bool isFree = lost.contains(assigned.slots[slot].daemon);
            if (isFree)
                assigned.slots[slot] = {};
            (isFree ? free : kept).push_back(slot);
        }
        for (const auto& daemon : come)
            offer(endpoint, assigned, kept, daemon);
        if (!free.empty()) {
            for (const auto& daemon : m_daemons)
                offer(endpoint, assigned, free, daemon);
        }
        countOwn(assigned);
    }
}

void SlotAssignment::offer(
    uint64_t endpoint, Assigned& assigned, const std::vector<size_t>& slots, const Daemon& daemon) const
{
    const double weight = nearnessOf(m_topology, daemon.dataCentre, assigned.dataCentre).weight;
    const auto hash = hashOf(daemon.name);
    m_comparisons += slots.size();
    for (const auto slot : slots) {
        const double score = -weight / std::log(fractionOf(endpoint, slot, hash));
        if (score > assigned.slots[slot].score)
            assigned.slots[slot] = { .score = score, .daemon = hash };
    }
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
        for (const auto& daemon : m_daemons)
            offer(endpoint.hash, out, added, daemon);
    }
    countOwn(out);
    return out.own;
}

void SlotAssignment::countOwn(Assigned& assigned) const
{
    assigned.own = static_cast<uint32_t>(std::ranges::count(assigned.slots, m_selfHash, &Slot::daemon));
}

bool SlotAssignment::mayTake(const Endpoint& endpoint, uint32_t own, double load, TimePoint now) const
{
    if (own < assigned(endpoint))
        return true;
    if (!endpoint.isLoadKnown)
        return false;
    const double free = endpoint.slots - load;
    if (free < 1 + slotsLeftFree)
        return false;
    if (endpoint.dataCentre == m_topology.ownDataCentre && load <= nearlyIdleLoad)
        return true;
    const auto period = static_cast<uint64_t>(now.time_since_epoch() / lendingPeriod);
    const auto nearness = nearnessOf(m_topology, m_topology.ownDataCentre, endpoint.dataCentre);
    return fractionOf(endpoint.hash, period, m_selfHash)
        < nearness.borrowersPerSlot * free / static_cast<double>(m_daemons.size());
}

} // namespace lentilbay
