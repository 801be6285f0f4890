// Which daemon owns which endpoint: the one that leases its slots to entries.
//
// The owner is found by rendezvous hashing over the live daemons of the endpoint's data centre; where there
// is none, over those of its region, and then over all. Ownership is a matter of capacity, never of safety.
#pragma once

#include "lentilbay/Policy/Routing.h"
#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilbay {

struct Blackboard;
struct Configuration;

class Ownership {
public:
    /// Looks at the members and the configuration, and works all owners out again if they have changed.
    /// Returns whether they had.
    bool refresh(const Blackboard& blackboard);

    /// The owner of the endpoint at a position of Blackboard::endpoints; empty where no daemon lives.
    const DaemonId& ownerOf(size_t position) const { return m_owners[position]; }
    /// The positions of the endpoints that a daemon owns, in ascending order.
    const std::vector<size_t>& endpointsOf(const DaemonId& owner) const;
    /// The distance of an endpoint from this daemon.
    Distance distanceOf(size_t position) const { return m_distances[position]; }
    /// All daemons that own an endpoint.
    const std::map<DaemonId, std::vector<size_t>>& all() const { return m_byOwner; }
    /// Where to reach an owner of another region; empty for a member.
    std::string addressOf(const DaemonId& owner) const;
    /// The data centre that a live daemon runs in; empty where it is not known.
    DataCentreId dataCentreOf(const DaemonId& daemon) const;
    /// A hash of the live daemons of one data centre, the same wherever the same daemons are seen.
    uint64_t viewHash(const DataCentreId& dataCentre) const;

private:
    void notePlaces(const Blackboard& blackboard);

    uint64_t m_membersHash = 0;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<DaemonId> m_owners;
    std::vector<Distance> m_distances;
    std::map<DaemonId, std::vector<size_t>> m_byOwner;
    std::map<DataCentreId, uint64_t> m_viewHashes;
    std::map<DaemonId, DataCentreId> m_dataCentres;
    /// Of daemons of other regions.
    std::map<DaemonId, std::string> m_addresses;
};

} // namespace lentilbay
