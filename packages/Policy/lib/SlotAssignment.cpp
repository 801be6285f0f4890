// Weighted rendezvous hashing of slots, and the selection of endpoints that lend slots.
#include "lentilbay/Policy/SlotAssignment.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <string_view>
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
    m_topology = topology;
    m_self = self;
    m_selfHash = hashOf(self);
    m_daemons = std::move(daemons);
    m_assigned.clear();
}

uint32_t SlotAssignment::assigned(const Endpoint& endpoint) const
{
    auto [it, isNew] = m_assigned.try_emplace(endpoint.hash);
    if (!isNew && it->second.slots == endpoint.slots)
        return it->second.own;
    it->second = { .slots = endpoint.slots };
    struct Best {
        double score = 0;
        bool isSelf = false;
    };
    std::vector<Best> best(endpoint.slots);
    for (const auto& daemon : m_daemons) {
        const double weight = nearnessOf(m_topology, daemon.dataCentre, endpoint.dataCentre).weight;
        const auto hash = hashOf(daemon.name);
        for (uint64_t slot = 0; slot < endpoint.slots; ++slot) {
            const double score = -weight / std::log(fractionOf(endpoint.hash, slot, hash));
            if (score > best[slot].score)
                best[slot] = { .score = score, .isSelf = daemon.name == m_self };
        }
    }
    it->second.own = static_cast<uint32_t>(std::ranges::count(best, true, &Best::isSelf));
    return it->second.own;
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
